"""Graceful stop of an entry process behind a balancer that asks whether it is ready."""

from collections.abc import Callable

from flamingofront.connection.server import HTTPServer
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.process.forwarding.node import ForwardingNode

__all__ = ["GracefulShutdown"]

# The balancer asks once a second and turns away after two misses; until then new connections still
# come here, and kept ones carry new requests.
TURNED_AWAY_SECONDS = 2.5
CHECK_SECONDS = 0.05
# What is begun ends so long before the process would be killed.
ANSWER_MARGIN_SECONDS = 0.4
# What has no answer by then is told that the process ends; the last bytes have time to leave.
LAST_ANSWERS_SECONDS = 0.2
EXIT_MARGIN_SECONDS = 0.05


class GracefulShutdown:
    """Stops being ready, goes on serving, and exits once nothing is left to answer.

    Parameters
    ----------
    grace : float
        Seconds from the signal until the process would be killed.
    on_exit : callable
        Ends the process.
    refuse_unread : callable
        Refuses the requests that have not come whole.
    """

    def __init__(
        self,
        node: ForwardingNode,
        callers: HTTPServer,
        grace: float,
        on_exit: Callable[[], None],
        refuse_unread: Callable[[RequestError], int] = lambda exc: 0,
    ):
        self._node = node
        self._callers = callers
        self._grace = grace
        self._on_exit = on_exit
        self._refuse_unread = refuse_unread
        self._begun_at: float | None = None
        self._is_last_told = False

    def begin(self) -> None:
        """Begin to stop; a second call has no effect."""
        if self._begun_at is not None:
            return
        timers = self._node.timers
        self._begun_at = timers.now()
        self._node.stopping = True
        self._callers.closing = True
        self._node.hub.shutdown_seconds_left = lambda: self._left(ANSWER_MARGIN_SECONDS)
        self._node.tasks.start(self._node.lease.release())
        self._node.peers.broadcast_report()
        self._node.log.info("stopping", requests=len(self._node.hub.active))
        timers.once(TURNED_AWAY_SECONDS, self._turned_away)

    def _turned_away(self) -> None:
        """Close idle connections: their callers come back at another VM."""
        closed = self._callers.close_idle()
        self._node.log.info("balancer has turned away", closed=closed)
        self._check()

    def _left(self, margin: float) -> float:
        """Return the seconds until so long before this process would be killed."""
        return self._begun_at + self._grace - margin - self._node.timers.now()

    def _check(self) -> None:
        self._callers.close_idle()
        timers = self._node.timers
        if not self._is_last_told and self._left(LAST_ANSWERS_SECONDS) <= 0:
            self._is_last_told = True
            self._tell_last()
        if self._left(EXIT_MARGIN_SECONDS) > 0 and (
            self._node.hub.active or self._callers.connections
        ):
            timers.once(CHECK_SECONDS, self._check)
            return
        self._node.log.info("exit", unanswered=len(self._node.hub.active))
        self._on_exit()

    def _tell_last(self) -> None:
        """Answer what would lose its connection without an answer: only begun streams are left."""
        unanswered = len(self._node.hub.active)
        for request in list(self._node.hub.active.values()):
            request.fail_for_shutdown()
        unread = self._refuse_unread(RequestError(ErrorKind.DRAINING))
        self._node.log.info(
            "last answers",
            unanswered=unanswered,
            unread=unread,
            broken_off=len(self._node.hub.active),
        )
