"""In-memory state of the intent log: cached records, and the rate limit of store writes."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from flamingofront.decisions.send_intents import IntentRecord
from flamingofront.process.intent_rows import VersionedRecord

__all__ = ["WRITE_BURST", "RecordCache", "WriteRateLimiter"]

# Transactions that may be made without a pause: capacity of the token bucket.
WRITE_BURST = 8.0
# Fraction of a token that may be missing because of rounding when many short intervals add up.
TOKEN_TOLERANCE = 1e-6
MAX_RECORDS = 1024


@dataclass
class WriteRateLimiter:
    """Token bucket for store transactions.

    Parameters
    ----------
    rate : callable
        Returns the transactions that are allowed per second.
    at : float
        Time of the last refill in seconds.
    """

    rate: Callable[[], float]
    tokens: float = WRITE_BURST
    at: float = 0.0

    def refill(self, now: float) -> float:
        """Refill the bucket; return the seconds until a transaction is allowed, 0 if it is now."""
        self.tokens = min(WRITE_BURST, self.tokens + (now - self.at) * self.rate())
        self.at = now
        missing = 1.0 - self.tokens
        return 0.0 if missing <= TOKEN_TOLERANCE else missing / self.rate()

    def consume(self) -> None:
        """Consume the token of one transaction."""
        self.tokens -= 1.0


@dataclass
class RecordCache:
    """Intent records as this process knows them, and pending changes of the stored records.

    Parameters
    ----------
    by_fingerprint : OrderedDict
        Cached records, the oldest update first.
    to_delete : dict
        Fingerprints of requests whose records are to be deleted from the store.
    to_rewrite : dict
        Fingerprints of requests whose records are to be rewritten without some of their sends.
    """

    by_fingerprint: OrderedDict[str, VersionedRecord] = field(default_factory=OrderedDict)
    to_delete: dict[str, None] = field(default_factory=dict)
    to_rewrite: dict[str, None] = field(default_factory=dict)

    def get_record(self, fingerprint: str) -> IntentRecord:
        """Return the cached record of a request; an empty record if there is none."""
        versioned = self.by_fingerprint.get(fingerprint)
        return versioned.record if versioned is not None else IntentRecord(fingerprint)

    def get_version(self, fingerprint: str) -> int:
        """Return the version of the row of a record; 0 if there is none."""
        versioned = self.by_fingerprint.get(fingerprint)
        return versioned.version if versioned is not None else 0

    def update(self, versioned: VersionedRecord) -> None:
        """Cache a record as stored; drop it from the cache if the store has no sends of it."""
        fingerprint = versioned.record.fingerprint
        if not versioned.version or not versioned.record.sends:
            self.by_fingerprint.pop(fingerprint, None)
            return
        self.by_fingerprint[fingerprint] = versioned
        self.by_fingerprint.move_to_end(fingerprint)
        while len(self.by_fingerprint) > MAX_RECORDS:
            self.by_fingerprint.popitem(last=False)
