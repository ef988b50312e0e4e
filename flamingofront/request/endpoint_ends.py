"""Endpoints that ended while requests ran there: the end itself, apart from a broken connection.

A connection that breaks says little: the endpoint may have lost one answer, or reset one connection
of many. It has ended if nothing more comes from it and no process listens there any more, or if its
row goes without notice. An endpoint that had announced its leaving ends for its own reason.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from flamingofront.connection.interfaces import Reach, Transport
from flamingofront.decisions.quarantine_facts import EndpointEnd
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.directory import EndpointDirectory

__all__ = ["CrashDetector"]

# As for any attempt: an endpoint in reach accepts within a few milliseconds.
PROBE_TIMEOUT_SECONDS = 0.25
# What an endpoint sent before its end may still be read for so long after the first connection
# broke: all that it held broke within 4 ms (241 connections of seven processes).
LAST_DATA_SECONDS = 0.01
SETTLE_DELAY_SECONDS = 0.02
# An endpoint that does not answer at all is asked again, until its row has had the time to lapse.
PROBE_RETRY_SECONDS = 1.0
MAX_PROBES = 6
# Connections that break so long after an endpoint's end were still part of it: what the system
# notices by silence takes two to three seconds.
CRASH_RETENTION_SECONDS = 3.0
# Requests that one line names.
MAX_LOGGED_REQUESTS = 16


@dataclass
class _CrashCheck:
    """An endpoint of which connections broke."""

    address: str
    zone: str
    at: float
    requests: set[str] = field(default_factory=set)
    probe_count: int = 0
    is_crashed: bool = False


class CrashDetector:
    """Tells endpoints that have ended from broken connections.

    Attributes
    ----------
    on_ended : callable
        Gets each `EndpointEnd`, with its time on the clock of the timer service. A second one of
        the same end names what was noticed later.
    on_unwitnessed : callable
        Gets each endpoint whose row went without notice while no request of this process was there.
    on_found : callable
        Gets each endpoint that this process found ended before its row went.
    """

    def __init__(
        self,
        transport: Transport,
        timers: TimerService,
        directory: EndpointDirectory,
        metrics: Metrics,
        log: Log,
    ):
        self._transport = transport
        self._timers = timers
        self._directory = directory
        self._metrics = metrics
        self._log = log
        self._checks: dict[str, _CrashCheck] = {}
        self.on_crash: Callable[[EndpointEnd], None] = lambda end: None
        self.on_unobserved_crash: Callable[[str], None] = lambda endpoint_id: None
        self.on_crash_found: Callable[[str], None] = lambda endpoint_id: None

    def record_connection_loss(self, endpoint_id: str, address: str, request: str) -> None:
        """Take note that the connection of a request to an endpoint broke after it was sent."""
        check = self._checks.get(endpoint_id)
        if check is not None:
            if request not in check.requests:
                check.requests.add(request)
                if check.is_crashed:
                    self._notify_crash(endpoint_id, check, frozenset((request,)))
            return
        if self._directory.is_unavailable(endpoint_id):
            return
        zone = self._directory.zone_of(endpoint_id)
        check = _CrashCheck(address, zone, self._timers.now(), {request})
        self._checks[endpoint_id] = check
        self._send_probe(endpoint_id, check)

    def record_row_removal(self, endpoint_id: str, announced: bool = False) -> None:
        """Take note that an endpoint's row went.

        Parameters
        ----------
        announced : bool
            True if it had said before that it leaves.
        """
        check = self._checks.get(endpoint_id)
        if check is None and not announced:
            self.on_unobserved_crash(endpoint_id)
        elif check is not None and not check.is_crashed:
            self._declare_crash(endpoint_id, check)

    def confirm_crash(self, endpoint_id: str, on_confirmed: Callable[[], None]) -> None:
        """Call `on_confirmed` unless the endpoint still listens."""
        address = self._directory.address_of(endpoint_id)
        if not address:
            on_confirmed()
            return
        self._metrics.count("endpoint_probes_total")
        self._transport.probe(
            address,
            PROBE_TIMEOUT_SECONDS,
            lambda reach: self._on_confirmation_probe(endpoint_id, reach, on_confirmed),
        )

    def _on_confirmation_probe(
        self, endpoint_id: str, reach: Reach, on_confirmed: Callable[[], None]
    ) -> None:
        if reach is Reach.CONNECTED and not self._directory.is_replaced(endpoint_id):
            self._log.info("endpoint leaves without notice", endpoint=endpoint_id)
        else:
            on_confirmed()

    def zone_of(self, endpoint_id: str) -> str:
        """Return the availability zone of an endpoint; empty if it is not known."""
        return self._directory.zone_of(endpoint_id)

    def record_closed_port(self, endpoint_id: str) -> None:
        """Take note that no process listens at the address of an endpoint, whatever ran there."""
        if endpoint_id in self._checks or self._directory.is_leaving(endpoint_id):
            return
        self._directory.record_connect_failure(endpoint_id, self._timers.now(), is_refused=True)
        self.on_crash_found(endpoint_id)

    def record_restart(self, endpoint_id: str, requests: frozenset[str]) -> None:
        """Take note that an endpoint has started again while requests were there."""
        check = self._checks.get(endpoint_id)
        if check is None:
            zone = self._directory.zone_of(endpoint_id)
            check = self._checks[endpoint_id] = _CrashCheck("", zone, self._timers.now())
        added = requests - check.requests
        check.requests |= added
        if not check.is_crashed:
            self._declare_crash(endpoint_id, check)
        elif added:
            self._notify_crash(endpoint_id, check, added)

    def _send_probe(self, endpoint_id: str, check: _CrashCheck) -> None:
        if self._checks.get(endpoint_id) is not check or check.is_crashed:
            return
        check.probe_count += 1
        self._metrics.count("endpoint_probes_total")
        self._transport.probe(
            check.address,
            PROBE_TIMEOUT_SECONDS,
            lambda reach: self._on_probe_result(endpoint_id, check, reach),
        )

    def _on_probe_result(self, endpoint_id: str, check: _CrashCheck, reach: Reach) -> None:
        if self._checks.get(endpoint_id) is not check or check.is_crashed:
            return
        if reach is Reach.REFUSED:
            self._timers.once(
                SETTLE_DELAY_SECONDS, lambda: self._conclude_check(endpoint_id, check)
            )
        elif reach is Reach.UNANSWERED and check.probe_count < MAX_PROBES:
            self._timers.once(PROBE_RETRY_SECONDS, lambda: self._send_probe(endpoint_id, check))
        else:
            del self._checks[endpoint_id]

    def _conclude_check(self, endpoint_id: str, check: _CrashCheck) -> None:
        """Take an endpoint for ended that refuses connections, unless it still sends."""
        if self._checks.get(endpoint_id) is not check or check.is_crashed:
            return
        if self._directory.last_contact_at(endpoint_id) > check.at + LAST_DATA_SECONDS:
            del self._checks[endpoint_id]
        else:
            self._declare_crash(endpoint_id, check)

    def _declare_crash(self, endpoint_id: str, check: _CrashCheck) -> None:
        check.is_crashed = True
        self._timers.once(CRASH_RETENTION_SECONDS, lambda: self._checks.pop(endpoint_id, None))
        self._metrics.count("endpoint_ends_total")
        self._log.warning(
            "endpoint ended",
            endpoint=endpoint_id,
            zone_of_endpoint=check.zone,
            ago=round(self._timers.now() - check.at, 3),
            running=len(check.requests),
            work=sorted(check.requests)[:MAX_LOGGED_REQUESTS],
        )
        self._notify_crash(endpoint_id, check, frozenset(check.requests))

    def _notify_crash(self, endpoint_id: str, check: _CrashCheck, requests: frozenset[str]) -> None:
        self.on_crash(EndpointEnd(endpoint_id, check.zone, check.at, tuple(sorted(requests))))
