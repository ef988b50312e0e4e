"""Detection of endpoints that crash while they run requests.

A lost connection alone does not show a crash: the endpoint may have failed to send one response or
reset one of many connections. It has crashed if it sends no more data and no process listens at its
address shortly after, or if its row is deleted without notice. An endpoint that announced its
shutdown does not count as crashed.

Attempts that were abandoned leave no connection that could be lost. Silent endpoints at which there
are such attempts are therefore probed, and each crash is attributed to them too.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from flamingofront.connection.interfaces import ConnectResult, Transport
from flamingofront.decisions.part_facts import InterruptedRequest
from flamingofront.decisions.quarantine_facts import EndpointCrash
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.abandoned_attempts import (
    RETENTION_SECONDS,
    AbandonedAttempt,
    AbandonedAttempts,
)
from flamingofront.request.directory import EndpointDirectory

__all__ = ["CrashDetector"]

Interrupted = tuple[InterruptedRequest, ...]

# The connect timeout of attempts; a reachable endpoint accepts within a few milliseconds.
PROBE_TIMEOUT_SECONDS = 0.25
# Data sent before a crash may still be read this long after the first connection is lost. In a
# crash, all connections were lost within 4 ms (241 connections of seven processes).
LAST_DATA_SECONDS = 0.01
SETTLE_DELAY_SECONDS = 0.02
# The kernel closes the connections of a process that ends before its listening sockets. An endpoint
# that accepts a probe is probed again so long after the last lost connection.
CONFIRM_SECONDS = (0.03, 0.1, 0.25)
# Times after an attempt was abandoned at which its endpoint is probed if it has been silent.
ABANDONED_CHECK_SECONDS = (0.25, 1.0, 2.0)
# The same for an attempt that is in flight.
UNANSWERED_CHECK_SECONDS = (0.5, 1.0, 2.0)
SILENCE_SECONDS = 0.2
# Streams send data every 20 to 300 ms.
SILENT_STREAM_SECONDS = 0.4
# Probes that get no reply are repeated until the row of the endpoint has had time to expire.
PROBE_RETRY_SECONDS = 1.0
MAX_PROBES = 6
# Connections lost up to this long after a crash still belong to it, because detection by timeout
# takes two to three seconds.
CRASH_RETENTION_SECONDS = 3.0
# A crash may come so long after an attempt was abandoned at the endpoint.
ABANDONED_SECONDS = 2.0
MAX_LOGGED_REQUESTS = 16
MAX_LOGGED_PARTS = 16


@dataclass
class _CrashCheck:
    """Check whether an endpoint has crashed, started by the loss of a connection.

    Parameters
    ----------
    lost_at, last_lost_at : float
        Times of the first and the last lost connection, on the clock of the timer service.
    requests : dict of str to InterruptedRequest
        Requests whose connections were lost, by fingerprint.
    probe_count : int
        Number of probes sent.
    probed_at : float
        Time of the last probe.
    has_abandoned : bool
        True if some of the requests were abandoned, so that others may be missing.
    has_late_data : bool
        True if the endpoint sent data after it had refused a probe.
    """

    address: str
    zone: str
    lost_at: float
    last_lost_at: float
    requests: dict[str, InterruptedRequest] = field(default_factory=dict)
    probe_count: int = 0
    probed_at: float = 0.0
    is_crashed: bool = False
    has_abandoned: bool = False
    has_late_data: bool = False


class CrashDetector:
    """Distinguishes crashed endpoints from lost connections.

    Attributes
    ----------
    on_crash : callable
        Called with each `EndpointCrash`, with its time on the clock of the timer service, and a
        tuple of the `InterruptedRequest` objects. Another call for the same crash has the requests
        whose lost connections were detected later.
    on_uncertain_crash : callable
        Called like `on_crash` for an endpoint that has probably crashed: it refuses a probe while
        the paths of this VM are not known to work, it accepts connections and does not respond, or
        no process reaches it.
    on_unobserved_crash : callable
        Called with each endpoint whose row was deleted without notice while this process had no
        request there.
    on_crash_found : callable
        Called with each endpoint that this process finds crashed before its row is deleted.
    on_refused : callable
        Called with each endpoint that refuses a probe.
    ask_peer : callable
        Asks a peer whether it reaches an endpoint; calls back with the answer, None if no peer
        knows. Without peers it calls back with False.
    is_path_lost : callable
        Returns True if the direct path to an endpoint is or may be lost, so that probes do not show
        whether it has crashed.
    probe_response : callable
        Sends an endpoint a request for its state, and calls back with True if it responds.
    has_unproven_part : callable
        Returns True if a part of a request's prompt is not known to be harmless, so that it matters
        whether an endpoint crashes under the request.
    list_running : callable
        Returns the requests of this process that are in flight at an endpoint.
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
        self._abandoned = AbandonedAttempts()
        self.on_crash: Callable[[EndpointCrash, Interrupted], None] = lambda crash, requests: None
        self.on_uncertain_crash: Callable[[EndpointCrash, Interrupted], None] = (
            lambda crash, requests: None
        )
        self.on_unobserved_crash: Callable[[str], None] = lambda endpoint_id: None
        self.on_crash_found: Callable[[str], None] = lambda endpoint_id: None
        self.on_refused: Callable[[str], None] = lambda endpoint_id: None
        self.ask_peer: Callable[[str, Callable[[bool | None], None]], None] = (
            lambda endpoint_id, on_answer: on_answer(False)
        )
        self.is_path_lost: Callable[[str], bool] = lambda endpoint_id: False
        self.probe_response: Callable[[str, Callable[[bool], None]], None] = (
            lambda endpoint_id, on_result: on_result(True)
        )
        self.has_unproven_part: Callable[[InterruptedRequest], bool] = lambda request: False
        self.list_running: Callable[[str], Interrupted] = lambda endpoint_id: ()
        # Times of the crashes of the last seconds, however they became known.
        self._crashed_at: dict[str, float] = {}

    def record_connection_loss(
        self, endpoint_id: str, address: str, request: InterruptedRequest
    ) -> None:
        """Record that the connection of a request that was sent to an endpoint was lost."""
        check = self._checks.get(endpoint_id)
        if check is not None:
            check.last_lost_at = self._timers.now()
            if request.fingerprint not in check.requests:
                check.requests[request.fingerprint] = request
                if check.is_crashed:
                    self._notify_crash(endpoint_id, check, (request,))
            return
        crashed_at = self._crashed_at.get(endpoint_id)
        if crashed_at is not None and self._timers.now() - crashed_at <= CRASH_RETENTION_SECONDS:
            self._attribute(endpoint_id, crashed_at, (request,))
            return
        if self._directory.is_unavailable(endpoint_id):
            return
        zone, now = self._directory.zone_of(endpoint_id), self._timers.now()
        check = _CrashCheck(address, zone, now, now, {request.fingerprint: request})
        self._checks[endpoint_id] = check
        self._send_probe(endpoint_id, check)

    def record_abandoned_attempt(self, endpoint_id: str, request: InterruptedRequest) -> None:
        """Record that this process gave up an attempt that may run at an endpoint."""
        self._abandoned.add(AbandonedAttempt(endpoint_id, request, self._timers.now()))
        if endpoint_id in self._crashed_at:
            self._attribute(endpoint_id, self._crashed_at[endpoint_id], (request,))
        elif self.has_unproven_part(request):
            for seconds in ABANDONED_CHECK_SECONDS:
                self._timers.once(seconds, lambda: self._check_if_silent(endpoint_id))

    def record_attempt(self, endpoint_id: str, request: InterruptedRequest) -> None:
        """Record that an attempt is sent, whose endpoint is checked if it stays silent."""
        if self.has_unproven_part(request):
            for seconds in UNANSWERED_CHECK_SECONDS:
                self._timers.once(seconds, lambda: self._check_attempts(endpoint_id))

    def record_refused_attempt(self, endpoint_id: str) -> None:
        """Record that an endpoint refused the connection of an attempt."""
        if self._abandoned.has_any(endpoint_id):
            self._start_check(endpoint_id)

    def _check_attempts(self, endpoint_id: str) -> None:
        """Probe an endpoint at which attempts are in flight, unless it has just sent data."""
        running = self.list_running(endpoint_id)
        if running:
            is_answering = any(each.is_answered for each in running)
            self._check_if_silent(
                endpoint_id, SILENT_STREAM_SECONDS if is_answering else SILENCE_SECONDS
            )

    def _check_if_silent(self, endpoint_id: str, seconds: float = SILENCE_SECONDS) -> None:
        """Probe an endpoint that has sent nothing for a time."""
        if self._timers.now() - self._directory.last_contact_at(endpoint_id) >= seconds:
            self._start_check(endpoint_id)

    def _start_check(self, endpoint_id: str) -> None:
        """Check whether an endpoint has crashed to which no connection was lost."""
        is_known = endpoint_id in self._checks or endpoint_id in self._crashed_at
        if is_known or self._directory.is_unavailable(endpoint_id):
            return
        zone, now = self._directory.zone_of(endpoint_id), self._timers.now()
        check = _CrashCheck(self._directory.address_of(endpoint_id), zone, now, now)
        self._checks[endpoint_id] = check
        self._send_probe(endpoint_id, check)

    def record_known_crash(self, endpoint_id: str, at: float) -> None:
        """Record a crash that was found otherwise, and attribute it to abandoned attempts.

        Parameters
        ----------
        at : float
            Time of the crash on the clock of the timer service.
        """
        if endpoint_id in self._crashed_at:
            return
        self._store_crash(endpoint_id, at)
        requests = self._list_abandoned(endpoint_id, at)
        self._abandoned.discard(endpoint_id)
        if requests:
            self._attribute(endpoint_id, at, requests)

    def has_abandoned(self, endpoint_id: str) -> bool:
        """Return True if this process has just abandoned attempts at an endpoint."""
        return self._abandoned.has_any(endpoint_id)

    def _store_crash(self, endpoint_id: str, at: float) -> None:
        """Keep the time of a crash for as long as requests may be found to have been there."""
        self._crashed_at[endpoint_id] = at
        self._timers.once(RETENTION_SECONDS, lambda: self._crashed_at.pop(endpoint_id, None))

    def _list_abandoned(self, endpoint_id: str, crashed_at: float) -> Interrupted:
        """Return the requests that were abandoned shortly before a crash, or since then.

        If the endpoint fell silent, it may have crashed at any time after its last data.
        """
        silent_since = min(crashed_at, self._directory.last_contact_at(endpoint_id))
        found = self._abandoned.list_at(endpoint_id, silent_since - ABANDONED_SECONDS)
        return tuple(each.extend(crashed_at) for each in found)

    def _attribute(self, endpoint_id: str, at: float, requests: Interrupted) -> None:
        """Attribute a known crash to further requests, which were abandoned or lost later."""
        fingerprints = tuple(sorted(each.fingerprint for each in requests))
        self._log.info(
            "crash attributed to abandoned requests",
            endpoint=endpoint_id,
            ago=round(self._timers.now() - at, 3),
            abandoned=[
                [each.fingerprint, each.parts[:MAX_LOGGED_PARTS], round(each.seconds, 3)]
                for each in requests[:MAX_LOGGED_REQUESTS]
            ],
        )
        self._metrics.count("crashes_attributed_late_total")
        zone = self._directory.zone_of(endpoint_id)
        self.on_crash(EndpointCrash(endpoint_id, zone, at, fingerprints, omitted=1), requests)

    def describe_abandoned(self, endpoint_id: str, since: float) -> dict[str, object]:
        """Return a field for the log: the requests that were abandoned at an endpoint.

        Each has its fingerprint, its prompt parts and the seconds since it was abandoned.
        """
        now = self._timers.now()
        found = self._abandoned.list_at(endpoint_id, since)[-MAX_LOGGED_REQUESTS:]
        return {
            "abandoned": [
                [
                    each.request.fingerprint,
                    each.request.parts[:MAX_LOGGED_PARTS],
                    round(now - each.at, 3),
                ]
                for each in found
            ]
        }

    def record_row_removal(self, endpoint_id: str, announced: bool = False) -> None:
        """Record that the row of an endpoint was deleted or has expired.

        Parameters
        ----------
        announced : bool
            True if the endpoint announced its shutdown before.
        """
        check = self._checks.get(endpoint_id)
        if check is None and not announced:
            self.on_unobserved_crash(endpoint_id)
        elif check is not None and not check.is_crashed:
            self._declare_crash(endpoint_id, check)

    def confirm_crash(self, endpoint_id: str, on_confirmed: Callable[[], None]) -> None:
        """Probe an endpoint whose row was deleted; call `on_confirmed` unless it still listens.

        An endpoint that still listens is shutting down and has not crashed.
        """
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
        self, endpoint_id: str, reach: ConnectResult, on_confirmed: Callable[[], None]
    ) -> None:
        if reach is ConnectResult.CONNECTED and not self._directory.is_replaced(endpoint_id):
            self._log.info("endpoint still listens after its row was deleted", endpoint=endpoint_id)
        elif self.is_path_lost(endpoint_id):
            self._log.info("endpoint with a deleted row cannot be probed", endpoint=endpoint_id)
        else:
            on_confirmed()

    def zone_of(self, endpoint_id: str) -> str:
        """Return the availability zone of an endpoint; empty if the endpoint is unknown."""
        return self._directory.zone_of(endpoint_id)

    def record_closed_port(self, endpoint_id: str) -> None:
        """Record that an endpoint refuses connections, whether or not it had requests."""
        if endpoint_id in self._checks or self._directory.is_leaving(endpoint_id):
            return
        self._directory.record_connect_failure(endpoint_id, self._timers.now(), is_refused=True)
        self.on_crash_found(endpoint_id)

    def record_restart(self, endpoint_id: str, request: InterruptedRequest) -> None:
        """Record that an endpoint restarted while it had a request."""
        check = self._checks.get(endpoint_id)
        if check is None:
            zone, now = self._directory.zone_of(endpoint_id), self._timers.now()
            check = self._checks[endpoint_id] = _CrashCheck("", zone, now, now)
        is_new = check.requests.setdefault(request.fingerprint, request) is request
        if not check.is_crashed:
            self._declare_crash(endpoint_id, check)
        elif is_new:
            self._notify_crash(endpoint_id, check, (request,))

    def _send_probe(self, endpoint_id: str, check: _CrashCheck) -> None:
        if self._checks.get(endpoint_id) is not check or check.is_crashed:
            return
        check.probe_count += 1
        check.probed_at = self._timers.now()
        self._metrics.count("endpoint_probes_total")
        self._transport.probe(
            check.address,
            PROBE_TIMEOUT_SECONDS,
            lambda reach: self._on_probe_result(endpoint_id, check, reach),
        )

    def _on_probe_result(self, endpoint_id: str, check: _CrashCheck, reach: ConnectResult) -> None:
        if self._checks.get(endpoint_id) is not check or check.is_crashed:
            return
        if reach is ConnectResult.REFUSED:
            # All endpoints seem to refuse connections if the path of this VM to them is lost.
            self.on_refused(endpoint_id)
            self._timers.once(
                SETTLE_DELAY_SECONDS, lambda: self._conclude_check(endpoint_id, check)
            )
        elif check.probe_count >= MAX_PROBES:
            del self._checks[endpoint_id]
        elif reach is ConnectResult.UNANSWERED:
            self._suspect_lost_host(endpoint_id, check)
            self._timers.once(PROBE_RETRY_SECONDS, lambda: self._send_probe(endpoint_id, check))
        elif not check.requests:
            # No connection was lost: the endpoint is silent because it has nothing to send.
            del self._checks[endpoint_id]
        elif due := self._find_next_confirmation(check):
            seconds = max(0.0, due - self._timers.now())
            self._timers.once(seconds, lambda: self._send_probe(endpoint_id, check))
        else:
            self.probe_response(
                endpoint_id, lambda is_alive: self._on_response(endpoint_id, check, is_alive)
            )

    def _on_response(self, endpoint_id: str, check: _CrashCheck, is_alive: bool) -> None:
        """End a check if the endpoint responds; else only its listening socket is still open."""
        if self._checks.get(endpoint_id) is not check or check.is_crashed:
            return
        has_data = self._directory.last_contact_at(endpoint_id) > check.probed_at
        if is_alive or has_data or self._directory.is_leaving(endpoint_id):
            del self._checks[endpoint_id]
        else:
            self._report_uncertain(endpoint_id, check)
            self._timers.once(PROBE_RETRY_SECONDS, lambda: self._send_probe(endpoint_id, check))

    def _suspect_lost_host(self, endpoint_id: str, check: _CrashCheck) -> None:
        """Report a probable crash if an endpoint beside it is reached, and no peer reaches it.

        Without such an endpoint the zone may be partitioned.
        """
        neighbour = self._directory.find_neighbour(endpoint_id, {*self._checks, *self._crashed_at})
        if not neighbour:
            return

        def on_answer(is_reached: bool | None) -> None:
            is_open = self._checks.get(endpoint_id) is check and not check.is_crashed
            if is_open and is_reached is False:
                self._report_uncertain(endpoint_id, check)

        def on_neighbour(reach: ConnectResult) -> None:
            if reach is ConnectResult.CONNECTED:
                self.ask_peer(endpoint_id, on_answer)

        self._metrics.count("endpoint_probes_total")
        address = self._directory.address_of(neighbour)
        self._transport.probe(address, PROBE_TIMEOUT_SECONDS, on_neighbour)

    @staticmethod
    def _find_next_confirmation(check: _CrashCheck) -> float | None:
        """Return when to probe an endpoint again that accepted a probe; None if it lives."""
        times = (check.last_lost_at + seconds for seconds in CONFIRM_SECONDS)
        return next((each for each in times if each > check.probed_at), None)

    def _conclude_check(self, endpoint_id: str, check: _CrashCheck) -> None:
        """Declare a crash of an endpoint that refuses connections, unless it still sends data."""
        if self._checks.get(endpoint_id) is not check or check.is_crashed:
            return
        contact_at = self._directory.last_contact_at(endpoint_id)
        if contact_at > check.last_lost_at + LAST_DATA_SECONDS:
            self._probe_after_data(endpoint_id, check, contact_at)
        elif check.has_late_data:
            self._report_uncertain(endpoint_id, check)
            del self._checks[endpoint_id]
        elif self.is_path_lost(endpoint_id):
            self._wait_for_paths(endpoint_id, check)
        else:
            self.ask_peer(
                endpoint_id, lambda is_reached: self._on_answer(endpoint_id, check, is_reached)
            )

    def _probe_after_data(self, endpoint_id: str, check: _CrashCheck, contact_at: float) -> None:
        """Probe an endpoint again that refuses connections and still sent data.

        The data may have been sent before the crash and read later by a busy process. If no more
        follows, the endpoint has probably crashed; it may also be at its connection limit.
        """
        if check.probe_count >= MAX_PROBES:
            del self._checks[endpoint_id]
            return
        check.last_lost_at = contact_at
        check.has_late_data = True
        self._timers.once(CONFIRM_SECONDS[-1], lambda: self._send_probe(endpoint_id, check))

    def _on_answer(self, endpoint_id: str, check: _CrashCheck, is_reached: bool | None) -> None:
        """Declare a crash unless a peer reaches the endpoint, or cannot tell."""
        if self._checks.get(endpoint_id) is not check or check.is_crashed:
            return
        if is_reached is None:
            self._wait_for_paths(endpoint_id, check)
        elif is_reached:
            self._log.info(
                "endpoint that refuses connections is reached by a peer", endpoint=endpoint_id
            )
            del self._checks[endpoint_id]
        else:
            self._declare_crash(endpoint_id, check)

    def _wait_for_paths(self, endpoint_id: str, check: _CrashCheck) -> None:
        """Probe again until the paths are known to work, or the row of the endpoint has expired."""
        self._report_uncertain(endpoint_id, check)
        if check.probe_count < MAX_PROBES:
            self._timers.once(PROBE_RETRY_SECONDS, lambda: self._send_probe(endpoint_id, check))
        else:
            del self._checks[endpoint_id]

    def _report_uncertain(self, endpoint_id: str, check: _CrashCheck) -> None:
        """Report a probable crash, with the requests that were there or were abandoned there."""
        requests = tuple(self._collect_requests(endpoint_id, check).values())
        self._log.info(
            "endpoint has probably crashed",
            endpoint=endpoint_id,
            zone_of_endpoint=check.zone,
            ago=round(self._timers.now() - check.lost_at, 3),
            probes=check.probe_count,
            work=sorted(each.fingerprint for each in requests)[:MAX_LOGGED_REQUESTS],
        )
        self.on_uncertain_crash(self._build_crash(endpoint_id, check, requests), requests)

    def _collect_requests(
        self, endpoint_id: str, check: _CrashCheck
    ) -> dict[str, InterruptedRequest]:
        """Return the requests at an endpoint that has crashed, by fingerprint.

        Connections to a host that is gone are not lost, and abandoned attempts have none.
        """
        others = (
            *self._list_abandoned(endpoint_id, check.lost_at),
            *self.list_running(endpoint_id),
        )
        return {**{each.fingerprint: each for each in others}, **check.requests}

    def _declare_crash(self, endpoint_id: str, check: _CrashCheck) -> None:
        check.is_crashed = True
        self._store_crash(endpoint_id, check.lost_at)
        lost = len(check.requests)
        check.requests = self._collect_requests(endpoint_id, check)
        check.has_abandoned = bool(self._list_abandoned(endpoint_id, check.lost_at))
        self._timers.once(CRASH_RETENTION_SECONDS, lambda: self._checks.pop(endpoint_id, None))
        self._metrics.count("endpoint_ends_total")
        self._log.warning(
            "endpoint crashed",
            endpoint=endpoint_id,
            zone_of_endpoint=check.zone,
            ago=round(self._timers.now() - check.lost_at, 3),
            probes=check.probe_count,
            running=lost,
            work=sorted(check.requests)[:MAX_LOGGED_REQUESTS],
            unanswered=_describe_requests(check, is_answered=False),
            answered=_describe_requests(check, is_answered=True),
            **self.describe_abandoned(endpoint_id, check.lost_at - ABANDONED_SECONDS),
        )
        self._abandoned.discard(endpoint_id)
        self._notify_crash(endpoint_id, check, tuple(check.requests.values()))

    def _notify_crash(self, endpoint_id: str, check: _CrashCheck, requests: Interrupted) -> None:
        self.on_crash(self._build_crash(endpoint_id, check, requests), requests)

    @staticmethod
    def _build_crash(endpoint_id: str, check: _CrashCheck, requests: Interrupted) -> EndpointCrash:
        fingerprints = tuple(sorted(each.fingerprint for each in requests))
        omitted = int(check.has_abandoned)
        return EndpointCrash(endpoint_id, check.zone, check.lost_at, fingerprints, omitted)


def _describe_requests(check: _CrashCheck, is_answered: bool) -> list[list[object]]:
    """Return the requests at a crash for the log, each with its fingerprint and prompt parts."""
    return [
        [each.fingerprint, each.parts[:MAX_LOGGED_PARTS]]
        for _, each in sorted(check.requests.items())
        if each.is_answered is is_answered
    ][:MAX_LOGGED_REQUESTS]
