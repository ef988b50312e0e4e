"""`flamingofront-forward`: the entry process on the users' platform."""

# First, since SIGHUP would end the process while the other modules are imported.
from flamingofront.process.early_signals import was_reload_requested

# isort: split
import gc
import os
import random
import signal
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import defopt

from flamingofront.connection.client import HTTPClient
from flamingofront.connection.datagrams import DatagramSocket
from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer, ServerLimits
from flamingofront.decisions.accept_control import AcceptControl
from flamingofront.decisions.splice_choice import SplicePeers
from flamingofront.errors import RequestError, SettingsError
from flamingofront.messages import InboundRequest
from flamingofront.platform.cloud import PlatformCloud
from flamingofront.platform.config import CONFIG_KEY, CONFIG_TABLE, decode_configuration
from flamingofront.platform.endpoints import ENDPOINT_TABLE, decode_endpoint
from flamingofront.platform.requests import PlatformProtocol
from flamingofront.platform.rollouts import ROLLOUT_ROWS
from flamingofront.platform.settings import SETTINGS_VARIABLE, get_settings_path, read_settings
from flamingofront.platform.store import PlatformTableStore
from flamingofront.process.allocator import return_large_blocks
from flamingofront.process.forwarding.knowledge import SharedTables
from flamingofront.process.forwarding.node import Dependencies, ForwardingNode
from flamingofront.process.forwarding.overload import ConnectionOverload
from flamingofront.process.forwarding.peers import classify_datagram
from flamingofront.process.forwarding.proxy import render_peer_error
from flamingofront.process.forwarding.settings import DeploymentSettings
from flamingofront.process.forwarding.shutdown import GracefulShutdown
from flamingofront.process.logs import Log, NonBlockingStream, set_up_logs
from flamingofront.process.memory import compute_connection_limits
from flamingofront.process.settings import Address
from flamingofront.version.forwarding import ForwardingConfiguration

__all__ = ["ForwardDaemon", "main"]

EXIT_BAD_SETTINGS = 2
# Many times the platform's usual response time of 4 ms, but short enough that one lost response
# does not use up a lease of 3 seconds.
PLATFORM_TIMEOUT_SECONDS = 1.0
METRICS_PORT = 9464
BODY_SECONDS = 10.0
WAITING_PERIOD_SECONDS = 1.0
# Size that the parameters of a proxied call add to a caller's request head, with its target twice.
PROXY_HEAD_BYTES = 16 * 1024
TABLES = SharedTables(
    CONFIG_TABLE, CONFIG_KEY, ENDPOINT_TABLE, decode_configuration, decode_endpoint, ROLLOUT_ROWS
)


@contextmanager
def _report_bind_error(name: str, bind: Address) -> Iterator[None]:
    """Name the address and its use if a socket cannot be bound.

    Raises
    ------
    SettingsError
        If another program listens there, or the VM does not have the address.
    """
    try:
        yield
    except OSError as exc:
        raise SettingsError(f"cannot listen on {bind} for {name}: {exc.strerror}") from exc


class ForwardDaemon:
    """A `ForwardingNode` connected to its sockets and timers.

    Parameters
    ----------
    settings : DeploymentSettings
        Validated settings.
    path : str
        Settings file, reloaded on SIGHUP.
    metrics_port : int
        Port for metrics on the VM's address; 0 lets the kernel choose one.
    """

    def __init__(self, settings: DeploymentSettings, path: str, metrics_port: int = METRICS_PORT):
        self._path = path
        self._settings = settings
        self._log = Log("entry", vm=settings.vm_id, zone=settings.zone)
        self.runtime = Runtime(self._handle_exception, self._handle_stop_signal)
        self._client = HTTPClient(self.runtime.timers).register(self.runtime)
        with _report_bind_error("datagrams", Address(settings.ip, settings.peer_port)):
            self._datagrams = DatagramSocket(
                (settings.ip, settings.peer_port),
                self._receive_datagram,
                self._handle_exception,
                classify_datagram,
            ).register(self.runtime)
        self._outdated: dict[str, int] = {}
        self.runtime.timers.every(WAITING_PERIOD_SECONDS, self._record_waiting, relaxed=True)
        self.node = ForwardingNode(settings, self._make_dependencies(), random.Random(), self._log)
        self.node.lease.is_stop_signalled = lambda: self.runtime.stop_signal_at is not None
        self.node.peers.seconds_unread = self._datagrams.seconds_unread
        self.node.on_configuration = self._apply_caller_limits
        self._client.max_idle = self.node.max_idle
        self.callers = self._make_server(settings.caller_bind, self.node.handle_caller, "callers")
        self._overload = ConnectionOverload(
            self.node,
            self.callers,
            self.runtime.timers,
            AcceptControl(random.Random()),
            SplicePeers(random.Random()),
        )
        self._overload.splicer.register(self.runtime)
        self.runtime.poller.on_turn = self._overload.record_turn
        self.spliced = self._make_server(
            Address(settings.ip, settings.peer_port), self._handle_spliced, "spliced"
        )
        # A caller that comes back for another request is to reach a process of its own.
        self.spliced.closing = True
        # Several are accepted in one turn of the event loop, as where some are refused.
        self.spliced.set_refusal(lambda waited: False)
        self._ready = self._make_server(settings.ready_bind, self.node.handle_ready, "ready")
        metrics = Address(settings.ip, metrics_port)
        self._metrics = self._make_server(metrics, self.node.handle_control, "metrics")
        servers = {
            "callers": self.callers,
            "spliced": self.spliced,
            "ready": self._ready,
            "metrics": self._metrics,
        }
        render_error = PlatformProtocol().render_error
        self._control: HTTPServer | None = None
        if settings.control_bind is not None:
            self._control = self._make_server(
                settings.control_bind, self.node.handle_control, "control"
            )
            self._control.render_error = lambda exc: render_peer_error(exc, render_error(exc))
            servers["control"] = self._control
        self._limit_connections()
        self._ports = {name: server.port for name, server in servers.items()}
        self._stop = GracefulShutdown(
            self.node,
            self.callers,
            settings.stop_grace,
            self.runtime.stop,
            self._reject_incomplete,
            self._count_spliced,
        )

    def _make_dependencies(self) -> Dependencies:
        settings = self._settings
        cloud = settings.cloud
        return Dependencies(
            self._client,
            self.runtime.timers,
            PlatformTableStore(str(settings.store), PLATFORM_TIMEOUT_SECONDS),
            PlatformCloud(str(cloud), PLATFORM_TIMEOUT_SECONDS) if cloud is not None else None,
            PlatformProtocol(),
            TABLES,
            self._datagrams.send,
            int(time.time() * 1000),
        )

    def _receive_datagram(self, data: bytes, ip: str) -> None:
        self.node.peers.receive_datagram(data, ip)

    def _record_waiting(self) -> None:
        """Count the datagrams that were not processed, and log how many wait."""
        inbox = self._datagrams.inbox
        counts = {"replaced": inbox.replaced, "dropped": inbox.dropped}
        news = {name: count - self._outdated.get(name, 0) for name, count in counts.items()}
        self._outdated = counts
        for name, count in news.items():
            if count:
                self.node.metrics.count("peer_datagrams_outdated_total", count, reason=name)
        if any(news.values()):
            self._log.warning(
                "datagrams outdated before they were read", waiting=len(inbox), **news
            )

    def _make_server(self, bind: Address, handler, channel: str) -> HTTPServer:
        with _report_bind_error(channel, bind):
            return HTTPServer(
                (bind.host, bind.port),
                handler,
                self.runtime.timers,
                ServerLimits(),
                self._record_rejection,
                self._handle_exception,
                channel=channel,
                render_error=PlatformProtocol().render_error,
                memory=self.node.memory,
            ).register(self.runtime)

    def _limit_connections(self) -> None:
        """Divide the descriptors of this process among its servers."""
        limits = compute_connection_limits(self._settings.resources.descriptors)
        self.callers.limit_connections(limits.callers)
        self.spliced.limit_connections(limits.spliced)
        self._ready.limit_connections(limits.probes)
        self._metrics.limit_connections(limits.probes)
        if self._control is not None:
            self._control.limit_connections(limits.control)
        self._overload.splicer.max_open = limits.handed_over

    def _apply_caller_limits(self, cfg: ForwardingConfiguration) -> None:
        """Apply the caller limits of a newly activated configuration."""
        limits = cfg.limits
        self.callers.limits = self.spliced.limits = ServerLimits(
            max_body=limits.max_body,
            request_timeout=limits.head_timeout,
            idle_timeout=limits.idle_timeout,
            max_head=limits.max_head,
        )
        if self._control is not None:
            # Peers send whole requests of callers to the proxy.
            default = ServerLimits()
            self._control.limits = replace(
                default,
                max_body=max(default.max_body, limits.max_body),
                max_head=max(default.max_head, limits.max_head + PROXY_HEAD_BYTES),
            )

    def _handle_spliced(self, req: InboundRequest, exchange: Exchange) -> None:
        """Handle a request on a connection that a peer handed over."""
        self.node.metrics.count("connections_spliced_total", role="receiver")
        self.node.handle_caller(req, exchange)

    def _reject_incomplete(self, exc: RequestError) -> int:
        """Reject the requests that have not been received completely; return their number."""
        return self.callers.reject_incomplete(exc) + self.spliced.reject_incomplete(exc)

    def _count_spliced(self) -> int:
        """Return the number of connections with a request that peers serve, or this one for them.

        Notes
        -----
        The others are closed: this process is shutting down.
        """
        self._overload.splicer.close_idle()
        self.spliced.close_idle()
        return self._overload.splicer.count_open() + self.spliced.connections

    def _handle_exception(self, exc: BaseException) -> None:
        self.node.fault(exc)

    def _record_rejection(self, kind) -> None:
        self.node.gateway.record_rejection(RequestError(kind))

    def _handle_stop_signal(self) -> None:
        # The settings file may have changed without a signal, and the time until the kill with it.
        self._reload_settings()
        self._stop.begin(self.runtime.stop_signal_at)

    def _handle_reload_signal(self, signo, frame) -> None:
        self.runtime.timers.once(0.0, self._reload_settings)
        self.runtime.poller.resume()

    def _reload_settings(self) -> None:
        """Reload the settings file; an invalid file is logged and changes nothing."""
        try:
            settings = read_settings(self._path)
        except SettingsError as exc:
            self._log.error("settings rejected", detail=str(exc))
            return
        changed = settings != self._settings
        self._log.info("settings reloaded", changed=changed)
        if changed:
            self._settings = settings
            self.node.settings = settings
            self._stop.set_grace(settings.stop_grace)
            self.node.apply_memory_limit()
            self._limit_connections()

    def run(self) -> None:
        """Serve until a graceful shutdown is complete."""
        signal.signal(signal.SIGHUP, self._handle_reload_signal)
        if was_reload_requested():
            self.runtime.timers.once(0.0, self._reload_settings)
        self._log.info("listening", ip=self._settings.ip, ports=self._ports)
        self.node.start()
        # Modules and settings stay until the end: a full collection would look at them each time.
        gc.freeze()
        self.runtime.run()
        self._log.info("stopped")


def forward(*, log_level: str = "info", metrics_port: int = METRICS_PORT) -> None:
    """Forward requests on the routes of the platform's configuration.

    The environment variable FLAMINGOFRONT_BOOT holds the path of the settings file.

    :param log_level: debug, info, warning or error
    :param metrics_port: port for metrics on the VM's address, 0 to let the kernel choose one
    """
    return_large_blocks()
    set_up_logs(log_level, NonBlockingStream(sys.stdout.fileno()))
    path = get_settings_path(os.environ) or None
    try:
        if path is None:
            raise SettingsError(
                f"{SETTINGS_VARIABLE} is not set: expected the path of the settings file"
            )
        daemon = ForwardDaemon(read_settings(path), path, metrics_port)
    except SettingsError as exc:
        print(f"flamingofront-forward: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    daemon.run()


def main() -> None:
    """Run the command line."""
    defopt.run(forward, cli_options="all")


if __name__ == "__main__":
    main()
