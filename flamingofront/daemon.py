"""`flamingofront-entry`: the process of an entry VM."""

import os
import random
import sys
import time
from collections.abc import Callable

import defopt
import orjson

from flamingofront.connection.client import HTTPClient
from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer, ServerLimits
from flamingofront.errors import SettingsError
from flamingofront.platform.objects import PlatformObjectStore
from flamingofront.platform.store import PlatformTableStore
from flamingofront.process.documents import DocumentStore
from flamingofront.process.logs import Log, set_up_logs
from flamingofront.process.node import EntryNode
from flamingofront.process.settings import EntrySettings, resolve_settings
from flamingofront.process.store_eras import EraStore

__all__ = ["EntryDaemon", "open_document_store", "main"]

EXIT_BAD_SETTINGS = 2
CONTROL_MAX_BODY = 32 * 1024 * 1024


class EntryDaemon:
    """An `EntryNode` with its sockets.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    """

    def __init__(self, settings: EntrySettings):
        log = Log("entry", vm=settings.vm_id, zone=settings.zone)
        self._log = log
        self._settings = settings
        self.runtime = Runtime(self._fault, self._stop_signal)
        client = HTTPClient(self.runtime.timers).register(self.runtime)
        self.node = EntryNode(
            settings,
            open_document_store(
                str(settings.platform), settings.platform_timeout, self.runtime.timers.now, log
            ),
            client,
            self.runtime.timers,
            random.Random(),
            _incarnation(),
            log,
            on_exit=self.runtime.stop,
        )
        self.callers = HTTPServer(
            (settings.caller_bind.host, settings.caller_bind.port),
            self.node.handle_caller,
            self.runtime.timers,
            ServerLimits(max_body=settings.max_body),
            self._refused,
            self._fault,
            channel="callers",
        ).register(self.runtime)
        self.control = HTTPServer(
            (settings.control_bind.host, settings.control_bind.port),
            self.node.handle_control,
            self.runtime.timers,
            ServerLimits(max_body=CONTROL_MAX_BODY),
            self._refused,
            self._fault,
            channel="control",
        ).register(self.runtime)

    def _fault(self, exc: BaseException) -> None:
        self._log.error("fault", exc=exc)
        self.node.metrics.count("faults_total")

    def _refused(self, kind) -> None:
        self.node.metrics.count("refusals_total", kind=kind.value)

    def _stop_signal(self) -> None:
        self.node.shut_down()

    def run(self) -> None:
        """Serve until a graceful shutdown is complete.

        Notes
        -----
        The first line on standard output names the addresses, for ports that the kernel picked.
        """
        addresses = {
            "callers": f"{self._settings.caller_bind.host}:{self.callers.port}",
            "control": f"{self._settings.control_bind.host}:{self.control.port}",
        }
        print(orjson.dumps(addresses).decode(), flush=True)
        if self._settings.advertise is None:
            self.node.advertise(addresses["control"])
        self.node.start()
        self.runtime.run()


def open_document_store(
    address: str, timeout: float, now: Callable[[], float], log: Log
) -> DocumentStore:
    """Return the documents in the platform's store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    timeout : float
        Seconds to wait for an answer.
    now : callable
        Time of the timer service.
    """
    tables = EraStore(PlatformTableStore(address, timeout), log)
    return DocumentStore(tables, PlatformObjectStore(address, timeout), now)


def _incarnation() -> int:
    """Return the start of this process, in milliseconds since the epoch.

    Notes
    -----
    The wall clock is used here alone: the number must grow from one process to the next on a VM.
    """
    return int(time.time() * 1000)


def entry(
    *,
    vm_id: str | None = None,
    zone: str | None = None,
    platform: str | None = None,
    caller_bind: str | None = None,
    control_bind: str | None = None,
    advertise: str | None = None,
    peers: str | None = None,
    control_token: str | None = None,
    gossip_period: str | None = None,
    list_period: str | None = None,
    load_period: str | None = None,
    platform_timeout: str | None = None,
    lease_duration: str | None = None,
    drain_timeout: str | None = None,
    reattach_grace: str | None = None,
    answer_retention: str | None = None,
    default_deadline: str | None = None,
    max_body: str | None = None,
    log_level: str | None = None,
) -> None:
    """Serve requests on an entry VM.

    Each flag can also be given as an environment variable: ``FLAMINGOFRONT_`` and the flag's name
    in capitals, with '_' for '-'. Flags go first. Times are in seconds, sizes in bytes.

    :param vm_id: the platform's id of this VM (required)
    :param zone: availability zone of this VM (required)
    :param platform: IP:PORT of the platform's services (required)
    :param caller_bind: IP:PORT for callers, default 127.0.0.1:8080
    :param control_bind: IP:PORT for peers, operators and metrics, default 127.0.0.1:8090
    :param advertise: control IP:PORT told to peers, default the control bind
    :param peers: control IP:PORT,IP:PORT of entry VMs to ask first
    :param control_token: token that peers and operators must send
    :param gossip_period: between two digest exchanges, default 1
    :param list_period: between two reads of the VM list, default 2
    :param load_period: between two load reports, default 1
    :param platform_timeout: wait for one platform answer, default 2
    :param lease_duration: duration of a lease, default 6
    :param drain_timeout: graceful shutdown before hand-over, default 20
    :param reattach_grace: an event stream goes on without its caller, default 5
    :param answer_retention: a finished answer is kept for re-attachment, default 300
    :param default_deadline: if the caller names none, default 120
    :param max_body: largest request body, default 8388608
    :param log_level: debug, info, warning or error, default info
    """
    flags = {name: value for name, value in locals().items() if value is not None}
    try:
        settings = resolve_settings(flags, os.environ)
    except SettingsError as exc:
        print(f"flamingofront-entry: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    set_up_logs(settings.log_level)
    EntryDaemon(settings).run()


def main() -> None:
    """Run the command line."""
    defopt.run(entry, cli_options="all")


if __name__ == "__main__":
    main()
