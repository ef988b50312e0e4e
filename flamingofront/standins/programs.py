"""Commands that run the stand-ins, for development on one machine."""

import base64
import http.client
import os
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
from flamingofront.standins.forward_endpoint import (
    CrashAnswer,
    ForwardEndpointStandIn,
    ForwardFault,
    list_shared_parts,
)
from flamingofront.standins.plain import PlainStandIn
from flamingofront.standins.platform import PlatformStandIn
from flamingofront.standins.table_store import TableStoreStandIn

__all__ = ["endpoint_main", "engine_main", "plain_main", "platform_main", "store_main"]

REGISTER_TIMEOUT_SECONDS = 10.0

Handler = Callable[[InboundRequest, Exchange], None]


def _serve(name: str, bind: str, make_handler: Callable[[Runtime], Handler]) -> None:
    """Serve on an address until the process is stopped; exit with code 2 if it is malformed."""
    try:
        address = parse_address(bind)
    except ValueError as exc:
        print(f"{name}: --bind: got {bind!r}, {exc}", file=sys.stderr)
        sys.exit(2)

    def print_exception(exc: BaseException) -> None:
        print(f"{name}: {exc!r}", file=sys.stderr)

    runtime = Runtime(print_exception)
    handler = make_handler(runtime)
    server = HTTPServer(
        (address.host, address.port), handler, runtime.timers, on_fault=print_exception
    )
    server.register(runtime)
    print(f"{name} listening on {address.host}:{server.port}", flush=True)
    runtime.run()


def platform(*, bind: str = "127.0.0.1:8100", list_lag: float = 1.0) -> None:
    """Serve the platform's table store, object store, VM list and reclaim notices.

    :param bind: IP:PORT to listen on
    :param list_lag: seconds until the VM list shows a change
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
    :param model: name of the loaded model
    :param step_seconds: duration of one decoding step
    :param check_fencing: reject orders with an outdated fencing token
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
    :param work_seconds: duration of a call
    """
    _serve(
        "plain",
        bind,
        lambda runtime: PlainStandIn(endpoint_id, runtime.timers, work_seconds).handle,
    )


def store(*, bind: str = "127.0.0.1:8225", config: str = "") -> None:
    """Serve the users' platform: its table store, object store and cloud API.

    :param bind: IP:PORT to listen on
    :param config: JSON file with the operator's configuration document
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
    software: str = "v1",
    events: int = 8,
    cut: float = 0.0,
    crash_part: str = "",
    crash_events: int = 0,
    advertise: str = "",
) -> None:
    """Serve forwarded requests as an endpoint that registers itself in the store.

    :param bind: IP:PORT to listen on
    :param store: IP:PORT of the store
    :param endpoint_id: id of this process of the endpoint
    :param service: name of the service
    :param zone: availability zone
    :param slots: requests that run concurrently
    :param gap: seconds between the events of a stream
    :param rate_limit: advertised limit in requests per second from all entry processes together
    :param leaving: state in each response that the endpoint is draining, whatever its row says
    :param reject: fraction of the requests that are rejected with a Retry-After header
    :param retry_after: value of the Retry-After header in seconds
    :param log_arrivals: print a line for each request with its arrival time, whether it was
        rejected, and its id
    :param software: software version in the row
    :param events: number of events in a stream
    :param cut: fraction of the streams that break off in the middle of an event
    :param crash_part: exit when a request with this part in its prompt, but last, begins to run
    :param crash_events: events of its answer that are sent before the exit
    :param advertise: IP:PORT in the row, if a relay listens there for the endpoint
    """
    row = {
        "service": service,
        "address": advertise or bind,
        "zone": zone,
        "version": software,
        "slots": slots,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
    }
    _register_endpoint(store, endpoint_id, row)

    def make_handler(runtime: Runtime) -> Handler:
        standin = ForwardEndpointStandIn(endpoint_id, runtime.timers, events, gap)
        standin.rate_limit = rate_limit or None
        standin.leaving, standin.retry_after = leaving, retry_after
        if crash_part:
            standin.crashes_on = lambda req: crash_part in list_shared_parts(req)
            if crash_events:
                standin.crash_answer = CrashAnswer.EVENTS
                standin.events_before_crash = crash_events
            standin.on_crash = lambda req: os._exit(1)
        rng = random.Random(endpoint_id)

        def handle(req: InboundRequest, exchange: Exchange) -> None:
            is_rejected, is_cut = rng.random() < reject, rng.random() < cut
            fault = ForwardFault.CUT if is_cut else ForwardFault.NONE
            standin.inject_fault(ForwardFault.REJECT if is_rejected else fault)
            if log_arrivals:
                result = "refused" if is_rejected else "taken"
                request_id = req.header("x-flamingofront-request-id")
                print(f"arrival {runtime.timers.now():.3f} {result} {request_id}", flush=True)
            standin.handle(req, exchange)

        return handle

    _serve("endpoint", bind, make_handler)


def _register_endpoint(store: str, endpoint_id: str, row: dict) -> None:
    """Write the endpoint's row to the table store; exit with code 1 if the store rejects it."""
    value = base64.b64encode(orjson.dumps(row)).decode()
    write = {"table": "servers", "part": "", "key": endpoint_id, "value": value}
    body = {"expected_rev": [], "writes": [write], "remove": []}
    conn = http.client.HTTPConnection(store, timeout=REGISTER_TIMEOUT_SECONDS)
    conn.request("POST", "/api/rows-tx", orjson.dumps(body))
    status = conn.getresponse().status
    conn.close()
    if status != HTTPStatus.OK:
        print(
            f"endpoint: registration failed: the store responded with status {status}",
            file=sys.stderr,
        )
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
