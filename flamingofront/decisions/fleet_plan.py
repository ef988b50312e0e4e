"""How many endpoints of a service are wanted in each zone.

Load pattern: reclaimable endpoints of a whole zone are taken back with a notice that is shorter
than the start of a replacement, the next zone follows while none are to be had anywhere, and what
remains has to carry the work. Limits, endpoints and demand go in, wanted numbers come out; nothing
is sent here.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from flamingofront.decisions.demand import Demand
from flamingofront.version.forwarding import ScalingLimits

__all__ = ["CheapestSafeFleet", "FleetCounts", "FleetState", "ScalingPolicy"]

Counts = Mapping[str, int]


@dataclass(frozen=True)
class FleetCounts:
    """Wanted endpoints of one service by zone; `reclaimable` and `on_demand` ones are ordered apart."""

    reclaimable: Counts
    on_demand: Counts


@dataclass(frozen=True)
class FleetState:
    """What serves and what can be had.

    Parameters
    ----------
    reclaimable, firm : mapping of str to int
        Endpoints that serve now and are not leaving, by zone.
    dry : frozenset of str
        Zones in which no more reclaimable endpoints are to be had now.
    found : mapping of str to int
        Endpoints of both kinds that served when this process began, by zone.
    """

    reclaimable: Counts = field(default_factory=dict)
    on_demand: Counts = field(default_factory=dict)
    exhausted_zones: frozenset[str] = frozenset()
    found: Counts = field(default_factory=dict)


class ScalingPolicy(ABC):
    """Decides on the wanted numbers."""

    @abstractmethod
    def plan(self, limits: ScalingLimits, demand: Demand, state: FleetState) -> FleetCounts:
        """Return the wanted endpoints."""


@dataclass(frozen=True)
class _Need:
    """Endpoints that the demand asks for.

    Parameters
    ----------
    lasting : int
        So many keep answers in time, also in clumps.
    firm : int
        The same while reclaimable ones are not to be had.
    surviving : int
        So many must be left when a zone's reclaimable ones are taken back.
    """

    lasting: int
    on_demand: int
    surviving: int


@dataclass(frozen=True)
class CheapestSafeFleet(ScalingPolicy):
    """The cheapest mix of both kinds that carries the work, also when the next zone is taken back.

    Reclaimable endpoints are spread evenly. How many are kept beyond the work follows from their
    price against that of firm ones: where they cost a fifth, a spare zone of them is cheaper than
    firm ones; where they cost nearly as much, firm ones are.

    Parameters
    ----------
    spare : float
        Endpoints beyond those that the work keeps busy, for each square root of these: what queues
        at a clump grows with the root of the load [1]_. One and a half busy endpoints are given
        six, sixteen are given thirty: four for each busy one, whatever their number, cost 0.02 more
        of the worth of a calm day of 89 VMs.
    firm_spare : float
        The same for firm endpoints, which cost several times as much.
    survivor_utilization : float
        Part of the time for which endpoints may be busy in the seconds in which replacements start.
        At 0.95 of sixteen, 46 in 100 requests of four seconds were late.
    slot_use : float
        Part of the slots that may be taken.
    first_each : int
        Least endpoints in each zone while the demand is not yet known.
    first_part : float
        Part of the endpoints that were found in a zone that are kept until then: what somebody set
        up is the only word on the demand. With half of 90 endpoints kept, 25 in 100 requests of the
        first six seconds were late.

    References
    ----------
    .. [1] S. Halfin, W. Whitt, "Heavy-Traffic Limits for Queues with Many Exponential Servers",
       Operations Research 29(3), 1981.
    """

    spare: float = 3.6
    firm_spare: float = 1.0
    survivor_utilization: float = 0.75
    slot_use: float = 0.6
    first_each: int = 2
    first_part: float = 2 / 3

    def plan(self, limits: ScalingLimits, demand: Demand, state: FleetState) -> FleetCounts:
        """Return the wanted endpoints, cheapest zones first."""
        zones = sorted(limits.zone_prices, key=lambda zone: (limits.zone_prices[zone], zone))
        need = self._need(demand)
        least = {zone: self._least(limits, demand, state.found.get(zone, 0)) for zone in zones}
        plans = (
            self._with_firm(reclaimable, zones, limits, need, state)
            for reclaimable in self._reclaimable_counts(zones, limits, least, state)
        )
        return min(plans, key=lambda plan: self._rank(plan, limits, need, state))

    def _need(self, demand: Demand) -> _Need:
        peak = max(demand.work.fast, demand.work.slow)
        full = demand.in_flight / demand.slots
        on_demand = _count(_staffed(peak, self.firm_spare), full / self.slot_use)
        return _Need(
            lasting=max(on_demand, _count(_staffed(demand.work.slow, self.spare))),
            on_demand=on_demand,
            surviving=_count(peak / self.survivor_utilization, full),
        )

    def _least(self, limits: ScalingLimits, demand: Demand, found: int) -> int:
        """Return the least endpoints of a zone."""
        least = max(1, limits.least)
        if demand.known:
            return least
        return min(limits.most, max(least, self.first_each, math.ceil(found * self.first_part)))

    @staticmethod
    def _reclaimable_counts(
        zones: list[str], limits: ScalingLimits, least: Counts, state: FleetState
    ) -> Iterator[dict[str, int]]:
        """Yield ever more reclaimable endpoints, spread evenly; dry zones keep what they have."""
        counts = {
            zone: state.reclaimable.get(zone, 0) if zone in state.exhausted_zones else least[zone]
            for zone in zones
        }
        yield dict(counts)
        open_zones = [zone for zone in zones if zone not in state.exhausted_zones]
        while any(counts[zone] < limits.most for zone in open_zones):
            fewest = min(open_zones, key=lambda zone: (counts[zone], zones.index(zone)))
            counts[fewest] += 1
            yield dict(counts)

    @classmethod
    def _with_firm(
        cls,
        reclaimable: dict[str, int],
        zones: list[str],
        limits: ScalingLimits,
        need: _Need,
        state: FleetState,
    ) -> FleetCounts:
        """Add the firm endpoints that are missing.

        Notes
        -----
        A zone without reclaimable endpoints keeps the least number of firm ones in any case: the
        platform starts them where nobody orders them, and then later.
        """
        on_demand = {zone: max(0, limits.least - reclaimable[zone]) for zone in zones}
        missing = cls._missing(reclaimable, need, state) - sum(on_demand.values())
        for zone in zones:
            room = limits.most - reclaimable[zone] - on_demand[zone]
            more = max(0, min(missing, room))
            on_demand[zone] += more
            missing -= more
        return FleetCounts(reclaimable, on_demand)

    @staticmethod
    def _missing(reclaimable: Counts, need: _Need, state: FleetState) -> int:
        """Return the firm endpoints that the reclaimable ones leave to be wished for.

        Notes
        -----
        Firm ones that serve stay until reclaimable ones have taken their place: without that the
        work of a drought lay on half of the endpoints for four seconds at its end.
        """
        total = sum(reclaimable.values())
        survivors = total - max(reclaimable.values())
        lasting = need.on_demand if state.exhausted_zones else need.lasting
        serving = sum(min(each, reclaimable[zone]) for zone, each in state.reclaimable.items())
        uncovered = min(sum(state.on_demand.values()), need.on_demand - serving)
        return max(0, lasting - total, need.surviving - survivors, uncovered)

    @classmethod
    def _rank(
        cls, plan: FleetCounts, limits: ScalingLimits, need: _Need, state: FleetState
    ) -> tuple[int, float]:
        """Return the endpoints that a plan lacks, then its price; the least is best."""
        missing = cls._missing(plan.reclaimable, need, state)
        lacking = max(0, missing - sum(plan.on_demand.values()))
        price = sum(
            limits.zone_prices[zone] * (limits.reclaimable_price * plan.reclaimable[zone] + count)
            for zone, count in plan.on_demand.items()
        )
        return lacking, price


def _count(*endpoints: float) -> int:
    """Return the endpoints that all of some needs ask for, at least one."""
    return max(1, *(math.ceil(each) for each in endpoints))


def _staffed(work: float, spare: float) -> float:
    """Return the endpoints for some busy ones, with spare ones by the square root of these."""
    return work + spare * math.sqrt(work)
