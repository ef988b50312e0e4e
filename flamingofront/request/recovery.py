"""What to do with the streams of an endpoint that will be reclaimed.

The time that a notice leaves is short and the transfer of KV cache off the VM is serial, so streams
compete for it.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

__all__ = [
    "CostRecovery",
    "RecoveryAction",
    "RecoveryPlan",
    "RecoveryPolicy",
    "RecoveryRates",
    "ResumeOnLoss",
    "StreamState",
]


LATE_START_FACTOR = 1.25


class RecoveryAction(StrEnum):
    """What becomes of one stream."""

    FINISH = "finish"
    TRANSFER = "transfer"
    RECOMPUTE = "recompute"


@dataclass(frozen=True)
class StreamState:
    """One stream on the leaving endpoint.

    Parameters
    ----------
    context_tokens : int
        Prompt and generated tokens; what a resume without KV cache computes again.
    remaining_tokens : int
        Tokens expected until the end.
    """

    request_id: str
    context_tokens: int
    remaining_tokens: int


@dataclass(frozen=True)
class RecoveryPlan:
    """Action for one stream, to begin after `start_in` seconds."""

    request_id: str
    action: RecoveryAction
    start_in: float


@dataclass(frozen=True)
class RecoveryRates:
    """Measured or configured rates.

    Parameters
    ----------
    token_seconds : float
        Time between two tokens of a stream.
    transfer_setup : float
        Seconds that each transfer takes besides its data.
    transfer_token_seconds : float
        Seconds to export and import the cache of one token.
    margin : float
        Seconds before the end of the notice when everything must be off the VM.
    contention : float
        Streams on the VM for each one of this process: the others' transfers take their time too.
    """

    token_seconds: float = 0.04
    transfer_setup: float = 0.05
    transfer_token_seconds: float = 0.0002
    margin: float = 0.5
    contention: float = 1.0


class RecoveryPolicy(ABC):
    """Plans what happens to the streams of a leaving endpoint."""

    @abstractmethod
    def plan(
        self, streams: Sequence[StreamState], notice_seconds: float, rates: RecoveryRates
    ) -> list[RecoveryPlan]:
        """Return a plan for each stream, `notice_seconds` seconds before the reclaim."""


class ResumeOnLoss(RecoveryPolicy):
    """The naive version: go on until the VM is gone, then compute everything again."""

    def plan(
        self, streams: Sequence[StreamState], notice_seconds: float, rates: RecoveryRates
    ) -> list[RecoveryPlan]:
        """Return a recomputation for each stream at the end of the notice."""
        return [
            RecoveryPlan(each.request_id, RecoveryAction.RECOMPUTE, notice_seconds)
            for each in streams
        ]


class CostRecovery(RecoveryPolicy):
    """Let finish what can, transfer what saves most, move the rest before the end.

    Notes
    -----
    A transfer of n tokens saves n recomputed tokens and takes ``setup + n * rate`` of the notice,
    so by saved tokens a second the longest contexts come first. Streams that will not finish and
    do not fit are resumed elsewhere by recomputation, spread over the last part of the notice: each
    token made before is one less to make, and a spread keeps them from all arriving at once.
    """

    def plan(
        self, streams: Sequence[StreamState], notice_seconds: float, rates: RecoveryRates
    ) -> list[RecoveryPlan]:
        """Return a plan for each stream."""
        usable_seconds = max(0.0, notice_seconds - rates.margin)
        finishing = [
            each
            for each in streams
            if each.remaining_tokens * rates.token_seconds <= usable_seconds
        ]
        done = {each.request_id for each in finishing}
        moving = [each for each in streams if each.request_id not in done]
        moving.sort(key=lambda each: (-each.context_tokens, each.request_id))
        plans = [
            RecoveryPlan(each.request_id, RecoveryAction.FINISH, notice_seconds)
            for each in finishing
        ]
        transfers, unfitted = self._fit_transfers(moving, usable_seconds, rates)
        return plans + transfers + self._spread(unfitted, usable_seconds)

    def _fit_transfers(
        self, streams: list[StreamState], usable_seconds: float, rates: RecoveryRates
    ) -> tuple[list[RecoveryPlan], list[StreamState]]:
        plans = []
        unfitted = []
        busy_until = 0.0
        for each in streams:
            needed = rates.transfer_setup + each.context_tokens * rates.transfer_token_seconds
            if busy_until + needed <= usable_seconds:
                plans.append(RecoveryPlan(each.request_id, RecoveryAction.TRANSFER, busy_until))
                busy_until += needed
            else:
                unfitted.append(each)
        # As late as is safe: until then the leaving VM still makes tokens that others need not.
        all_transfers = busy_until * rates.contention
        wait = max(0.0, usable_seconds - all_transfers * LATE_START_FACTOR)
        return [replace(each, start_in=each.start_in + wait) for each in plans], unfitted

    def _spread(self, streams: list[StreamState], usable_seconds: float) -> list[RecoveryPlan]:
        window = usable_seconds / 2
        step = window / max(1, len(streams))
        return [
            RecoveryPlan(
                each.request_id, RecoveryAction.RECOMPUTE, usable_seconds - window + index * step
            )
            for index, each in enumerate(streams)
        ]
