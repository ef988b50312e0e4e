"""The stand-ins as programs, for development on one machine."""

import sys
from collections.abc import Callable

import defopt

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer
from flamingofront.messages import InboundRequest
from flamingofront.process.settings import parse_address
from flamingofront.standins.engine import EngineOptions, EngineStandIn
from flamingofront.standins.plain import PlainStandIn
from flamingofront.standins.platform import PlatformStandIn

__all__ = ["engine_main", "plain_main", "platform_main"]

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


def platform_main() -> None:
    """Run `flamingofront-standin-platform`."""
    defopt.run(platform)


def engine_main() -> None:
    """Run `flamingofront-standin-engine`."""
    defopt.run(engine)


def plain_main() -> None:
    """Run `flamingofront-standin-plain`."""
    defopt.run(plain)
