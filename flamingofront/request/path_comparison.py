"""Comparison of this VM's path to endpoints with that of a peer, by probes at the same time.

Endpoints that stand still respond to nobody, and may go on at any moment. A peer that reaches one
after the probes of this process have failed is therefore no evidence of a lost path.
"""

import math
from collections.abc import Callable, Iterable
from enum import StrEnum

from flamingofront.process.timers import TimerService

__all__ = ["PathComparison", "PathVerdict"]

# Most endpoints respond within some milliseconds, so that no peer is asked in vain.
QUESTION_DELAY_SECONDS = 0.05
# Own probes that fail so long after the answer of the peer were pending while it was reached.
MIN_OVERLAP_SECONDS = 0.1


class PathVerdict(StrEnum):
    """Outcome of a comparison."""

    REACHED = "reached"
    """This process reaches an endpoint."""
    LOST = "lost"
    """A peer reaches an endpoint, and this process reached none at that time."""
    UNREACHED = "unreached"
    """A peer does not reach the endpoint either."""
    UNKNOWN = "unknown"
    """No peer could tell."""


class PathComparison:
    """One comparison: probes of this process, and the question to peers.

    Parameters
    ----------
    endpoint_ids : iterable of str
        Endpoints that are probed; reaching one of them is enough.
    asked_for : str
        Endpoint that a peer is to reach.
    start_probe : callable
        Probes an endpoint, and calls back with whether it was reached.
    ask_peer : callable
        Asks peers for an endpoint, and calls back with the answer; None if none could tell.
    on_end : callable
        Called once with the outcome.
    """

    def __init__(
        self,
        endpoint_ids: Iterable[str],
        asked_for: str,
        timers: TimerService,
        start_probe: Callable[[str, Callable[[bool], None]], None],
        ask_peer: Callable[[str, Callable[[bool | None], None]], None],
        on_end: Callable[[PathVerdict], None],
    ):
        self._endpoint_ids = tuple(endpoint_ids)
        self._asked_for = asked_for
        self._timers = timers
        self._start_probe = start_probe
        self._ask_peer = ask_peer
        self._on_end = on_end
        self._pending: set[str] = set()
        self._is_asked = False
        self._has_answer = False
        self._answer: bool | None = None
        self._answered_at = math.inf
        self._is_done = False

    def start(self) -> None:
        """Start the probes, and ask a peer unless one succeeds at once."""
        self._probe_all()
        if self._pending:
            self._timers.once(QUESTION_DELAY_SECONDS, self._ask)
        else:
            self._ask()

    def _probe_all(self) -> None:
        self._pending = set(self._endpoint_ids)
        for each in self._endpoint_ids:
            self._start_probe(each, lambda is_reached, each=each: self._on_probe(each, is_reached))

    def _on_probe(self, endpoint_id: str, is_reached: bool) -> None:
        self._pending.discard(endpoint_id)
        if is_reached:
            self._end(PathVerdict.REACHED)
        elif not self._pending:
            self._ask()
            self._evaluate()

    def _ask(self) -> None:
        if not self._is_asked and not self._is_done:
            self._is_asked = True
            self._ask_peer(self._asked_for, self._on_answer)

    def _on_answer(self, answer: bool | None) -> None:
        self._has_answer, self._answer = True, answer
        self._answered_at = self._timers.now()
        self._evaluate()

    def _evaluate(self) -> None:
        """End with the evidence of both sides, or probe again if it is not from the same time."""
        if self._is_done or self._pending or not self._has_answer:
            return
        if self._answer is None:
            self._end(PathVerdict.UNKNOWN)
        elif not self._answer:
            self._end(PathVerdict.UNREACHED)
        elif self._timers.now() - self._answered_at >= MIN_OVERLAP_SECONDS:
            self._end(PathVerdict.LOST)
        else:
            # Probes that begin now are later than the answer, whenever they fail.
            self._answered_at = -math.inf
            self._probe_all()

    def _end(self, verdict: PathVerdict) -> None:
        if not self._is_done:
            self._is_done = True
            self._on_end(verdict)
