"""Assemble the answer of one request from the frames of its attempts.

Exactly one attempt at a time may extend the text. Two engines continue the same prompt in different
ways, so a frame of any other attempt is dropped even if it fits the offset.
"""

from collections import Counter
from enum import StrEnum

from flamingofront.messages import Frame

__all__ = ["Assembler", "DropReason"]

MAX_AHEAD_FRAMES = 256


class DropReason(StrEnum):
    """Why a frame was not used."""

    OTHER_REQUEST = "other_request"
    OTHER_ATTEMPT = "other_attempt"
    DUPLICATE = "duplicate"
    TOO_FAR_AHEAD = "too_far_ahead"
    FROZEN = "frozen"
    AFTER_END = "after_end"


class Assembler:
    """The text of one request.

    Parameters
    ----------
    request_id : str
        Request that the text belongs to.
    tokens : sequence of str
        Text that is there already, after a hand-over.
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
        """Number of tokens that are there."""
        return len(self.tokens)

    def set_owner(self, attempt_id: str | None) -> None:
        """Make one attempt the only one that may extend the text; None stops all."""
        self._owner = attempt_id
        self._pending.clear()

    def freeze(self) -> None:
        """Stop the text for good; it goes on in another process."""
        self.frozen = True
        self._pending.clear()

    def accept(self, frame: Frame) -> tuple[str, ...]:
        """Take a frame and return the tokens that it adds to the text.

        Notes
        -----
        Frames may come twice, overlapping or out of order. One that begins behind the end of the
        text waits until the gap is filled.
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
        """Return the frame that says more about its offset."""
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
