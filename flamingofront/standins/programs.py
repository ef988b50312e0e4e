"""The stand-ins as programs, for development on one machine."""

import base64
import http.client
import random
import sys
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path

import defopt
import orjson

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer
from flamingofront.messages import InboundRequest
from flamingofront.process.settings import parse_address
from flamingofront.standins.engine import EngineOptions, EngineStandIn
from flamingofront.standins.forward_endpoint import ForwardEndpointStandIn, ForwardFault
from flamingofront.standins.plain import PlainStandIn
from flamingofront.standins.platform import PlatformStandIn
from flamingofront.standins.table_store import TableStoreStandIn

__all__ = ["endpoint_main", "engine_main", "plain_main", "platform_main", "store_main"]

REGISTER_SECONDS = 10.0

Handler = Callable[[InboundRequest, Exchange], None]


def _serve(name: str, bind: str, make_handler: Callable[[Runtime], Handler]) -> None:
    """Serve until the process is stopped."""
    try:
        address = parse_address(bind)
    except ValueError as exc:
        print(f"{name}: --bind: got {bind!r}, {exc}", file=sys.stderr)
        sys.exit(2)

    def fault(exc: BaseException) -> None:
        print(f"{name}: {exc!r}", file=sys.stderr)

    runtime = Runtime(fault)
    handler = make_handler(runtime)
    server = HTTPServer((address.host, address.port), handler, runtime.timers, on_fault=fault)
    server.register(runtime)
    print(f"{name} listening on {address.host}:{server.port}", flush=True)
    runtime.run()


def platform(*, bind: str = "127.0.0.1:8100", list_lag: float = 1.0) -> None:
    """Serve the platform's services.

    :param bind: IP:PORT to listen on
    :param list_lag: seconds by which the VM list lags behind
    """
    _serve(
        "platform", bind, lambda runtime: PlatformStandIn(runtime.timers, list_lag=list_lag).handle
    )


def engine(
    *,
    bind: str = "127.0.0.1:8200",
    engine_id: str = "engine-1",
    model: str = "demo",
    step_seconds: float = 0.01,
    check_fencing: bool = True,
) -> None:
    """Serve a model.

    :param bind: IP:PORT to listen on
    :param engine_id: VM id of the engine
    :param model: model that it holds
    :param step_seconds: time of one decoding step
    :param check_fencing: refuse orders with an old fencing number
    """
    options = EngineOptions(step_seconds=step_seconds, check_fencing=check_fencing)
    _serve(
        "engine",
        bind,
        lambda runtime: EngineStandIn(engine_id, runtime.timers, options, model).handle,
    )


def plain(
    *, bind: str = "127.0.0.1:8300", endpoint_id: str = "plain-1", work_seconds: float = 0.0
) -> None:
    """Serve a plain service.

    :param bind: IP:PORT to listen on
    :param endpoint_id: VM id of the endpoint
    :param work_seconds: time that a call takes
    """
    _serve(
        "plain",
        bind,
        lambda runtime: PlainStandIn(endpoint_id, runtime.timers, work_seconds).handle,
    )


def store(*, bind: str = "127.0.0.1:8225", config: str = "") -> None:
    """Serve the users' platform: its table store and the cloud's duty calls.

    :param bind: IP:PORT to listen on
    :param config: JSON file with the configuration that the operator has written
    """

    def make_handler(runtime: Runtime) -> Handler:
        standin = TableStoreStandIn(runtime.timers)
        if config:
            standin.put("op", "config", orjson.loads(Path(config).read_bytes()))
        return standin.handle

    _serve("store", bind, make_handler)


def endpoint(
    *,
    bind: str = "127.0.0.1:8230",
    store: str = "127.0.0.1:8225",
    endpoint_id: str = "endpoint-1",
    service: str = "records",
    zone: str = "zone-a",
    slots: int = 8,
    gap: float = 0.05,
    rate_limit: str = "",
    leaving: bool = False,
    reject: float = 0.0,
    retry_after: str = "3",
    log_arrivals: bool = False,
) -> None:
    """Serve forwarded requests, and register in the store.

    :param bind: IP:PORT to listen on
    :param store: IP:PORT of the store
    :param endpoint_id: id of this start of the endpoint
    :param service: service that it belongs to
    :param zone: availability zone
    :param slots: requests that it runs at once
    :param gap: seconds between the events of a stream
    :param rate_limit: requests a second that it says it takes from all entry processes
    :param leaving: say in each answer that it leaves, whatever its row says
    :param reject: part of the requests that it refuses with a time to stay away
    :param retry_after: that time, in seconds
    :param log_arrivals: print a line with the time of each request that arrives, and whether it is
        turned away
    """
    row = {
        "service": service,
        "address": bind,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
    }
    _register(store, endpoint_id, row)

    def make_handler(runtime: Runtime) -> Handler:
        standin = ForwardEndpointStandIn(endpoint_id, runtime.timers, 8, gap)
        standin.rate_limit = rate_limit or None
        standin.leaving, standin.retry_after = leaving, retry_after
        rng = random.Random(endpoint_id)

        def handle(req: InboundRequest, exchange: Exchange) -> None:
            refused = rng.random() < reject
            standin.inject_fault(ForwardFault.REJECT if refused else ForwardFault.NONE)
            if log_arrivals:
                word = "refused" if refused else "taken"
                print(f"arrival {runtime.timers.now():.3f} {word}", flush=True)
            standin.handle(req, exchange)

        return handle

    _serve("endpoint", bind, make_handler)


def _register(store: str, endpoint_id: str, row: dict) -> None:
    """Write the endpoint's row."""
    value = base64.b64encode(orjson.dumps(row)).decode()
    write = {"table": "servers", "part": "", "key": endpoint_id, "value": value}
    body = {"expected_rev": [], "writes": [write], "remove": []}
    conn = http.client.HTTPConnection(store, timeout=REGISTER_SECONDS)
    conn.request("POST", "/api/rows-tx", orjson.dumps(body))
    status = conn.getresponse().status
    conn.close()
    if status != HTTPStatus.OK:
        print(f"endpoint: the store answered {status}", file=sys.stderr)
        sys.exit(1)


def store_main() -> None:
    """Run `flamingofront-standin-store`."""
    defopt.run(store)


def endpoint_main() -> None:
    """Run `flamingofront-standin-endpoint`."""
    defopt.run(endpoint)


def platform_main() -> None:
    """Run `flamingofront-standin-platform`."""
    defopt.run(platform)


def engine_main() -> None:
    """Run `flamingofront-standin-engine`."""
    defopt.run(engine)


def plain_main() -> None:
    """Run `flamingofront-standin-plain`."""
    defopt.run(plain)
