"""Monitor of the direct network paths from this VM to the endpoints.

After a failed connection, connections to a few other endpoints are opened and closed. While the
paths are lost, further ones are opened regularly to notice when an endpoint is reached again.

If connections are established and then reset or silent, as by a forwarder that reaches nobody, only
responses count. Endpoints that stand still look alike, so that a peer probes at the same time.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable

from flamingofront.connection.interfaces import Transport
from flamingofront.decisions.direct_paths import DirectPaths, PathStatus
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.path_comparison import PathComparison, PathVerdict
from flamingofront.request.path_probes import ConnectProbe, PathProbe, ResponseProbe

__all__ = ["PathMonitor"]

# Endpoints that are probed in a check, of different services and zones if possible; one of them is
# in the zone of this VM.
CHECKED_ENDPOINTS = 4
# Period of the probes while paths are lost, and their number; after the first success more follow
# at once, so that hundreds of endpoints are reached directly again within a second or two.
RETRY_PERIOD_SECONDS = 0.5
RETRIED_ENDPOINTS = 3
RETRIED_AFTER_SUCCESS = 16
RETRY_AFTER_SUCCESS_SECONDS = 0.1
# Time without data from any endpoint, while a response is pending, after which paths are checked.
# Streams send data every 20 to 300 ms.
UNANSWERED_SECONDS = 0.4
# Endpoints of a service that are probed before a peer is asked whether it reaches them, and the
# time between two such questions.
CHECKED_OF_SERVICE = 3
QUESTION_PAUSE_SECONDS = 1.0
# Pause between checks by responses, which endpoints have to serve; it doubles with each that finds
# that paths work, up to the longest one.
RESPONSE_CHECK_PAUSE_SECONDS = 0.5
MAX_RESPONSE_CHECK_PAUSE_SECONDS = 4.0


class PathMonitor:
    """Probes endpoints to distinguish a lost path of this VM from failed endpoints.

    Attributes
    ----------
    enabled : bool
        False if failures are not checked; the paths then count as working.
    on_lost : callable
        Called when the paths to all endpoints, or to those of a service, are found to be lost.
    on_restored : callable
        Called when most endpoints are reached again.
    ask_peer : callable
        Asks a peer whether it reaches an endpoint, by a response if the second argument is True,
        and calls back with the answer.
    find_peer : callable
        Asks peers until one connects to an endpoint, and calls back with the answer.
    has_peers : callable
        Returns True if there is a peer to be asked.
    probe_target_of : callable
        Returns the target of a request for the state of an endpoint.
    """

    def __init__(
        self,
        transport: Transport,
        timers: TimerService,
        directory: EndpointDirectory,
        metrics: Metrics,
        log: Log,
        rng: random.Random,
        zone: str,
    ):
        self.enabled = False
        self.on_lost: Callable[[], None] = lambda: None
        self.on_restored: Callable[[], None] = lambda: None
        self.ask_peer: Callable[[str, bool, Callable[[bool | None], None]], None] = (
            lambda endpoint_id, needs_response, on_answer: None
        )
        self.find_peer: Callable[[str, Callable[[bool | None], None]], None] = (
            lambda endpoint_id, on_answer: None
        )
        self.has_peers: Callable[[], bool] = lambda: False
        self.probe_target_of: Callable[[str], str] = lambda endpoint_id: "/"
        self._paths = DirectPaths()
        self._timers = timers
        self._directory = directory
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._zone = zone
        self._connect_probe = ConnectProbe(transport, directory)
        self._response_probe = ResponseProbe(
            transport, directory, lambda endpoint_id: self.probe_target_of(endpoint_id)
        )
        self._open_probe = ResponseProbe(
            transport, directory, lambda endpoint_id: self.probe_target_of(endpoint_id), False
        )
        self._needs_response = False
        self._response_checked_at = -math.inf
        self._response_check_pause = RESPONSE_CHECK_PAUSE_SECONDS
        self._pending: set[str] = set()
        self._checked: tuple[str, ...] = ()
        self._lost_at = 0.0
        self._has_progress = False
        self._is_retry_scheduled = False
        self._asked_at: dict[str, float] = {}
        self._endpoint_asked_at: dict[str, float] = {}

    @property
    def status(self) -> PathStatus:
        """State of the direct paths to the endpoints."""
        return self._paths.status

    def is_lost(self, endpoint_id: str) -> bool:
        """Return True if the direct path to an endpoint is lost, or in doubt during a check."""
        return self._paths.is_lost(endpoint_id)

    def is_known_lost(self, endpoint_id: str) -> bool:
        """Return True if a check has found that the direct path to an endpoint is lost."""
        return self._paths.is_known_lost(endpoint_id)

    @property
    def has_losses(self) -> bool:
        """True if the paths to some endpoints, or to all, are known to be lost."""
        return self._paths.status is PathStatus.LOST or self._paths.has_single_losses

    @property
    def reaches_any(self) -> bool:
        """True if an endpoint was reached since the paths were last found to be lost."""
        return self._paths.count_reached(self._directory.ready_endpoints()) > 0

    def get_evidence_age(self, endpoint_id: str) -> tuple[float | None, float | None]:
        """Return the seconds since the last established and the last failed connection."""
        now = self._timers.now()
        times = (
            self._paths.last_connected_at(endpoint_id),
            self._paths.last_failure_at(endpoint_id),
        )
        return tuple(None if at is None else round(now - at, 3) for at in times)

    def count_lost(self) -> int:
        """Return the number of ready endpoints to which the direct path is lost."""
        return sum(self.is_lost(each) for each in self._directory.ready_endpoints())

    def forget(self, endpoint_id: str) -> None:
        """Drop the evidence on an endpoint that was removed."""
        self._paths.forget(endpoint_id)
        self._endpoint_asked_at.pop(endpoint_id, None)

    def record_connected(self, endpoint_id: str) -> None:
        """Record that a new connection to an endpoint was established."""
        is_checking = self._paths.status is PathStatus.CHECKING
        was_lost = not is_checking and self.is_lost(endpoint_id)
        self._paths.record_connected(endpoint_id, self._timers.now())
        if was_lost:
            self._has_progress = True
            self._log.info(
                "path to endpoint restored",
                endpoint=endpoint_id,
                lost_for=round(self._timers.now() - self._lost_at, 3),
                still_lost=self.count_lost(),
            )
            self._restore_if_reached()

    def record_failure(self, endpoint_id: str, reason: str) -> None:
        """Record that no new connection to an endpoint could be established.

        Parameters
        ----------
        reason : str
            Failure of the connection, for the log.
        """
        self._paths.record_failure(endpoint_id, self._timers.now())
        self._start_check(f"{endpoint_id}: {reason}", endpoint_id)
        self._ask_for_endpoint(endpoint_id)

    def _ask_for_endpoint(self, endpoint_id: str) -> None:
        """Ask a peer whether it reaches an endpoint, while this VM reaches others."""
        now = self._timers.now()
        asked_at = self._endpoint_asked_at.get(endpoint_id, -math.inf)
        is_lost = self._paths.status is PathStatus.LOST or self._paths.is_singly_lost(endpoint_id)
        if not self.enabled or is_lost or now - asked_at < QUESTION_PAUSE_SECONDS:
            return
        self._endpoint_asked_at[endpoint_id] = now
        self._compare(
            (endpoint_id,),
            endpoint_id,
            self.find_peer,
            lambda verdict: self._on_endpoint_verdict(endpoint_id, verdict),
        )

    def _on_endpoint_verdict(self, endpoint_id: str, verdict: PathVerdict) -> None:
        """Take the path to an endpoint for lost if only a peer reaches it."""
        if verdict is not PathVerdict.LOST or self._paths.status is PathStatus.LOST:
            return
        self._lost_at = self._timers.now()
        self._paths.record_loss((endpoint_id,), self._lost_at)
        self._log.info("path to endpoint lost", endpoint=endpoint_id, lost=self.count_lost())
        self._schedule_retry()
        self.on_lost()

    def record_unanswered(self, endpoint_id: str) -> None:
        """Record that a new connection to an endpoint was reset before any response."""
        self._start_check(f"{endpoint_id}: reset before a response", endpoint_id, True)

    def check_if_unanswered(self, since: float) -> None:
        """Check the paths if responses are pending and no endpoint has sent data for a while.

        Parameters
        ----------
        since : float
            Earliest time since which a pending response has received no data.
        """
        now = self._timers.now()
        if now - max(since, self._directory.last_contact_of_any()) >= UNANSWERED_SECONDS:
            needs_response = self._may_check_responses()
            self._start_check("no data from any endpoint", needs_response=needs_response)

    def check_silent(self, endpoint_ids: Iterable[str]) -> None:
        """Check the paths to the services of endpoints that do not respond, while others do."""
        services = {self._directory.service_of(each): each for each in endpoint_ids}
        for endpoint_id in services.values():
            is_in_doubt = self._paths.status is not PathStatus.WORKING
            if is_in_doubt or not self.enabled or not self._may_check_responses():
                return
            self._record_response_check()
            self._check_service(endpoint_id, self._timers.now(), True)

    def _may_check_responses(self) -> bool:
        return self._timers.now() - self._response_checked_at >= self._response_check_pause

    def _record_response_check(self) -> None:
        """Record a check by responses, and extend the pause until the next one."""
        self._response_checked_at = self._timers.now()
        self._response_check_pause = min(
            2 * self._response_check_pause, MAX_RESPONSE_CHECK_PAUSE_SECONDS
        )

    @property
    def _probe_kind(self) -> PathProbe:
        return self._response_probe if self._needs_response else self._connect_probe

    def _start_check(self, cause: str, failed: str = "", needs_response: bool = False) -> None:
        """Start a check, unless one is under way.

        Parameters
        ----------
        failed : str
            Endpoint that caused the check.
        needs_response : bool
            True if only responses are evidence.
        """
        if not self.enabled or not self._paths.can_start_check(self._timers.now()):
            return
        if needs_response and not self._may_check_responses():
            return
        if needs_response:
            self._record_response_check()
        self._needs_response = needs_response or (
            self._needs_response and self._paths.has_single_losses
        )
        self._paths.start_check(self._timers.now())
        others = [each for each in self._directory.ready_endpoints() if each != failed]
        self._checked = self._choose_sample(others)
        if not self._checked:
            self._conclude(cause, failed, PathVerdict.UNKNOWN)
            return
        self._compare(
            self._checked,
            self._checked[0],
            self.find_peer,
            lambda verdict: self._conclude(cause, failed, verdict),
        )

    def _ask_for_response(self, endpoint_id: str, on_answer: Callable[[bool | None], None]) -> None:
        self.ask_peer(endpoint_id, True, on_answer)

    def _compare(
        self,
        endpoint_ids: Iterable[str],
        asked_for: str,
        ask_for_connection: Callable[[str, Callable[[bool | None], None]], None],
        on_end: Callable[[PathVerdict], None],
    ) -> None:
        """Compare this VM's path to endpoints with that of a peer.

        Notes
        -----
        Both sides look for the same evidence until the end: an endpoint that stands still accepts
        connections, and does not respond.
        """
        probe = self._probe_kind
        PathComparison(
            endpoint_ids,
            asked_for,
            self._timers,
            lambda endpoint_id, on_result: self._probe(endpoint_id, probe, on_result),
            self._ask_for_response if self._needs_response else ask_for_connection,
            on_end,
        ).start()

    def _choose_sample(self, endpoint_ids: Iterable[str]) -> tuple[str, ...]:
        ordered = self._spread(endpoint_ids)
        near = [each for each in ordered if self._directory.zone_of(each) == self._zone][:1]
        far = [each for each in ordered if each not in near]
        return (*near, *far)[:CHECKED_ENDPOINTS]

    def _spread(self, endpoint_ids: Iterable[str]) -> list[str]:
        """Return endpoints in an order in which services and zones take turns, else random."""
        shuffled = list(endpoint_ids)
        self._rng.shuffle(shuffled)
        counts: Counter[tuple[str, str]] = Counter()
        turns = {}
        for each in shuffled:
            group = (self._directory.service_of(each), self._directory.zone_of(each))
            turns[each] = counts[group]
            counts[group] += 1
        return sorted(shuffled, key=turns.__getitem__)

    def _probe(self, endpoint_id: str, probe: PathProbe, on_result: Callable[[bool], None]) -> None:
        self._pending.add(endpoint_id)
        self._metrics.count("endpoint_probes_total")
        probe.start(
            endpoint_id,
            lambda is_reached: self._on_probe_result(endpoint_id, is_reached, on_result),
        )

    def start_probe(
        self, endpoint_id: str, needs_response: bool, on_result: Callable[[bool], None]
    ) -> None:
        """Test the path to an endpoint for a peer, and pass on whether it was reached."""
        probe = self._response_probe if needs_response else self._connect_probe
        probe.start(endpoint_id, on_result)

    def probe_open_connection(self, endpoint_id: str, on_result: Callable[[bool], None]) -> None:
        """Pass on whether an endpoint responds on an open connection."""
        self._metrics.count("endpoint_probes_total")
        self._open_probe.start(endpoint_id, on_result)

    def _on_probe_result(
        self, endpoint_id: str, is_reached: bool, on_result: Callable[[bool], None]
    ) -> None:
        self._pending.discard(endpoint_id)
        if is_reached:
            self.record_connected(endpoint_id)
        else:
            self._paths.record_failure(endpoint_id, self._timers.now())
        on_result(is_reached)

    def _conclude(self, cause: str, failed: str, verdict: PathVerdict) -> None:
        """End a check by its results, and log the evidence.

        Notes
        -----
        If there is no peer, or none could tell, failed connections alone show that the paths are
        lost: the peers may have lost theirs as well. Missing responses do not.
        """
        if self._paths.status is not PathStatus.CHECKING:
            return
        is_untold = verdict is PathVerdict.UNKNOWN or not self.has_peers()
        is_confirmed = verdict is PathVerdict.LOST or (is_untold and not self._needs_response)
        status = self._paths.conclude_check(self._checked, is_confirmed)
        now = self._timers.now()
        self._metrics.count("path_checks_total", outcome=status.value)
        log = self._log.warning if status is PathStatus.LOST else self._log.info
        log(
            "paths to endpoints lost" if status is PathStatus.LOST else "paths to endpoints work",
            cause=cause,
            probed=self._checked,
            by="response" if self._needs_response else "connection",
            verdict=verdict.value,
            reached=self._paths.count_reached(self._checked),
            check_ms=round((now - self._paths.since) * 1000),
            data_age=round(min(now - self._directory.last_contact_of_any(), now), 3),
        )
        if status is PathStatus.LOST:
            self._response_check_pause = RESPONSE_CHECK_PAUSE_SECONDS
            self._lost_at = self._paths.since
            self._has_progress = False
            self._schedule_retry()
            self.on_lost()
        elif failed:
            self._check_service(failed, self._paths.since, self._needs_response)

    def _check_service(self, failed: str, since: float, needs_response: bool) -> None:
        """Check whether the paths to all endpoints of a service are lost, while others work.

        Parameters
        ----------
        since : float
            Time from which on evidence counts.
        needs_response : bool
            True if only responses are evidence.
        """
        service, now = self._directory.service_of(failed), self._timers.now()
        endpoints = list(self._directory.zones_of(service))
        is_reached = self._paths.count_reached_since(endpoints, since) > 0
        if is_reached or now - self._asked_at.get(service, -math.inf) < QUESTION_PAUSE_SECONDS:
            return
        self._asked_at[service] = now
        self._needs_response = self._needs_response or needs_response
        others = [each for each in endpoints if each != failed]
        self._compare(
            (failed, *self._spread(others)[: CHECKED_OF_SERVICE - 1]),
            failed,
            self._ask_for_connection,
            lambda verdict: self._on_service_verdict(service, since, verdict, failed),
        )

    def _ask_for_connection(
        self, endpoint_id: str, on_answer: Callable[[bool | None], None]
    ) -> None:
        self.ask_peer(endpoint_id, False, on_answer)

    def _on_service_verdict(
        self, service: str, since: float, verdict: PathVerdict, asked_for: str
    ) -> None:
        """Take the paths to a service for lost if only a peer reaches an endpoint of it."""
        endpoints = list(self._directory.zones_of(service))
        if verdict is not PathVerdict.LOST or self._paths.count_reached_since(endpoints, since):
            return
        self._response_check_pause = RESPONSE_CHECK_PAUSE_SECONDS
        self._lost_at = self._timers.now()
        self._paths.record_loss(endpoints, self._lost_at)
        self._log.warning(
            "paths to service lost",
            service=service,
            endpoints=len(endpoints),
            reached_by_peer=asked_for,
            unreached_ms=round((self._lost_at - since) * 1000),
        )
        self._schedule_retry()
        self.on_lost()

    def _schedule_retry(self) -> None:
        if self._is_retry_scheduled:
            return
        self._is_retry_scheduled = True
        seconds = RETRY_PERIOD_SECONDS * (0.75 + 0.5 * self._rng.random())
        if self._has_progress:
            seconds = RETRY_AFTER_SUCCESS_SECONDS
        self._timers.once(seconds, self._retry_lost)

    def _retry_lost(self) -> None:
        """Probe some of the endpoints that are not reached directly."""
        self._is_retry_scheduled = False
        if not self.has_losses:
            return
        lost = [each for each in self._directory.ready_endpoints() if self.is_lost(each)]
        count = RETRIED_AFTER_SUCCESS if self._has_progress else RETRIED_ENDPOINTS
        self._has_progress = False
        for each in self._spread(lost)[:count]:
            if each not in self._pending:
                self._probe(each, self._probe_kind, lambda is_reached: None)
        self._restore_if_reached()
        if self.has_losses:
            self._schedule_retry()

    def _restore_if_reached(self) -> None:
        endpoints = self._directory.ready_endpoints()
        if not self._paths.restore_if_reached(endpoints):
            return
        self._log.warning(
            "paths to endpoints restored",
            lost_for=round(self._timers.now() - self._lost_at, 3),
            reached=self._paths.count_reached(endpoints),
            endpoints=len(endpoints),
        )
        self.on_restored()
