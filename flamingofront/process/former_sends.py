"""What the lives before have recorded: which of its endpoints have ended, and under what."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from flamingofront.connection.interfaces import ConnectResult
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

# Time after a start at which the endpoints that ended with the life before are looked for, and how
# many of them one process tries: what it finds, it tells the others.
LOOK_SECONDS = 0.2
PROBE_SECONDS = 0.25
MAX_PROBES = 8
# Ends that are found together are told to the guard together.
TOGETHER_SECONDS = 0.02
# Ends that are remembered.
MAX_ENDED = 1024
_BACKOFF = Backoff(0.1, 1.0)


@dataclass(frozen=True)
class SenderProcess:
    """The process that records, and whether it has started before.

    Parameters
    ----------
    incarnation : int
        Start of the process in milliseconds.
    """

    vm_id: str
    incarnation: int
    first_start: bool = False


class RecoveredIntents:
    """Finds out what the sends of former lives have done, and tells the guard.

    Parameters
    ----------
    known : RecordCache
        Records as this process knows them.
    vanished : callable or None
        Returns a task that reads which endpoints vanished while no entry process ran.

    Attributes
    ----------
    last_alive : dict
        Wall clock seconds at which endpoints were found to be there.
    on_read : callable
        Called once the records of former lives are known, if there are any.
    """

    def __init__(
        self,
        hub: RequestHost,
        rows: IntentRows,
        services: Services,
        sender: SenderProcess,
        known: RecordCache,
        vanished: Callable[[], Task] | None,
    ):
        self.last_alive: dict[str, float] = {}
        self.on_read: Callable[[], None] = lambda: None
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
        self._known = known
        self._vanished = vanished
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._resolving = False

    def start(self) -> None:
        """Read what was recorded before, and look for endpoints that ended with it."""
        self._tasks.start(self._read_former())
        if self._vanished is not None:
            self._tasks.start(self._read_vanished())
        self._timers.once(LOOK_SECONDS, self._look)

    def has_ended(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint is known to have ended."""
        return endpoint_id in self._ended

    def endpoint_ended(self, endpoint_id: str) -> None:
        """Take note of an end: what was recorded there before may have caused it."""
        self._ended[endpoint_id] = None
        while len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
        if self._resolving:
            return
        sends = (send for each in self._known.kept.values() for send in each.record.sends)
        if any(each.endpoint_id == endpoint_id and not self.is_own(each) for each in sends):
            self._resolving = True
            self._timers.once(TOGETHER_SECONDS, lambda: self._tasks.start(self._read_again()))

    def is_own(self, send: SendIntent) -> bool:
        """Tell whether this very process has made a send."""
        return (send.vm_id, send.incarnation) == (self._sender.vm_id, self._sender.incarnation)

    def _look(self) -> None:
        """Try the endpoints that are known: some may have ended with the life before."""
        known = self._directory.ready_endpoints()
        if not known:
            self._timers.once(LOOK_SECONDS, self._look)
            return
        for endpoint_id in self._rng.sample(known, min(len(known), MAX_PROBES)):
            self._probe(endpoint_id, self._directory.address_of(endpoint_id))

    def _probe(self, endpoint_id: str, address: str) -> None:
        self._metrics.count("endpoint_probes_total")
        self._transport.probe(
            address, PROBE_SECONDS, lambda reach: self._probed(endpoint_id, reach)
        )

    def _probed(self, endpoint_id: str, reach: ConnectResult) -> None:
        if reach is ConnectResult.CONNECTED:
            self.last_alive[endpoint_id] = self._guard.wall()
        elif reach is ConnectResult.REFUSED:
            self._guard.crash_detector.record_closed_port(endpoint_id)

    def _read_vanished(self) -> Task:
        """Take note of endpoints that vanished while no entry process ran."""
        try:
            found = yield from self._vanished()
        except PlatformError as exc:
            self._log.info("vanished endpoints not known", detail=str(exc))
            return
        for endpoint_id in found:
            self._guard.crash_detector.record_closed_port(endpoint_id)

    def _read_former(self) -> Task:
        """Read all records once."""
        tries = 0
        while True:
            try:
                found = yield from self._rows.read_all()
            except PlatformError as exc:
                self._metrics.count("platform_errors_total", operation="recorded_sends")
                if tries == 0:
                    self._log.warning("recorded sends not read yet", detail=str(exc))
                yield Sleep(_BACKOFF.compute_delay(tries, self._rng))
                tries += 1
            else:
                self._take_former(found)
                return

    def _take_former(self, found: Iterable[VersionedRecord | PlatformError]) -> None:
        """Take records, and try the endpoints that they name."""
        for each in self._readable(found):
            self._known.take(each)
        if not self._known.kept:
            return
        records = [each.record for each in self._known.kept.values()]
        self._log.info("recorded sends read", requests=len(records))
        for endpoint_id, address in self._to_probe(records).items():
            self._probe_former(endpoint_id, address)
        self.on_read()

    def _to_probe(self, records: list[IntentRecord]) -> dict[str, str]:
        """Return endpoints and addresses: all of requests sent repeatedly, few of the others."""
        repeated = [each for each in records if len(each.sends) > 1]
        others = [each for each in records if len(each.sends) == 1]
        chosen = repeated + self._rng.sample(others, min(len(others), MAX_PROBES))
        return {send.endpoint_id: send.address for each in chosen for send in each.sends}

    def _readable(
        self, found: Iterable[VersionedRecord | PlatformError]
    ) -> Iterable[VersionedRecord]:
        for each in found:
            if isinstance(each, VersionedRecord):
                yield each
            else:
                self._metrics.count("platform_errors_total", operation="recorded_sends")
                self._log.warning("record of sends refused", detail=str(each))

    def _probe_former(self, endpoint_id: str, address: str) -> None:
        """Try an endpoint of a record: its row may be gone already."""
        self._metrics.count("endpoint_probes_total")
        self._transport.probe(
            address, PROBE_SECONDS, lambda reach: self._former_probed(endpoint_id, reach)
        )

    def _former_probed(self, endpoint_id: str, reach: ConnectResult) -> None:
        if reach is not ConnectResult.REFUSED and not self._directory.ready_endpoints():
            # The rows of endpoints are not read yet.
            self._timers.once(TOGETHER_SECONDS, lambda: self._former_probed(endpoint_id, reach))
        elif reach is ConnectResult.REFUSED or not self._directory.zone_of(endpoint_id):
            self._guard.crash_detector.record_closed_port(endpoint_id)
        elif reach is ConnectResult.CONNECTED:
            self.last_alive[endpoint_id] = self._guard.wall()

    def _read_again(self) -> Task:
        """Take evidence from the records of endpoints that have ended, as they are now."""
        self._resolving = False
        try:
            found = yield from self._rows.read_all()
        except PlatformError as exc:
            self._log.info("recorded sends not read", detail=str(exc))
        else:
            for each in self._readable(found):
                self._known.take(each)
        self._take_evidence()

    def _take_evidence(self) -> None:
        """Tell the guard which requests were at endpoints that have ended."""
        at_endpoint: dict[str, list[tuple[str, SendIntent]]] = {}
        for kept in self._known.kept.values():
            for send in kept.record.sends:
                if send.endpoint_id in self._ended and not self.is_own(send):
                    named = (kept.record.fingerprint, send)
                    at_endpoint.setdefault(send.endpoint_id, []).append(named)
            recorded = IntentSummary(len(kept.record.sends), frozenset(kept.record.unobserved))
            self._guard.quarantine.merge_intents(kept.record.fingerprint, recorded)
        ends = tuple(_end(each) for each in at_endpoint.values())
        for end in ends:
            self._log.info(
                "endpoint ended under recorded sends",
                endpoint=end.endpoint_id,
                work=end.requests,
                ago=round(self._guard.wall() - end.at, 3),
            )
            self._guard.intents.record_unobserved_crash(end.endpoint_id)
        self._guard.load_evidence(ends)


def _end(sends: list[tuple[str, SendIntent]]) -> EndpointCrash:
    """Return the end of an endpoint as the records of what was there tell it."""
    first = sends[0][1]
    names = tuple(dict.fromkeys(fingerprint for fingerprint, _ in sends))
    at = max(send.at for _, send in sends)
    # Others may have been there: what was answered before needed no record.
    return EndpointCrash(first.endpoint_id, first.zone, at, names, omitted=1)
