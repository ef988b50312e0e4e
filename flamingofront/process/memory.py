"""Shares of the resources of a process that its callers may use, and the log of their use."""

from dataclasses import dataclass

from flamingofront.decisions.memory_account import (
    MemoryAccount,
    MemoryKind,
    MemoryObserver,
    MemoryState,
)
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics

__all__ = [
    "ConnectionLimits",
    "LoggedMemory",
    "compute_account_size",
    "compute_connection_limits",
    "set_memory_gauges",
]

# Memory of a process that serves nobody, with what it learns of endpoints and peers.
BASE_BYTES = 64_000_000
# Part of the other memory that connections may hold. The rest is for responses that are collected,
# for copies in progress, and for what the allocator cannot use.
ACCOUNT_SHARE = 0.45
# The account holds two of the largest bodies in any case.
MIN_LARGEST_BODIES = 2
# Descriptors that only files may use.
FILE_DESCRIPTORS = 200
# Parts of the other descriptors that connections of callers, of peers that hand connections over,
# of peers and operators, and of probes may use. The rest is for endpoints, the store and peers.
CALLER_SHARE = 0.4
SPLICED_SHARE = 0.05
CONTROL_SHARE = 0.08
PROBE_SHARE = 0.01
# Each connection that is handed over to a peer takes two.
HANDED_OVER_SHARE = 0.06
MIN_CONNECTIONS = 4


@dataclass(frozen=True)
class ConnectionLimits:
    """Maximum numbers of open connections of the servers of a process.

    Parameters
    ----------
    callers, spliced, control : int
        Connections of callers, those handed over by peers, and those of peers and operators.
    probes : int
        Connections of the balancer's checks, and of those that read metrics.
    handed_over : int
        Connections of callers that peers serve.
    """

    callers: int
    spliced: int
    control: int
    probes: int
    handed_over: int


def compute_account_size(memory: int, max_body: int) -> int:
    """Return the bytes that connections may hold.

    Parameters
    ----------
    memory : int
        Memory of the process in bytes.
    max_body : int
        Largest legal size of a request body in bytes.
    """
    share = int(ACCOUNT_SHARE * (memory - BASE_BYTES))
    return max(share, MIN_LARGEST_BODIES * max_body)


def compute_connection_limits(descriptors: int) -> ConnectionLimits:
    """Return the maximum numbers of connections with so many descriptors."""
    sockets = descriptors - FILE_DESCRIPTORS

    def part(share: float) -> int:
        return max(MIN_CONNECTIONS, int(sockets * share))

    return ConnectionLimits(
        callers=part(CALLER_SHARE),
        spliced=part(SPLICED_SHARE),
        control=part(CONTROL_SHARE),
        probes=part(PROBE_SHARE),
        handed_over=part(HANDED_OVER_SHARE),
    )


class LoggedMemory(MemoryObserver):
    """Logs when an account is full and when it has room again, and counts its decisions."""

    def __init__(self, metrics: Metrics, log: Log):
        self._metrics = metrics
        self._log = log

    def record_refusal(self, kind: MemoryKind) -> None:
        """Count a refused reservation."""
        self._metrics.count("memory_refusals_total", kind=kind.value)

    def record_eviction(self, kind: MemoryKind) -> None:
        """Count a connection that was ended."""
        self._metrics.count("memory_evictions_total", kind=kind.value)

    def record_full(self, state: MemoryState) -> None:
        """Log that there is no room any more."""
        self._log.warning("memory for callers is full", **_describe(state))

    def record_room(self, state: MemoryState) -> None:
        """Log that there is room again."""
        self._log.info("memory for callers has room", **_describe(state))


def set_memory_gauges(memory: MemoryAccount, metrics: Metrics) -> None:
    """Set the metrics of what connections hold."""
    state = memory.state
    metrics.gauge("memory_limit_bytes", state.size)
    for kind, size in state.by_kind.items():
        metrics.gauge("memory_held_bytes", size, kind=kind.value)


def _describe(state: MemoryState) -> dict[str, object]:
    """Return the fields of a log line."""
    kinds = {f"{kind.value}_bytes": size for kind, size in state.by_kind.items() if size}
    return {
        "limit_bytes": state.size,
        "held_bytes": state.used,
        **kinds,
        "refused_count": state.refused,
        "evicted_count": state.evicted,
    }
