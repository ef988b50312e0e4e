"""Model of processes that hold one lease in turn, whose acts are calls that arrive later.

The real `LeaderLease` runs over the real `EraStore` and a naive store. An act is a call: begun
under the lease, written while `LeaderCall.may_send` allows it, and delivered at any time up to a
bound, whatever has become of its sender. The model always plays the worst: a process that may write
does so in each step, and each call arrives twice, at once and after the bound. A request that is
written in several pieces arrives with its last one, which is the same.
"""

import math
import random
from dataclasses import dataclass, replace

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.forwarding.duty import MAX_DELIVERY_SECONDS, LeaderLease
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.logs import Log
from flamingofront.process.store import (
    RowRange,
    StoredRow,
    TableStore,
    TransactionOutcome,
    get_era_version,
    make_revision,
)
from flamingofront.process.store_eras import EraStore

__all__ = ["Arrival", "LeasePlay", "ModelProcess", "StoreDelays", "is_write", "list_breaches"]

DURATION = 3.0
CALL_TIMEOUT = 1.0
STEP_SECONDS = 0.05
REPORT_SECONDS = 0.5
# A process that is stopped goes on until the balancer sends it no request any more.
STOP_SECONDS = 2.5
EPSILON = 1e-9


class _Read:
    def __init__(self, table, part):
        self.table, self.part = table, part


class _Write:
    def __init__(self, part, conditions, writes):
        self.part, self.conditions, self.writes = part, conditions, writes


def is_write(call):
    """Return True for a call that writes rows."""
    return isinstance(call, _Write)


class ModelStore(TableStore):
    """A store whose calls are yielded to the model, which carries them out when it likes."""

    def __init__(self):
        self.era, self.version = 0, 0
        self.rows = {}

    def read(self, table, part="", first="", end="", limit=0):
        return (yield _Read(table, part))

    def read_changes(self, table, after, wait):
        raise NotImplementedError

    def transact(self, part, conditions, writes):
        return (yield _Write(part, conditions, writes))

    def _decode(self, key):
        value, version = self.rows[key]
        return StoredRow(*key, value, make_revision(self.era, version))

    def carry_out(self, call):
        """Return the response to a call, having applied it."""
        if isinstance(call, _Read):
            rows = [self._decode(key) for key in self.rows if key[:2] == (call.table, call.part)]
            return RowRange(tuple(rows), make_revision(self.era, self.version))
        failed = []
        for each in call.conditions:
            key = (each.table, call.part, each.key)
            if self.rows.get(key, (b"", 0))[1] != get_era_version(each.version):
                failed.append(key)
        if failed:
            rows = tuple(self._decode(key) for key in failed if key in self.rows)
            return TransactionOutcome(False, make_revision(self.era, self.version), rows)
        self.version += 1
        for each in call.writes:
            self.rows[each.table, call.part, each.key] = (each.value, self.version)
        return TransactionOutcome(True, make_revision(self.era, self.version))

    def copy(self):
        """Return what a snapshot keeps."""
        return self.version, dict(self.rows)

    def restore(self, snapshot):
        """Return to a snapshot, in the next era."""
        self.version, self.rows = snapshot[0], dict(snapshot[1])
        self.era += 1


@dataclass
class _Job:
    """One task of a process: it sleeps, or waits for the response to a call."""

    task: object
    call: object = None
    sent_at: float = 0.0
    wake_at: float = 0.0
    done: bool = False
    answer_at: float = math.inf
    answer: object = None


class ModelProcess:
    """One process of a VM, with the tasks of its lease and its calls to the cloud."""

    def __init__(self, play, vm, incarnation):
        self.play, self.vm, self.incarnation = play, vm, incarnation
        seed = play.rng.random()
        self.lease = LeaderLease(
            EraStore(play.store, Log("entry")),
            vm,
            incarnation,
            DURATION,
            lambda: play.time,
            random.Random(seed),
            Log("entry"),
        )
        self.frozen = False
        self.ended_at = math.inf
        self.jobs = []
        self.calls = []
        self.report_at = play.time
        self._start(self.lease.run())

    @property
    def ended(self):
        return self.ended_at < math.inf

    def _start(self, task):
        job = _Job(task)
        self.jobs.append(job)
        self._step(job, None)
        return job

    def release(self):
        """Begin a graceful stop."""
        return self._start(self.lease.release())

    def _step(self, job, answer, error=None):
        try:
            wanted = job.task.throw(error) if error else job.task.send(answer)
        except StopIteration:
            job.call, job.done = None, True
            return
        job.answer_at = math.inf
        if isinstance(wanted, Sleep):
            job.call, job.wake_at = None, self.play.time + wanted.seconds
        else:
            job.call, job.sent_at = wanted, self.play.time
            self.play.send_to_store(self, job)

    def is_asleep(self):
        """Return True if the process waits for no response of the store."""
        return all(each.call is None for each in self.jobs)

    def run_due(self):
        """Resume the tasks whose sleep, response or timeout is due."""
        now = self.play.time
        for job in [each for each in self.jobs if not each.done]:
            if job.call is None:
                if job.wake_at <= now + EPSILON:
                    self._step(job, None)
            elif job.answer_at <= now + EPSILON:
                self._step(job, job.answer)
            elif now - job.sent_at >= CALL_TIMEOUT - EPSILON:
                self._step(job, None, PlatformError("timeout", maybe_applied=True))

    def act(self):
        """Begin a call if the lease allows it, and write those that may be written now."""
        now = self.play.time
        call = self.lease.start_call()
        if call is not None:
            self.calls.append((now, call))
        written = set()
        for _, each in self.calls:
            if self.play.may_write(each) and each.fencing not in written:
                written.add(each.fencing)
                self.play.write_to_cloud(self, each.fencing)
        # After it stood still, a process serves its sockets before late timers.
        self.calls = [each for each in self.calls if now - each[0] < CALL_TIMEOUT]

    def report(self):
        held = self.lease.valid_lease()
        return PeerReport(
            self.vm,
            self.incarnation,
            0,
            "z",
            "",
            "",
            fencing=held.fencing if held else 0,
            released=self.lease.released_fencing,
            lease_version=self.lease.version if held else 0,
        )


@dataclass(frozen=True)
class Arrival:
    """A call as the cloud receives it."""

    at: float
    vm: str
    fencing: int
    written_at: float


def list_breaches(arrivals, lease_seconds=DURATION):
    """Return the pairs of calls that the cloud must not receive in this order."""
    found, last, last_acts = [], None, {}
    for each in arrivals:
        if last is not None:
            before = last_acts.get(each.vm)
            is_close = before is not None and each.at - before.at < lease_seconds - EPSILON
            if each.fencing < last.fencing:
                found.append(("fencing fell", last, each))
            elif each.vm != last.vm and each.fencing == last.fencing:
                found.append(("two holders", last, each))
            elif each.vm != last.vm and is_close:
                found.append(("A-B-A", before, last, each))
        last, last_acts[each.vm] = each, each
    return found


@dataclass
class StoreDelays:
    """How a call to the store fares: seconds until it is carried out, and until its response.

    None if it is lost on the way there, or its response on the way back.
    """

    request: float | None = 0.0
    response: float | None = 0.0


class LeasePlay:
    """Processes of several VMs, their store, and the cloud.

    Parameters
    ----------
    delivery_seconds : float
        Longest time from the last byte of a call to its arrival.
    killed_delivery_seconds : float
        The same, but after a process was killed: its kernel discards what it has not sent.
    must_ask : bool
        False to write without asking `may_send`, as a client without a guard does.
    """

    def __init__(
        self,
        seed=1,
        vms=3,
        delivery_seconds=MAX_DELIVERY_SECONDS,
        killed_delivery_seconds=None,
        must_ask=True,
    ):
        self.rng = random.Random(seed)
        self.time = 0.0
        self.delivery_seconds = delivery_seconds
        self.killed_delivery_seconds = (
            delivery_seconds if killed_delivery_seconds is None else killed_delivery_seconds
        )
        self.must_ask = must_ask
        self.store = ModelStore()
        self.draw_delays = lambda process: StoreDelays()
        self.draw_report_delay = lambda: 0.05
        # Processes that receive no reports.
        self.deaf = set()
        self.processes = []
        self.arrivals = []
        self._incarnations = 0
        self._snapshots = []
        self._due = []
        self._numbers = 0
        self.vms = [f"vm-{number}" for number in range(vms)]
        for vm in self.vms:
            self.start(vm)

    # Processes

    def start(self, vm):
        """Start a process of a VM, without ending another one."""
        self._incarnations += 1
        process = ModelProcess(self, vm, self._incarnations)
        self.processes.append(process)
        return process

    def live(self):
        """Return the processes that have not ended."""
        return [each for each in self.processes if not each.ended]

    def holder(self):
        """Return the process that holds the lease; None if there is none."""
        held = [each for each in self.live() if each.lease.valid_lease() is not None]
        return max(held, key=lambda each: each.lease.valid_lease().fencing, default=None)

    def kill(self, process, restart_after=None):
        """End a process at once; what it wrote is still delivered."""
        process.ended_at = self.time
        self.processes.remove(process)
        if restart_after is not None:
            self._at(self.time + restart_after, lambda: self.start(process.vm))

    def stop(self, process, restart_after=None, grace=None):
        """Stop a process gracefully; it is killed after `grace` if that comes before its end."""
        job = process.release()
        ends_at = self.time + STOP_SECONDS

        def check(until):
            if process.ended:
                return
            if (job.done and self.time >= ends_at) or (grace is not None and self.time >= until):
                self.kill(process, restart_after)
            else:
                self._at(self.time + STEP_SECONDS, lambda: check(until))

        check(self.time + (grace or 0.0))

    def freeze(self, process, seconds):
        """Let a process stand still for some seconds."""
        process.frozen = True
        self._at(self.time + seconds, lambda: setattr(process, "frozen", False))

    def restore(self, age):
        """Restore the store to a snapshot some seconds old."""
        older = [each for each in self._snapshots if each[0] <= self.time - age]
        snapshot = older[-1][1] if older else (0, {})
        self.store.restore(snapshot)
        self._snapshots = older or [(self.time, snapshot)]

    # Calls

    def send_to_store(self, process, job):
        """Carry a call out and return its response, both when the delays say so."""
        delays = self.draw_delays(process)
        call = job.call

        def carry_out():
            answer = self.store.carry_out(call)
            if delays.response is not None:
                self._at(self.time + delays.response, lambda: respond(answer))

        def respond(answer):
            if job.call is call:
                job.answer, job.answer_at = answer, self.time

        if delays.request is not None:
            self._at(self.time + delays.request, carry_out)

    def may_write(self, call):
        """Return True if a call may be written now."""
        return not self.must_ask or call.may_send()

    def write_to_cloud(self, process, fencing):
        """Let a call arrive at once, and again after the longest time."""
        written_at = self.time
        self._arrive(process.vm, fencing, written_at)

        def arrive_late():
            if process.ended_at + self.killed_delivery_seconds >= self.time - EPSILON:
                self._arrive(process.vm, fencing, written_at)

        self._at(written_at + self.delivery_seconds, arrive_late)

    def _arrive(self, vm, fencing, written_at):
        self.arrivals.append(Arrival(self.time, vm, fencing, written_at))

    def _at(self, at, callback):
        self._numbers += 1
        self._due.append((at, self._numbers, callback))

    # Time

    def run(self, seconds):
        """Let time pass in small steps."""
        end = self.time + seconds
        while self.time < end - EPSILON:
            self.time += STEP_SECONDS
            self._snapshots.append((self.time, self.store.copy()))
            del self._snapshots[:-400]
            self._run_due()
            for process in list(self.processes):
                if not process.frozen:
                    process.run_due()
                    self._run_due()
                    process.run_due()
                    process.act()
                    self._broadcast(process)

    def run_until(self, condition, limit=20.0):
        """Let time pass until a condition holds; return the seconds it took."""
        start = self.time
        while not condition():
            assert self.time < start + limit, "condition did not hold"
            self.run(STEP_SECONDS)
        return self.time - start

    def _run_due(self):
        due = sorted(each for each in self._due if each[0] <= self.time + EPSILON)
        self._due = [each for each in self._due if each[0] > self.time + EPSILON]
        for _, _, callback in due:
            callback()

    def _broadcast(self, process):
        if self.time < process.report_at:
            return
        process.report_at = self.time + REPORT_SECONDS
        report = process.report()
        for other in self.live():
            delay = self.draw_report_delay()
            if other.vm != process.vm and other not in self.deaf and delay is not None:
                self._at(self.time + delay, lambda other=other: self._hear(other, report))

    def _hear(self, listener, report):
        if listener.ended:
            return
        if listener.frozen:
            self._at(self.time + STEP_SECONDS, lambda: self._hear(listener, report))
        else:
            listener.lease.observe_report(replace(report))

    def breaches(self):
        """Return what the cloud must not have received."""
        return list_breaches(self.arrivals)
