"""State that entry processes send one another several times a second, by datagram.

A report has a full form and a short form, which leaves out the counts that only some processes need
(usage, demand). A receiver of the short form keeps the demand of the last full report. Between two
reports a `LoadDelta` reports at once which attempts were placed at an endpoint and which prompt
tokens an endpoint has read.
"""

import dataclasses
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from flamingofront.decisions.part_facts import PartTimes, PartUpdate
from flamingofront.decisions.quarantine_facts import QuarantineUpdate
from flamingofront.decisions.rollout import Phase
from flamingofront.process.forwarding.limit_messages import decode_limits, encode_limits
from flamingofront.process.forwarding.message_size import encode_within
from flamingofront.process.quarantine_codec import (
    decode_part_times,
    decode_part_update,
    decode_quarantine_update,
    encode_part_times,
    encode_part_update,
    encode_quarantine_update,
)
from flamingofront.request.endpoint_limits import EndpointLimit

__all__ = [
    "LoadDelta",
    "PeerReport",
    "choose_clock_offset",
    "PeerTable",
    "ProcessCounts",
    "decode_load_delta",
    "decode_report",
    "encode_load_delta",
    "encode_report",
    "is_load_delta",
    "decode_ages",
    "decode_time",
    "decode_endpoint_numbers",
    "without_counts",
]

# Requests started, by process, window and workspace.
ProcessCounts = Mapping[str, Mapping[str, Mapping[str, int]]]

# A process counts as unreachable after this time without a report, or after four report periods if
# that is longer.
LIVENESS_TIMEOUT_SECONDS = 1.6
LIVENESS_TIMEOUT_REPORTS = 4
# A zone counts as unreachable when no member reported for three report periods, and at least two of
# its members reported within the last 8 s: a single one may have been killed.
ZONE_TIMEOUT_REPORTS = 3
MIN_UNREACHABLE_MEMBERS = 2
ZONE_MEMORY_SECONDS = 8.0
# A process without a report for this long is no longer a member. This is longer than any restart or
# partition after which it would return with its old counters.
MEMBER_EXPIRY_SECONDS = 30.0
# A message that may have waited for longer than this shows a clock that seems slow by as much.
MAX_CLOCK_WAIT_SECONDS = 0.1


@dataclass(frozen=True)
class PeerReport:
    """State of one entry process.

    Parameters
    ----------
    incarnation : int
        Start time of the process, milliseconds since the epoch; its counters start from 0.
    sequence : int
        Number of the report.
    address : str
        ``IP:PORT`` at which peers can fetch the state that it has cached.
    wall : float
        Its wall clock, seconds since the epoch.
    configuration : int
        Version of its active configuration.
    endpoints : int
        Change number of the newest endpoint row that it has cached.
    store_unreachable : bool
        True if the store does not answer it.
    watches_store : bool
        True if it watches the change feed of the store itself, and forwards changes to its zone.
    leaving : bool
        True during a graceful shutdown.
    fencing : int
        Fencing token of the leader lease that it holds; 0 if it holds none.
    released : int
        Fencing token of the leader lease that it has released; 0 if it has released none.
    lease_version : int
        Version of the lease row after its last renewal.
    consumed : mapping of str to float
        Quota units consumed since its start by workspace, and response totals of rollouts.
    in_flight : mapping of str to int
        Attempts in flight, by endpoint.
    backlog : mapping of str to int
        Prompt tokens of its attempts whose response has not started yet, by endpoint.
    peers : tuple of str
        IP addresses of some of its live peers.
    usage : mapping, optional
        Requests started, by process, window and workspace, for the last windows: those of this
        process and of processes that have ended. None if this report leaves it out.
    demand : mapping of str to float, optional
        Requests in flight, by service. None if this report leaves it out.
    work : mapping of str to (float, float), optional
        Fast and slow moving average of the load that it places, in endpoint-seconds per second, by
        service. None if this report leaves it out.
    rollouts : mapping of str to (int, int)
        Sequence number and phase of each rollout that it has cached, by service.
    quarantine : QuarantineUpdate, optional
        Endpoints that have just crashed with the requests that ran there, and quarantined requests.
        None if there are none.
    limits : tuple of EndpointLimit
        Changes of the rate limits of endpoints in the last seconds.
    leaving_endpoints : tuple of (str, int)
        Endpoints that began to leave recently, according to their responses or rows, with their
        start times in milliseconds since the epoch.
    position : int
        Feed position up to which its configuration is current.
    ages : tuple of (float or None, float or None)
        Seconds since its cached configuration, and its cached endpoints, were current. None if
        unknown.
    confirmed : tuple of (float or None, float or None)
        Times of the store's steady clock up to which both were current. None if unknown.
    answered : float or None
        Time of the store's steady clock at its last answer to a short call of any process. None if
        unknown.
    removed_endpoints : tuple of (str, int)
        Endpoints that were removed recently, with the revision of the store up to which a row is
        older than the removal.
    suspect_parts : PartUpdate, optional
        Endpoints that have just crashed, with the prompt parts of requests that were there. None if
        there are none.
    delay_ms : int, optional
        Mean delay until it reads a new connection, which grows with its load. None if it is not
        known.
    part_times : PartTimes, optional
        How long these requests were there, and others with the same parts at other endpoints.
    """

    vm_id: str
    incarnation: int
    sequence: int
    zone: str
    ip: str
    address: str
    wall: float = 0.0
    configuration: int = 0
    endpoints: int = 0
    store_unreachable: bool = False
    watches_store: bool = True
    leaving: bool = False
    fencing: int = 0
    released: int = 0
    lease_version: int = 0
    consumed: Mapping[str, float] = field(default_factory=dict)
    in_flight: Mapping[str, int] = field(default_factory=dict)
    backlog: Mapping[str, int] = field(default_factory=dict)
    peers: tuple[str, ...] = ()
    usage: ProcessCounts | None = None
    demand: Mapping[str, float] | None = None
    work: Mapping[str, tuple[float, float]] | None = None
    rollouts: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    quarantine: QuarantineUpdate | None = None
    limits: tuple[EndpointLimit, ...] = ()
    leaving_endpoints: tuple[tuple[str, int], ...] = ()
    position: int = 0
    ages: tuple[float | None, float | None] = (None, None)
    confirmed: tuple[float | None, float | None] = (None, None)
    removed_endpoints: tuple[tuple[str, int], ...] = ()
    answered: float | None = None
    suspect_parts: PartUpdate | None = None
    delay_ms: int | None = None
    part_times: PartTimes | None = None

    @property
    def process(self) -> str:
        """VM and incarnation, which identify one process."""
        return f"{self.vm_id}/{self.incarnation}"


def without_counts(report: PeerReport) -> PeerReport:
    """Return the short form of a report, without usage, demand and work."""
    return replace(report, usage=None, demand=None, work=None)


def without_evidence(report: PeerReport) -> PeerReport:
    """Return a report without evidence on crashes."""
    return replace(report, quarantine=None, suspect_parts=None, part_times=None)


_FIELDS = tuple(each.name for each in dataclasses.fields(PeerReport))
_ENCODERS = {
    "quarantine": encode_quarantine_update,
    "limits": encode_limits,
    "suspect_parts": encode_part_update,
    "part_times": encode_part_times,
}
_REQUIRED_COUNT = sum(
    each.default is dataclasses.MISSING and each.default_factory is dataclasses.MISSING
    for each in dataclasses.fields(PeerReport)
)


def _find_omissible() -> dict[int, object]:
    """Return position and default of the fields of a report that grow with what they name."""
    defaults = {}
    for position, each in enumerate(dataclasses.fields(PeerReport)):
        if each.default_factory is not dataclasses.MISSING:
            defaults[position] = each.default_factory()
        elif each.default is None or each.default == ():
            defaults[position] = each.default
    return defaults


_OMISSIBLE = _find_omissible()


def encode_report(
    report: PeerReport, on_omitted: Callable[[tuple[str, ...]], None] = lambda names: None
) -> bytes:
    """Return the datagram of a report: the values in the order of the fields.

    Parameters
    ----------
    on_omitted : callable
        Called with the names of the fields that were left out of a report that was too long.

    Notes
    -----
    Without the names of the fields the short form of a process with 16 workspaces takes 705 bytes
    instead of 907.
    """
    values = ((_ENCODERS.get(name), getattr(report, name)) for name in _FIELDS)
    encoded = [value if encode is None else encode(value) for encode, value in values]
    data, omitted = encode_within(encoded, _OMISSIBLE)
    if omitted:
        on_omitted(tuple(_FIELDS[each] for each in omitted))
    return data


def decode_report(data: bytes) -> PeerReport:
    """Return the report in a datagram; fields appended by a newer version are ignored.

    Raises
    ------
    ValueError
        If the datagram is no valid report.
    """
    try:
        values = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise ValueError(f"malformed report: {exc}") from exc
    if not isinstance(values, list) or len(values) < _REQUIRED_COUNT:
        raise ValueError("malformed report: expected a list with the values of all required fields")
    named = dict(zip(_FIELDS, values, strict=False))
    named["peers"] = _decode_ips(named.get("peers", ()))
    named["rollouts"] = decode_rollouts(named.get("rollouts", {}))
    named["quarantine"] = decode_quarantine_update(named.get("quarantine"))
    named["limits"] = decode_limits(named.get("limits", ()))
    named["leaving_endpoints"] = decode_endpoint_numbers(named.get("leaving_endpoints", ()))
    named["ages"] = decode_ages(named.get("ages", (None, None)))
    named["confirmed"] = decode_ages(named.get("confirmed", (None, None)))
    named["answered"] = decode_time(named.get("answered"))
    named["removed_endpoints"] = decode_endpoint_numbers(named.get("removed_endpoints", ()))
    named["delay_ms"] = decode_delay(named.get("delay_ms"))
    named["suspect_parts"] = decode_part_update(named.get("suspect_parts"))
    named["part_times"] = decode_part_times(named.get("part_times"))
    return PeerReport(**named)


def _decode_ips(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list | tuple) or not all(isinstance(each, str) for each in value):
        raise ValueError(f"malformed report: {value!r:.60} is not a list of IP addresses")
    return tuple(value)


def decode_rollouts(value: Any) -> dict[str, tuple[int, int]]:
    """Return the sequence number and phase of each rollout, by service.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    try:
        return {str(name): (int(each[0]), int(Phase(each[1]))) for name, each in value.items()}
    except (TypeError, AttributeError, IndexError) as exc:
        raise ValueError(f"malformed rollouts: {exc!r:.100}") from exc


def decode_endpoint_numbers(value: Any) -> tuple[tuple[str, int], ...]:
    """Return endpoint ids with a number each: a start time in milliseconds, or a revision.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    try:
        return tuple((str(endpoint_id), int(number)) for endpoint_id, number in value)
    except TypeError as exc:
        raise ValueError(f"malformed numbers of endpoints: {exc!r:.100}") from exc


def decode_delay(value: Any) -> int | None:
    """Return a delay in milliseconds; None if it is unknown.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    if value is None or isinstance(value, int):
        return value
    raise ValueError(f"malformed delay: {value!r:.60}")


def decode_time(value: Any) -> float | None:
    """Return a time in seconds; None if it is unknown.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    try:
        return None if value is None else float(value)
    except TypeError as exc:
        raise ValueError(f"malformed time: {exc!r:.100}") from exc


def decode_ages(value: Any) -> tuple[float | None, float | None]:
    """Return the ages, or times, of the cached configuration and endpoints, in seconds.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    try:
        configuration, endpoints = (None if each is None else float(each) for each in value)
    except TypeError as exc:
        raise ValueError(f"malformed ages: {exc!r:.100}") from exc
    return configuration, endpoints


@dataclass(frozen=True)
class LoadDelta:
    """Load placed at and completed by endpoints since a report.

    Parameters
    ----------
    sequence : int
        Number of the sender's last report; later reports include these changes.
    changes : mapping of str to (int, int)
        By endpoint, attempts started minus attempts ended, and prompt tokens placed minus prompt
        tokens that the endpoint has read.
    """

    vm_id: str
    incarnation: int
    sequence: int
    changes: Mapping[str, tuple[int, int]]


_DELTA_PREFIX = b"{"


def is_load_delta(data: bytes) -> bool:
    """Return True if a datagram is a load delta; a report is a list."""
    return data.startswith(_DELTA_PREFIX)


def encode_load_delta(delta: LoadDelta) -> bytes:
    """Return the datagram of a load delta."""
    return orjson.dumps({"load": [delta.vm_id, delta.incarnation, delta.sequence, delta.changes]})


def decode_load_delta(data: bytes) -> LoadDelta:
    """Return the load delta in a datagram.

    Raises
    ------
    ValueError
        If the datagram is no valid load delta.
    """
    try:
        vm_id, incarnation, sequence, changes = orjson.loads(data)["load"]
        found = {name: (int(each[0]), int(each[1])) for name, each in changes.items()}
    except (KeyError, TypeError, IndexError, AttributeError, ValueError) as exc:
        raise ValueError(f"malformed load delta: {exc!r}") from exc
    return LoadDelta(str(vm_id), int(incarnation), int(sequence), found)


@dataclass(frozen=True)
class _ReceivedReport:
    report: PeerReport
    received_at: float
    clock_offset: float


def _adjust_count(counts: Mapping[str, int], name: str, change: int) -> dict[str, int]:
    """Return a copy of the counts with one of them changed, but not below 0."""
    return {**counts, name: max(0, counts.get(name, 0) + change)}


def choose_clock_offset(offset: float, last: float | None, waited: float) -> float:
    """Return the offset of a sender's clock, given that of the message that is read now.

    Parameters
    ----------
    last : float or None
        Offset by its previous messages; None if there are none.
    waited : float
        Longest time for which the message may have waited to be read, in seconds.
    """
    return offset if last is None or waited <= MAX_CLOCK_WAIT_SECONDS else last


class PeerTable:
    """Last report of each other process.

    Parameters
    ----------
    local_id : str
        VM of this process, whose own reports are ignored.
    """

    def __init__(self, local_id: str):
        self._local_id = local_id
        self._reports: dict[str, _ReceivedReport] = {}
        self._liveness_timeout = self._zone_timeout = LIVENESS_TIMEOUT_SECONDS

    def set_report_period(self, seconds: float) -> None:
        """Set the seconds between two reports of a process to the same peer."""
        self._liveness_timeout = max(LIVENESS_TIMEOUT_SECONDS, LIVENESS_TIMEOUT_REPORTS * seconds)
        self._zone_timeout = ZONE_TIMEOUT_REPORTS * seconds

    def is_within_timeout(self, age: float) -> bool:
        """Return True if a process whose last report is this many seconds old counts as live."""
        return age <= self._liveness_timeout

    def store_report(self, report: PeerReport, now: float, waited: float = 0.0) -> bool:
        """Store a report; False if it is not newer than the stored one, or from this process.

        Parameters
        ----------
        waited : float
            Longest time for which the report may have waited to be read, in seconds.
        """
        if report.vm_id == self._local_id:
            return False
        last = self._reports.get(report.vm_id)
        rank = (report.incarnation, report.sequence)
        if last and rank <= (last.report.incarnation, last.report.sequence):
            return False
        if last and report.demand is None:
            report = replace(report, demand=last.report.demand, work=last.report.work)
        offset = choose_clock_offset(report.wall - now, last and last.clock_offset, waited)
        self._reports[report.vm_id] = _ReceivedReport(report, now, offset)
        return True

    def apply_delta(self, delta: LoadDelta) -> bool:
        """Apply a load delta to its sender's last report and return True.

        Returns False without such a report, or if the report already includes the delta.
        """
        last = self._reports.get(delta.vm_id)
        if last is None:
            return False
        report = last.report
        if delta.incarnation != report.incarnation or delta.sequence < report.sequence:
            return False
        for name, (requests, tokens) in delta.changes.items():
            report = replace(
                report,
                in_flight=_adjust_count(report.in_flight, name, requests),
                backlog=_adjust_count(report.backlog, name, tokens),
            )
        self._reports[delta.vm_id] = replace(last, report=report)
        return True

    def seconds_since_report(self, vm_id: str, now: float) -> float | None:
        """Return the age in seconds of a process's last report; None if there is none."""
        last = self._reports.get(vm_id)
        return None if last is None else now - last.received_at

    def live_reports(self, now: float) -> list[PeerReport]:
        """Return the last reports of the live processes."""
        return [
            each.report
            for each in self._reports.values()
            if self.is_within_timeout(now - each.received_at)
        ]

    def unreachable_zones(self, now: float) -> frozenset[str]:
        """Return the zones of which two or more members reported recently, and none still does."""
        live: dict[str, int] = {}
        unreachable: dict[str, int] = {}
        for each in self._reports.values():
            if each.report.leaving or now - each.received_at > ZONE_MEMORY_SECONDS:
                continue
            counts = live if now - each.received_at <= self._zone_timeout else unreachable
            counts[each.report.zone] = counts.get(each.report.zone, 0) + 1
        return frozenset(
            zone
            for zone, count in unreachable.items()
            if zone not in live and count >= MIN_UNREACHABLE_MEMBERS
        )

    def members(self, now: float) -> list[PeerReport]:
        """Return the last reports of all other members, live or not, and drop expired ones."""
        for vm_id, each in list(self._reports.items()):
            age = now - each.received_at
            left = each.report.leaving and not self.is_within_timeout(age)
            if age > MEMBER_EXPIRY_SECONDS or left:
                del self._reports[vm_id]
        return [each.report for each in self._reports.values()]

    def clock_offsets(self, now: float) -> list[float]:
        """Return wall clock minus local monotonic clock in seconds, for each recent report."""
        return [
            each.clock_offset
            for each in self._reports.values()
            if now - each.received_at <= MEMBER_EXPIRY_SECONDS
        ]
