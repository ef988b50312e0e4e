"""Cache of final answers for callers that reattach."""

from collections import OrderedDict
from dataclasses import dataclass

from flamingofront.request.records import RequestRecord
from flamingofront.request.stored_answer import StoredAnswer

__all__ = ["RetainedAnswer", "AnswerCache"]

MAX_RETAINED_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class RetainedAnswer:
    """The final answer of a request.

    Parameters
    ----------
    expires_at : float
        Time at which the answer may be removed.
    """

    workspace: str
    answer: StoredAnswer
    record: RequestRecord
    tokens: tuple[str, ...]
    expires_at: float

    @property
    def size(self) -> int:
        """Size of the answer in bytes."""
        return len(self.answer.body)


class AnswerCache:
    """Final answers kept for callers that reattach, bounded in time and size."""

    def __init__(self, max_bytes: int = MAX_RETAINED_BYTES):
        self._max_bytes = max_bytes
        self._size = 0
        self._answers: OrderedDict[str, RetainedAnswer] = OrderedDict()

    def store_answer(self, request_id: str, finished: RetainedAnswer) -> None:
        """Store an answer; the oldest answers are evicted to stay within the size limit."""
        self._remove(request_id)
        self._answers[request_id] = finished
        self._size += finished.size
        while self._size > self._max_bytes and len(self._answers) > 1:
            self._remove(next(iter(self._answers)))

    def get(self, request_id: str, now: float) -> RetainedAnswer | None:
        """Return the answer of a request; None if it has expired or is unknown."""
        while self._answers and next(iter(self._answers.values())).expires_at < now:
            self._remove(next(iter(self._answers)))
        return self._answers.get(request_id)

    def _remove(self, request_id: str) -> None:
        removed = self._answers.pop(request_id, None)
        if removed is not None:
            self._size -= removed.size
