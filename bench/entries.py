"""Entry processes of the simulation, with the daemon's decision objects."""

from dataclasses import dataclass, field, replace

from bench.model import (
    PREFILL_RATE,
    SLOTS,
    Stream,
)
from flamingofront.decisions.admission import (
    AdmissionPolicy,
    FairAdmission,
    Ticket,
    WorkspaceShare,
)
from flamingofront.decisions.choice import (
    Candidate,
    ChoicePolicy,
    CostChoice,
    WorkEstimate,
    compute_report_weight,
    filter_usable,
)
from flamingofront.decisions.retry import EndpointHealth, PacedRetryBudget, RetryBudget
from flamingofront.errors import Executed, RequestError
from flamingofront.messages import (
    CancelAttempt,
    Complete,
    Fail,
    Frame,
    ScheduleRetry,
    StartAttempt,
)
from flamingofront.request.attempts import Phase, RequestFacts, RequestMachine
from flamingofront.request.host import QUEUE_WAIT_FRACTION
from flamingofront.request.hub import ADMISSION_FILL_FRACTION
from flamingofront.request.prefixes import BLOCK_TOKENS, PrefixIndex
from flamingofront.request.recovery import (
    CostRecovery,
    RecoveryAction,
    RecoveryPolicy,
    RecoveryRates,
    StreamState,
)

DEADLINE = 120.0
TRANSFER_TOKEN_SECONDS = 0.0002


@dataclass(frozen=True)
class Policies:
    """One set of policies to run with; each entry process makes its own."""

    choice: type[ChoicePolicy] = CostChoice
    admission: type[AdmissionPolicy] = FairAdmission
    budget: type[RetryBudget] = PacedRetryBudget
    recovery: type[RecoveryPolicy] = CostRecovery
    ejection: bool = True
    patience: float = QUEUE_WAIT_FRACTION
    full_factor: float = ADMISSION_FILL_FRACTION
    extrapolate: bool = True
    choice_options: dict = field(default_factory=dict)


class Entry:
    """One entry process."""

    def __init__(self, sim, name, zone, policies, rng):
        self.sim, self.name, self.zone, self.rng = sim, name, zone, rng
        self.policies = policies
        self.choice = policies.choice(**policies.choice_options)
        self.admission = policies.admission(rng)
        self.budget = policies.budget()
        self.health = EndpointHealth(rng)
        self.prefixes = PrefixIndex()
        self.recovery = policies.recovery()
        self.jobs = {}
        self.in_flight = {}
        self.reports = {}
        self.paces = {}

    def read_reports(self):
        """Take the load reports; they are as old as the sim says."""
        for engine in self.sim.engines:
            self.reports[engine.engine_id] = (
                self.sim.reported(engine),
                self.in_flight.get(engine.engine_id, 0),
            )
        self.admission.set_capacity(self.capacity())

    def capacity(self):
        usable_engines = [each for each in self.sim.reachable(self.zone) if not each.leaving]
        slots = SLOTS * self.policies.full_factor
        return max(1.0, len(usable_engines) * slots / self.sim.sharers(self.zone))

    def candidates(self, blocks):
        engines = self.sim.reachable(self.zone)
        ids = tuple(each.engine_id for each in engines)
        out = self.health.list_ejected(ids, self.sim.now) if self.policies.ejection else frozenset()
        known = sorted(self.paces.values())
        usual = known[len(known) // 2] if known else 0.0
        own = sum(self.in_flight.get(each, 0) for each in ids)
        weight = compute_report_weight(own, len(ids)) if self.policies.extrapolate else 1.0
        share = 1.0 / self.sim.sharers(self.zone)
        return [
            replace(
                self._candidate(each, blocks, out, usual), local_share=share, report_weight=weight
            )
            for each in engines
        ]

    def _candidate(self, engine, blocks, out, usual):
        engine_id = engine.engine_id
        load, own = self.reports.get(engine_id, (0, 0))
        pace = self.paces.get(engine_id)
        return Candidate(
            engine_id,
            engine.zone,
            "",
            price=engine.price,
            slots=SLOTS,
            local_in_flight=self.in_flight.get(engine_id, 0),
            reported_load=load,
            local_at_report=own,
            cached_tokens=self.prefixes.cached_tokens(engine_id, blocks),
            reclaim_risk=0.05 if engine.reclaimable else 0.0,
            slowness=max(0.5, min(20.0, pace / usual)) if pace and usual else 1.0,
            leaving=engine.leaving,
            ejected=engine_id in out,
        )

    def arrive(self, call):
        """A caller asks."""
        now = self.sim.now
        share = WorkspaceShare(call.workspace, limit=10_000)
        patience = self.policies.patience * self.sim.mix.first_target
        cost = 1.0 + call.output / 64.0
        ticket = Ticket(f"{call.number}.{call.tries}", share, cost, now + patience)
        try:
            self.admission.offer(ticket, now)
        except RequestError as exc:
            self.sim.result.refused_at_door += 1
            self.sim.refused(call, exc.retry_after)
            return
        self.budget.record_request(now)
        self.jobs[ticket.request_id] = Job(self, call, ticket)
        self.pump()

    def pump(self):
        while (ticket := self.admission.start_next(self.sim.now)) is not None:
            self.jobs[ticket.request_id].carry(self.jobs[ticket.request_id].machine.start())

    def expire(self):
        for ticket in self.admission.drop_expired(self.sim.now):
            job = self.jobs.pop(ticket.request_id)
            job.machine.end_without_answer()
            self.sim.result.refused_late += 1
            self.sim.refused(job.call, self.admission.retry_after(self.sim.now))
        self.pump()

    def ended(self, job):
        if self.jobs.pop(job.ticket.request_id, None) is not None:
            self.admission.release(job.ticket, self.sim.now)
            self.pump()

    def notice(self, engine, seconds):
        """Plan for the streams on an engine that will be reclaimed."""
        jobs = [each for each in self.jobs.values() if each.engine is engine]
        states = [
            StreamState(each.ticket.request_id, each.context, each.output_left) for each in jobs
        ]
        by_id = {each.ticket.request_id: each for each in jobs}
        rates = RecoveryRates(
            token_seconds=0.05,
            transfer_token_seconds=TRANSFER_TOKEN_SECONDS,
            contention=max(1.0, self.sim.reported(engine) / max(1, len(jobs))),
        )
        for plan in self.recovery.plan(states, seconds, rates):
            job = by_id[plan.request_id]
            attempt = job.machine.attempt_id
            if plan.action is RecoveryAction.TRANSFER:
                self.sim.events.after(
                    plan.start_in, lambda job=job, attempt=attempt: job.transfer(attempt)
                )
            elif plan.action is RecoveryAction.RECOMPUTE:
                self.sim.events.after(
                    plan.start_in, lambda job=job, attempt=attempt: job.move(attempt)
                )


class Job:
    """One accepted call at an entry process."""

    def __init__(self, entry, call, ticket):
        self.entry, self.call, self.ticket = entry, call, ticket
        self.sim = entry.sim
        facts = RequestFacts(ticket.request_id, True, call.arrived + DEADLINE)
        self.machine = RequestMachine(facts, entry.budget, entry.rng)
        self.engine = None
        self.stream = None
        self.import_to = None
        self.started = 0.0
        self.blocks = tuple(
            f"{call.group}:{index}"
            for index in range(int(call.prompt * call.kind.shared) // BLOCK_TOKENS)
        )

    @property
    def made(self):
        return self.machine.assembler.offset

    @property
    def context(self):
        grown = int(self.stream.made) if self.stream is not None else 0
        return self.call.prompt + self.made + grown

    @property
    def output_left(self):
        return self.call.output - (self.context - self.call.prompt)

    def carry(self, orders):
        for order in orders:
            if isinstance(order, StartAttempt):
                self.start(order)
            elif isinstance(order, ScheduleRetry):
                self.sim.events.after(order.delay, lambda: self.carry(self.machine.start()))
            elif isinstance(order, CancelAttempt):
                self.leave()
            elif isinstance(order, Complete):
                self.sim.completed(self.call, self.sim.now)
                self.entry.ended(self)
            elif isinstance(order, Fail):
                self.sim.result.failed += 1
                self.entry.ended(self)

    def start(self, order):
        entry = self.entry
        chosen = self._choose(order.exclude)
        if chosen is None:
            self.carry(self.machine.defer_without_endpoint(order.attempt_id, self.sim.now, 0.2))
            return
        self.sim.result.attempts += 1
        self.engine = self.sim.engine(chosen.engine_id)
        engine_id = self.engine.engine_id
        entry.in_flight[engine_id] = entry.in_flight.get(engine_id, 0) + 1
        shared = int(self.call.prompt * self.call.kind.shared)
        cached = min(shared, self.engine.cached(self.call.group))
        if self.import_to is self.engine:
            cached = self.call.prompt + self.made
        self.import_to = None
        new_tokens = self.call.prompt + self.made - cached
        if self.machine.attempts > 1:
            self.sim.result.retries += 1
            self.sim.result.recomputed += new_tokens
        self.started = self.sim.now
        self.stream = Stream(
            self.call.prompt + self.made,
            self.call.output - self.made,
            new_tokens / PREFILL_RATE,
            self.first,
            self.done,
            self.lost,
        )
        if self.engine.failing:
            self.sim.events.after(0.01, self.lost)
        else:
            self.engine.add(self.stream)

    def _choose(self, exclude):
        call = self.call
        work = WorkEstimate(
            call.prompt + self.made,
            call.output - self.made,
            self.sim.mix.first_target,
            self.sim.mix.token_target,
            self.entry.zone,
        )
        candidates = self.entry.candidates(self.blocks)
        pool = list(filter_usable(candidates, None, exclude)) or list(
            filter_usable(candidates, None, frozenset())
        )
        chosen = self.entry.choice.choose(pool, work, self.entry.rng)
        return None if chosen is None else self.sim.engine(chosen.endpoint_id)

    def _collect(self):
        """Take the tokens made so far into the text."""
        count = min(int(self.stream.made), self.stream.output_left)
        final = self.stream.made >= self.stream.output_left - 1e-6
        if final:
            count = self.stream.output_left
        frame = Frame(
            self.ticket.request_id, self.machine.attempt_id, self.made, ("t",) * count, final
        )
        self.sim.result.generated += count
        return self.machine.accept_frame(frame)

    def leave(self):
        engine_id = self.engine.engine_id
        self.entry.in_flight[engine_id] -= 1
        self.engine.remove(self.stream)
        self.engine = None
        self.stream = None

    def first(self):
        if self.call.first_at is None:
            self.call.first_at = self.sim.now
        seconds = self.sim.now - self.started
        self._observe(seconds)

    def _observe(self, seconds):
        paces = self.entry.paces
        engine_id = self.engine.engine_id
        known = paces.get(engine_id, seconds)
        paces[engine_id] = known + 0.2 * (seconds - known)

    def done(self):
        engine = self.engine
        self.entry.health.record_success(engine.engine_id)
        shared = int(self.call.prompt * self.call.kind.shared)
        engine.remember(self.call.group, shared)
        if self.entry.rng.random() < 0.9:  # one cache event in ten is lost
            for entry in self.sim.entries:
                entry.prefixes.add_blocks(engine.engine_id, self.blocks)
        self._observe((self.sim.now - self.started) / max(1, self.call.output) * 20)
        orders = self._collect()
        self.leave()
        self.carry(orders)

    def lost(self):
        if self.machine.phase is not Phase.RUNNING or self.stream is None:
            return
        self.sim.result.lost += 1
        self._collect()
        engine_id, attempt = self.engine.engine_id, self.machine.attempt_id
        self.leave()
        self.entry.health.record_failure(engine_id, self.sim.now)
        self.carry(
            self.machine.handle_attempt_failure(attempt, engine_id, Executed.UNKNOWN, self.sim.now)
        )

    def move(self, attempt):
        """Resume elsewhere by recomputation."""
        if self.machine.attempt_id != attempt or self.stream is None:
            return
        self.sim.result.moved += 1
        self._collect()
        self.carry(self.machine.replace_attempt(attempt))

    def transfer(self, attempt):
        """Export the cache from the leaving engine; transfers off one VM follow one another."""
        if self.machine.attempt_id != attempt or self.stream is None:
            return
        source = self.engine
        seconds = 0.05 + self.context * TRANSFER_TOKEN_SECONDS
        begin = max(self.sim.now, source.busy_transfer_until)
        source.busy_transfer_until = begin + seconds
        self.sim.events.at(begin + seconds, lambda: self._transferred(attempt, source))

    def _transferred(self, attempt, source):
        if self.machine.attempt_id != attempt or self.stream is None or not source.alive:
            return
        self._collect()
        target = self._choose(frozenset({source.engine_id}))
        self.import_to = target
        if target is None:
            return
        self.sim.result.moved += 1
        original = self._choose
        self._choose = lambda exclude: target
        self.carry(self.machine.replace_attempt(attempt))
        self._choose = original
