"""How many endpoints of a service are wanted in each zone.

Limits, endpoints and demand go in, wanted numbers come out; nothing is sent here.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from flamingofront.version.forwarding import ScalingLimits

__all__ = ["Demand", "FleetCounts", "ScalingPolicy", "SpreadReclaimable"]


@dataclass(frozen=True)
class Demand:
    """Load of one service.

    Parameters
    ----------
    in_flight : float
        Requests that run or wait at its endpoints.
    slots : int
        Requests that one endpoint runs at once.
    known : bool
        False until requests were seen for a while.
    """

    in_flight: float
    slots: int
    known: bool = True


@dataclass(frozen=True)
class FleetCounts:
    """Wanted endpoints of one service by zone; `reclaimable` and `firm` ones are ordered apart."""

    reclaimable: Mapping[str, int]
    firm: Mapping[str, int]


class ScalingPolicy(ABC):
    """Decides on the wanted numbers."""

    @abstractmethod
    def plan(
        self,
        limits: ScalingLimits,
        demand: Demand,
        dry: frozenset[str],
        live: Mapping[str, int],
        found: Mapping[str, int],
    ) -> FleetCounts:
        """Return the wanted endpoints.

        Parameters
        ----------
        dry : frozenset of str
            Zones in which no more reclaimable endpoints are to be had now.
        live : mapping of str to int
            Reclaimable endpoints that serve now, by zone.
        found : mapping of str to int
            Endpoints of both kinds that served when this process began, by zone.
        """


@dataclass(frozen=True)
class SpreadReclaimable(ScalingPolicy):
    """Reclaimable endpoints, spread evenly so that the loss of some zones is borne.

    While none are to be had anywhere, firm ones stand in for what the demand still lacks.

    Parameters
    ----------
    utilization : float
        Part of the slots that the demand may fill. Many processes choose by loads that are up to a
        second old: with 62 of them 16 in 100 streams were late at half of 16 slots, 10 at a fifth.
    crowd : float
        Requests at an endpoint above which answers come late however many slots it has: an engine
        prefills prompts between the tokens of what runs.
    lost_zones : int
        Zones whose reclaimable endpoints may be taken back while the demand is still carried.
        Reclaims come in waves, and for ten seconds and more there is no replacement.
    first_each : int
        Least endpoints in each zone while the demand is not yet known.
    first_part : float
        Part of the endpoints that were found in a zone that are kept until then: what somebody set
        up is the only word on the demand. With half of 90 endpoints kept, 25 in 100 requests of the
        first six seconds were late.
    firm_utilization, firm_crowd : float
        The same for firm endpoints: they cost several times as much, and what they make up for is
        back after a while.
    """

    utilization: float = 0.2
    crowd: float = 12.8
    lost_zones: int = 2
    first_each: int = 2
    first_part: float = 2 / 3
    firm_utilization: float = 0.35
    firm_crowd: float = 22.4

    def plan(
        self,
        limits: ScalingLimits,
        demand: Demand,
        dry: frozenset[str],
        live: Mapping[str, int],
        found: Mapping[str, int],
    ) -> FleetCounts:
        """Return the wanted endpoints, cheapest zones first."""
        zones = sorted(limits.zone_prices, key=lambda zone: (limits.zone_prices[zone], zone))
        needed = math.ceil(demand.in_flight / min(demand.slots * self.utilization, self.crowd))
        urgent = math.ceil(
            demand.in_flight / min(demand.slots * self.firm_utilization, self.firm_crowd)
        )
        surviving = max(1, len(zones) - self.lost_zones)
        lasting = math.ceil(needed / surviving)
        reclaimable = {}
        missing = urgent
        for zone in zones:
            least = self._least(limits, demand, found.get(zone, 0))
            each = min(limits.most, max(least, lasting))
            serving = live.get(zone, 0)
            reclaimable[zone] = max(least, min(each, serving)) if zone in dry else each
            missing -= serving if zone in dry else each
        return FleetCounts(reclaimable, self._firm(limits, zones, reclaimable, missing))

    def _least(self, limits: ScalingLimits, demand: Demand, found: int) -> int:
        """Return the least endpoints of a zone."""
        least = max(1, limits.least)
        if demand.known:
            return least
        return min(limits.most, max(least, self.first_each, math.ceil(found * self.first_part)))

    @staticmethod
    def _firm(
        limits: ScalingLimits, zones: list[str], reclaimable: Mapping[str, int], missing: int
    ) -> dict[str, int]:
        """Return the firm endpoints that make up for missing ones, within the limits."""
        firm = {}
        for zone in zones:
            firm[zone] = max(0, min(missing, limits.most - reclaimable[zone]))
            missing -= firm[zone]
        return firm
