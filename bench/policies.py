"""Each decision against its naive version, under the scenarios of the users."""

import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from bench.entries import Policies
from bench.model import MIXES
from bench.simulation import Simulation
from flamingofront.decisions.admission import FirstComeAdmission
from flamingofront.decisions.choice import LeastReportedChoice, RoundRobinChoice
from flamingofront.decisions.retry import UnlimitedRetryBudget
from flamingofront.request.recovery import ResumeOnLoss

SEEDS = (1, 2, 3)
WORKERS = 4
OURS = Policies()


@dataclass(frozen=True)
class Scenario:
    """Load relative to the capacity, and what happens during the run."""

    name: str
    load: float
    arrange: Callable[[Simulation], None] = lambda sim: None
    report_lag: float = 1.0


def _zone(sim):
    sim.events.at(80.0, lambda: sim.reclaim("zone-a", 6.0))
    sim.events.at(140.0, lambda: [sim.add_engine("zone-a", 1.0) for _ in range(2)])


def _wave_on_wave(sim):
    """Two zones one after the other; replacement starts are refused for long."""
    sim.events.at(80.0, lambda: sim.reclaim("zone-a", 6.0))
    sim.events.at(95.0, lambda: sim.reclaim("zone-c", 4.0))
    sim.events.at(180.0, lambda: [sim.add_engine("zone-b", 1.0) for _ in range(3)])


def _slow(sim):
    sim.events.at(60.0, lambda: setattr(sim.engines[1], "slow", 6.0))


def _failing(sim):
    """One engine refuses quickly: it looks idle."""
    sim.events.at(60.0, lambda: setattr(sim.engines[1], "failing", True))


def _outage(sim):
    """All engines refuse quickly for a while."""
    for engine in sim.engines:
        sim.events.at(60.0, lambda engine=engine: setattr(engine, "failing", True))
        sim.events.at(80.0, lambda engine=engine: setattr(engine, "failing", False))


def _cut(sim):
    sim.events.at(60.0, lambda: setattr(sim, "cut_zone", "zone-d"))
    sim.events.at(120.0, lambda: setattr(sim, "cut_zone", None))


CALM = Scenario("calm", 0.6)
BUSY = Scenario("busy 0.9", 0.9)
OVER = Scenario("overload 1.5", 1.5)
FAR_OVER = Scenario("overload 3", 3.0)
ZONE = Scenario("zone reclaimed", 0.6, _zone)
WAVES = Scenario("wave on wave", 0.6, _wave_on_wave)
STALE = Scenario("stale reports", 0.8, report_lag=8.0)
SLOW = Scenario("slow endpoint", 0.6, _slow)
FAILING = Scenario("failing endpoint", 0.6, _failing)
OUTAGE = Scenario("all fail for 20 s", 0.6, _outage)
CUT = Scenario("zone cut off", 0.6, _cut)

DECISIONS = {
    "choice of endpoint": (
        {
            "round robin": replace(OURS, choice=RoundRobinChoice),
            "least reported": replace(OURS, choice=LeastReportedChoice),
            "cost, reports": replace(OURS, extrapolate=False),
            "cost (ours)": OURS,
        },
        (CALM, BUSY, STALE, SLOW, FAILING, ZONE, CUT),
    ),
    "admission": (
        {
            "first come": replace(OURS, admission=FirstComeAdmission),
            "fair, patient": replace(OURS, patience=4.0, full_factor=1.0),
            "fair (ours)": OURS,
        },
        (CALM, OVER, FAR_OVER, CUT),
    ),
    "retry": (
        {
            "unlimited": replace(OURS, budget=UnlimitedRetryBudget, ejection=False),
            "unlimited, eject": replace(OURS, budget=UnlimitedRetryBudget),
            "paced (ours)": OURS,
        },
        (FAILING, OUTAGE, WAVES),
    ),
    "recovery": (
        {
            "resume on loss": replace(OURS, recovery=ResumeOnLoss),
            "by cost (ours)": OURS,
        },
        (ZONE, WAVES),
    ),
}


def run(mix, policies, scenario, seed, seconds=240.0):
    """Return the result of one run."""
    sim = Simulation(mix, policies, seed, scenario.load, seconds, scenario.report_lag)
    scenario.arrange(sim)
    return sim.run()


def compare(mix, policies, scenario, seeds=SEEDS):
    """Return the median figures over the seeds."""
    rows = [run(mix, policies, scenario, seed).row() for seed in seeds]
    return {key: statistics.median(row[key] for row in rows) for key in rows[0]}


def _figures(case):
    """Return the figures of one line of a table; runs in a worker process."""
    decision, mix_index, scenario_index, name = case
    variants, scenarios = DECISIONS[decision]
    return compare(MIXES[mix_index], variants[name], scenarios[scenario_index])


def _cases():
    for decision, (variants, scenarios) in DECISIONS.items():
        for mix_index in range(len(MIXES)):
            for scenario_index in range(len(scenarios)):
                for name in variants:
                    yield decision, mix_index, scenario_index, name


def main():
    """Print all comparisons."""
    cases = list(_cases())
    title = None
    with ProcessPoolExecutor(WORKERS) as pool:
        for case, row in zip(cases, pool.map(_figures, cases), strict=True):
            decision, mix_index, scenario_index, name = case
            if (decision, mix_index) != title:
                title = decision, mix_index
                print(f"\n{decision}, {MIXES[mix_index].name} (medians of {len(SEEDS)} seeds)")
                print(f"{'scenario':19}{'policy':18}" + "".join(f"{key:>10}" for key in row))
            scenario = DECISIONS[decision][1][scenario_index]
            cells = "".join(f"{value:>10.3f}" for value in row.values())
            print(f"{scenario.name:19}{name:18}{cells}", flush=True)


if __name__ == "__main__":
    main()
