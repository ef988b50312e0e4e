"""Usage: how many requests of each workspace started to run, by window of the wall clock."""

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

# Number of windows that are reported to peers and kept for a successor. A report is due ten seconds
# after the end of a window of five seconds, so four windows cover all that may still be reported.
KEPT_WINDOWS = 4
# Time after the end of a window by which the last reports of all processes usually arrive: one
# report period, a relay's period of one second, and network delays.
SETTLE_SECONDS = 2.0
# Longest wait after the end of a window for counts known to be missing. The report is due ten
# seconds after the end, and a successor needs five if the lease holder is lost.
MAX_MISSING_WAIT_SECONDS = 4.5
# Largest age of a report when it arrives, including its wait in the rate-limited sender.
REPORT_DELAY_SECONDS = 0.15
STEP_SECONDS = 0.25
# Largest number of processes without a live report whose counts one report forwards, so that it
# fits in a datagram even when all processes of a large deployment restart.
MAX_DEPARTED = 16


class UsageBook:
    """Usage counts of all processes, by window.

    Parameters
    ----------
    process : str
        Name of this process.
    window : float
        Length of a window in seconds.
    """

    def __init__(self, process: str, window: float):
        self._process = process
        self._window = window
        self._counts: dict[int, dict[str, Mapping[str, int]]] = {}
        self._received_until: dict[str, float] = {}

    def window_at(self, wall: float) -> int:
        """Return the number of the window that contains a wall-clock time."""
        return int(wall // self._window)

    def window_end(self, window: int) -> float:
        """Return the wall-clock time at which a window ends."""
        return (window + 1) * self._window

    def count_started(self, workspace: str, wall: float) -> None:
        """Count a request that started to run."""
        local = self._counts.setdefault(self.window_at(wall), {}).setdefault(
            self._process, Counter()
        )
        local[workspace] += 1

    def collect_counts(self, live: Collection[str], wall: float) -> ProcessCounts:
        """Return the counts to report to peers: those of this process and of departed ones.

        Notes
        -----
        A process that starts in the middle of a rolling restart thus learns the counts of processes
        that were stopped before it started.

        Parameters
        ----------
        live : collection of str
            Processes that report their own counts.
        """
        self._drop_old_windows(self.window_at(wall))
        found: dict[str, dict[str, Mapping[str, int]]] = {}
        for window, by_process in self._counts.items():
            for process, counts in by_process.items():
                is_local = process == self._process
                has_room = process in found or len(found) < MAX_DEPARTED
                if is_local or (process not in live and has_room):
                    found.setdefault(process, {})[str(window)] = counts
        return found

    def collect_recent_counts(
        self, processes: Iterable[str], wall: float, windows: int
    ) -> ProcessCounts:
        """Return the received counts of some processes in the newest `windows` windows."""
        newest = self.window_at(wall)
        self._drop_old_windows(newest)
        found: dict[str, dict[str, Mapping[str, int]]] = {}
        for process in processes:
            for window, by_process in self._counts.items():
                if window > newest - windows and process in by_process:
                    found.setdefault(process, {})[str(window)] = by_process[process]
        return found

    def _drop_old_windows(self, window: int) -> None:
        """Drop windows that are too old to be reported at the given current window."""
        for old in [each for each in self._counts if each <= window - KEPT_WINDOWS]:
            del self._counts[old]
        kept_from = self.window_end(window - KEPT_WINDOWS)
        for process in [each for each, wall in self._received_until.items() if wall < kept_from]:
            del self._received_until[process]

    def received_until(self, processes: Iterable[str]) -> dict[str, float]:
        """Return the wall-clock time up to which the counts of each process were received."""
        received = self._received_until
        return {each: round(received[each], 3) for each in processes if each in received}

    def merge_report(self, update: ProcessCounts, process: str, wall: float) -> None:
        """Merge the counts that a process has reported directly.

        Parameters
        ----------
        wall : float
            Wall-clock time after which the report was received: it may have waited to be read.
        """
        self.merge_counts(update, {process: wall - REPORT_DELAY_SECONDS})

    def is_complete_until(self, until: float, process_count: int, wall: float) -> bool:
        """Return True if the counts of `process_count` processes are complete up to `until`.

        Parameters
        ----------
        wall : float
            Wall clock now: the counts of this process are complete up to it.
        """
        local = {self._process: wall}
        return (
            sum(each >= until for each in {**self._received_until, **local}.values())
            >= process_count
        )

    def merge_counts(self, update: ProcessCounts, received_until: Mapping[str, float]) -> None:
        """Merge other processes' counts; counts only grow.

        Parameters
        ----------
        received_until : mapping of str to float
            Wall-clock time up to which the counts of a process are complete.
        """
        for process, wall in received_until.items():
            self._received_until[process] = max(wall, self._received_until.get(process, wall))
        for process, windows in update.items():
            if process == self._process:
                continue
            for window, counts in windows.items():
                received = self._counts.setdefault(int(window), {})
                received[process] = Counter(received.get(process, {})) | Counter(counts)

    def total_counts(self, window: int) -> dict[str, int]:
        """Return the counts of a window over all processes, by workspace."""
        total: Counter[str] = Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))


@dataclass(frozen=True)
class UsageCoverage:
    """Callbacks that show whether the counts of all processes have arrived.

    Parameters
    ----------
    true_time : callable
        Wall clock, agreed with the other processes.
    settle_wait : callable
        Returns the seconds after which a new lease holder has received the counts of all processes.
    member_count : callable
        Returns the number of entry processes, heard or not, this one included.
    """

    true_time: Callable[[], float]
    settle_wait: Callable[[], float]
    member_count: Callable[[], int]


class UsageReporter:
    """Leader task that reports each usage window once.

    A report is first written to the store, with a renewal of the lease, so that a successor repeats
    it exactly.

    Parameters
    ----------
    coverage : UsageCoverage
        Shows whether the counts of all processes have arrived.
    now : callable
        Monotonic clock of the timer service, in seconds.
    """

    def __init__(
        self,
        lease: LeaderLease,
        cloud: Cloud,
        book: UsageBook,
        rules: SharedRules,
        vm_id: str,
        coverage: UsageCoverage,
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
        self._coverage = coverage
        self._now = now
        self._log = log
        self._confirmed: set[str] = set()
        self._first_window = book.window_at(coverage.true_time())
        lease.current_window = lambda: book.window_at(coverage.true_time())

    def run(self) -> Task:
        """Report whenever a window is due; never returns."""
        while True:
            try:
                yield from self.step()
            except PlatformError as exc:
                self._log.warning("usage window not stored", detail=str(exc))
            yield Sleep(STEP_SECONDS, relaxed=True)

    def step(self) -> Task:
        """Store the window that is due, then send the reports that are not confirmed yet."""
        lease = self._lease.usable_lease()
        if lease is None:
            return
        has_all_counts = self._now() - lease.acquired_at >= self._coverage.settle_wait()
        window = self._next_due_window() if has_all_counts else None
        if window is not None and not (yield from self._store_window(window)):
            return
        for name, counts in sorted(self._lease.state.reports.items()):
            if name not in self._confirmed and not (yield from self._send_report(name, counts)):
                return

    def _next_due_window(self) -> int | None:
        """Return the next window to store, with complete counts; None if there is none.

        Notes
        -----
        In a large deployment some counts come late: on a day with failures, among 89 VMs, 9 to 66
        percent were missing in six windows that were reported two seconds after their ends.
        """
        wall = self._coverage.true_time()
        last = self._book.window_at(wall - SETTLE_SECONDS) - 1
        end = self._book.window_end(last)
        members = self._coverage.member_count()
        if wall < end + MAX_MISSING_WAIT_SECONDS and not self._book.is_complete_until(
            end, members, wall
        ):
            last -= 1
        newest = max(
            (int(each) for each in self._lease.state.reports), default=self._first_window - 1
        )
        # A window may be missing, but two reports of it with different counts are never accepted.
        due = max(newest + 1, last - KEPT_WINDOWS + 2, self._lease.state.reports_from)
        return due if due <= last else None

    def _store_window(self, window: int) -> Task:
        """Store the counts of a window with a renewal of the lease; return True on success."""
        reports = dict(self._lease.state.reports)
        reports[str(window)] = self._book.total_counts(window)
        kept = dict(sorted(reports.items(), key=lambda item: int(item[0]))[-KEPT_WINDOWS:])
        return (yield from self._lease.renew(kept))

    def _send_report(self, name: str, counts: Mapping[str, int]) -> Task:
        """Send a stored report to the cloud while the lease is held; return True on success."""
        call = self._lease.start_call()
        if call is None:
            return False
        report = UsageReport(int(name), counts)
        try:
            yield from self._cloud.report_usage(self._vm_id, call.fencing, report, call)
        except PlatformError as exc:
            self._log.warning(
                "usage report failed",
                window=report.window,
                fencing=call.fencing,
                detail=str(exc),
                maybe_applied=exc.maybe_applied,
                **call.log_fields(),
            )
            return False
        self._metrics.count("usage_reports_total")
        self._confirmed.add(name)
        self._confirmed &= {*self._lease.state.reports, name}
        self._log.info(
            "usage reported",
            window=report.window,
            counts=counts,
            fencing=call.fencing,
            **call.log_fields(),
        )
        return True
