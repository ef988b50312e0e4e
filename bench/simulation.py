"""Runs of entry processes before the fake engines: a mix, a scenario, policies, a seed."""

from bench.entries import DEADLINE, Entry
from bench.model import (
    Engine,
    Events,
    Result,
    capacity_per_second,
    draw_call,
    make_rng,
)

ENTRY_ZONES = ("zone-a", "zone-b", "zone-c", "zone-d") * 2
REPORT_PERIOD = 1.0
NOTICE_SEEN_AFTER = 1.0
CALLER_TRIES = 3
PRICES = (1.0, 1.15, 0.9, 1.3, 1.0, 0.85)


class Simulation:
    """One run: a mix, a scenario, a set of policies, a seed."""

    def __init__(self, mix, policies, seed, load, seconds=240.0, report_lag=1.0):
        self.mix, self.seconds = mix, seconds
        self.events = Events()
        self.rng = make_rng(seed, "arrivals")
        self.result = Result()
        self.report_lag = report_lag
        self.engines = [
            Engine(self.events, f"engine-{index}", zone, PRICES[index], index % 3 != 2)
            for index, zone in enumerate(mix.engines)
        ]
        self._by_id = {each.engine_id: each for each in self.engines}
        self.cut_zone = None
        self.entries = [
            Entry(self, f"entry-{index}", zone, policies, make_rng(seed, f"entry-{index}"))
            for index, zone in enumerate(ENTRY_ZONES)
        ]
        self._reported = {each.engine_id: 0 for each in self.engines}
        self.rate = load * capacity_per_second(mix, len(self.engines))
        self._next_number = 0
        self.events.after(0.0, self._arrival)
        self._every(REPORT_PERIOD, self._read_reports)
        self._every(self.report_lag, self._make_reports)
        self._every(0.1, lambda: [each.expire() for each in self.entries])

    @property
    def now(self):
        return self.events.now

    def _every(self, period, callback):
        def tick():
            callback()
            self.events.after(period, tick)

        self.events.after(0.0, tick)

    def engine(self, engine_id):
        return self._by_id[engine_id]

    def add_engine(self, zone, price, reclaimable=True):
        engine = Engine(self.events, f"engine-{len(self._by_id)}", zone, price, reclaimable)
        self.engines.append(engine)
        self._by_id[engine.engine_id] = engine
        return engine

    def reachable(self, zone):
        return [
            each
            for each in self.engines
            if each.alive and (self.cut_zone is None or (each.zone == zone) == self._cut(zone))
        ]

    def _cut(self, zone):
        """Tell whether a zone sees only itself (True) or only the others."""
        return zone == self.cut_zone

    def sharers(self, zone):
        if self.cut_zone is None:
            return len(self.entries)
        return sum((each.zone == self.cut_zone) == self._cut(zone) for each in self.entries)

    def _make_reports(self):
        for engine in self.engines:
            self._reported[engine.engine_id] = engine.load

    def reported(self, engine):
        return self._reported.get(engine.engine_id, 0)

    def _read_reports(self):
        for entry in self.entries:
            entry.read_reports()

    def _arrival(self):
        if self.now < self.seconds:
            self._next_number += 1
            call = draw_call(self.mix, self._next_number, self.now, self.rng)
            self.result.offered += 1
            if call.workspace.startswith("small"):
                self.result.small_offered += 1
            self.rng.choice(self.entries).arrive(call)
            self.events.after(self.rng.expovariate(self.rate), self._arrival)

    def refused(self, call, retry_after):
        """A caller was told to come back; some do."""
        call.tries += 1
        if call.tries < CALLER_TRIES and self.now < self.seconds:
            self.events.after(retry_after, lambda: self.rng.choice(self.entries).arrive(call))

    def completed(self, call, now):
        self.result.answered += 1
        first = call.first_at - call.arrived
        self.result.first_waits.append(first)
        pace = (now - call.first_at) / max(1, call.output - 1)
        if first <= self.mix.first_target and pace <= self.mix.token_target:
            self.result.in_target += 1
            self.result.small_in_target += call.workspace.startswith("small")

    def reclaim(self, zone, notice):
        """Reclaim all engines of a zone after a notice."""
        for engine in [each for each in self.engines if each.zone == zone and each.alive]:
            engine.leaving = True
            seen = min(notice, NOTICE_SEEN_AFTER)
            for entry in self.entries:
                left = notice - seen
                self.events.after(
                    seen, lambda entry=entry, engine=engine, left=left: entry.notice(engine, left)
                )
            self.events.after(notice, engine.die)

    def run(self):
        self.events.run(self.seconds)
        self.result.cost = sum(each.cost(self.now) for each in self.engines)
        self.events.run(self.seconds + DEADLINE)
        return self.result
