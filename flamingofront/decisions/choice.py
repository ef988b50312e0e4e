"""Choice of the endpoint for an attempt.

The score of an endpoint is the expected cost of running the request there, in the price unit of the
VM list: machine time, a penalty for missing the latency target, and work wasted by a reclaim. See
docs/DESIGN.md, "Choice of endpoint", for the alternatives.
"""

import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from flamingofront.decisions.direct_paths import EndpointPath
from flamingofront.decisions.engine_rates import EngineRates

__all__ = [
    "BacklogChoice",
    "Candidate",
    "compute_report_weight",
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
    """State of one endpoint as seen by this process.

    Parameters
    ----------
    price : float
        Cost per hour of its VM.
    slots : int
        Requests that it can run concurrently within the latency target.
    local_in_flight : int
        Attempts of this process in flight there.
    reported_load : float
        Number of requests in its last load report.
    local_at_report : int
        Attempts of this process in flight there at the time of the report.
    cached_tokens : int
        Prompt tokens of this request expected in its prefix cache.
    backlog_tokens : int
        Prompt tokens of attempts of all processes there whose responses have not started.
    reclaim_risk : float
        Expected reclaims per hour of its VM; 0 for on-demand VMs.
    slowness : float
        Observed latency relative to the other endpoints of the service; 1 is normal.
    leaving : bool
        True if it takes no new requests because it is about to stop.
    ejected : bool
        True while it is avoided after repeated failures, as in a circuit breaker.
    local_share : float
        Fraction of all attempts on the service that are made by this process.
    report_weight : float
        Weight of the report against the extrapolation from local attempts, 0 to 1.
    closed : bool
        True while the endpoint itself asks clients to back off.
    path : EndpointPath
        Path on which an attempt reaches it.
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
    path: EndpointPath = EndpointPath.DIRECT

    @property
    def is_unavailable(self) -> bool:
        """True if it must not get new requests, even if no other endpoint is left."""
        return self.leaving or self.closed or self.path is EndpointPath.NONE

    @property
    def load(self) -> float:
        """Estimated number of running requests, combined from two estimates.

        Notes
        -----
        The report is delayed and the same for all processes, so on its own it causes herding onto
        one endpoint. The local count is exact; divided by the local share of all attempts it
        estimates the total, more precisely the more local attempts there are.
        """
        reported = max(
            float(self.local_in_flight),
            self.reported_load + self.local_in_flight - self.local_at_report,
        )
        extrapolated = self.local_in_flight / self.local_share
        return self.report_weight * reported + (1.0 - self.report_weight) * extrapolated


@dataclass(frozen=True)
class WorkEstimate:
    """Expected work of one request at an endpoint.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Tokens to prefill, and expected tokens to generate.
    first_token_target, token_target : float
        Latency targets in seconds.
    zone : str
        Zone of this process.
    rates : EngineRates
        Estimated rates of the endpoints of the service.
    """

    prompt_tokens: int = 0
    output_tokens: int = 64
    first_token_target: float = 1.6
    token_target: float = 0.068
    zone: str = ""
    rates: EngineRates = EngineRates()


def compute_report_weight(local_in_flight: int, endpoints: int) -> float:
    """Return the weight of load reports against local counts, from 0 to 1.

    Parameters
    ----------
    local_in_flight : int
        Attempts of this process on all endpoints of the service.
    endpoints : int
        Number of these endpoints.

    Notes
    -----
    A few local attempts on each endpoint are more informative than a delayed report. With almost
    none (many entry VMs and many endpoints) the report is the only information.
    """
    mean = local_in_flight / max(1, endpoints)
    return 1.0 / (1.0 + mean) ** 2


def filter_usable(
    candidates: Iterable[Candidate], side: str | None, exclude: frozenset[str]
) -> Iterator[Candidate]:
    """Yield the candidates that may get new requests.

    Notes
    -----
    Leaving and closed endpoints are never usable. Callers relax the rules for ejected endpoints and
    for those that failed the same request when no other endpoint is left.
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
    """Policy that picks one of the usable endpoints."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], work: WorkEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the endpoint for an attempt, None if all are full."""


class RoundRobinChoice(ChoicePolicy):
    """Baseline policy: endpoints in turn."""

    def __init__(self):
        self._turn = itertools.count()

    def choose(
        self, candidates: Sequence[Candidate], work: WorkEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the next endpoint in the order of ids."""
        if not candidates:
            return None
        ordered = sorted(candidates, key=lambda each: each.endpoint_id)
        return ordered[next(self._turn) % len(ordered)]


class LeastReportedChoice(ChoicePolicy):
    """Baseline policy: the lowest reported load, without correction by local attempts."""

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
    prefill_tokens_per_second : float
        Prompt tokens that an idle endpoint prefills per second.
    idle_interval_ratio : float
        Time between tokens on an idle endpoint, relative to the target, which an endpoint just
        meets when all its slots are in use.
    late_cost : float
        Cost of a second beyond the target, in price units per hour.
    waste_cost : float
        Cost of a recomputed token relative to a prompt token.
    remote_zone_seconds : float
        Latency added by an endpoint in another zone.
    full_factor : float
        Load, relative to `slots`, from which an endpoint gets no more requests.
    strain_threshold : float
        Expected time between tokens, relative to the target, above which it is penalized.
    """

    prefill_tokens_per_second: float = 4000.0
    idle_interval_ratio: float = 0.45
    late_cost: float = 40.0
    waste_cost: float = 2.0
    remote_zone_seconds: float = 0.002
    full_factor: float = 1.0
    strain_threshold: float = 0.6


class CostChoice(ChoicePolicy):
    """Policy that minimizes the expected cost over a random sample of the endpoints.

    Parameters
    ----------
    weights : CostWeights
        Weights and rates.
    sample : int
        Number of endpoints compared. Sampling keeps processes with the same delayed reports from
        all picking the same endpoint. The one with the longest cached prefix is always included.
    """

    def __init__(self, weights: CostWeights | None = None, sample: int = 4):
        self._weights = weights or CostWeights()
        self._sample = sample

    def choose(
        self, candidates: Sequence[Candidate], work: WorkEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the endpoint with the smallest expected cost, None if all are full."""
        limit = self._weights.full_factor
        available = [each for each in candidates if each.load < each.slots * limit]
        if not available:
            return None
        picked = self._pick_sample(available, rng)
        return min(picked, key=lambda each: (self.score(each, work), rng.random()))

    def _pick_sample(self, available: list[Candidate], rng: random.Random) -> list[Candidate]:
        if len(available) <= self._sample:
            return available
        picked = rng.sample(available, self._sample)
        best_cached = max(available, key=lambda each: each.cached_tokens)
        if best_cached.cached_tokens and best_cached not in picked:
            picked.append(best_cached)
        return picked

    def score(self, candidate: Candidate, work: WorkEstimate) -> float:
        """Return the expected cost of the request on one endpoint, in price units."""
        weights = self._weights
        utilization = candidate.load / candidate.slots
        interval_ratio = (
            weights.idle_interval_ratio + (1.0 - weights.idle_interval_ratio) * utilization
        )
        new_tokens = max(0, work.prompt_tokens - candidate.cached_tokens)
        first_seconds = (
            new_tokens
            / weights.prefill_tokens_per_second
            * (1.0 + utilization)
            * candidate.slowness
        )
        first_seconds += weights.remote_zone_seconds if candidate.zone != work.zone else 0.0
        token_interval = work.token_target * interval_ratio * candidate.slowness
        duration = first_seconds + token_interval * work.output_tokens
        late_seconds = max(0.0, first_seconds - work.first_token_target)
        # The penalty starts below the target: reports are late, and other processes choose too.
        strain = max(0.0, token_interval / work.token_target - weights.strain_threshold)
        late_seconds += strain * strain * token_interval * work.output_tokens
        machine_cost = candidate.price * duration / candidate.slots
        expected_reclaims = candidate.reclaim_risk * duration / 3600.0
        waste_seconds = (
            expected_reclaims
            * (new_tokens + work.output_tokens)
            / weights.prefill_tokens_per_second
        )
        return (
            machine_cost + late_seconds * weights.late_cost + waste_seconds * weights.waste_cost
        ) / 3600.0


# Latency added by an endpoint in another zone; the one-way delay between zones is up to 1.4 ms.
REMOTE_ZONE_SECONDS = 0.003
# Latency added by a peer that proxies the attempt.
PROXY_SECONDS = 0.005
# Fraction by which the other requests on a fully loaded plain endpoint slow down a call.
FULL_LOAD_SLOWDOWN = 0.33


class BacklogChoice(ChoicePolicy):
    """Policy that minimizes the expected delay of the request and of those running beside it.

    An engine prefills prompts one after another, in chunks between the decoding steps of running
    requests. The delay therefore depends on the queued prompts, on the uncached tokens of this
    prompt, and on the number of running requests.
    """

    def choose(
        self, candidates: Sequence[Candidate], work: WorkEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the endpoint with the smallest expected delay, None if all are full."""
        available = [each for each in candidates if each.load < each.slots]
        return min(
            available,
            key=lambda each: (self.estimate_delay(each, work), rng.random()),
            default=None,
        )

    def estimate_delay(self, candidate: Candidate, work: WorkEstimate) -> float:
        """Return the expected delay in seconds."""
        rates = work.rates
        new_tokens = max(0, work.prompt_tokens - candidate.cached_tokens)
        prefill = (candidate.backlog_tokens + new_tokens) * rates.token_seconds
        crowding = rates.crowding_seconds * candidate.load
        strain = FULL_LOAD_SLOWDOWN * rates.base_seconds * candidate.load / candidate.slots
        network = REMOTE_ZONE_SECONDS if candidate.zone != work.zone else 0.0
        if candidate.path is EndpointPath.PROXIED:
            network += PROXY_SECONDS
        return (prefill + crowding + strain) * candidate.slowness + network
