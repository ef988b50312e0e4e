"""What entry processes tell one another, several times a second, by datagram."""

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass, field

import orjson

__all__ = ["PeerReport", "PeerTable", "ProcessCounts", "decode_report", "encode_report"]

ProcessCounts = Mapping[str, Mapping[str, Mapping[str, int]]]

# A process that has not been heard for so long is out of hearing: four lost reports in a row.
HEARD_SECONDS = 1.6
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
        Version of the store up to which it knows the endpoints.
    cut_off : bool
        True if the store does not answer it.
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
    usage : mapping
        Requests that began, by process, window and workspace, for the last windows: those of this
        process and of processes that are gone.
    demand : mapping of str to float
        Requests a second, by service.
    peers : tuple of str
        IP numbers of the processes that it hears.
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
    leaving: bool = False
    fencing: int = 0
    released: int = 0
    lease_version: int = 0
    spent: Mapping[str, float] = field(default_factory=dict)
    in_flight: Mapping[str, int] = field(default_factory=dict)
    backlog: Mapping[str, int] = field(default_factory=dict)
    usage: ProcessCounts = field(default_factory=dict)
    demand: Mapping[str, float] = field(default_factory=dict)
    peers: tuple[str, ...] = ()

    @property
    def process(self) -> str:
        """VM and incarnation: one process."""
        return f"{self.vm_id}/{self.incarnation}"


def encode_report(report: PeerReport) -> bytes:
    """Return the datagram of a report."""
    return orjson.dumps(report)


_FIELDS = frozenset(each.name for each in dataclasses.fields(PeerReport))


def decode_report(data: bytes) -> PeerReport:
    """Return the report in a datagram; fields of a newer version are ignored.

    Raises
    ------
    ValueError
        If it is no report.
    """
    try:
        values = {name: value for name, value in orjson.loads(data).items() if name in _FIELDS}
        values["peers"] = tuple(values.get("peers", ()))
        return PeerReport(**values)
    except (AttributeError, TypeError, orjson.JSONDecodeError) as exc:
        raise ValueError(f"malformed report: {exc}") from exc


@dataclass(frozen=True)
class _Heard:
    report: PeerReport
    at: float
    clock_offset: float


class PeerTable:
    """Last report of each other process."""

    def __init__(self, own_id: str):
        self._own_id = own_id
        self._heard: dict[str, _Heard] = {}

    def take(self, report: PeerReport, now: float) -> bool:
        """Take a report in; False if it is old or this process's own."""
        if report.vm_id == self._own_id:
            return False
        known = self._heard.get(report.vm_id)
        rank = (report.incarnation, report.sequence)
        if known and rank <= (known.report.incarnation, known.report.sequence):
            return False
        self._heard[report.vm_id] = _Heard(report, now, report.wall - now)
        return True

    def gap(self, vm_id: str, now: float) -> float | None:
        """Return the seconds since a process was heard last; None if it never was."""
        known = self._heard.get(vm_id)
        return None if known is None else now - known.at

    def heard(self, now: float) -> list[PeerReport]:
        """Return the last reports of the processes within hearing."""
        return [each.report for each in self._heard.values() if now - each.at <= HEARD_SECONDS]

    def members(self, now: float) -> list[PeerReport]:
        """Return the last reports of all other members, heard now or not."""
        for vm_id, each in list(self._heard.items()):
            silent = now - each.at
            if silent > MEMBER_SECONDS or (each.report.leaving and silent > HEARD_SECONDS):
                del self._heard[vm_id]
        return [each.report for each in self._heard.values()]

    def clock_offsets(self, now: float) -> list[float]:
        """Return wall clock minus own monotonic clock, for each process heard."""
        return [
            each.clock_offset for each in self._heard.values() if now - each.at <= MEMBER_SECONDS
        ]
