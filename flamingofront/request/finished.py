"""Answers kept for callers that come back."""

from collections import OrderedDict
from dataclasses import dataclass

from flamingofront.request.records import RequestRecord
from flamingofront.request.stored_answer import StoredAnswer

__all__ = ["RetainedAnswer", "AnswerCache"]

MAX_RETAINED_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class RetainedAnswer:
    """One answer and the request that it belongs to; `until` is when it may be dropped."""

    workspace: str
    answer: StoredAnswer
    record: RequestRecord
    tokens: tuple[str, ...]
    until: float

    @property
    def size(self) -> int:
        """Bytes of the answer."""
        return len(self.answer.body)


class AnswerCache:
    """Answers kept for callers that come back, bounded in time and size."""

    def __init__(self, max_bytes: int = MAX_RETAINED_BYTES):
        self._max_bytes = max_bytes
        self._size = 0
        self._answers: OrderedDict[str, RetainedAnswer] = OrderedDict()

    def put(self, request_id: str, finished: RetainedAnswer) -> None:
        """Keep an answer; the oldest make room for it."""
        self._drop(request_id)
        self._answers[request_id] = finished
        self._size += finished.size
        while self._size > self._max_bytes and len(self._answers) > 1:
            self._drop(next(iter(self._answers)))

    def get(self, request_id: str, now: float) -> RetainedAnswer | None:
        """Return an answer that is still kept."""
        while self._answers and next(iter(self._answers.values())).until < now:
            self._drop(next(iter(self._answers)))
        return self._answers.get(request_id)

    def _drop(self, request_id: str) -> None:
        known = self._answers.pop(request_id, None)
        if known is not None:
            self._size -= known.size
