"""Synchronizes the quarantine of poison requests with other processes and the store.

Local findings are sent to the peers in reports and digests, and quarantine entries are written to
the store. Remote findings arrive the same way, and through the change feed of the quarantine table,
which also reaches zones that receive no peer reports.
"""

from collections.abc import Callable, Iterable

from flamingofront.process.answered_parts import AnsweredParts
from flamingofront.process.backoff import Backoff
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

# Processes that started this close to the first start of a deployment are part of it.
FIRST_START_SECONDS = 2.0

# Longest wait for a change of the quarantine table. Peers report changes within a second, and the
# table serves zones without peer reports. With 3.5 s, as for other tables, an idle process would
# make three times the calls.
FEED_WAIT_SECONDS = 10.0
# In an outage of the store all processes of a deployment poll; peers report changes meanwhile.
FEED_BACKOFF = Backoff(0.1, 4.0)
# An entry written by another process appears in the feed within about ten milliseconds.
FEED_LATENCY_SECONDS = 0.5


class QuarantineSync:
    """Connects the request guard of a process with its peers and the store.

    Parameters
    ----------
    is_standby : callable
        Returns True if other processes watch the store for this one.
    make_recorder : callable
        Makes the recorder of send intents from the rows where they are kept.
    first_start : float or None
        Wall-clock start of this process if it belongs to the first start of its deployment.

    Attributes
    ----------
    follower : TableWatcher
        Watches the quarantine table.
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
        guard.wall = peers.cluster_time
        guard.on_update = peers.broadcast_evidence
        guard.on_received = peers.forward_evidence
        guard.entry_start_times = lambda: _restart_times(peers.start_times(), first_start)
        self._keeper = QuarantineStore(
            guard, TableQuarantine(store), services, FEED_LATENCY_SECONDS, is_standby
        )
        self._keeper.answered_parts = AnsweredParts(
            store, QUARANTINE_TABLE, guard.parts.evidence, services
        )
        store.add_restore_listener(self._keeper.rewrite_entries)
        self._recorder = make_recorder(TableIntents(store), services)
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
            is_standby,
            wait=FEED_WAIT_SECONDS,
            backoff=lambda: FEED_BACKOFF,
        )

    def run(self) -> Task:
        """Record send intents and watch the quarantine table; never returns."""
        self._recorder.start()
        yield from self.follower.run()


def _restart_times(starts: Iterable[float], first_start: float | None) -> list[float]:
    """Return the starts that may have followed a crash; nothing ran before the first start."""
    if first_start is None:
        return list(starts)
    return [each for each in starts if abs(each - first_start) > FIRST_START_SECONDS]
