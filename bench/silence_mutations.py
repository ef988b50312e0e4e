"""Mutations of what ends an answer, and of the memory that callers use; see `bench.mutations`."""

from bench.mutation import Mutation

__all__ = ["SILENCE_MUTATIONS"]

SILENT_ENDPOINTS = "tests/test_silent_endpoints.py"
SILENT_PEERS = "tests/test_silent_proxied_attempts.py"
MEMORY_ACCOUNT = "decisions/tests/test_memory_account.py"

SILENCE_MUTATIONS = (
    Mutation(
        "Silence: doubt is no loss",
        "request/path_failover.py",
        "waiting_since if is_lost and has_way else -math.inf",
        "waiting_since",
        "tests/test_paths_in_doubt.py",
    ),
    Mutation(
        "Silence: an attempt is kept unless a retry is certain",
        "request/forwarded_request.py",
        "        if obstacle is not None:\n            self._log_kept",
        "        if False:\n            self._log_kept",
        SILENT_ENDPOINTS,
    ),
    Mutation(
        "Silence: probes of both sides are from the same time",
        "request/path_comparison.py",
        "elif self._timers.now() - self._answered_at >= MIN_OVERLAP_SECONDS:",
        "elif True:",
        SILENT_ENDPOINTS,
    ),
    Mutation(
        "Silence: a peer that answers has not stopped",
        "request/silent_peers.py",
        "        self._answered_at[peer] = now\n",
        "",
        SILENT_PEERS,
    ),
    Mutation(
        "Account: the sum is limited",
        "decisions/memory_account.py",
        "while self._used + growth > limit:",
        "while False:",
        MEMORY_ACCOUNT,
    ),
    Mutation(
        "Account: complete requests are not ended",
        "decisions/memory_account.py",
        "        self.release(source)\n        self._account",
        "        self._account",
        MEMORY_ACCOUNT,
    ),
)
