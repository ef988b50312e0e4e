"""Peers through which nothing has come for a while, though attempts wait there.

A peer that has stopped and one that waits for a silent endpoint look alike. A question that it
answers without asking anybody tells them apart.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from flamingofront.connection.interfaces import CallEvent, Transport
from flamingofront.messages import STALE_SECONDS, CallFailed, OutboundCall, ResponseHead
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.proxy_messages import RESPONDS_PATH
from flamingofront.request.proxy_peers import ProxyPeers

__all__ = ["SilentPeers"]

# Time without any sign of a peer after which it is asked whether it responds, and the time for the
# answer. Peers answer within milliseconds, busy ones within a quarter of a second.
QUESTION_AFTER_SECONDS = 0.5
QUESTION_TIMEOUT_SECONDS = 0.5
MIN_ANSWER_SECONDS = 0.25
# A peer that has given no sign for so long while an attempt waits is taken to be stopped.
UNRESPONSIVE_SECONDS = 1.0
# Time between two log lines on a peer that responds, or on one that does not, while attempts wait.
LOG_PAUSE_SECONDS = 5.0


@dataclass(frozen=True)
class _Silence:
    """What is known of a peer while attempts wait there.

    Parameters
    ----------
    silent_for : float
        Seconds without any sign of the peer.
    waiting_for : float
        Seconds for which the longest of its attempts has received no data.
    attempts : int
        Number of its attempts.
    """

    silent_for: float
    waiting_for: float
    attempts: int


class SilentPeers:
    """Tells peers that have stopped from those that wait for silent endpoints.

    Parameters
    ----------
    peers : ProxyPeers
        Peers that proxy attempts; those that have stopped are backed off.
    """

    def __init__(
        self,
        transport: Transport,
        timers: TimerService,
        peers: ProxyPeers,
        metrics: Metrics,
        log: Log,
    ):
        self._transport = transport
        self._timers = timers
        self._peers = peers
        self._metrics = metrics
        self._log = log
        # Peers with attempts in flight: last answer, last question, and last log line of each kind.
        self._answered_at: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}
        self._stop_logged_at: dict[str, float] = {}

    def list_stopped(self, pending: Iterable[tuple[str, float]]) -> set[str]:
        """Return the peers that do not respond, and ask those that have been silent for a while.

        Parameters
        ----------
        pending : iterable of (str, float)
            Peer, and time since which no data came, of each proxied attempt in flight.
        """
        silences = self._measure(list(pending))
        self._forget_others(silences)
        stopped = {peer for peer, each in silences.items() if self._has_stopped(peer, each)}
        for peer in stopped:
            self._record_stopped(peer, silences[peer])
        for peer, each in silences.items():
            if peer not in stopped and each.silent_for >= QUESTION_AFTER_SECONDS:
                self._ask(peer, each)
        return stopped

    def _measure(self, pending: list[tuple[str, float]]) -> dict[str, _Silence]:
        now = self._timers.now()
        counts = Counter(peer for peer, _ in pending)
        found = {}
        for peer, count in counts.items():
            since = min(at for name, at in pending if name == peer)
            last_sign = max(
                since, self._peers.responded_at(peer), self._answered_at.get(peer, -math.inf)
            )
            found[peer] = _Silence(now - last_sign, now - since, count)
        return found

    def _forget_others(self, silences: dict[str, _Silence]) -> None:
        for times in (
            self._answered_at,
            self._asked_at,
            self._logged_at,
            self._stop_logged_at,
        ):
            for peer in [each for each in times if each not in silences]:
                del times[peer]

    def _has_stopped(self, peer: str, silence: _Silence) -> bool:
        """Return True if a peer gave no sign for long, and did not answer in time."""
        asked_for = self._timers.now() - self._asked_at.get(peer, math.inf)
        return silence.silent_for > UNRESPONSIVE_SECONDS and asked_for >= MIN_ANSWER_SECONDS

    def _record_stopped(self, peer: str, silence: _Silence) -> None:
        now = self._timers.now()
        if now - self._stop_logged_at.get(peer, -math.inf) >= LOG_PAUSE_SECONDS:
            self._stop_logged_at[peer] = now
            self._log.warning(
                "proxy peer does not respond",
                peer=peer,
                silent_for=round(silence.silent_for, 3),
                waiting_for=round(silence.waiting_for, 3),
                asked_ago=round(now - self._asked_at[peer], 3),
                attempts=silence.attempts,
            )
        del self._asked_at[peer]
        self._peers.record_failure(peer)

    def _ask(self, peer: str, silence: _Silence) -> None:
        """Ask a peer whether it responds, unless the last question may still be answered."""
        now = self._timers.now()
        if now - self._asked_at.get(peer, -math.inf) < QUESTION_TIMEOUT_SECONDS:
            return
        self._asked_at[peer] = now
        self._metrics.count("proxy_peer_questions_total")
        call = OutboundCall(
            peer,
            "GET",
            RESPONDS_PATH,
            timeout=QUESTION_TIMEOUT_SECONDS,
            stale_seconds=STALE_SECONDS,
            connect_timeout=QUESTION_TIMEOUT_SECONDS,
        )
        self._transport.start(call, lambda event: self._on_answer(peer, silence, now, event))

    def _on_answer(self, peer: str, silence: _Silence, asked_at: float, event: CallEvent) -> None:
        """Record that a peer responds, whatever its status: an older one knows no such question."""
        if isinstance(event, CallFailed):
            self._log.debug("proxy peer gave no answer", peer=peer, reason=event.reason)
        if not isinstance(event, ResponseHead):
            return
        now = self._timers.now()
        self._answered_at[peer] = now
        if now - self._logged_at.get(peer, -math.inf) >= LOG_PAUSE_SECONDS:
            self._logged_at[peer] = now
            self._log.info(
                "proxy peer responds",
                peer=peer,
                silent_for=round(silence.silent_for, 3),
                waiting_for=round(silence.waiting_for, 3),
                answer_ms=round((now - asked_at) * 1000),
                attempts=silence.attempts,
            )
