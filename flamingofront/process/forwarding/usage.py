"""Usage: how many requests of each workspace began to run, by window of the wall clock."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.forwarding.duty import LeaderLease
from flamingofront.process.forwarding.reports import ProcessCounts
from flamingofront.process.forwarding.settings import SharedRules
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.store import Cloud, UsageReport
from flamingofront.process.tasks import Task

__all__ = ["KEPT_WINDOWS", "UsageCoverage", "UsageBook", "UsageReporter"]

# Windows that are told to peers and kept for a successor: a report is due ten seconds after a
# window of five seconds, so that four cover all that may still be reported.
KEPT_WINDOWS = 4
# Time after the end of a window in which the last reports of all processes usually arrive: one, a
# relay's turn each second, and their ways.
SETTLE_SECONDS = 2.0
# The longest wait for counts that are known to be missing: so long after its end a window is told.
# A report is due ten seconds after it, and a successor needs five if its holder is lost.
MISSING_SECONDS = 4.5
# A report is so old at most when it is heard, with its turn in an even sender.
REPORT_WAY_SECONDS = 0.15
STEP_SECONDS = 0.25
# Processes whose counts are told at a time, so that a report stays within a datagram also when all
# of a large deployment restart.
MAX_DEPARTED = 16


class UsageBook:
    """Counts of all processes, by window.

    Parameters
    ----------
    process : str
        This process.
    window : float
        Length of a window in seconds.
    """

    def __init__(self, process: str, window: float):
        self._process = process
        self._window = window
        self._counts: dict[int, dict[str, Mapping[str, int]]] = {}
        self._told_until: dict[str, float] = {}

    def window_at(self, wall: float) -> int:
        """Return the number of the window that a time of the wall clock lies in."""
        return int(wall // self._window)

    def end_of(self, window: int) -> float:
        """Return the wall clock's time at which a window ends."""
        return (window + 1) * self._window

    def began(self, workspace: str, wall: float) -> None:
        """Count a request that began to run."""
        own = self._counts.setdefault(self.window_at(wall), {}).setdefault(self._process, Counter())
        own[workspace] += 1

    def to_tell(self, alive: Collection[str], wall: float) -> ProcessCounts:
        """Return what the others are told: own counts, and those of processes that are gone.

        Notes
        -----
        A process that starts in the middle of a rolling restart learns so what those that were
        stopped before it came had counted.

        Parameters
        ----------
        alive : collection of str
            Processes that tell their counts themselves.
        """
        self._forget(self.window_at(wall))
        found: dict[str, dict[str, Mapping[str, int]]] = {}
        for window, by_process in self._counts.items():
            for process, counts in by_process.items():
                if process not in alive and (process in found or len(found) < MAX_DEPARTED):
                    found.setdefault(process, {})[str(window)] = counts
        return found

    def counts_of(self, processes: Iterable[str], wall: float, windows: int) -> ProcessCounts:
        """Return the counts that some processes were heard to have, in the newest windows."""
        newest = self.window_at(wall)
        self._forget(newest)
        found: dict[str, dict[str, Mapping[str, int]]] = {}
        for process in processes:
            for window, by_process in self._counts.items():
                if window > newest - windows and process in by_process:
                    found.setdefault(process, {})[str(window)] = by_process[process]
        return found

    def _forget(self, window: int) -> None:
        for old in [each for each in self._counts if each <= window - KEPT_WINDOWS]:
            del self._counts[old]
        kept_from = self.end_of(window - KEPT_WINDOWS)
        for process in [each for each, wall in self._told_until.items() if wall < kept_from]:
            del self._told_until[process]

    def told_until(self, processes: Iterable[str]) -> dict[str, float]:
        """Return up to which time of the wall clock the counts of some processes are known."""
        known = self._told_until
        return {each: round(known[each], 3) for each in processes if each in known}

    def reported(self, told: ProcessCounts, process: str, wall: float) -> None:
        """Take the counts in that a process has reported directly, at a time of the wall clock."""
        self.heard(told, {process: wall - REPORT_WAY_SECONDS})

    def known_until(self, until: float, members: int, wall: float) -> bool:
        """Tell whether the counts of so many processes are known up to a time.

        Parameters
        ----------
        wall : float
            Wall clock now: this process's own counts are known up to it.
        """
        own = {self._process: wall}
        return sum(each >= until for each in {**self._told_until, **own}.values()) >= members

    def heard(self, told: ProcessCounts, told_until: Mapping[str, float]) -> None:
        """Take other processes' counts in; counts only grow.

        Parameters
        ----------
        told_until : mapping of str to float
            Up to which time of the wall clock the counts of a process are told.
        """
        for process, wall in told_until.items():
            self._told_until[process] = max(wall, self._told_until.get(process, wall))
        for process, windows in told.items():
            if process == self._process:
                continue
            for window, counts in windows.items():
                known = self._counts.setdefault(int(window), {})
                known[process] = Counter(known.get(process, {})) | Counter(counts)

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of a window over all processes."""
        total: Counter[str] = Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))


@dataclass(frozen=True)
class UsageCoverage:
    """How far the counts of the other processes are known.

    Parameters
    ----------
    true_time : callable
        Wall clock, agreed with the other processes.
    wait : callable
        Returns the seconds after which a new holder has heard the counts of all processes.
    processes : callable
        Returns the number of processes that are heard, this one included.
    """

    true_time: Callable[[], float]
    wait: Callable[[], float]
    processes: Callable[[], int]


class UsageReporter:
    """Reports each window once, by the holder of the duty lease.

    What will be reported is written to the store first, with the renewal of the lease, so that a
    successor repeats it exactly.

    Parameters
    ----------
    heard : UsageCoverage
        How far the counts of the other processes are known.
    now : callable
        Time of the timer service.
    """

    def __init__(
        self,
        lease: LeaderLease,
        cloud: Cloud,
        book: UsageBook,
        rules: SharedRules,
        vm_id: str,
        heard: UsageCoverage,
        now: Callable[[], float],
        metrics: Metrics,
        log: Log,
    ):
        self._metrics = metrics
        self._lease = lease
        self._cloud = cloud
        self._book = book
        self._rules = rules
        self._vm_id = vm_id
        self._heard = heard
        self._now = now
        self._log = log
        self._confirmed: set[str] = set()
        self._first = book.window_at(heard.true_time())
        # Windows before this one may have been reported by holders of which the store lost word.
        self._unknown_before = 0
        lease.on_restore = self._skip_unknown

    def _skip_unknown(self) -> None:
        """Leave windows out that another holder may have reported: the store lost its word of it.

        Notes
        -----
        A window that is reported with other counts breaks what the cloud is promised; one that is
        not is only missing.
        """
        self._unknown_before = self._book.window_at(self._heard.true_time())
        self._log.warning("usage windows left out", before=self._unknown_before)

    def run(self) -> Task:
        """Report whenever a window is due; never returns."""
        while True:
            try:
                yield from self.step()
            except PlatformError as exc:
                self._log.warning("usage report failed", detail=str(exc))
            yield Sleep(STEP_SECONDS, relaxed=True)

    def step(self) -> Task:
        """Write the window that is due into the store, then report what is not yet confirmed."""
        lease = self._lease.usable_lease()
        if lease is None:
            return
        has_all_counts = self._now() - lease.acquired_at >= self._heard.wait()
        window = self._due() if has_all_counts else None
        if window is not None and not (yield from self._record(window)):
            return
        for name, counts in sorted(self._lease.state.reports.items()):
            if name not in self._confirmed:
                yield from self._report(name, counts)

    def _due(self) -> int | None:
        """Return the next window whose counts are complete and not yet in the store.

        Notes
        -----
        Among many processes some counts come late: on a day with trouble of 89 VMs 9 to 66 in 100
        were missing in six windows that were told two seconds after their ends.
        """
        wall = self._heard.true_time()
        last = self._book.window_at(wall - SETTLE_SECONDS) - 1
        end = self._book.end_of(last)
        heard = self._heard.processes()
        if wall < end + MISSING_SECONDS and not self._book.known_until(end, heard, wall):
            last -= 1
        newest = max((int(each) for each in self._lease.state.reports), default=self._first - 1)
        due = max(newest + 1, last - KEPT_WINDOWS + 2, self._unknown_before)
        return due if due <= last else None

    def _record(self, window: int) -> Task:
        reports = dict(self._lease.state.reports)
        reports[str(window)] = self._book.total(window)
        kept = dict(sorted(reports.items(), key=lambda item: int(item[0]))[-KEPT_WINDOWS:])
        return (yield from self._lease.renew(kept))

    def _report(self, name: str, counts: Mapping[str, int]) -> Task:
        lease = self._lease.usable_lease()
        if lease is None:
            return
        report = UsageReport(int(name), counts)
        yield from self._cloud.report_usage(self._vm_id, lease.fencing, report)
        self._metrics.count("usage_reports_total")
        self._confirmed.add(name)
        self._confirmed &= {*self._lease.state.reports, name}
        self._log.info("usage reported", window=report.window, counts=counts, fencing=lease.fencing)
