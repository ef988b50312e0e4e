"""Choice of the endpoint for an attempt.

The score of an endpoint is the expected cost of running the request there, in the price unit of the
VM list: machine time, the penalty for missing the latency target, and the work that a reclaim would
waste. See docs/DESIGN.md, "Choice of endpoint", for the ways weighed.
"""

import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from flamingofront.decisions.engine_rates import EngineRates

__all__ = [
    "BacklogChoice",
    "Candidate",
    "report_weight",
    "ChoicePolicy",
    "CostChoice",
    "CostWeights",
    "LeastReportedChoice",
    "RoundRobinChoice",
    "WorkEstimate",
    "filter_usable",
]


@dataclass(frozen=True)
class Candidate:
    """What is known about one endpoint.

    Parameters
    ----------
    price : float
        Cost per hour of its VM.
    slots : int
        Requests that it runs at the same time within the target.
    local_in_flight : int
        Attempts of this process that run there now.
    reported_load : float
        Requests in its last load report.
    local_at_report : int
        Attempts of this process that ran there when the report was made.
    cached_tokens : int
        Prompt tokens that its prefix cache is believed to hold for this request.
    backlog_tokens : int
        Prompt tokens of attempts there, of all processes, that have not begun to be answered.
    reclaim_risk : float
        Expected reclaims per hour of its VM; 0 for on-demand VMs.
    slowness : float
        Observed time relative to the other endpoints of the service; 1 is usual.
    local_share : float
        This process's part of all attempts on the service.
    report_weight : float
        Weight of the report against the extrapolation from own attempts, 0 to 1.
    closed : bool
        True if it takes nothing now by what it has said itself.
    """

    endpoint_id: str
    zone: str
    address: str
    side: str = ""
    price: float = 1.0
    slots: int = 16
    local_in_flight: int = 0
    reported_load: float = 0.0
    local_at_report: int = 0
    cached_tokens: int = 0
    backlog_tokens: int = 0
    reclaim_risk: float = 0.0
    slowness: float = 1.0
    leaving: bool = False
    ejected: bool = False
    reachable: bool = True
    local_share: float = 1.0
    report_weight: float = 1.0
    closed: bool = False

    @property
    def is_unavailable(self) -> bool:
        """True if it must not get new work, whatever else is left."""
        return self.leaving or self.closed

    @property
    def load(self) -> float:
        """Requests that it runs now, by the better of two estimates.

        Notes
        -----
        The report is late, and all processes see the same one, so alone it herds them onto one
        endpoint. What this process itself runs there is exact; divided by this process's part of
        all attempts it estimates the whole, the better the more there is of it.
        """
        reported = max(
            float(self.local_in_flight),
            self.reported_load + self.local_in_flight - self.local_at_report,
        )
        extrapolated = self.local_in_flight / self.local_share
        return self.report_weight * reported + (1.0 - self.report_weight) * extrapolated


@dataclass(frozen=True)
class WorkEstimate:
    """What one request asks of an endpoint.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Tokens to read and, expected, to write.
    first_token_target, token_target : float
        Latency targets in seconds.
    zone : str
        Zone of this process.
    rates : EngineRates
        What the endpoints of the service can do.
    """

    prompt_tokens: int = 0
    output_tokens: int = 64
    first_token_target: float = 1.6
    token_target: float = 0.068
    zone: str = ""
    rates: EngineRates = EngineRates()


def report_weight(local_in_flight: int, endpoints: int) -> float:
    """Return the weight of load reports, from 0 up to 1.

    Parameters
    ----------
    local_in_flight : int
        Attempts of this process on all endpoints of the service.
    endpoints : int
        Number of those endpoints.

    Notes
    -----
    With a few own attempts on each endpoint they tell more than a late report; with hardly any
    (many entry VMs before many endpoints) the report is all there is.
    """
    mean = local_in_flight / max(1, endpoints)
    return 1.0 / (1.0 + mean) ** 2


def filter_usable(
    candidates: Iterable[Candidate], side: str | None, exclude: frozenset[str]
) -> Iterator[Candidate]:
    """Pass on the candidates that may get new work.

    Notes
    -----
    A leaving or closed endpoint never passes. An endpoint that failed this very request, or is
    ejected, passes only through `relaxed` in the caller when nothing else is left.
    """
    for each in candidates:
        if each.is_unavailable or not each.reachable:
            continue
        if side is not None and each.side != side:
            continue
        if each.ejected or each.endpoint_id in exclude:
            continue
        yield each


class ChoicePolicy(ABC):
    """Picks one of the usable endpoints."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], work: WorkEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the endpoint for an attempt, None if all are full."""


class RoundRobinChoice(ChoicePolicy):
    """The naive version: one after the other."""

    def __init__(self):
        self._turn = itertools.count()

    def choose(
        self, candidates: Sequence[Candidate], work: WorkEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the next endpoint in order of their ids."""
        if not candidates:
            return None
        ordered = sorted(candidates, key=lambda each: each.endpoint_id)
        return ordered[next(self._turn) % len(ordered)]


class LeastReportedChoice(ChoicePolicy):
    """A second baseline: the emptiest load report, without own corrections."""

    def choose(
        self, candidates: Sequence[Candidate], work: WorkEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the endpoint with the smallest reported load."""
        return min(candidates, key=lambda each: each.reported_load, default=None)


@dataclass(frozen=True)
class CostWeights:
    """Weights and rates of `CostChoice`.

    Parameters
    ----------
    prefill_rate : float
        Prompt tokens a second that an idle endpoint reads.
    idle_pace : float
        Time between tokens on an idle endpoint, relative to the target that it just keeps when all
        its slots are taken.
    late_price : float
        Cost of a second beyond the target, in price units per hour.
    waste_price : float
        Cost of a recomputed token relative to a prompt token.
    remote_zone_seconds : float
        Latency added by leaving the zone.
    full_factor : float
        Load, relative to `slots`, above which an endpoint gets no more work.
    strain_from : float
        Expected time between tokens, relative to the target, from which on it costs.
    """

    prefill_rate: float = 4000.0
    idle_pace: float = 0.45
    late_price: float = 40.0
    waste_price: float = 2.0
    remote_zone_seconds: float = 0.002
    full_factor: float = 1.0
    strain_from: float = 0.6


class CostChoice(ChoicePolicy):
    """Expected cost, compared over a random sample of the endpoints.

    Parameters
    ----------
    weights : CostWeights
        Weights and rates.
    sample : int
        Endpoints compared; the rest is left out so that many processes with the same late reports
        don't all pick the same endpoint. The endpoint with the longest cached prefix is always in.
    """

    def __init__(self, weights: CostWeights | None = None, sample: int = 4):
        self._weights = weights or CostWeights()
        self._sample = sample

    def choose(
        self, candidates: Sequence[Candidate], work: WorkEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the endpoint with the smallest expected cost, None if all are full."""
        limit = self._weights.full_factor
        free = [each for each in candidates if each.load < each.slots * limit]
        if not free:
            return None
        picked = self._pick_sample(free, rng)
        return min(picked, key=lambda each: (self.score(each, work), rng.random()))

    def _pick_sample(self, free: list[Candidate], rng: random.Random) -> list[Candidate]:
        if len(free) <= self._sample:
            return free
        picked = rng.sample(free, self._sample)
        warmest = max(free, key=lambda each: each.cached_tokens)
        if warmest.cached_tokens and warmest not in picked:
            picked.append(warmest)
        return picked

    def score(self, each: Candidate, work: WorkEstimate) -> float:
        """Return the expected cost of the request on one endpoint, in price units times hours."""
        weights = self._weights
        filled = each.load / each.slots
        pace = weights.idle_pace + (1.0 - weights.idle_pace) * filled
        new_tokens = max(0, work.prompt_tokens - each.cached_tokens)
        first = new_tokens / weights.prefill_rate * (1.0 + filled) * each.slowness
        first += weights.remote_zone_seconds if each.zone != work.zone else 0.0
        between = work.token_target * pace * each.slowness
        duration = first + between * work.output_tokens
        late = max(0.0, first - work.first_token_target)
        # Reports are late and other processes choose too, so the penalty begins below the target.
        strain = max(0.0, between / work.token_target - weights.strain_from)
        late += strain * strain * between * work.output_tokens
        machine = each.price * duration / each.slots
        lost = each.reclaim_risk * duration / 3600.0
        waste = lost * (new_tokens + work.output_tokens) / weights.prefill_rate
        return (machine + late * weights.late_price + waste * weights.waste_price) / 3600.0


# Latency added by leaving the zone, in seconds; zones are up to 1.4 ms apart, one way.
REMOTE_ZONE_SECONDS = 0.003
# Part by which the other requests of a full plain endpoint lengthen a call.
FULL_STRAIN = 0.33


class BacklogChoice(ChoicePolicy):
    """The endpoint with the least expected delay, for the request and for those beside it.

    An engine reads prompts one after another, in chunks between the tokens of all that runs. So
    what counts is the prompts that wait there, what its cache spares of this prompt, and how many
    requests run.
    """

    def choose(
        self, candidates: Sequence[Candidate], work: WorkEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the endpoint with the smallest expected delay, None if all are full."""
        free = [each for each in candidates if each.load < each.slots]
        return min(free, key=lambda each: (self.delay(each, work), rng.random()), default=None)

    def delay(self, each: Candidate, work: WorkEstimate) -> float:
        """Return the expected delay in seconds."""
        rates = work.rates
        new_tokens = max(0, work.prompt_tokens - each.cached_tokens)
        reading = (each.backlog_tokens + new_tokens) * rates.token_seconds
        crowd = rates.crowd_seconds * each.load
        strain = FULL_STRAIN * rates.base_seconds * each.load / each.slots
        way = REMOTE_ZONE_SECONDS if each.zone != work.zone else 0.0
        return (reading + crowd + strain) * each.slowness + way
