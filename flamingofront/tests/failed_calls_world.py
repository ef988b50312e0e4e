"""Entry processes whose calls to the store fail in several ways while the store serves."""

from collections.abc import Callable
from enum import StrEnum

from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.departures_world import DeparturesWorld
from flamingofront.tests.network import FakeExchange

__all__ = ["CallFault", "FailedCallsWorld", "Outage"]

FEED_PATH = "/api/rows-feed"
FAULT_SECONDS = 0.25
QUIET_SECONDS = 1.0
CLOSED_SECONDS = 4.0
LATE_SECONDS = 1.2
JSON = (("Content-Type", "application/json"),)


class CallFault(StrEnum):
    """What befalls calls to a store that serves all the while."""

    NONE = "none"
    CLOSED = "closed"
    """The store closes each connection after an answer, so that the next call on it is reset."""
    FEEDS_RESET = "feeds reset"
    """Calls of change feeds are reset."""
    FEEDS_REJECTED = "feeds rejected"
    """Calls of change feeds are over the rate and get 429."""
    QUIET = "quiet"
    """Change feeds hear nothing, are reset, and their history is gone."""
    HISTORY_LOST = "history lost"
    """The history is gone."""
    HISTORY_LOST_CLOSED = "history lost, closed"
    """The history is gone, and connections are closed after the answer that says so."""
    HISTORY_LOST_AGAIN = "history lost again"
    """The history is gone again and again."""
    ANSWER_LATE = "answer late"
    """Answers come late."""


class Outage(StrEnum):
    """How the store is away for all processes."""

    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"


class FailedCallsWorld(DeparturesWorld):
    """World in which calls to the store fail though the store serves, and outages of the store.

    Attributes
    ----------
    affected : set of str
        Entry processes whose calls fail.
    """

    def __init__(self, seed: int = 1, fronts: int = 5, plains: int = 14):
        super().__init__(seed, fronts, plains)
        self.fault = CallFault.NONE
        self.affected = set(self.fronts)
        self._serve = self.host("store").handler
        self.host("store").handler = self._handle

    def watchers(self) -> list[str]:
        """Return the entry processes that watch the store; the others are on standby."""
        return [name for name, node in self.fronts.items() if not node.store_view.is_standby]

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        self.host("engine-1").timers.once(seconds, action)

    def _handle(self, req, exchange: FakeExchange) -> None:
        is_feed = req.path == FEED_PATH
        if exchange.source not in self.affected or self.fault is CallFault.NONE:
            self._serve(req, exchange)
        elif is_feed and self.fault is CallFault.FEEDS_RESET:
            exchange.abort()
        elif is_feed and self.fault is CallFault.FEEDS_REJECTED:
            exchange.respond(429, JSON, b"{}")
        elif is_feed and self.fault is CallFault.QUIET:
            return
        elif self.fault is CallFault.ANSWER_LATE:
            self._later(LATE_SECONDS, lambda: self._serve(req, exchange))
        else:
            self._serve(req, exchange)

    def _open_feeds(self) -> list:
        store = self.host("store")
        return [
            link
            for link in list(store.links)
            if link.target is store
            and link.source.name in self.affected
            and link.call.path.startswith(FEED_PATH)
        ]

    def begin(self, fault: CallFault) -> None:
        """Let calls fail in a way for a while."""
        self.fault = fault
        if fault is CallFault.CLOSED:
            self.closing.add("store")
            self._later(CLOSED_SECONDS, self._end)
        elif fault is CallFault.FEEDS_RESET:
            self._reset_feeds()
            self._later(FAULT_SECONDS, self._end)
        elif fault is CallFault.QUIET:
            for each in self._open_feeds():
                each.back = lambda *events: None
            self._later(QUIET_SECONDS, self._end_quiet)
        elif fault is CallFault.HISTORY_LOST_AGAIN:
            for number in range(12):
                self._later(0.1 * number, self._lose_history)
            self._later(1.3, self._end)
        elif fault in (CallFault.HISTORY_LOST, CallFault.HISTORY_LOST_CLOSED):
            if fault is CallFault.HISTORY_LOST_CLOSED:
                self.closing.add("store")
            self._lose_history()
            self._later(FAULT_SECONDS, self._end)
        else:
            self._later(FAULT_SECONDS, self._end)

    def _reset_feeds(self) -> None:
        for each in self._open_feeds():
            each.fail("reset", True)

    def _end(self) -> None:
        self.fault = CallFault.NONE
        self.closing.discard("store")

    def _end_quiet(self) -> None:
        self._end()
        self._lose_history()

    def _lose_history(self) -> None:
        self.store.version += 1  # a write to another table, so that all feeds are behind
        self.store.discard_history()
        self._reset_feeds()

    # Outages

    def begin_outage(self, outage: Outage, seconds: float, rows: tuple[str, ...]) -> None:
        """Let the store be away for all processes; rows expire, and return after the outage."""
        self.disturb()
        self.store.fault = StoreFault(outage.value)
        if outage is Outage.RESET:
            for link in list(self.host("store").links):
                if link.target is self.host("store"):
                    link.fail("reset", True)
        for name in rows:
            self._later(seconds / 2, lambda name=name: self.store.drop("servers", name))
        self._later(seconds, lambda: self._end_outage(rows))

    def _end_outage(self, rows: tuple[str, ...]) -> None:
        self.disturb()
        self.store.fault = StoreFault.NONE
        for number, name in enumerate(rows):
            self._later(0.2 + 1.7 * number / len(rows), lambda name=name: self.write_row(name))
