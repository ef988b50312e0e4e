"""Records of sends as one process knows them, and the pace at which it writes them."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from flamingofront.decisions.send_intents import IntentRecord
from flamingofront.process.intent_rows import VersionedRecord

__all__ = ["WRITE_BURST", "RecordCache", "WriteRateLimiter"]

# Transactions that may follow each other without a pause.
WRITE_BURST = 8.0
# Part of a transaction that is none: what the sum of small times may lack.
ROUNDING = 1e-6
# Records that a process remembers.
MAX_RECORDS = 1024


@dataclass
class WriteRateLimiter:
    """Pace of transactions."""

    rate: Callable[[], float]
    tokens: float = WRITE_BURST
    at: float = 0.0

    def wait(self, now: float) -> float:
        """Return the seconds until the next transaction may be made; 0 if it may now."""
        self.tokens = min(WRITE_BURST, self.tokens + (now - self.at) * self.rate())
        self.at = now
        missing = 1.0 - self.tokens
        return 0.0 if missing <= ROUNDING else missing / self.rate()

    def take(self) -> None:
        """Count a transaction."""
        self.tokens -= 1.0


@dataclass
class RecordCache:
    """Records as this process knows them, and what is to change in the store."""

    kept: OrderedDict[str, VersionedRecord] = field(default_factory=OrderedDict)
    # Requests whose records are removed, and those of which some sends are.
    answered: dict[str, None] = field(default_factory=dict)
    changed: dict[str, None] = field(default_factory=dict)

    def record(self, fingerprint: str) -> IntentRecord:
        """Return the record of a request, which may be empty."""
        kept = self.kept.get(fingerprint)
        return kept.record if kept is not None else IntentRecord(fingerprint)

    def version(self, fingerprint: str) -> int:
        """Return the version of a record's row; 0 if there is none."""
        kept = self.kept.get(fingerprint)
        return kept.version if kept is not None else 0

    def take(self, kept: VersionedRecord) -> None:
        """Take a record as the store has it."""
        fingerprint = kept.record.fingerprint
        if not kept.version or not kept.record.sends:
            self.kept.pop(fingerprint, None)
            return
        self.kept[fingerprint] = kept
        self.kept.move_to_end(fingerprint)
        while len(self.kept) > MAX_RECORDS:
            self.kept.popitem(last=False)
