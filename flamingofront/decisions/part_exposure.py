"""What requests with a prompt part went through, besides the crashes that are held against it.

A part that many requests share is present at most crashes, whatever their cause. Three facts tell
it from a poison part before any request with it is answered in full: how long requests with it were
at the endpoints that crashed, compared with the rate of crashes without it; requests with it that
received events for longer than others did before they ended in a crash; and how many requests have
it.
"""

import math
import statistics
from collections import Counter, deque
from collections.abc import Collection, Iterable, Mapping

from flamingofront.decisions.part_facts import PartSurvivor

__all__ = ["PartExposure", "compute_chance"]

MAX_RECENT_REQUESTS = 256
# Requests without a part that a process must have seen to know that not all have it.
MIN_OTHER_REQUESTS = 4
MAX_COMMON_SHARE = 0.75
# Share of the requests from which on a part is likely to be at several crashes by chance.
MIN_COMMON_SHARE = 0.05
DEFAULT_SHARE = 0.5
# Endpoints at which requests with a part have outlasted those at most crashes.
MIN_SURVIVORS = 2
# Times from arrival to crash under equal poison requests vary by less than this.
SURVIVAL_FACTOR = 3.0
SURVIVAL_MARGIN_SECONDS = 0.25
SURVIVOR_LIFETIME_SECONDS = 3.0
MAX_PARTS_WITH_SURVIVORS = 512
_CHANCE_TERMS = 64


def compute_chance(count: int, expected: float) -> float:
    """Return the probability of at least `count` independent crashes where some are expected."""
    terms = (
        math.exp(number * math.log(expected) - expected - math.lgamma(number + 1))
        for number in range(count, count + _CHANCE_TERMS)
    )
    return min(1.0, math.fsum(terms)) if expected > 0 else 0.0


class PartExposure:
    """Recent requests of this process by part, and requests that outlast crashes at any process."""

    def __init__(self):
        self._recent: deque[frozenset[str]] = deque(maxlen=MAX_RECENT_REQUESTS)
        self._survivors: dict[str, dict[str, PartSurvivor]] = {}

    def record_request(self, parts: Collection[str]) -> None:
        """Record that this process sends a request with some parts to an endpoint."""
        self._recent.append(frozenset(parts))

    def compute_share(self, part: str) -> float:
        """Return the share of the recent requests that have a part."""
        if not self._recent:
            return DEFAULT_SHARE
        return sum(part in each for each in self._recent) / len(self._recent)

    def list_common(self) -> set[str]:
        """Return the parts that a notable share of the recent requests have."""
        counts = Counter(part for each in self._recent for part in each)
        least = MIN_COMMON_SHARE * len(self._recent)
        return {part for part, count in counts.items() if count >= least}

    def is_known_to_be_uncommon(self, part: str) -> bool:
        """Return True if enough recent requests of this process do not have a part."""
        others = sum(part not in each for each in self._recent)
        return others >= MIN_OTHER_REQUESTS and self.compute_share(part) <= MAX_COMMON_SHARE

    def record_survivors(self, survivors: Iterable[PartSurvivor]) -> bool:
        """Merge requests that receive events; return True if a part has one at another endpoint."""
        is_new = False
        for each in survivors:
            known = self._survivors.setdefault(each.part, {})
            is_new = is_new or each.endpoint_id not in known
            if each.endpoint_id not in known or known[each.endpoint_id].at < each.at:
                known[each.endpoint_id] = each
        while len(self._survivors) > MAX_PARTS_WITH_SURVIVORS:
            del self._survivors[next(iter(self._survivors))]
        return is_new

    def list_survivors(self, now: float) -> list[PartSurvivor]:
        """Return the longest recent survivors of each part, and drop those that are too old."""
        kept = {
            part: {
                name: each
                for name, each in found.items()
                if now - each.at <= SURVIVOR_LIFETIME_SECONDS
            }
            for part, found in self._survivors.items()
        }
        self._survivors = {part: found for part, found in kept.items() if found}
        return [
            each
            for found in self._survivors.values()
            for each in sorted(found.values(), key=lambda each: -each.active_seconds)[
                :MIN_SURVIVORS
            ]
        ]

    def is_outlasted(
        self, part: str, crash_seconds: Mapping[str, float], crashed: Collection[str], now: float
    ) -> bool:
        """Return True if requests with a part went on for much longer than others before a crash.

        Parameters
        ----------
        crash_seconds : mapping of str to float
            Longest active time of a request with the part, by endpoint that crashed.
        crashed : collection of str
            Endpoints that have crashed.

        Notes
        -----
        Random crashes interrupt long streams at any age, so that some outlast others by far, at
        endpoints that crashed later and at live ones.
        """
        limit = SURVIVAL_FACTOR * _lower_quartile(crash_seconds.values()) + SURVIVAL_MARGIN_SECONDS
        outlasting = {name for name, seconds in crash_seconds.items() if seconds > limit}
        outlasting |= {
            name
            for name, each in self._survivors.get(part, {}).items()
            if each.active_seconds > limit
            and name not in crashed
            and now - each.at <= SURVIVOR_LIFETIME_SECONDS
        }
        return len(outlasting) >= MIN_SURVIVORS


def _lower_quartile(values: Collection[float]) -> float:
    return statistics.quantiles(values, n=4)[0] if len(values) > 1 else min(values, default=0.0)
