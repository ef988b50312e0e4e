"""Assembles the answer of one request from the frames of its attempts.

Exactly one attempt at a time may extend the text. Two engines continue the same prompt differently,
so a frame of any other attempt is dropped even if its offset fits.
"""

from collections import Counter
from enum import StrEnum

from flamingofront.messages import Frame

__all__ = ["Assembler", "DropReason"]

MAX_AHEAD_FRAMES = 256


class DropReason(StrEnum):
    """Reason for which a frame is dropped."""

    OTHER_REQUEST = "other_request"
    OTHER_ATTEMPT = "other_attempt"
    DUPLICATE = "duplicate"
    TOO_FAR_AHEAD = "too_far_ahead"
    FROZEN = "frozen"
    AFTER_END = "after_end"


class Assembler:
    """Text of one request, assembled from frames.

    Parameters
    ----------
    request_id : str
        Request that the text belongs to.
    tokens : sequence of str
        Tokens that were generated before a hand-over.

    Attributes
    ----------
    complete : bool
        True once the final frame was added.
    frozen : bool
        True once the text is continued by another process.
    dropped : Counter
        Number of dropped frames by reason.
    """

    def __init__(self, request_id: str, tokens: tuple[str, ...] = ()):
        self.request_id = request_id
        self.tokens: list[str] = list(tokens)
        self.complete = False
        self.frozen = False
        self.dropped: Counter[DropReason] = Counter()
        self._owner: str | None = None
        self._pending: dict[int, Frame] = {}

    @property
    def offset(self) -> int:
        """Number of assembled tokens."""
        return len(self.tokens)

    def set_owner(self, attempt_id: str | None) -> None:
        """Set the only attempt that may extend the text; None for no attempt."""
        self._owner = attempt_id
        self._pending.clear()

    def freeze(self) -> None:
        """Stop extending the text permanently; another process continues it."""
        self.frozen = True
        self._pending.clear()

    def accept(self, frame: Frame) -> tuple[str, ...]:
        """Add a frame and return the tokens by which it extends the text.

        Notes
        -----
        Frames may be duplicated, overlapping or out of order. A frame that starts beyond the end of
        the text is kept until the gap is filled.
        """
        reason = self._find_drop_reason(frame)
        if reason is not None:
            self.dropped[reason] += 1
            return ()
        if frame.offset > self.offset:
            self._pending[frame.offset] = self._choose_longer(frame)
            return ()
        start = self.offset
        self._append(frame)
        self._append_pending()
        return tuple(self.tokens[start:])

    def _choose_longer(self, frame: Frame) -> Frame:
        """Return the longer one of a frame and the pending frame at the same offset."""
        cached = self._pending.get(frame.offset)
        if cached is None or (len(frame.tokens), frame.final) > (len(cached.tokens), cached.final):
            return frame
        return cached

    def _find_drop_reason(self, frame: Frame) -> DropReason | None:
        if frame.request_id != self.request_id:
            return DropReason.OTHER_REQUEST
        if self.frozen:
            return DropReason.FROZEN
        if self.complete:
            return DropReason.AFTER_END
        if frame.attempt_id != self._owner:
            return DropReason.OTHER_ATTEMPT
        end = frame.offset + len(frame.tokens)
        if end < self.offset or (end == self.offset and not frame.final):
            return DropReason.DUPLICATE
        if frame.offset > self.offset and len(self._pending) >= MAX_AHEAD_FRAMES:
            return DropReason.TOO_FAR_AHEAD
        return None

    def _append(self, frame: Frame) -> None:
        overlap = self.offset - frame.offset
        if overlap > len(frame.tokens):
            return
        self.tokens.extend(frame.tokens[overlap:])
        self.complete = self.complete or frame.final

    def _append_pending(self) -> None:
        while not self.complete:
            fitting = [offset for offset in self._pending if offset <= self.offset]
            if not fitting:
                return
            for offset in sorted(fitting):
                self._append(self._pending.pop(offset))
                if self.complete:
                    return
