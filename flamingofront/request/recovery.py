"""Recovery plans for the streams of an endpoint that will be reclaimed.

The time between the notice and the reclaim is short and KV cache transfers off the VM are serial,
so the streams compete for it.
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


# Safety factor on the expected transfer time, because transfers start as late as possible.
LATE_START_FACTOR = 1.25


class RecoveryAction(StrEnum):
    """Action for one stream: finish in place, transfer the KV cache, or recompute elsewhere."""

    FINISH = "finish"
    TRANSFER = "transfer"
    RECOMPUTE = "recompute"


@dataclass(frozen=True)
class StreamState:
    """One stream on the leaving endpoint.

    Parameters
    ----------
    context_tokens : int
        Prompt and generated tokens, which a resume without KV cache recomputes.
    remaining_tokens : int
        Tokens that are still to be generated, at most.
    """

    request_id: str
    context_tokens: int
    remaining_tokens: int


@dataclass(frozen=True)
class RecoveryPlan:
    """Action for one stream, to be started after `start_in` seconds."""

    request_id: str
    action: RecoveryAction
    start_in: float


@dataclass(frozen=True)
class RecoveryRates:
    """Measured or configured rates for recovery planning.

    Parameters
    ----------
    token_seconds : float
        Time between two tokens of a stream.
    transfer_setup : float
        Fixed overhead of each transfer, in seconds.
    transfer_token_seconds : float
        Seconds to export and import the cache of one token.
    margin : float
        Seconds before the reclaim at which all streams must be off the VM.
    contention : float
        Streams on the VM per stream of this process; the transfers of other processes share the
        bandwidth.
    """

    token_seconds: float = 0.04
    transfer_setup: float = 0.05
    transfer_token_seconds: float = 0.0002
    margin: float = 0.5
    contention: float = 1.0


class RecoveryPolicy(ABC):
    """Plans the recovery of the streams of a leaving endpoint."""

    @abstractmethod
    def plan(
        self, streams: Sequence[StreamState], notice_seconds: float, rates: RecoveryRates
    ) -> list[RecoveryPlan]:
        """Return a plan for each stream, `notice_seconds` before the reclaim."""


class ResumeOnLoss(RecoveryPolicy):
    """Baseline policy: streams run until the VM is reclaimed and are then recomputed."""

    def plan(
        self, streams: Sequence[StreamState], notice_seconds: float, rates: RecoveryRates
    ) -> list[RecoveryPlan]:
        """Return a plan for each stream: recompute it at the time of the reclaim."""
        return [
            RecoveryPlan(each.request_id, RecoveryAction.RECOMPUTE, notice_seconds)
            for each in streams
        ]


class CostRecovery(RecoveryPolicy):
    """Finishes short streams, transfers the longest contexts and recomputes the others.

    Notes
    -----
    A transfer of n tokens saves n recomputed tokens and takes ``setup + n * rate`` of the notice,
    so the longest contexts save the most tokens per second and come first. Streams that can neither
    finish nor be transferred in time are recomputed elsewhere, spread over the second half of the
    usable time: later starts leave fewer tokens to generate, and the spread avoids a burst.
    """

    def plan(
        self, streams: Sequence[StreamState], notice_seconds: float, rates: RecoveryRates
    ) -> list[RecoveryPlan]:
        """Return a plan for each stream, `notice_seconds` before the reclaim."""
        usable_seconds = max(0.0, notice_seconds - rates.margin)
        finishing = [
            each
            for each in streams
            if each.remaining_tokens * rates.token_seconds <= usable_seconds
        ]
        finishing_ids = {each.request_id for each in finishing}
        moving = [each for each in streams if each.request_id not in finishing_ids]
        moving.sort(key=lambda each: (-each.context_tokens, each.request_id))
        plans = [
            RecoveryPlan(each.request_id, RecoveryAction.FINISH, notice_seconds)
            for each in finishing
        ]
        transfers, unfitted = self._fit_transfers(moving, usable_seconds, rates)
        return plans + transfers + self._spread_recomputes(unfitted, usable_seconds)

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
        # Transfers start as late as is safe: until then the leaving VM still generates tokens.
        transfer_seconds = busy_until * rates.contention
        start_offset = max(0.0, usable_seconds - transfer_seconds * LATE_START_FACTOR)
        return [replace(each, start_in=each.start_in + start_offset) for each in plans], unfitted

    def _spread_recomputes(
        self, streams: list[StreamState], usable_seconds: float
    ) -> list[RecoveryPlan]:
        window = usable_seconds / 2
        step = window / max(1, len(streams))
        return [
            RecoveryPlan(
                each.request_id, RecoveryAction.RECOMPUTE, usable_seconds - window + index * step
            )
            for index, each in enumerate(streams)
        ]
