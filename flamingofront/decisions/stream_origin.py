"""Origin of a stream: the software version of the endpoint that wrote its first event.

Output of two versions must not be joined, so a stream is continued only at endpoints of the version
that began it, and not at all while that version is unknown.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from flamingofront.decisions.endpoint_rule import EndpointRule
from flamingofront.process.membership import Fact

__all__ = ["SameVersion", "StreamOrigin", "VersionHistory"]

# Endpoints whose change of version under the same id is kept; such changes are rare.
MAX_CHANGED_ENDPOINTS = 1024
# Removed endpoints whose last version is kept.
MAX_REMOVED_ENDPOINTS = 4096


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Endpoint that wrote the first event of a stream.

    Parameters
    ----------
    version : str
        Software version of the endpoint.
    service : str
        Service of the endpoint.
    endpoint_id : str
        Empty if only the version is known.
    attempt : int
        Number of the attempt within its request; of two origins of one stream the higher one
        applies, since the earlier attempt brought no event.
    """

    version: str
    service: str
    endpoint_id: str = ""
    attempt: int = 1


@dataclass(frozen=True)
class SameVersion(EndpointRule):
    """Selects the endpoints that may continue a stream.

    Parameters
    ----------
    version : str or None
        Version that began the stream; None if it is not certain, so that no endpoint may.
    """

    version: str | None

    def select(self, facts: Mapping[str, Fact]) -> dict[str, Fact]:
        """Return the endpoints of the version."""
        return {name: fact for name, fact in facts.items() if fact.side == self.version}


def _group(versions: Iterable[tuple[str, str]]) -> dict[str, frozenset[str]]:
    """Return the versions of each service."""
    found: dict[str, set[str]] = {}
    for service, version in versions:
        found.setdefault(service, set()).add(version)
    return {service: frozenset(names) for service, names in found.items()}


class VersionHistory:
    """Versions that the endpoints of each service have had.

    Parameters
    ----------
    now : callable
        Returns the current time in seconds.

    Attributes
    ----------
    on_new_version : callable
        Called with the service when an endpoint of a version appears that had none before.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._began_at = math.inf
        self._versions: dict[str, tuple[str, str]] = {}
        self._left_at: dict[tuple[str, str], float] = {}
        self._changed_at: OrderedDict[str, float] = OrderedDict()
        self._removed: OrderedDict[str, tuple[str, str]] = OrderedDict()
        self.on_new_version: Callable[[str], None] = lambda service: None

    def record(self, endpoint_id: str, service: str, version: str) -> None:
        """Record the version of an endpoint that has a row."""
        self._began_at = min(self._began_at, self._now())
        if self._versions.get(endpoint_id) == (service, version):
            return
        # A row may be removed and return with another version.
        previous = self._versions.get(endpoint_id) or self._removed.pop(endpoint_id, None)
        is_new = (service, version) not in self._versions.values()
        if previous is not None and previous != (service, version):
            self._record_change(endpoint_id, previous)
        self._versions[endpoint_id] = (service, version)
        if is_new:
            self.on_new_version(service)

    def _record_change(self, endpoint_id: str, previous: tuple[str, str]) -> None:
        self._left_at[previous] = self._now()
        self._changed_at[endpoint_id] = self._now()
        self._changed_at.move_to_end(endpoint_id)
        while len(self._changed_at) > MAX_CHANGED_ENDPOINTS:
            self._changed_at.popitem(last=False)

    def record_removal(self, endpoint_id: str) -> None:
        """Record that the row of an endpoint was removed."""
        previous = self._versions.pop(endpoint_id, None)
        if previous is not None:
            self._left_at[previous] = self._now()
            self._removed[endpoint_id] = previous
            if len(self._removed) > MAX_REMOVED_ENDPOINTS:
                self._removed.popitem(last=False)

    def versions_since(self, service: str, seconds: float) -> frozenset[str]:
        """Return the versions that endpoints of a service have had in the last seconds."""
        return self.all_versions_since(seconds).get(service, frozenset())

    def present_versions(self) -> dict[str, frozenset[str]]:
        """Return the versions that endpoints have now, by service."""
        return _group(self._versions.values())

    def all_versions_since(self, seconds: float) -> dict[str, frozenset[str]]:
        """Return the versions that endpoints have had in the last seconds, by service."""
        since = self._now() - seconds
        left = (each for each, at in self._left_at.items() if at >= since)
        return _group((*self._versions.values(), *left))

    def covers(self, seconds: float) -> bool:
        """Return True if the history is at least this many seconds long."""
        return self._now() - self._began_at >= seconds

    def has_changed_since(self, endpoint_id: str, at: float) -> bool:
        """Return True if the version of an endpoint has changed under the same id since a time.

        Notes
        -----
        A row may be written after the endpoint began to run the new version, so the version of
        what it wrote before the change is not certain.
        """
        return self._changed_at.get(endpoint_id, -math.inf) >= at
