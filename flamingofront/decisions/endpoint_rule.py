"""Rules that restrict the endpoints which an attempt may use."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from flamingofront.process.membership import Fact

__all__ = ["EndpointRule"]


class EndpointRule(ABC):
    """Rule that selects the endpoints of a service for an attempt."""

    @abstractmethod
    def select(self, facts: Mapping[str, Fact]) -> dict[str, Fact]:
        """Return the endpoints, by id, that the attempt may use."""
