"""Mutations of what stops, surges and unseen ends are borne by."""

from bench.mutation import Mutation

__all__ = ["KNOWN_FAILURE_MUTATIONS"]

STOPPING = "process/forwarding/tests/test_stopping.py"
QUOTA = "decisions/tests/test_quota.py"
ARBITER = "process/forwarding/tests/test_quota_arbiter.py"
QUARANTINE = "decisions/tests/test_quarantine.py"
CRASHING = "tests/test_crashing_requests.py"

KNOWN_FAILURE_MUTATIONS = (
    Mutation(
        "S a deadline alone decides where the size is not known",
        "decisions/stopping.py",
        "if found else math.inf",
        "if found else 1.0",
        STOPPING,
    ),
    Mutation(
        "S longer streams take longer than those that were seen",
        "decisions/stopping.py",
        "self.first_event + self.rest * output_tokens / self.output_tokens",
        "self.first_event + self.rest",
        STOPPING,
    ),
    Mutation(
        "S the time left is looked at again before an attempt",
        "request/forwarded_request.py",
        "if rejection is None or self.machine.ran is not Executed.NO:",
        "if True:",
        STOPPING,
    ),
    Mutation(
        "S what has no answer gets one before the exit",
        "process/forwarding/shutdown.py",
        "            request.fail_for_shutdown()",
        "            pass",
        STOPPING,
    ),
    Mutation(
        "S each process keeps to its part",
        "decisions/quota.py",
        "if members > 1 and not self._fits_local_share(",
        "if False and not self._fits_local_share(",
        QUOTA,
    ),
    Mutation(
        "S what was taken before the start is assumed",
        "decisions/quota.py",
        "        if age >= self._limits.window_seconds:\n            return math.inf",
        "        return math.inf",
        QUOTA,
    ),
    Mutation(
        "S one process is asked",
        "process/forwarding/inquiries.py",
        "        candidates = self._candidates(request.key)",
        "        candidates = []",
        ARBITER,
    ),
    Mutation(
        "S what is allowed is charged at once",
        "process/forwarding/quota_arbiter.py",
        "            self._quota.charge_grant(workspace, request.units, is_alone, now)",
        "            pass",
        ARBITER,
    ),
    Mutation(
        "S a repeated question is charged once",
        "process/forwarding/inquiries.py",
        "reply = self._replies.get((ip, number)) or make()",
        "reply = make()",
        ARBITER,
    ),
    Mutation(
        "S numbers go on in the next life",
        "process/forwarding/inquiries.py",
        "context.incarnation * NUMBERS_PER_MILLISECOND + 1",
        "1",
        ARBITER,
    ),
    Mutation(
        "S only who would be asked decides",
        "process/forwarding/quota_arbiter.py",
        "return (\n"
        "            self._context.local_ip in self._context.rank_arbiters(name)\n"
        "            and not self._context.should_defer()\n"
        "        )",
        "return True",
        ARBITER,
    ),
    Mutation(
        "S a side gives back what it took of the others",
        "decisions/quota.py",
        "        if lost_share > 0 and name in self._consumed:",
        "        if False:",
        ARBITER,
    ),
    Mutation(
        "S the first retries of a process are few",
        "decisions/shared_retry.py",
        "is_new = now - self._started_at < self._window",
        "is_new = False",
        QUOTA,
    ),
    Mutation(
        "S unseen ends use up trials",
        "decisions/quarantine.py",
        "return entry.with_trials(used_trials) if used_trials > 0 else entry",
        "return entry",
        QUARANTINE,
    ),
    Mutation(
        "S a single end is kept",
        "request/guard.py",
        "self._persist_evidence(self._observed_fingerprints, self._observed_parts, min_crashes=1)",
        "self._persist_evidence(self._observed_fingerprints, self._observed_parts, min_crashes=2)",
        CRASHING,
    ),
)
