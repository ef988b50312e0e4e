"""Which evidence on crashes a message to other entry processes holds."""

import math
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "EVIDENCE_PERIOD_SECONDS",
    "GOSSIP_SECONDS",
    "RECENT_SECONDS",
    "GossipScope",
    "GossipedCrash",
]

# Time for which a crash is gossiped to processes that know nothing yet.
GOSSIP_SECONDS = 3.0
# Shortest time between two messages that are sent because of evidence on crashes. What is learned
# meanwhile goes out together: an endpoint that crashes under many requests is news to many
# processes at once.
EVIDENCE_PERIOD_SECONDS = 0.5
# Age up to which evidence is in such a message: the period and a margin for late timers.
NEWS_SECONDS = 0.6
# Time for which evidence is in the messages of a process after it has changed there. Several are
# sent meanwhile, as datagrams are lost.
RECENT_SECONDS = 1.0


class GossipScope(Enum):
    """Evidence in a message, from none to all."""

    NONE = "none"
    """No evidence."""
    NEWS = "news"
    """Crashes on which this process has just observed something."""
    OWN = "own"
    """Crashes on which this process has observed something recently."""
    RECENT = "recent"
    """Crashes on which this process has learned something recently, from whomever."""
    ALL = "all"
    """All recent crashes, also if nothing was learned since: for a process that knows nothing."""


@dataclass(eq=False)
class GossipedCrash:
    """Crash of an endpoint, with the times that decide when it is gossiped.

    Parameters
    ----------
    at : float
        Time of the crash in seconds of the shared wall clock.
    changed_at, own_changed_at : float
        Time of the last change of the evidence in this process, and of the last one that it has
        observed itself.
    """

    endpoint_id: str
    zone: str
    at: float
    changed_at: float = -math.inf
    own_changed_at: float = -math.inf

    def mark_changed(self, now: float, is_own: bool) -> None:
        """Record that evidence was added."""
        self.changed_at = now
        if is_own:
            self.own_changed_at = now

    def is_in_scope(self, scope: GossipScope, now: float) -> bool:
        """Return True if messages of a scope hold this crash."""
        if scope is GossipScope.NEWS:
            return now - self.own_changed_at <= NEWS_SECONDS
        if scope is GossipScope.OWN:
            return now - self.own_changed_at <= RECENT_SECONDS
        if scope is GossipScope.RECENT:
            return now - self.changed_at <= RECENT_SECONDS
        return scope is GossipScope.ALL and now - self.at <= GOSSIP_SECONDS
