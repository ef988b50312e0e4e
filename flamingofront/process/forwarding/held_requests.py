"""Requests that crash endpoints, as the forwarding processes know them together.

What this process finds out goes to the others with its reports and digests, and holds go to the
store. What others find out comes the same way, and through the feed of the table of holds, which
also reaches zones that hear nobody.
"""

from collections.abc import Callable, Iterable

from flamingofront.process.forwarding.follower import TableListener, TableWatcher
from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.holds import QUARANTINE_TABLE, QuarantineStore, TableQuarantine
from flamingofront.process.intent_rows import IntentRows, TableIntents
from flamingofront.process.intents import IntentRecorder
from flamingofront.process.services import Services
from flamingofront.process.store_eras import EraStore
from flamingofront.process.tasks import Task
from flamingofront.request.guard import RequestGuard

__all__ = ["QuarantineSync"]

# Processes that began so close to the first start of a deployment began with it.
FIRST_START_SECONDS = 2.0

# Longest wait for a change of the requests that are held back: word of peers comes within a second,
# and the table is for zones that hear nobody. Of 3.5 s as for the others each process would make
# three times the calls on a calm day.
FEED_WAIT_SECONDS = 10.0
# A hold that another process has kept is seen in the feed within some ten milliseconds.
FEED_SEEN_SECONDS = 0.5


class QuarantineSync:
    """Joins the guard of a process with its peers and the store.

    Parameters
    ----------
    may_rest : callable
        Returns whether other processes follow the store for this one.
    recording : Callable
        Makes the recorder of sends from the rows where they are kept.
    first_start : float or None
        Start of this process on the wall clock if that was the first one of its deployment.

    Attributes
    ----------
    follower : TableWatcher
        Follows the table of holds.
    """

    def __init__(
        self,
        guard: RequestGuard,
        peers: Peers,
        store: EraStore,
        services: Services,
        may_rest: Callable[[], bool],
        recording: Callable[[IntentRows, Services], IntentRecorder],
        first_start: float | None = None,
    ):
        guard.wall = peers.cluster_time
        guard.on_update = peers.broadcast_report
        guard.entry_start_times = lambda: _restarts(peers.start_times(), first_start)
        self._keeper = QuarantineStore(
            guard, TableQuarantine(store), services, FEED_SEEN_SECONDS, may_rest
        )
        store.add_restore_listener(self._keeper.rewrite_entries)
        self._recorder = recording(TableIntents(store), services)
        store.add_restore_listener(self._recorder.rewrite_intents)
        self.follower = TableWatcher(
            store,
            QUARANTINE_TABLE,
            TableListener(
                lambda rows, version: self._keeper.merge_rows(rows), self._keeper.merge_rows
            ),
            services.timers.now,
            services.rng,
            services.log,
            may_rest,
            wait=FEED_WAIT_SECONDS,
        )

    def run(self) -> Task:
        """Follow the table of holds; never returns."""
        self._recorder.start()
        yield from self.follower.run()


def _restarts(starts: Iterable[float], first_start: float | None) -> list[float]:
    """Return the starts that may have followed a kill: before the first one nothing ran."""
    if first_start is None:
        return list(starts)
    return [each for each in starts if abs(each - first_start) > FIRST_START_SECONDS]
