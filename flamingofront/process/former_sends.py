"""Recovery of send intents left by earlier incarnations of the entry processes.

Determines which of the recorded endpoints have crashed, and passes the recorded requests to the
guard as evidence.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from flamingofront.connection.interfaces import ConnectResult
from flamingofront.decisions.part_facts import InterruptedRequest, PartCrash
from flamingofront.decisions.quarantine_facts import EndpointCrash, IntentSummary
from flamingofront.decisions.send_intents import IntentRecord, SendIntent
from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.backoff import Backoff
from flamingofront.process.intent_rows import IntentRows, VersionedRecord
from flamingofront.process.intent_state import RecordCache
from flamingofront.process.services import Services
from flamingofront.process.tasks import Task
from flamingofront.request.host import RequestHost

__all__ = ["RecoveredIntents", "SenderProcess"]

# Delay after the start of the process before it probes a sample of the ready endpoints. The sample
# may be small, because every process shares its findings with the others.
PROBE_DELAY_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 0.25
MAX_PROBES = 8
# Crashes that are found within this time are reported to the guard in one batch.
BATCH_DELAY_SECONDS = 0.02
MAX_CRASHED_ENDPOINTS = 1024
_BACKOFF = Backoff(0.1, 1.0)


@dataclass(frozen=True)
class SenderProcess:
    """Identity of the process that records its sends.

    Parameters
    ----------
    incarnation : int
        Start of the process in milliseconds since the epoch.
    first_start : bool
        True if the process belongs to the first start of the deployment, so that there are no
        earlier intents to recover.
    """

    vm_id: str
    incarnation: int
    first_start: bool = False


class RecoveredIntents:
    """Reports crashes at endpoints to which earlier incarnations had sent requests.

    Parameters
    ----------
    cache : RecordCache
        Intent records as this process knows them.
    read_unobserved_removals : callable or None
        Returns a task that reads which endpoints were removed while no entry process ran.

    Attributes
    ----------
    last_alive : dict
        Latest time, in wall clock seconds, at which each endpoint accepted a connection.
    on_recovered : callable
        Called once the intents of earlier incarnations are loaded, if there are any.
    """

    def __init__(
        self,
        hub: RequestHost,
        rows: IntentRows,
        services: Services,
        sender: SenderProcess,
        cache: RecordCache,
        read_unobserved_removals: Callable[[], Task] | None,
    ):
        self.last_alive: dict[str, float] = {}
        self.on_recovered: Callable[[], None] = lambda: None
        self._guard = hub.guard
        self._directory = hub.directory
        self._transport = hub.transport
        self._rows = rows
        self._tasks = services.tasks
        self._timers = services.timers
        self._rng = services.rng
        self._metrics = services.metrics
        self._log = services.log
        self._sender = sender
        self._cache = cache
        self._read_unobserved_removals = read_unobserved_removals
        self._crashed: OrderedDict[str, None] = OrderedDict()
        self._is_reload_scheduled = False

    def start(self) -> None:
        """Load the intents of earlier incarnations and probe endpoints for crashes."""
        self._tasks.start(self._load_intents())
        if self._read_unobserved_removals is not None:
            self._tasks.start(self._load_unobserved_removals())
        self._timers.once(PROBE_DELAY_SECONDS, self._probe_sample)

    def has_crashed(self, endpoint_id: str) -> bool:
        """Return True if an endpoint is known to have crashed."""
        return endpoint_id in self._crashed

    def handle_crash(self, endpoint_id: str) -> None:
        """Remember a crash, and schedule a reload of the intents if one names the endpoint.

        Any request that another process had recorded at the endpoint may have caused the crash.
        """
        self._crashed[endpoint_id] = None
        while len(self._crashed) > MAX_CRASHED_ENDPOINTS:
            self._crashed.popitem(last=False)
        if self._is_reload_scheduled:
            return
        sends = (send for each in self._cache.by_fingerprint.values() for send in each.record.sends)
        if any(each.endpoint_id == endpoint_id and not self.is_local(each) for each in sends):
            self._is_reload_scheduled = True
            self._timers.once(
                BATCH_DELAY_SECONDS, lambda: self._tasks.start(self._reload_intents())
            )

    def is_local(self, send: SendIntent) -> bool:
        """Return True if this incarnation of this process made the send."""
        return (send.vm_id, send.incarnation) == (self._sender.vm_id, self._sender.incarnation)

    def _probe_sample(self) -> None:
        """Probe a random sample of the ready endpoints; some may have crashed before the start."""
        ready = self._directory.ready_endpoints()
        if not ready:
            self._timers.once(PROBE_DELAY_SECONDS, self._probe_sample)
            return
        for endpoint_id in self._rng.sample(ready, min(len(ready), MAX_PROBES)):
            self._probe_ready(endpoint_id, self._directory.address_of(endpoint_id))

    def _probe_ready(self, endpoint_id: str, address: str) -> None:
        """Probe an endpoint that the directory lists as ready."""
        self._metrics.count("endpoint_probes_total")
        self._transport.probe(
            address,
            PROBE_TIMEOUT_SECONDS,
            lambda reach: self._handle_ready_probe(endpoint_id, reach),
        )

    def _handle_ready_probe(self, endpoint_id: str, reach: ConnectResult) -> None:
        """Record that a ready endpoint is alive, or report its closed port as a crash."""
        if reach is ConnectResult.CONNECTED:
            self.last_alive[endpoint_id] = self._guard.wall()
        elif reach is ConnectResult.REFUSED:
            self._guard.crash_detector.record_closed_port(endpoint_id)

    def _load_unobserved_removals(self) -> Task:
        """Report endpoints that were removed while no entry process ran as possible crashes."""
        try:
            found = yield from self._read_unobserved_removals()
        except PlatformError as exc:
            self._log.info("unobserved endpoint removals not read", detail=str(exc))
            return
        for endpoint_id in found:
            self._guard.crash_detector.record_closed_port(endpoint_id)

    def _load_intents(self) -> Task:
        """Read all intent records once, with retries until the store responds."""
        tries = 0
        while True:
            try:
                found = yield from self._rows.read_all()
            except PlatformError as exc:
                self._metrics.count("platform_errors_total", operation="recorded_sends")
                if tries == 0:
                    self._log.warning("send intents not read yet", detail=str(exc))
                yield Sleep(_BACKOFF.compute_delay(tries, self._rng))
                tries += 1
            else:
                self._cache_and_probe(found)
                return

    def _cache_and_probe(self, results: Iterable[VersionedRecord | PlatformError]) -> None:
        """Cache the records that were read, and probe the endpoints that they name."""
        for each in self._skip_malformed(results):
            self._cache.update(each)
        if not self._cache.by_fingerprint:
            return
        records = [each.record for each in self._cache.by_fingerprint.values()]
        self._log.info("send intents recovered", requests=len(records))
        for endpoint_id, address in self._select_probe_targets(records).items():
            self._probe_recorded(endpoint_id, address)
        self.on_recovered()

    def _select_probe_targets(self, records: list[IntentRecord]) -> dict[str, str]:
        """Return the addresses of the endpoints to probe, by endpoint id.

        All endpoints of requests that were sent repeatedly are probed, and a sample of the others.
        """
        repeated = [each for each in records if len(each.sends) > 1]
        others = [each for each in records if len(each.sends) == 1]
        chosen = repeated + self._rng.sample(others, min(len(others), MAX_PROBES))
        return {send.endpoint_id: send.address for each in chosen for send in each.sends}

    def _skip_malformed(
        self, results: Iterable[VersionedRecord | PlatformError]
    ) -> Iterable[VersionedRecord]:
        """Yield the readable records; log and count the others."""
        for each in results:
            if isinstance(each, VersionedRecord):
                yield each
            else:
                self._metrics.count("platform_errors_total", operation="recorded_sends")
                self._log.warning("send intents rejected", detail=str(each))

    def _probe_recorded(self, endpoint_id: str, address: str) -> None:
        """Probe an endpoint named in a record, at the recorded address.

        The row of the endpoint may have been removed already, so the directory may not know it.
        """
        self._metrics.count("endpoint_probes_total")
        self._transport.probe(
            address,
            PROBE_TIMEOUT_SECONDS,
            lambda reach: self._handle_recorded_probe(endpoint_id, reach),
        )

    def _handle_recorded_probe(self, endpoint_id: str, reach: ConnectResult) -> None:
        """Record that a recorded endpoint is alive, or report a closed port or missing row."""
        if reach is not ConnectResult.REFUSED and not self._directory.ready_endpoints():
            # The endpoint rows are not loaded yet, so a missing row would prove nothing.
            self._timers.once(
                BATCH_DELAY_SECONDS, lambda: self._handle_recorded_probe(endpoint_id, reach)
            )
        elif reach is ConnectResult.REFUSED or not self._directory.zone_of(endpoint_id):
            self._guard.crash_detector.record_closed_port(endpoint_id)
        elif reach is ConnectResult.CONNECTED:
            self.last_alive[endpoint_id] = self._guard.wall()

    def _reload_intents(self) -> Task:
        """Reload the intent records and report those at crashed endpoints as evidence.

        If the store does not respond, the cached records are used.
        """
        self._is_reload_scheduled = False
        try:
            found = yield from self._rows.read_all()
        except PlatformError as exc:
            self._log.info("send intents not reloaded", detail=str(exc))
        else:
            for each in self._skip_malformed(found):
                self._cache.update(each)
        self._report_evidence()

    def _report_evidence(self) -> None:
        """Report to the guard which requests were recorded at crashed endpoints."""
        at_endpoint: dict[str, list[tuple[str, SendIntent]]] = {}
        for versioned in self._cache.by_fingerprint.values():
            for send in versioned.record.sends:
                if send.endpoint_id in self._crashed and not self.is_local(send):
                    named = (versioned.record.fingerprint, send)
                    at_endpoint.setdefault(send.endpoint_id, []).append(named)
            summary = IntentSummary(
                len(versioned.record.sends), frozenset(versioned.record.unobserved)
            )
            self._guard.quarantine.merge_intents(versioned.record.fingerprint, summary)
        crashes = tuple(_build_crash(each) for each in at_endpoint.values())
        for crash in crashes:
            self._log.info(
                "endpoint crashed with recorded sends",
                endpoint=crash.endpoint_id,
                work=crash.requests,
                ago=round(self._guard.wall() - crash.at, 3),
            )
            self._guard.intents.record_unobserved_crash(crash.endpoint_id)
        self._guard.load_evidence(crashes)
        now = self._guard.wall()
        self._guard.load_part_crashes(_build_part_crash(each, now) for each in at_endpoint.values())


def _build_crash(sends: list[tuple[str, SendIntent]]) -> EndpointCrash:
    """Return the crash of one endpoint, reconstructed from the sends recorded there.

    Parameters
    ----------
    sends : list of tuple
        Fingerprints of the requests with their sends to this endpoint.
    """
    first = sends[0][1]
    fingerprints = tuple(dict.fromkeys(fingerprint for fingerprint, _ in sends))
    at = max(send.at for _, send in sends)
    # Other requests may have been in flight there: a request that an endpoint has answered before
    # is not recorded.
    return EndpointCrash(first.endpoint_id, first.zone, at, fingerprints, omitted=1)


def _build_part_crash(sends: list[tuple[str, SendIntent]], now: float) -> PartCrash:
    """Return the crash of one endpoint with the prompt parts of the requests recorded there.

    When it crashed is not known, so that the requests may have been there until now.
    """
    crash, found = _build_crash(sends), dict(sends)
    requests = tuple(
        InterruptedRequest(each, found[each].parts, seconds=max(0.0, now - found[each].at))
        for each in crash.requests
    )
    return PartCrash(crash.endpoint_id, crash.zone, crash.at, requests)
