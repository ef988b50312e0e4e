"""Endpoints that ended while requests ran there: the end itself, apart from a broken connection.

A connection that breaks says little: the endpoint may have lost one answer, or reset one connection
of many. It has ended if nothing more comes from it and no process listens there any more, or if its
row goes without notice. An endpoint that had announced its leaving ends for its own reason.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from flamingofront.connection.interfaces import Reach, Transport
from flamingofront.decisions.quarantine_facts import EndpointCrash
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.directory import EndpointDirectory

__all__ = ["CrashDetector"]

# As for any attempt: an endpoint in reach accepts within a few milliseconds.
PROBE_SECONDS = 0.25
# What an endpoint sent before its end may still be read for so long after the first connection
# broke: all that it held broke within 4 ms (241 connections of seven processes).
LAST_BYTES_SECONDS = 0.01
SETTLE_SECONDS = 0.02
# An endpoint that does not answer at all is asked again, until its row has had the time to lapse.
UNANSWERED_PAUSE_SECONDS = 1.0
MAX_PROBES = 6
# Connections that break so long after an endpoint's end were still part of it: what the system
# notices by silence takes two to three seconds.
LATE_SECONDS = 3.0
# Requests that one line names.
MAX_NAMED = 16


@dataclass
class _Doubt:
    """An endpoint of which connections broke."""

    address: str
    zone: str
    at: float
    requests: set[str] = field(default_factory=set)
    probes: int = 0
    ended: bool = False


class CrashDetector:
    """Tells endpoints that have ended from broken connections.

    Attributes
    ----------
    on_ended : callable
        Gets each `EndpointCrash`, with its time on the clock of the timer service. A second one of
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
        self._doubts: dict[str, _Doubt] = {}
        self.on_ended: Callable[[EndpointCrash], None] = lambda end: None
        self.on_unobserved_crash: Callable[[str], None] = lambda endpoint_id: None
        self.on_crash_found: Callable[[str], None] = lambda endpoint_id: None

    def broke(self, endpoint_id: str, address: str, request: str) -> None:
        """Take note that the connection of a request to an endpoint broke after it was sent."""
        doubt = self._doubts.get(endpoint_id)
        if doubt is not None:
            if request not in doubt.requests:
                doubt.requests.add(request)
                if doubt.ended:
                    self._tell(endpoint_id, doubt, frozenset((request,)))
            return
        if self._directory.is_unavailable(endpoint_id):
            return
        zone = self._directory.zone_of(endpoint_id)
        doubt = _Doubt(address, zone, self._timers.now(), {request})
        self._doubts[endpoint_id] = doubt
        self._probe(endpoint_id, doubt)

    def gone(self, endpoint_id: str, announced: bool = False) -> None:
        """Take note that an endpoint's row went.

        Parameters
        ----------
        announced : bool
            True if it had said before that it leaves.
        """
        doubt = self._doubts.get(endpoint_id)
        if doubt is None and not announced:
            self.on_unobserved_crash(endpoint_id)
        elif doubt is not None and not doubt.ended:
            self._ended(endpoint_id, doubt)

    def confirm(self, endpoint_id: str, then: Callable[[], None]) -> None:
        """Call `then` unless an endpoint whose row went without notice still listens: it leaves."""
        address = self._directory.address_of(endpoint_id)
        if not address:
            then()
            return
        self._metrics.count("endpoint_probes_total")
        self._transport.probe(
            address, PROBE_SECONDS, lambda reach: self._confirmed(endpoint_id, reach, then)
        )

    def _confirmed(self, endpoint_id: str, reach: Reach, then: Callable[[], None]) -> None:
        if reach is Reach.CONNECTED and not self._directory.is_replaced(endpoint_id):
            self._log.info("endpoint leaves without notice", endpoint=endpoint_id)
        else:
            then()

    def zone_of(self, endpoint_id: str) -> str:
        """Return the availability zone of an endpoint; empty if it is not known."""
        return self._directory.zone_of(endpoint_id)

    def found_ended(self, endpoint_id: str) -> None:
        """Take note that no process listens at the address of an endpoint, whatever ran there."""
        if endpoint_id in self._doubts or self._directory.is_leaving(endpoint_id):
            return
        self._directory.record_connect_failure(endpoint_id, self._timers.now(), refused=True)
        self.on_crash_found(endpoint_id)

    def restarted(self, endpoint_id: str, requests: frozenset[str]) -> None:
        """Take note that an endpoint has started again while requests were there."""
        doubt = self._doubts.get(endpoint_id)
        if doubt is None:
            zone = self._directory.zone_of(endpoint_id)
            doubt = self._doubts[endpoint_id] = _Doubt("", zone, self._timers.now())
        added = requests - doubt.requests
        doubt.requests |= added
        if not doubt.ended:
            self._ended(endpoint_id, doubt)
        elif added:
            self._tell(endpoint_id, doubt, added)

    def _probe(self, endpoint_id: str, doubt: _Doubt) -> None:
        if self._doubts.get(endpoint_id) is not doubt or doubt.ended:
            return
        doubt.probes += 1
        self._metrics.count("endpoint_probes_total")
        self._transport.probe(
            doubt.address, PROBE_SECONDS, lambda reach: self._probed(endpoint_id, doubt, reach)
        )

    def _probed(self, endpoint_id: str, doubt: _Doubt, reach: Reach) -> None:
        if self._doubts.get(endpoint_id) is not doubt or doubt.ended:
            return
        if reach is Reach.REFUSED:
            self._timers.once(SETTLE_SECONDS, lambda: self._settle(endpoint_id, doubt))
        elif reach is Reach.UNANSWERED and doubt.probes < MAX_PROBES:
            self._timers.once(UNANSWERED_PAUSE_SECONDS, lambda: self._probe(endpoint_id, doubt))
        else:
            del self._doubts[endpoint_id]

    def _settle(self, endpoint_id: str, doubt: _Doubt) -> None:
        """Take an endpoint for ended that refuses connections, unless it still sends."""
        if self._doubts.get(endpoint_id) is not doubt or doubt.ended:
            return
        if self._directory.last_contact_at(endpoint_id) > doubt.at + LAST_BYTES_SECONDS:
            del self._doubts[endpoint_id]
        else:
            self._ended(endpoint_id, doubt)

    def _ended(self, endpoint_id: str, doubt: _Doubt) -> None:
        doubt.ended = True
        self._timers.once(LATE_SECONDS, lambda: self._doubts.pop(endpoint_id, None))
        self._metrics.count("endpoint_ends_total")
        self._log.warning(
            "endpoint ended",
            endpoint=endpoint_id,
            zone_of_endpoint=doubt.zone,
            ago=round(self._timers.now() - doubt.at, 3),
            running=len(doubt.requests),
            work=sorted(doubt.requests)[:MAX_NAMED],
        )
        self._tell(endpoint_id, doubt, frozenset(doubt.requests))

    def _tell(self, endpoint_id: str, doubt: _Doubt, requests: frozenset[str]) -> None:
        self.on_ended(EndpointCrash(endpoint_id, doubt.zone, doubt.at, tuple(sorted(requests))))
