"""Graceful stop of an entry process behind a balancer that asks whether it is ready."""

from collections.abc import Callable

from flamingofront.connection.server import HTTPServer
from flamingofront.process.forwarding.node import ForwardingNode

__all__ = ["GracefulStop"]

# The balancer asks once a second and turns away after two misses; until then new connections still
# come here, and kept ones carry new requests.
TURNED_AWAY_SECONDS = 2.5
CHECK_SECONDS = 0.05
# Time for the last bytes to callers, before the process would be killed.
EXIT_MARGIN_SECONDS = 0.4


class GracefulStop:
    """Stops being ready, goes on serving, and exits once nothing is left to answer.

    Parameters
    ----------
    grace : float
        Seconds from the signal until the process would be killed.
    on_exit : callable
        Ends the process.
    """

    def __init__(
        self,
        node: ForwardingNode,
        callers: HTTPServer,
        grace: float,
        on_exit: Callable[[], None],
    ):
        self._node = node
        self._callers = callers
        self._grace = grace
        self._on_exit = on_exit
        self._begun_at: float | None = None

    def begin(self) -> None:
        """Begin to stop; a second call has no effect."""
        if self._begun_at is not None:
            return
        timers = self._node.timers
        self._begun_at = timers.now()
        self._node.stopping = True
        self._callers.closing = True
        self._node.gateway.stop_left = self._left
        self._node.tasks.start(self._node.lease.release())
        self._node.peers.tell_now()
        self._node.log.info("stopping", requests=len(self._node.hub.active))
        timers.once(TURNED_AWAY_SECONDS, self._turned_away)

    def _turned_away(self) -> None:
        """Close idle connections: their callers come back at another VM."""
        closed = self._callers.close_idle()
        self._node.log.info("balancer has turned away", closed=closed)
        self._check()

    def _left(self) -> float:
        """Return the seconds until this process ends, whatever still runs then."""
        return self._begun_at + self._grace - EXIT_MARGIN_SECONDS - self._node.timers.now()

    def _check(self) -> None:
        self._callers.close_idle()
        timers = self._node.timers
        if self._left() > 0 and (self._node.hub.active or self._callers.connections):
            timers.once(CHECK_SECONDS, self._check)
            return
        self._node.log.info("exit", unanswered=len(self._node.hub.active))
        self._on_exit()
