"""Ways in which the attempts of this process reach the endpoints: directly, or through a peer."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from urllib.parse import urlencode

from flamingofront.connection.interfaces import CallEvent, CallHandle, Transport
from flamingofront.decisions.direct_paths import EndpointPath, PathStatus
from flamingofront.messages import (
    SEND_WITHDRAWN,
    STALE_SECONDS,
    CallFailed,
    OutboundCall,
    ResponseEnd,
    ResponseHead,
)
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.path_monitor import PathMonitor
from flamingofront.request.proxy_messages import (
    BY_CONNECTION,
    BY_RESPONSE,
    FAILURE_HEADER,
    REACH_PATH,
    STATUS_NOT_REACHED,
    STATUS_REACHED,
    ProxiedCall,
    ProxyFailure,
    decode_endpoint_response,
    decode_proxy_failure,
    encode_proxied_call,
)
from flamingofront.request.proxy_peers import ProxyPeers
from flamingofront.request.silent_peers import SilentPeers

__all__ = ["EndpointPaths", "PathRequest"]

# Time between two checks of the open connections to an endpoint while new ones fail.
OPEN_CHECK_PAUSE_SECONDS = 1.0
# Time for which an endpoint gets no attempts after a peer could not connect to it.
UNREACHED_SECONDS = 1.0
# An endpoint that so many peers could not connect to is not reached by others either.
MAX_UNREACHING_PEERS = 2
# The peer waits a quarter of a second for a connection.
QUESTION_TIMEOUT_SECONDS = 0.5
# Peers that are asked at most; more if endpoints accept connections, since peers that have lost
# their paths too reply at once that they cannot tell.
MAX_QUESTIONS = 2
MAX_RESPONSE_QUESTIONS = 8
# Peers that are asked for a path to one endpoint while the paths to others are lost.
MAX_SEARCHED_PEERS = 8
ANSWERS = {STATUS_REACHED: True, STATUS_NOT_REACHED: False}


@dataclass(frozen=True)
class PathRequest:
    """Attempt to be started on the path to its endpoint.

    Parameters
    ----------
    request_id : str
        Request of the attempt, for the log of a peer that proxies it.
    call : OutboundCall
        Call as it is sent on the direct path.
    listener : callable
        Gets the events of the call, on either path.
    """

    endpoint_id: str
    request_id: str
    call: OutboundCall
    listener: Callable[[CallEvent], None]


@dataclass(frozen=True)
class _Question:
    """Whether some peer reaches an endpoint.

    Parameters
    ----------
    is_search : bool
        True if a peer that does not reach the endpoint does not end the question: another may.
    asked : frozenset of str
        Peers that were asked already.
    answer : bool, optional
        False if one of them does not reach the endpoint.
    """

    endpoint_id: str
    on_answer: Callable[[bool | None], None]
    limit: int
    needs_response: bool = False
    is_search: bool = False
    asked: frozenset[str] = frozenset()
    answer: bool | None = None

    def record(self, peer: str, answer: bool | None) -> "_Question":
        """Return the question after the answer of a peer."""
        return replace(
            self,
            asked=self.asked | {peer},
            answer=self.answer if answer is None else answer,
        )

    def make_call(self, peer: str) -> OutboundCall:
        """Return the call that asks a peer."""
        kind = BY_RESPONSE if self.needs_response else BY_CONNECTION
        return OutboundCall(
            peer,
            "GET",
            f"{REACH_PATH}?{urlencode({'endpoint': self.endpoint_id, 'by': kind})}",
            timeout=QUESTION_TIMEOUT_SECONDS,
            stream=True,
            stale_seconds=STALE_SECONDS,
            connect_timeout=QUESTION_TIMEOUT_SECONDS,
        )


class EndpointPaths:
    """Starts attempts on the path that reaches their endpoint.

    Parameters
    ----------
    vm_id, zone : str
        VM and availability zone of this process.

    Attributes
    ----------
    monitor : PathMonitor
        State of the direct paths.
    peers : ProxyPeers
        Peers that proxy attempts.
    silent_peers : SilentPeers
        Which of them have stopped.
    """

    def __init__(
        self,
        vm_id: str,
        zone: str,
        transport: Transport,
        timers: TimerService,
        directory: EndpointDirectory,
        metrics: Metrics,
        log: Log,
        rng: random.Random,
    ):
        self.monitor = PathMonitor(transport, timers, directory, metrics, log, rng, zone)
        self.monitor.ask_peer = self.ask_peer
        self.monitor.find_peer = self.find_peer
        self.peers = ProxyPeers(timers, rng)
        self.monitor.has_peers = lambda: self.peers.has_any
        self.silent_peers = SilentPeers(transport, timers, self.peers, metrics, log)
        self._vm_id = vm_id
        self._transport = transport
        self._directory = directory
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._unreached_until: dict[str, float] = {}
        # Endpoints whose open connections work though new ones fail, and the times of the checks.
        self._open: set[str] = set()
        self._open_checked_at: dict[str, float] = {}

    def path_to(self, endpoint_id: str) -> EndpointPath:
        """Return the path on which an attempt reaches an endpoint.

        Notes
        -----
        A process without any peer uses the direct path even if it seems lost. Open connections may
        work while new ones fail: an idle one is used once the endpoint has responded on one.
        """
        if not self.monitor.is_lost(endpoint_id) or not self.peers.has_any:
            return EndpointPath.DIRECT
        is_unreached = self._unreached_until.get(endpoint_id, -math.inf) > self._timers.now()
        if self.peers.may_reach(endpoint_id) and not is_unreached:
            return EndpointPath.PROXIED
        if self.has_open_connection(endpoint_id):
            return EndpointPath.DIRECT
        is_certain = self.monitor.status is not PathStatus.CHECKING
        return EndpointPath.NONE if is_certain else EndpointPath.DIRECT

    def has_open_connection(self, endpoint_id: str) -> bool:
        """Return True if an idle connection works, though new ones to the endpoint fail."""
        address = self._directory.address_of(endpoint_id)
        return endpoint_id in self._open and self._transport.has_idle(address)

    def limit_to_open(self, endpoint_id: str, call: OutboundCall) -> OutboundCall:
        """Return a direct call, which opens no connection if only open ones work."""
        if self.monitor.is_lost(endpoint_id) and self.has_open_connection(endpoint_id):
            return replace(call, idle_only=True, new_connection=False)
        return call

    def check_open_connections(self, is_new: bool = False) -> None:
        """Check the idle connections to endpoints that new ones do not reach; close silent ones.

        Parameters
        ----------
        is_new : bool
            True if paths have just been lost, so that earlier checks say nothing.
        """
        now = self._timers.now()
        if is_new:
            self._open.clear()
            self._open_checked_at.clear()
        for each in self._directory.ready_endpoints():
            if not self.monitor.is_lost(each):
                self._open.discard(each)
                self._open_checked_at.pop(each, None)
            elif self._is_check_due(each, now):
                self._open_checked_at[each] = now
                self._check_open_connection(each)

    def _is_check_due(self, endpoint_id: str, now: float) -> bool:
        if now - self._open_checked_at.get(endpoint_id, -math.inf) < OPEN_CHECK_PAUSE_SECONDS:
            return False
        return self._transport.has_idle(self._directory.address_of(endpoint_id))

    def _check_open_connection(self, endpoint_id: str) -> None:
        def on_result(is_reached: bool) -> None:
            if is_reached:
                self._open.add(endpoint_id)
            else:
                self._open.discard(endpoint_id)
                self._transport.drop_idle(self._directory.address_of(endpoint_id))

        self.monitor.probe_open_connection(endpoint_id, on_result)

    def probe_for_peer(
        self, endpoint_id: str, needs_response: bool, on_result: Callable[[bool], None]
    ) -> None:
        """Test whether attempts of a peer would reach an endpoint, on a new or an open connection.

        Parameters
        ----------
        needs_response : bool
            True if an established connection is no evidence.
        """

        def on_new_connection(is_reached: bool) -> None:
            address = self._directory.address_of(endpoint_id)
            if is_reached or not self._transport.has_idle(address):
                on_result(is_reached)
            else:
                self.monitor.probe_open_connection(endpoint_id, on_result)

        self.monitor.start_probe(endpoint_id, needs_response, on_new_connection)

    def wait_seconds(self, endpoint_id: str) -> float:
        """Return the seconds until an endpoint may be reached; 0 if a path is known now."""
        if self.path_to(endpoint_id) is not EndpointPath.NONE:
            return 0.0
        now = self._timers.now()
        return max(
            self._unreached_until.get(endpoint_id, now) - now, self.peers.wait_seconds(endpoint_id)
        )

    def forget(self, endpoint_id: str) -> None:
        """Drop the evidence on an endpoint that was removed."""
        self.monitor.forget(endpoint_id)
        self._open.discard(endpoint_id)
        self._open_checked_at.pop(endpoint_id, None)
        self._unreached_until.pop(endpoint_id, None)

    def record_unreached(self, endpoint_id: str, peer: str) -> None:
        """Record that a peer could not connect to an endpoint; other peers may reach it."""
        self.peers.record_no_path(peer, endpoint_id, UNREACHED_SECONDS)
        is_unreached = self.peers.count_without_path(endpoint_id) >= MAX_UNREACHING_PEERS
        if is_unreached and not self.peers.is_reached(endpoint_id):
            self._unreached_until[endpoint_id] = self._timers.now() + UNREACHED_SECONDS

    def start(self, attempt: PathRequest) -> tuple[CallHandle, str]:
        """Start an attempt; return its handle, and the address of the peer that proxies it.

        The address is empty for an attempt on the direct path.
        """
        peer = None
        if self.path_to(attempt.endpoint_id) is EndpointPath.PROXIED:
            peer = self.peers.choose(endpoint_id=attempt.endpoint_id)
        if peer is None:
            call = self.limit_to_open(attempt.endpoint_id, attempt.call)
            return self._transport.start(call, attempt.listener), ""
        call = ProxiedCall(
            attempt.endpoint_id,
            attempt.request_id,
            self._vm_id,
            attempt.call.method,
            attempt.call.path,
            attempt.call.timeout,
            attempt.call.connect_timeout or attempt.call.timeout,
            attempt.call.new_connection,
        )
        self._metrics.count("proxied_attempts_total", role="sender")
        listener = _ProxiedResponse(self.peers, peer, attempt.endpoint_id, attempt.listener)
        return (
            self._transport.start(encode_proxied_call(call, attempt.call, peer), listener),
            peer,
        )

    def ask_peer(
        self, endpoint_id: str, needs_response: bool, on_answer: Callable[[bool | None], None]
    ) -> None:
        """Ask a peer whether it reaches an endpoint, and another one if it cannot tell.

        Parameters
        ----------
        needs_response : bool
            True if a connection is no evidence, only a response of the endpoint.
        on_answer : callable
            Called with the answer; with None if no peer knows, with False if there is no peer.
        """
        limit = MAX_RESPONSE_QUESTIONS if needs_response else MAX_QUESTIONS
        self._ask(_Question(endpoint_id, on_answer, limit, needs_response))

    def find_peer(self, endpoint_id: str, on_answer: Callable[[bool | None], None]) -> None:
        """Ask peers until one connects to an endpoint, while this VM reaches others.

        Parameters
        ----------
        on_answer : callable
            Called with the answer; with None if no peer knows, with False if none reaches it.
        """
        limit = MAX_SEARCHED_PEERS if self.monitor.has_losses else MAX_QUESTIONS
        self._ask(_Question(endpoint_id, on_answer, limit, is_search=True))

    def _ask(self, question: "_Question") -> None:
        peer = self._choose_peer_to_ask(question) if len(question.asked) < question.limit else None
        if peer is None:
            question.on_answer(question.answer if self.peers.has_any else False)
            return
        self._transport.start(
            question.make_call(peer), lambda event: self._on_answer(question, peer, event)
        )

    def _choose_peer_to_ask(self, question: "_Question") -> str | None:
        """Return the peer to ask next; None if no other one may be asked.

        Notes
        -----
        A peer that has just failed to connect to the endpoint is of no use to a search, but its
        answer tells whether the endpoint has crashed.
        """
        peer = self.peers.choose(question.asked, question.endpoint_id)
        if peer is None and not question.is_search:
            peer = self.peers.choose(question.asked)
        return peer

    def _on_answer(self, question: "_Question", peer: str, event: CallEvent) -> None:
        answer = ANSWERS.get(event.status) if isinstance(event, ResponseHead) else None
        if isinstance(event, ResponseHead | CallFailed):
            self._log_answer(question, peer, answer)
        if answer:
            self.peers.record_reached(peer, question.endpoint_id)
        elif answer is False and not question.needs_response:
            self.peers.record_no_path(peer, question.endpoint_id, UNREACHED_SECONDS)
        elif isinstance(event, CallFailed):
            self.peers.record_failure(peer)
        if answer or (answer is False and not question.is_search):
            question.on_answer(answer)
        elif isinstance(event, (ResponseHead, CallFailed)):
            self._ask(question.record(peer, answer))

    def _log_answer(self, question: "_Question", peer: str, answer: bool | None) -> None:
        """Log what a peer told of an endpoint; a question has a few answers at most."""
        self._log.info(
            "peer told of path to endpoint",
            endpoint=question.endpoint_id,
            peer=peer,
            reached=answer,
            by=BY_RESPONSE if question.needs_response else BY_CONNECTION,
            asked_before=len(question.asked),
        )


class _ProxiedResponse:
    """Passes the events of a proxied call on as if they came from the endpoint."""

    def __init__(
        self,
        peers: ProxyPeers,
        address: str,
        endpoint_id: str,
        listener: Callable[[CallEvent], None],
    ):
        self._peers = peers
        self._address = address
        self._endpoint_id = endpoint_id
        self._listener = listener
        self._failure: ProxyFailure | None = None

    def __call__(self, event: CallEvent) -> None:
        """Handle one event."""
        if isinstance(event, ResponseHead) and FAILURE_HEADER in event.headers:
            self._failure = decode_proxy_failure(event.headers[FAILURE_HEADER])
        elif isinstance(event, CallFailed) and event.reason == SEND_WITHDRAWN:
            self._listener(replace(event, by_proxy=True))
        elif isinstance(event, CallFailed):
            self._peers.record_failure(self._address)
            is_written = event.wrote if self._failure is None else self._failure.wrote
            self._listener(replace(event, wrote=is_written, by_proxy=True))
        elif self._failure is None:
            self._peers.record_response(self._address, self._endpoint_id)
            is_head = isinstance(event, ResponseHead)
            self._listener(decode_endpoint_response(event) if is_head else event)
        elif isinstance(event, ResponseEnd):
            self._fail(self._failure)

    def _fail(self, failure: ProxyFailure) -> None:
        if failure.is_refusal:
            self._peers.record_refusal(
                self._address, failure.reason, failure.next_peer, self._endpoint_id
            )
        else:
            self._peers.record_response(self._address)
        self._listener(
            CallFailed(failure.reason, failure.wrote, failure.reused, failure.is_refusal)
        )
