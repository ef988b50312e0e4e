"""One edit that takes a mechanism away."""

from dataclasses import dataclass

__all__ = ["Mutation"]


@dataclass(frozen=True)
class Mutation:
    """One edit that takes a mechanism away, and the tests that must fail."""

    point: str
    file: str
    old: str
    new: str
    tests: str
