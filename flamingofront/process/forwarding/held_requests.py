"""Requests that crash endpoints, as the forwarding processes know them together.

What this process finds out goes to the others with its reports and digests, and holds go to the
store. What others find out comes the same way, and through the feed of the table of holds, which
also reaches zones that hear nobody.
"""

from collections.abc import Callable, Iterable

from flamingofront.process.forwarding.follower import TableFollower, TableListener
from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.holds import HOLD_TABLE, HoldKeeper, TableHolds
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
FEED_LATENCY_SECONDS = 0.5


class QuarantineSync:
    """Joins the guard of a process with its peers and the store.

    Parameters
    ----------
    is_standby : callable
        Returns whether other processes follow the store for this one.
    recording : Callable
        Makes the recorder of sends from the rows where they are kept.
    first_start : float or None
        Start of this process on the wall clock if that was the first one of its deployment.

    Attributes
    ----------
    follower : TableFollower
        Follows the table of holds.
    """

    def __init__(
        self,
        guard: RequestGuard,
        peers: Peers,
        store: EraStore,
        services: Services,
        is_standby: Callable[[], bool],
        make_recorder: Callable[[IntentRows, Services], IntentRecorder],
        first_start: float | None = None,
    ):
        guard.wall = peers.true_time
        guard.on_news = peers.tell_now
        guard.restarts = lambda: _restart_times(peers.starts(), first_start)
        self._keeper = HoldKeeper(
            guard, TableHolds(store), services, FEED_LATENCY_SECONDS, is_standby
        )
        store.on_return(self._keeper.write_again)
        self._recorder = make_recorder(TableIntents(store), services)
        store.on_return(self._recorder.write_again)
        self.follower = TableFollower(
            store,
            HOLD_TABLE,
            TableListener(
                lambda rows, version: self._keeper.take_rows(rows), self._keeper.take_rows
            ),
            services.timers.now,
            services.rng,
            services.log,
            is_standby,
            wait=FEED_WAIT_SECONDS,
        )

    def run(self) -> Task:
        """Follow the table of holds; never returns."""
        self._recorder.start()
        yield from self.follower.run()


def _restart_times(starts: Iterable[float], first_start: float | None) -> list[float]:
    """Return the starts that may have followed a kill: before the first one nothing ran."""
    if first_start is None:
        return list(starts)
    return [each for each in starts if abs(each - first_start) > FIRST_START_SECONDS]
