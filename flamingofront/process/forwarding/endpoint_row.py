"""One endpoint as its row in the store tells, with the checks that every source has to pass."""

import ipaddress
import math
from dataclasses import dataclass

__all__ = ["EndpointRow"]

MAX_PORT = 65535
# No count that is told of an endpoint is larger: it is kept in 64 bits by whoever wrote it.
MAX_COUNT = 2**63 - 1


@dataclass(frozen=True)
class EndpointRow:
    """One endpoint as its row in the store tells.

    Parameters
    ----------
    endpoint_id : str
        Names the endpoint; it may start again under the id that it had.
    version : str
        Version of its software.
    slots : int
        Requests that it runs at the same time; 0 if it does not say.
    ready : bool
        False once it is leaving.
    warming : float
        Seconds for which it stays slow after its start.
    sequence : int
        Grows with each write of the row, and begins anew with each start.
    born : int
        Unix milliseconds of its start; 0 if it does not say.
    reclaimable : bool
        True if the cloud may take it back.
    leaves_in : float or None
        Seconds until it is taken back, if that is known.

    Raises
    ------
    ValueError
        If a value is of another type or out of range. Rows come from the store, where others may
        have written them, and from peers: what is wrong must show here and not where it is used.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    slots: int
    ready: bool
    warming: float = 0.0
    sequence: int = 0
    born: int = 0
    version: str = ""
    reclaimable: bool = False
    leaves_in: float | None = None

    def __post_init__(self):
        for name in ("endpoint_id", "service", "address", "zone"):
            _check_text(name, getattr(self, name))
        _check_address(self.address)
        for name in ("slots", "sequence", "born"):
            _check_count(name, getattr(self, name))
        for name in ("ready", "reclaimable"):
            _check_type(name, getattr(self, name), bool)
        _check_type("version", self.version, str)
        _check_seconds("warming", self.warming)
        if self.leaves_in is not None:
            _check_seconds("leaves_in", self.leaves_in)

    @property
    def order_key(self) -> tuple[int, int]:
        """Order of the rows of an endpoint: by its start, then by the writes since."""
        return self.born, self.sequence


def _check_type(name: str, value: object, wanted: type) -> None:
    if type(value) is not wanted:
        raise ValueError(f"{name} is {value!r:.60}, which is no {wanted.__name__}")


def _check_text(name: str, value: object) -> None:
    _check_type(name, value, str)
    if not value:
        raise ValueError(f"{name} is empty")


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"address {address!r:.60} has no port")


def _check_count(name: str, value: object) -> None:
    _check_type(name, value, int)
    if not 0 <= value <= MAX_COUNT:
        raise ValueError(f"{name} is {value}, which is out of range")


def _check_seconds(name: str, value: object) -> None:
    if type(value) not in (int, float) or not math.isfinite(value) or value < 0:
        raise ValueError(f"{name} is {value!r:.60}, which is no time in seconds")
