"""Digests that the relays of a zone send: sums over many entry processes, in one datagram.

A relay receives the reports of the processes of its zone. It sends their sum to the relays of the
other zones, and the sum over all zones back to the processes of its own zone. So the traffic of a
process does not grow with the number of VMs. Digests are compressed: on small links many of them
would otherwise wait for one another, and with them what they tell of endpoints that leave.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import orjson

from flamingofront.process.forwarding.compression import compress, decompress
from flamingofront.process.forwarding.limit_messages import decode_limits, encode_limits
from flamingofront.process.forwarding.message_size import MAX_MESSAGE_BYTES, encode_within
from flamingofront.process.forwarding.reports import (
    PeerReport,
    ProcessCounts,
    decode_ages,
    decode_delay,
    decode_endpoint_numbers,
    decode_rollouts,
    decode_time,
)
from flamingofront.process.quarantine_codec import (
    decode_part_times,
    decode_part_update,
    decode_quarantine_update,
    encode_part_times,
    encode_part_update,
    encode_quarantine_update,
)

__all__ = [
    "ALL_ZONES",
    "MAX_DIGEST_BYTES",
    "LeaseClaim",
    "Digest",
    "DigestWriter",
    "decode_digest",
    "is_digest",
]

# Scope of a digest that sums over all zones.
ALL_ZONES = "*"
# Magic and format version of the datagram, plain and compressed; a process of another version
# rejects it with an error.
_PLAIN_PREFIX = b"D3 "
_COMPRESSED_PREFIX = b"D4 "
_PREFIXES = (_PLAIN_PREFIX, _COMPRESSED_PREFIX)
_HEADER_END = b"\n"
_UNACKNOWLEDGED = tuple(each + b"0" + _HEADER_END for each in _PREFIXES)
# Shorter bodies are sent as they are.
MIN_COMPRESSED_BYTES = 256
# Longer digests are rejected. 600 endpoints, 64 workspaces and 41 members take under 20 KB.
MAX_DIGEST_BYTES = MAX_MESSAGE_BYTES
# Length of the number of the addressee's report and of what encloses it.
_MAX_HEADER_BYTES = 64


@dataclass(frozen=True)
class LeaseClaim:
    """Lease advertisement: the holder of the leader lease and the newest released lease.

    Parameters
    ----------
    fencing, lease_version : int
        Fencing token of the holder's lease and version of its row; 0 if no holder was seen
        recently.
    released : int
        Largest fencing token of a released lease.
    ip : str
        IP address of the holder, empty if no holder was seen recently.
    """

    fencing: int = 0
    lease_version: int = 0
    released: int = 0
    ip: str = ""


@dataclass(frozen=True)
class Digest:
    """Sums over the entry processes of one zone, or of all zones.

    Parameters
    ----------
    relay : PeerReport
        State of the sending relay, without loads and counts.
    scope : str
        The zone, or `ALL_ZONES`.
    wall : float
        Median wall clock of the processes that the relay receives, seconds since the epoch.
    members, live : int
        Processes of the scope, and the live ones among them; both include the relay.
    loads : mapping of str to (int, int)
        By endpoint, attempts in flight and prompt tokens not yet read.
    claim : LeaseClaim
        Newest lease advertisement that the relay has received.
    unreachable : tuple of str
        Zones without a live member.
    consumed : mapping of str to float, optional
        Quota units consumed, by workspace, since the relay began to count. None if left out.
    demand : mapping of str to float, optional
        Requests in flight, by service. None if left out.
    work : mapping of str to (float, float), optional
        Fast and slow moving average of the load placed, in endpoint-seconds per second, by service.
        None if left out.
    roster : mapping of str to str, optional
        IP address of each live process of the relay's zone, by VM. None if left out.
    relays : mapping of str to tuple of str, optional
        IP addresses of the relays of each zone. None if left out.
    usage : mapping, optional
        Requests started, by process, window and workspace. None if left out.
    usage_until : mapping of str to float
        Wall-clock time up to which the usage of a process is complete.
    acknowledged : int
        Number of the addressee's last report that the sums include; 0 if they include none.
    """

    relay: PeerReport
    scope: str
    wall: float
    members: int
    live: int
    loads: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    claim: LeaseClaim = LeaseClaim()
    unreachable: tuple[str, ...] = ()
    consumed: Mapping[str, float] | None = None
    demand: Mapping[str, float] | None = None
    work: Mapping[str, tuple[float, float]] | None = None
    roster: Mapping[str, str] | None = None
    relays: Mapping[str, tuple[str, ...]] | None = None
    usage: ProcessCounts | None = None
    usage_until: Mapping[str, float] = field(default_factory=dict)
    acknowledged: int = 0


# Position, name and default of the values that grow with what they name.
_USAGE = 14
_OMISSIBLE = {
    6: ("loads", {}),
    8: ("unreachable", ()),
    9: ("consumed", None),
    10: ("demand", None),
    11: ("work", None),
    12: ("roster", None),
    13: ("relays", None),
    _USAGE: ("usage", None),
    15: ("usage_until", {}),
    16: ("quarantine", None),
    17: ("limits", ()),
    18: ("leaving_endpoints", ()),
    21: ("removed_endpoints", ()),
    23: ("suspect_parts", None),
    25: ("part_times", None),
}


def is_digest(data: bytes) -> bool:
    """Return True if a datagram is a digest, of any version."""
    return data.startswith(_PLAIN_PREFIX[:1])


def is_zone_digest(data: bytes) -> bool:
    """Return True for a digest to a member of the own zone, which includes a report of that."""
    return data.startswith(_PREFIXES) and not data.startswith(_UNACKNOWLEDGED)


class DigestWriter:
    """Encodes one digest for many addressees, each with the number of its own last report.

    Parameters
    ----------
    digest : Digest
        Its `acknowledged` is ignored; `datagram` gets the number for each addressee.

    Attributes
    ----------
    omitted : tuple of str
        Names of the parts that were left out, since the digest was too long.
    """

    def __init__(self, digest: Digest):
        relay = digest.relay
        identity = [relay.vm_id, relay.incarnation, relay.sequence, relay.zone, relay.ip]
        state = [relay.address, relay.configuration, relay.endpoints, relay.rollouts]
        flags = [relay.store_unreachable, relay.watches_store, relay.leaving]
        claim = digest.claim
        values = [
            identity,
            state,
            flags,
            digest.scope,
            digest.wall,
            [digest.members, digest.live],
            digest.loads,
            [claim.fencing, claim.lease_version, claim.released, claim.ip],
            digest.unreachable,
            digest.consumed,
            digest.demand,
            digest.work,
            digest.roster,
            digest.relays,
            digest.usage,
            digest.usage_until,
            encode_quarantine_update(relay.quarantine),
            encode_limits(relay.limits),
            relay.leaving_endpoints,
            [relay.position, relay.ages],
            relay.confirmed,
            relay.removed_endpoints,
            relay.answered,
            encode_part_update(relay.suspect_parts),
            relay.delay_ms,
            encode_part_times(relay.part_times),
        ]
        omissible = {position: default for position, (_, default) in _OMISSIBLE.items()}
        # A digest of usage is known by it, also if nothing of it fits.
        omissible[_USAGE] = None if digest.usage is None else {}
        body, omitted = encode_within(values, omissible, MAX_DIGEST_BYTES - _MAX_HEADER_BYTES)
        self._prefix, self._body = _PLAIN_PREFIX, body
        if len(body) >= MIN_COMPRESSED_BYTES:
            self._prefix, self._body = _COMPRESSED_PREFIX, compress(body)
        self.omitted = tuple(_OMISSIBLE[each][0] for each in omitted)

    def datagram(self, acknowledged: int = 0) -> bytes:
        """Return the datagram for an addressee whose last report has this number."""
        return b"%b%d%b%b" % (self._prefix, acknowledged, _HEADER_END, self._body)


def decode_digest(data: bytes) -> Digest:
    """Return the digest in a datagram.

    Raises
    ------
    ValueError
        If the datagram is too long, of another version, or malformed.
    """
    if len(data) > MAX_DIGEST_BYTES:
        raise ValueError(f"digest of {len(data)} bytes: at most {MAX_DIGEST_BYTES} are accepted")
    if not data.startswith(_PREFIXES):
        raise ValueError(f"digest of another version: starts with {data[:3]!r}")
    head, _, body = data.partition(_HEADER_END)
    try:
        acknowledged = int(head[len(_PLAIN_PREFIX) :])
        if data.startswith(_COMPRESSED_PREFIX):
            body = decompress(body, MAX_DIGEST_BYTES)
        return _build_digest(orjson.loads(body), acknowledged)
    except (TypeError, ValueError, IndexError, AttributeError) as exc:
        raise ValueError(f"malformed digest: {exc!r}") from exc


def _build_digest(values: list, acknowledged: int) -> Digest:
    identity, state, flags, scope, wall, counts, loads, claim, unreachable = values[:9]
    consumed, demand, work, roster, relays, usage, usage_until, quarantine = values[9:17]
    # Earlier versions send neither feed position nor ages.
    position, ages = values[19] if len(values) > 19 else (0, (None, None))
    vm_id, incarnation, sequence, zone, ip = identity
    address, configuration, endpoints, rollouts = state
    store_unreachable, watches_store, leaving = flags
    relay = PeerReport(
        str(vm_id),
        int(incarnation),
        int(sequence),
        str(zone),
        str(ip),
        str(address),
        wall=float(wall),
        configuration=int(configuration),
        endpoints=int(endpoints),
        store_unreachable=bool(store_unreachable),
        watches_store=bool(watches_store),
        leaving=bool(leaving),
        rollouts=decode_rollouts(rollouts),
        quarantine=decode_quarantine_update(quarantine),
        # Earlier versions send neither limits nor leaving endpoints.
        limits=decode_limits(*values[17:18] or ((),)),
        leaving_endpoints=decode_endpoint_numbers(*values[18:19] or ((),)),
        position=int(position),
        ages=decode_ages(ages),
        # Earlier versions send neither times nor removed endpoints.
        confirmed=decode_ages(*values[20:21] or ((None, None),)),
        removed_endpoints=decode_endpoint_numbers(*values[21:22] or ((),)),
        answered=decode_time(*values[22:23] or (None,)),
        suspect_parts=decode_part_update(*values[23:24] or (None,)),
        delay_ms=decode_delay(*values[24:25] or (None,)),
        part_times=decode_part_times(*values[25:26] or (None,)),
    )
    fencing, lease_version, released, holder_ip = claim
    return Digest(
        relay=relay,
        scope=str(scope),
        wall=float(wall),
        members=int(counts[0]),
        live=int(counts[1]),
        loads={name: (int(each[0]), int(each[1])) for name, each in loads.items()},
        claim=LeaseClaim(int(fencing), int(lease_version), int(released), str(holder_ip)),
        unreachable=tuple(map(str, unreachable)),
        consumed=_check_mapping(consumed),
        demand=_check_mapping(demand),
        work=_check_mapping(work),
        roster=_check_mapping(roster),
        relays=None if relays is None else {name: tuple(ips) for name, ips in relays.items()},
        usage=_check_mapping(usage),
        usage_until={name: float(each) for name, each in usage_until.items()},
        acknowledged=acknowledged,
    )


def _check_mapping(value: object) -> dict | None:
    if value is not None and not isinstance(value, dict):
        raise TypeError(f"expected a mapping, got {type(value).__name__}")
    return value
