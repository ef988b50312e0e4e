"""Row of one endpoint in the store, validated whatever source it comes from."""

import ipaddress
import math
from dataclasses import dataclass

__all__ = ["EndpointRow", "MAX_TEXT_CHARACTERS", "is_endpoint_id"]

MAX_PORT = 65535
# Limit on ids and names, which reports and log lines repeat.
MAX_TEXT_CHARACTERS = 256
# Writers keep these counts in signed 64-bit integers.
MAX_COUNT = 2**63 - 1


@dataclass(frozen=True)
class EndpointRow:
    """State of one endpoint as written in its row in the store.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint; an endpoint that restarts may keep it.
    version : str
        Software version of the endpoint.
    slots : int
        Number of requests that it runs concurrently; 0 if unknown.
    ready : bool
        False once the endpoint is leaving: it takes no new requests.
    warming : float
        Seconds after its start during which it is slower than usual.
    sequence : int
        Number of the write of this row; starts again with each start of the endpoint.
    born : int
        Start time in Unix milliseconds; 0 if unknown.
    reclaimable : bool
        True if the cloud may reclaim its VM.
    leaves_in : float or None
        Seconds until its VM is reclaimed; None if unknown.
    revision : int
        Revision of the store in which the row was written; 0 if unknown.

    Raises
    ------
    ValueError
        If a value has the wrong type, is out of range or too long. Rows come from peers and from
        the store, where other programs write, so that errors have to be found here and not at
        later use.
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
    revision: int = 0

    def __post_init__(self):
        for name in ("endpoint_id", "service", "address", "zone"):
            _check_text(name, getattr(self, name))
        _check_address(self.address)
        for name in ("slots", "sequence", "born", "revision"):
            _check_count(name, getattr(self, name))
        for name in ("ready", "reclaimable"):
            _check_type(name, getattr(self, name), bool)
        _check_type("version", self.version, str)
        _check_length("version", self.version)
        _check_seconds("warming", self.warming)
        if self.leaves_in is not None:
            _check_seconds("leaves_in", self.leaves_in)

    @property
    def order_key(self) -> tuple[int, int]:
        """Sort key of the rows of one endpoint: start time, then number of the write."""
        return self.born, self.sequence


def is_endpoint_id(text: str) -> bool:
    """Return True if a text may be the id of an endpoint."""
    return 0 < len(text) <= MAX_TEXT_CHARACTERS


def _check_type(name: str, value: object, wanted: type) -> None:
    if type(value) is not wanted:
        raise ValueError(f"{name} is {value!r:.60}, expected {wanted.__name__}")


def _check_text(name: str, value: object) -> None:
    _check_type(name, value, str)
    if not value:
        raise ValueError(f"{name} is empty")
    _check_length(name, value)


def _check_length(name: str, value: str) -> None:
    if len(value) > MAX_TEXT_CHARACTERS:
        limit = MAX_TEXT_CHARACTERS
        raise ValueError(f"{name} has {len(value)} characters, at most {limit} are accepted")


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"address {address!r:.60} has no valid port")


def _check_count(name: str, value: object) -> None:
    _check_type(name, value, int)
    if not 0 <= value <= MAX_COUNT:
        raise ValueError(f"{name} is {value}, expected a non-negative 64-bit integer")


def _check_seconds(name: str, value: object) -> None:
    if type(value) not in (int, float) or not math.isfinite(value) or value < 0:
        raise ValueError(f"{name} is {value!r:.60}, expected a finite number of seconds, 0 or more")
