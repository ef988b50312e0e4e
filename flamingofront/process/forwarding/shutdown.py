"""Graceful shutdown of an entry process behind a balancer that checks its readiness."""

from collections.abc import Callable

from flamingofront.connection.server import HTTPServer
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.process.forwarding.node import ForwardingNode

__all__ = ["GracefulShutdown"]

# The balancer checks once a second and removes the process after two failures. Until then new
# connections arrive here, and persistent ones carry new requests.
BALANCER_REACTION_SECONDS = 2.5
CHECK_SECONDS = 0.05
# Requests in flight must complete this long before the process would be killed.
ANSWER_MARGIN_SECONDS = 0.4
# Remaining requests are answered with an error this long before the kill, so that the last bytes
# can leave.
FINAL_ANSWER_MARGIN_SECONDS = 0.2
EXIT_MARGIN_SECONDS = 0.05


class GracefulShutdown:
    """Stops being ready, goes on serving, and exits once no request is left.

    Parameters
    ----------
    grace : float
        Seconds from the signal until the process would be killed.
    on_exit : callable
        Ends the process.
    reject_unread : callable
        Rejects the requests that have not been received completely, and returns their number.
    count_spliced : callable
        Closes the idle connections that were handed over between processes, and returns the number
        of the others.
    """

    def __init__(
        self,
        node: ForwardingNode,
        callers: HTTPServer,
        grace: float,
        on_exit: Callable[[], None],
        reject_unread: Callable[[RequestError], int] = lambda exc: 0,
        count_spliced: Callable[[], int] = lambda: 0,
    ):
        self._node = node
        self._callers = callers
        self._grace = grace
        self._on_exit = on_exit
        self._reject_unread = reject_unread
        self._count_spliced = count_spliced
        self._started_at: float | None = None
        self._has_answered_remaining = False

    def set_grace(self, seconds: float) -> None:
        """Set the time from the signal until the process would be killed.

        Notes
        -----
        Once the shutdown has begun, the time can only become shorter: it is not known whether a
        longer one applies to a signal that was sent before.
        """
        self._grace = seconds if self._started_at is None else min(self._grace, seconds)

    def begin(self, signalled_at: float | None = None) -> None:
        """Start the shutdown; a second call has no effect.

        Parameters
        ----------
        signalled_at : float, optional
            Time of the signal, if the event loop has noticed it later; now by default.
        """
        if self._started_at is not None:
            return
        timers = self._node.timers
        self._started_at = timers.now() if signalled_at is None else signalled_at
        self._node.stopping = True
        self._callers.closing = True
        self._node.hub.shutdown_seconds_left = lambda: self._remaining(ANSWER_MARGIN_SECONDS)
        self._node.hub.is_out_of_rotation = lambda: (
            timers.now() - self._started_at >= BALANCER_REACTION_SECONDS
        )
        self._node.tasks.start(self._node.lease.release())
        self._node.peers.broadcast_report()
        late = timers.now() - self._started_at
        self._node.log.info(
            "stopping", requests=len(self._node.hub.active), noticed_ms=round(late * 1000)
        )
        first_close = min(BALANCER_REACTION_SECONDS - late, self._remaining(ANSWER_MARGIN_SECONDS))
        timers.once(first_close, self._close_idle)

    def _close_idle(self) -> None:
        """Close idle connections: the balancer sends their callers to another VM by now.

        Notes
        -----
        Or there is no time left until then, and new requests are refused already.
        """
        closed = self._callers.close_idle()
        self._node.log.info("idle connections closed", closed=closed)
        self._check()

    def _remaining(self, margin: float) -> float:
        """Return the seconds left until `margin` seconds before this process would be killed."""
        return self._started_at + self._grace - margin - self._node.timers.now()

    def _check(self) -> None:
        """Exit if no request or connection is left or time is up; otherwise check again later."""
        self._callers.close_idle()
        timers = self._node.timers
        if not self._has_answered_remaining and self._remaining(FINAL_ANSWER_MARGIN_SECONDS) <= 0:
            self._has_answered_remaining = True
            self._answer_remaining()
        spliced = self._count_spliced()
        if self._remaining(EXIT_MARGIN_SECONDS) > 0 and (
            self._node.hub.active
            or self._callers.connections
            or self._node.proxy.count_active()
            or spliced
        ):
            timers.once(CHECK_SECONDS, self._check)
            return
        self._node.log.info(
            "exit",
            unanswered=len(self._node.hub.active),
            proxied=self._node.proxy.count_active(),
            spliced=spliced,
        )
        self._on_exit()

    def _answer_remaining(self) -> None:
        """Answer all requests whose response has not started; only started streams are left.

        Notes
        -----
        Without an answer, the callers would only see that their connection is lost.
        """
        unanswered = len(self._node.hub.active)
        for request in list(self._node.hub.active.values()):
            request.fail_for_shutdown()
        unread = self._reject_unread(RequestError(ErrorKind.DRAINING))
        self._node.log.info(
            "remaining requests answered",
            unanswered=unanswered,
            unread=unread,
            broken_off=len(self._node.hub.active),
        )
