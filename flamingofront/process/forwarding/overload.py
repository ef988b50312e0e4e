"""What becomes of new connections while this process cannot serve all that it gets."""

import socket

from flamingofront.connection.server import HTTPServer
from flamingofront.connection.splice import ConnectionSplicer, SpliceEnd
from flamingofront.decisions.accept_control import AcceptControl, Transition
from flamingofront.decisions.splice_choice import SplicePeers
from flamingofront.process.forwarding.node import ForwardingNode
from flamingofront.process.timers import TimerService

__all__ = ["ConnectionOverload"]

# Time for which the delays of peers are kept; they come with reports, four times a second.
DELAYS_SECONDS = 0.05


class ConnectionOverload:
    """Hands refused connections over to peers that have room, and resets the others.

    Parameters
    ----------
    node : ForwardingNode
        Knows the peers and their delays.
    callers : HTTPServer
        Server of the callers.
    control : AcceptControl
        Decides which connections are refused.
    peers : SplicePeers
        Chooses the peer that serves a connection.

    Attributes
    ----------
    splicer : ConnectionSplicer
        Connections that peers serve; a component to be registered.
    """

    def __init__(
        self,
        node: ForwardingNode,
        callers: HTTPServer,
        timers: TimerService,
        control: AcceptControl,
        peers: SplicePeers,
    ):
        self._node = node
        self._callers = callers
        self._timers = timers
        self._control = control
        self._peers = peers
        self._handed_over = self._reset = 0
        self._delays: dict[str, float] = {}
        self._delays_until = 0.0
        self.splicer = ConnectionSplicer(timers, self._on_splice_end, node.memory)
        callers.set_refusal(self._must_refuse, self._take_over)
        callers.must_close = control.must_close
        node.delay_ms = lambda: round(control.mean_delay_seconds * 1000)

    def _must_refuse(self, waited: float) -> bool | None:
        """Return True if a new connection is refused, None while none is."""
        return self._control.must_refuse(waited)

    def _take_over(self, sock: socket.socket, waited: float, is_refused: bool) -> bool:
        """Hand a connection over that is refused or has waited; return False if it stays."""
        is_passed_on = (is_refused or self._control.must_hand_over(waited)) and self._hand_over(
            sock, waited
        )
        if is_refused and not is_passed_on:
            self._node.metrics.count("connections_refused_total")
            self._reset += 1
        return is_passed_on

    def _hand_over(self, sock: socket.socket, waited: float) -> bool:
        """Let a peer serve a connection; return False if none has room.

        Notes
        -----
        Late in a shutdown none is handed over: the peer does not know when this process ends, and
        would pass on requests that outlast it.
        """
        if self._node.hub.is_out_of_rotation():
            return False
        now = self._timers.now()
        if now >= self._delays_until:
            self._delays = self._node.peers.delays_by_ip()
            self._delays_until = now + DELAYS_SECONDS
        unanswered = {ip: self.splicer.unanswered[self._address_of(ip)] for ip in self._delays}
        own_delay = self._control.mean_delay_seconds
        ip = self._peers.choose(now, own_delay, self._delays, unanswered)
        if ip is None or not self.splicer.has_room:
            return False
        self._handed_over += 1
        self._node.metrics.count("connections_spliced_total", role="sender")
        self._node.log.info(
            "connection handed over",
            peer=ip,
            delay_ms_of_peer=round(self._delays[ip] * 1000, 1),
            unanswered=unanswered[ip],
            waited_ms=round(waited * 1000, 1),
        )
        self.splicer.start(sock, self._address_of(ip))
        return True

    def _address_of(self, ip: str) -> str:
        """Return the address at which a peer accepts connections that are handed over."""
        return f"{ip}:{self._node.settings.peer_port}"

    def _on_splice_end(self, address: str, how: SpliceEnd) -> None:
        if how is SpliceEnd.NOT_CONNECTED:
            ip = address.rpartition(":")[0]
            self._peers.record_failure(self._timers.now(), ip)
            self._node.metrics.count("connections_refused_total")
            self._node.log.warning("peer accepted no connection", peer=ip)

    def record_turn(self, now: float, busy: float) -> None:
        """Log when the event loop becomes overloaded, so that connections are refused."""
        self._node.delays.record_turn(busy)
        transition = self._control.record_turn(now, busy, self._node.peers.peer_delays)
        if transition is None:
            return
        state = self._control.state
        self._node.log.warning(
            f"refusal of new connections {transition.value}",
            turn_ms=round(state.turn_seconds * 1000, 1),
            waiting_ms=round(state.waiting_seconds * 1000, 1),
            delay_ms_of_peers=round(state.peer_delay_seconds * 1000, 1),
            fraction=round(state.fraction, 2),
            refused=self._reset,
            handed_over=self._handed_over,
            peers=self._node.peers.live_count(),
            requests=len(self._node.hub.active),
            connections=self._callers.connections,
        )
        if transition is Transition.ENDED:
            self._handed_over = self._reset = 0
