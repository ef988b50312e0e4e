"""What the relays of a zone tell: sums over many entry processes, in one datagram.

A relay hears the reports of its zone's processes. It sends their sum to the relays of the other
zones, and the sum over all zones back to the processes of its own. So what a process sends and
hears does not grow with the number of VMs.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import orjson

from flamingofront.process.forwarding.limit_messages import decode_limits, encode_limits
from flamingofront.process.forwarding.reports import (
    PeerReport,
    ProcessCounts,
    decode_ages,
    decode_rollouts,
    decode_starts,
)
from flamingofront.process.quarantine_codec import (
    decode_quarantine_update,
    encode_quarantine_update,
)

__all__ = [
    "ALL_ZONES",
    "MAX_DIGEST_BYTES",
    "Claim",
    "Digest",
    "DigestWriter",
    "decode_digest",
    "is_digest",
]

# Scope of a digest that sums over all zones.
ALL_ZONES = "*"
# Format of the datagram; a process of another version refuses it and says so.
_START = b"D3 "
_ACKNOWLEDGED_END = b"\n"
# Longest digest that is read: 600 endpoints, 64 workspaces and 41 members take under 20 KB.
MAX_DIGEST_BYTES = 48 * 1024


@dataclass(frozen=True)
class Claim:
    """Who holds the duties, or has given them up, as far as a relay has heard lately.

    Parameters
    ----------
    fencing, lease_version : int
        Fencing number of the holder's lease and version of its row; 0 if no holder is heard.
    released : int
        Largest fencing number of a lease that was given up.
    ip : str
        IP number of the holder, empty if none is heard.
    """

    fencing: int = 0
    lease_version: int = 0
    released: int = 0
    ip: str = ""


@dataclass(frozen=True)
class Digest:
    """Sums over the entry processes of one zone, or of all.

    Parameters
    ----------
    relay : PeerReport
        State of the process that tells it, without loads and counts.
    scope : str
        The zone, or `ALL_ZONES`.
    wall : float
        Wall clock on which the processes that the relay hears agree, seconds since the epoch.
    members, heard : int
        Processes that belong to the scope, and those of them that are heard; the relay included.
    loads : mapping of str to (int, int)
        By endpoint, attempts that run and prompt tokens that wait to be read.
    claim : Claim
        Who holds the duties.
    silent : tuple of str
        Zones of which nobody is heard any more.
    spent : mapping of str to float, optional
        Quota units taken out, by workspace, since the relay began to count. None if not told.
    demand : mapping of str to float, optional
        Requests that run, by service. None if not told.
    work : mapping of str to (float, float), optional
        Fast and slow mean of the work placed, in busy endpoints, by service. None if not told.
    roster : mapping of str to str, optional
        IP number of each process of the relay's zone that it hears. None if not told.
    relays : mapping of str to tuple of str, optional
        IP numbers of the relays of each zone. None if not told.
    usage : mapping, optional
        Requests that began, by process, window and workspace. None if not told.
    told_until : mapping of str to float
        Up to which time of the wall clock these counts of a process are known.
    acknowledged : int
        Number of the addressee's last report that is in the sums; 0 if none is.
    """

    relay: PeerReport
    scope: str
    wall: float
    members: int
    heard: int
    loads: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    claim: Claim = Claim()
    silent: tuple[str, ...] = ()
    spent: Mapping[str, float] | None = None
    demand: Mapping[str, float] | None = None
    work: Mapping[str, tuple[float, float]] | None = None
    roster: Mapping[str, str] | None = None
    relays: Mapping[str, tuple[str, ...]] | None = None
    usage: ProcessCounts | None = None
    told_until: Mapping[str, float] = field(default_factory=dict)
    acknowledged: int = 0


def is_digest(data: bytes) -> bool:
    """Tell whether a datagram is a digest, of any version; reports and notes begin otherwise."""
    return data.startswith(_START[:1])


class DigestWriter:
    """Writes one digest for many addressees, each with the number of its own last report."""

    def __init__(self, digest: Digest):
        relay = digest.relay
        identity = [relay.vm_id, relay.incarnation, relay.sequence, relay.zone, relay.ip]
        state = [relay.address, relay.configuration, relay.endpoints, relay.rollouts]
        flags = [relay.store_unreachable, relay.follows, relay.leaving]
        claim = digest.claim
        values = [
            identity,
            state,
            flags,
            digest.scope,
            digest.wall,
            [digest.members, digest.heard],
            digest.loads,
            [claim.fencing, claim.lease_version, claim.released, claim.ip],
            digest.silent,
            digest.spent,
            digest.demand,
            digest.work,
            digest.roster,
            digest.relays,
            digest.usage,
            digest.told_until,
            encode_quarantine_update(relay.quarantine),
            encode_limits(relay.limits),
            relay.leaving_endpoints,
            [relay.position, relay.ages],
        ]
        self._body = orjson.dumps(values)

    def datagram(self, acknowledged: int = 0) -> bytes:
        """Return the datagram for an addressee whose last report has this number."""
        return b"%b%d%b%b" % (_START, acknowledged, _ACKNOWLEDGED_END, self._body)


def decode_digest(data: bytes) -> Digest:
    """Return the digest in a datagram.

    Raises
    ------
    ValueError
        If it is too long, of another version, or malformed.
    """
    if len(data) > MAX_DIGEST_BYTES:
        raise ValueError(f"digest of {len(data)} bytes: at most {MAX_DIGEST_BYTES} are read")
    if not data.startswith(_START):
        raise ValueError(f"digest of another version: begins with {data[:3]!r}")
    head, _, body = data.partition(_ACKNOWLEDGED_END)
    try:
        acknowledged = int(head[len(_START) :])
        return _digest(orjson.loads(body), acknowledged)
    except (TypeError, ValueError, IndexError, AttributeError) as exc:
        raise ValueError(f"malformed digest: {exc!r}") from exc


def _digest(values: list, acknowledged: int) -> Digest:
    identity, state, flags, scope, wall, counts, loads, claim, silent = values[:9]
    spent, demand, work, roster, relays, usage, told_until, quarantine = values[9:17]
    # A relay of an earlier version does not tell how old its knowledge is.
    position, ages = values[19] if len(values) > 19 else (0, (None, None))
    vm_id, incarnation, sequence, zone, ip = identity
    address, configuration, endpoints, rollouts = state
    cut_off, follows, leaving = flags
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
        cut_off=bool(cut_off),
        follows=bool(follows),
        leaving=bool(leaving),
        rollouts=decode_rollouts(rollouts),
        quarantine=decode_quarantine_update(quarantine),
        # A relay of an earlier version tells none.
        limits=decode_limits(*values[17:18] or ((),)),
        leaving_endpoints=decode_starts(*values[18:19] or ((),)),
        position=int(position),
        ages=decode_ages(ages),
    )
    fencing, lease_version, released, holder_ip = claim
    return Digest(
        relay=relay,
        scope=str(scope),
        wall=float(wall),
        members=int(counts[0]),
        heard=int(counts[1]),
        loads={name: (int(each[0]), int(each[1])) for name, each in loads.items()},
        claim=Claim(int(fencing), int(lease_version), int(released), str(holder_ip)),
        silent=tuple(map(str, silent)),
        spent=_mapping(spent),
        demand=_mapping(demand),
        work=_mapping(work),
        roster=_mapping(roster),
        relays=None if relays is None else {name: tuple(ips) for name, ips in relays.items()},
        usage=_mapping(usage),
        told_until={name: float(each) for name, each in told_until.items()},
        acknowledged=acknowledged,
    )


def _mapping(value: object) -> dict | None:
    if value is not None and not isinstance(value, dict):
        raise TypeError(f"expected a mapping, got {type(value).__name__}")
    return value
