"""What entry processes tell one another, several times a second, by datagram.

A report goes out in two forms: with the counts that only some of the processes need (usage,
demand), and without them. A process that hears the short form keeps the demand that it was told
before. Between two reports a `LoadDelta` tells at once what was placed at an endpoint and what an
endpoint has read.
"""

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from flamingofront.decisions.quarantine_facts import QuarantineUpdate
from flamingofront.decisions.rollout import Phase
from flamingofront.process.forwarding.limit_messages import decode_limits, encode_limits
from flamingofront.process.quarantine_codec import (
    decode_quarantine_update,
    encode_quarantine_update,
)
from flamingofront.request.endpoint_limits import EndpointLimit

__all__ = [
    "LoadDelta",
    "PeerReport",
    "PeerTable",
    "ProcessCounts",
    "decode_note",
    "decode_report",
    "encode_note",
    "encode_report",
    "is_note",
    "decode_ages",
    "decode_starts",
    "without_counts",
]

ProcessCounts = Mapping[str, Mapping[str, Mapping[str, int]]]

# A process that has not been heard for so long is out of hearing, or for as long as four of its
# reports take, whichever is more.
HEARD_SECONDS = 1.6
HEARD_REPORTS = 4
# A zone is silent when none of its members was heard for as long as three of their reports take,
# and two of them or more were heard within the last seconds: one alone may have been killed.
SILENCE_REPORTS = 3
SILENT_MEMBERS = 2
RECALLED_SECONDS = 8.0
# A process that has not been heard for so long is no member any more: longer than any restart or
# partition after which it would come back with its old counts.
MEMBER_SECONDS = 30.0


@dataclass(frozen=True)
class PeerReport:
    """State of one entry process.

    Parameters
    ----------
    incarnation : int
        Start of the process; a new one counts from 0.
    sequence : int
        Number of the report.
    address : str
        ``IP:PORT`` at which peers can ask for what it holds.
    wall : float
        Its wall clock, seconds since the epoch.
    configuration : int
        Version of the configuration in force there.
    endpoints : int
        Mark of the last change of the endpoints that it knows.
    cut_off : bool
        True if the store does not answer it.
    follows : bool
        True if it follows the store itself, and tells its zone of changes.
    leaving : bool
        True if it is stopping.
    fencing : int
        Fencing number of the duty lease that it holds; 0 if it holds none.
    released : int
        Fencing number of the lease that it has given up; 0 if it has not.
    lease_version : int
        Version of the lease's row after its last renewal.
    spent : mapping of str to float
        Quota units that it has taken out in all, by workspace.
    in_flight : mapping of str to int
        Attempts that it runs, by endpoint.
    backlog : mapping of str to int
        Prompt tokens of its attempts that have not begun to be answered, by endpoint.
    peers : tuple of str
        IP numbers of some of the processes that it hears.
    usage : mapping, optional
        Requests that began, by process, window and workspace, for the last windows: those of this
        process and of processes that are gone. None if this report does not tell it.
    demand : mapping of str to float, optional
        Requests that it runs, by service. None if this report does not tell it.
    work : mapping of str to (float, float), optional
        Fast and slow mean of the work that it places, in busy endpoints, by service. None if this
        report does not tell it.
    rollouts : mapping of str to (int, int)
        Number of the order and phase of each roll-out that it knows, by service.
    quarantine : QuarantineUpdate, optional
        Endpoints that have just ended and what ran there, and requests that are not run. None if
        there are none.
    limits : tuple of EndpointLimit
        Changes of the rates that endpoints take from all, of the last seconds.
    leaving_endpoints : tuple of (str, int)
        Endpoints that have lately begun to leave, by their answers or rows, with their starts.
    position : int
        Change of the store up to which it knows the configuration.
    ages : tuple of (float or None, float or None)
        Seconds since what it knows of the configuration, and of the endpoints, was current. None if
        that is not known.
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
    cut_off: bool = False
    follows: bool = True
    leaving: bool = False
    fencing: int = 0
    released: int = 0
    lease_version: int = 0
    spent: Mapping[str, float] = field(default_factory=dict)
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

    @property
    def process(self) -> str:
        """VM and incarnation: one process."""
        return f"{self.vm_id}/{self.incarnation}"


def without_counts(report: PeerReport) -> PeerReport:
    """Return the short form of a report."""
    return replace(report, usage=None, demand=None, work=None)


_FIELDS = tuple(each.name for each in dataclasses.fields(PeerReport))
_ENCODERS = {"quarantine": encode_quarantine_update, "limits": encode_limits}
_REQUIRED = sum(
    each.default is dataclasses.MISSING and each.default_factory is dataclasses.MISSING
    for each in dataclasses.fields(PeerReport)
)


def encode_report(report: PeerReport) -> bytes:
    """Return the datagram of a report: the values in the order of the fields.

    Notes
    -----
    Without the names of the fields the short form of a process with 16 workspaces takes 705 bytes
    in place of 907.
    """
    values = ((_ENCODERS.get(name), getattr(report, name)) for name in _FIELDS)
    return orjson.dumps([value if encode is None else encode(value) for encode, value in values])


def decode_report(data: bytes) -> PeerReport:
    """Return the report in a datagram; fields that a newer version has appended are ignored.

    Raises
    ------
    ValueError
        If it is no report.
    """
    try:
        values = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise ValueError(f"malformed report: {exc}") from exc
    if not isinstance(values, list) or len(values) < _REQUIRED:
        raise ValueError("malformed report: not a list of its fields")
    named = dict(zip(_FIELDS, values, strict=False))
    named["peers"] = _texts(named.get("peers", ()))
    named["rollouts"] = decode_rollouts(named.get("rollouts", {}))
    named["quarantine"] = decode_quarantine_update(named.get("quarantine"))
    named["limits"] = decode_limits(named.get("limits", ()))
    named["leaving_endpoints"] = decode_starts(named.get("leaving_endpoints", ()))
    named["ages"] = decode_ages(named.get("ages", (None, None)))
    return PeerReport(**named)


def _texts(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list | tuple) or not all(isinstance(each, str) for each in value):
        raise ValueError(f"malformed report: {value!r:.60} is no list of IP numbers")
    return tuple(value)


def decode_rollouts(value: Any) -> dict[str, tuple[int, int]]:
    """Return the number of the order and the phase of each roll-out, as they were told.

    Raises
    ------
    ValueError
        If it is something else.
    """
    try:
        return {str(name): (int(each[0]), int(Phase(each[1]))) for name, each in value.items()}
    except (TypeError, AttributeError, IndexError) as exc:
        raise ValueError(f"malformed word of roll-outs: {exc!r:.100}") from exc


def decode_starts(value: Any) -> tuple[tuple[str, int], ...]:
    """Return endpoints and their starts, as they were told.

    Raises
    ------
    ValueError
        If it is something else.
    """
    try:
        return tuple((str(endpoint_id), int(born)) for endpoint_id, born in value)
    except TypeError as exc:
        raise ValueError(f"malformed word of endpoints: {exc!r:.100}") from exc


def decode_ages(value: Any) -> tuple[float | None, float | None]:
    """Return the ages of what is known of the configuration and the endpoints, as they were told.

    Raises
    ------
    ValueError
        If it is something else.
    """
    try:
        configuration, endpoints = (None if each is None else float(each) for each in value)
    except TypeError as exc:
        raise ValueError(f"malformed ages: {exc!r:.100}") from exc
    return configuration, endpoints


@dataclass(frozen=True)
class LoadDelta:
    """What changed at the endpoints since a report.

    Parameters
    ----------
    sequence : int
        Number of the sender's last report: later ones tell the same changes.
    changes : mapping of str to (int, int)
        By endpoint, the attempts begun less those ended, and the prompt tokens placed less those
        that the endpoint has read.
    """

    vm_id: str
    incarnation: int
    sequence: int
    changes: Mapping[str, tuple[int, int]]


_NOTE_START = b"{"


def is_note(data: bytes) -> bool:
    """Tell whether a datagram is a note; a report is a list."""
    return data.startswith(_NOTE_START)


def encode_note(note: LoadDelta) -> bytes:
    """Return the datagram of a note."""
    return orjson.dumps({"load": [note.vm_id, note.incarnation, note.sequence, note.changes]})


def decode_note(data: bytes) -> LoadDelta:
    """Return the note in a datagram.

    Raises
    ------
    ValueError
        If it is no note.
    """
    try:
        vm_id, incarnation, sequence, changes = orjson.loads(data)["load"]
        found = {name: (int(each[0]), int(each[1])) for name, each in changes.items()}
    except (KeyError, TypeError, IndexError, AttributeError, ValueError) as exc:
        raise ValueError(f"malformed note: {exc!r}") from exc
    return LoadDelta(str(vm_id), int(incarnation), int(sequence), found)


@dataclass(frozen=True)
class _Heard:
    report: PeerReport
    at: float
    clock_offset: float


def _changed(counts: Mapping[str, int], name: str, change: int) -> dict[str, int]:
    """Return counts with one of them changed; none falls below nothing."""
    return {**counts, name: max(0, counts.get(name, 0) + change)}


class PeerTable:
    """Last report of each other process."""

    def __init__(self, own_id: str):
        self._own_id = own_id
        self._heard: dict[str, _Heard] = {}
        self._heard_seconds = self._silence_seconds = HEARD_SECONDS

    def expect_every(self, seconds: float) -> None:
        """Set the time between two reports of a process to the same peer."""
        self._heard_seconds = max(HEARD_SECONDS, HEARD_REPORTS * seconds)
        self._silence_seconds = SILENCE_REPORTS * seconds

    def in_hearing(self, gap: float) -> bool:
        """Tell whether a process that was heard some seconds ago counts as heard."""
        return gap <= self._heard_seconds

    def take(self, report: PeerReport, now: float) -> bool:
        """Take a report in; False if it is old or this process's own."""
        if report.vm_id == self._own_id:
            return False
        known = self._heard.get(report.vm_id)
        rank = (report.incarnation, report.sequence)
        if known and rank <= (known.report.incarnation, known.report.sequence):
            return False
        if known and report.demand is None:
            report = replace(report, demand=known.report.demand, work=known.report.work)
        self._heard[report.vm_id] = _Heard(report, now, report.wall - now)
        return True

    def note(self, note: LoadDelta) -> bool:
        """Add a note to the last report of its sender; False if that report tells it already."""
        known = self._heard.get(note.vm_id)
        if known is None:
            return False
        report = known.report
        if note.incarnation != report.incarnation or note.sequence < report.sequence:
            return False
        for name, (requests, tokens) in note.changes.items():
            report = replace(
                report,
                in_flight=_changed(report.in_flight, name, requests),
                backlog=_changed(report.backlog, name, tokens),
            )
        self._heard[note.vm_id] = replace(known, report=report)
        return True

    def gap(self, vm_id: str, now: float) -> float | None:
        """Return the seconds since a process was heard last; None if it never was."""
        known = self._heard.get(vm_id)
        return None if known is None else now - known.at

    def heard(self, now: float) -> list[PeerReport]:
        """Return the last reports of the processes within hearing."""
        return [each.report for each in self._heard.values() if self.in_hearing(now - each.at)]

    def unreachable_zones(self, now: float) -> frozenset[str]:
        """Return the zones of which two members or more were heard, and none is any more."""
        heard: dict[str, int] = {}
        silent: dict[str, int] = {}
        for each in self._heard.values():
            if each.report.leaving or now - each.at > RECALLED_SECONDS:
                continue
            counts = heard if now - each.at <= self._silence_seconds else silent
            counts[each.report.zone] = counts.get(each.report.zone, 0) + 1
        return frozenset(
            zone for zone, count in silent.items() if zone not in heard and count >= SILENT_MEMBERS
        )

    def members(self, now: float) -> list[PeerReport]:
        """Return the last reports of all other members, heard now or not."""
        for vm_id, each in list(self._heard.items()):
            silent = now - each.at
            left = each.report.leaving and not self.in_hearing(silent)
            if silent > MEMBER_SECONDS or left:
                del self._heard[vm_id]
        return [each.report for each in self._heard.values()]

    def clock_offsets(self, now: float) -> list[float]:
        """Return wall clock minus own monotonic clock, for each process heard."""
        return [
            each.clock_offset for each in self._heard.values() if now - each.at <= MEMBER_SECONDS
        ]
