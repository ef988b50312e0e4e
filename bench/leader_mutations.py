"""Mutations of what keeps calls of two holders of the leader lease apart."""

from bench.mutation import Mutation

__all__ = ["LEADER_MUTATIONS"]

FUZZ = "process/forwarding/tests/test_lease_fuzz.py"
CALLS = "process/forwarding/tests/test_calls_after_the_lease.py"
WRITES = "connection/tests/test_late_writes.py"

LEADER_MUTATIONS = (
    Mutation(
        "Lease: it is asked again before bytes are sent",
        "process/forwarding/leader_call.py",
        "return self._is_usable(self.fencing)",
        "return True",
        CALLS,
    ),
    Mutation(
        "Lease: a call is sent under its own token only",
        "process/forwarding/duty.py",
        "return lease is not None and lease.fencing == fencing",
        "return lease is not None",
        CALLS,
    ),
    Mutation(
        "Lease: calls of unknown holders are waited for",
        "process/forwarding/duty.py",
        "acts_from = self._now() + self._duration + TAKEOVER_MARGIN_SECONDS",
        "acts_from = self._now() + self._duration",
        CALLS,
    ),
    Mutation(
        "Lease: an older holder does not replace a newer one that was heard",
        "process/forwarding/duty.py",
        "report.fencing >= max(self.state.fencing, self._reported_fencing):",
        "report.fencing >= self.state.fencing:",
        FUZZ,
    ),
    Mutation(
        "Lease: a release counts for its own holder only",
        "process/forwarding/duty.py",
        "return self._reported_release >= max(self.state.fencing, self._reported_fencing, 1)",
        "return self._reported_release > 0",
        FUZZ,
    ),
    Mutation(
        "Write: the guard is asked before each write",
        "connection/client.py",
        "        if not self._call.may_send():\n            return SEND_WITHDRAWN\n",
        "",
        WRITES,
    ),
    Mutation(
        "Write: a call is not written after its timeout",
        "connection/client.py",
        '        if self._client.is_overdue(self._call):\n            return "timeout"\n',
        "",
        WRITES,
    ),
    Mutation(
        "Write: the kernel limits the delivery of large calls",
        "connection/client.py",
        "self._call.call.ack_timeout is None and len(self._unsent) > WATCHED_BYTES",
        "len(self._unsent) > WATCHED_BYTES",
        WRITES,
    ),
    Mutation(
        "Write: a killed process takes its unsent bytes along",
        "connection/client.py",
        "is killed: the kernel then discards what it has not sent.\n"
        "            self._set_reset_on_close(True)",
        "is killed: the kernel then discards what it has not sent.\n            pass",
        WRITES,
    ),
)
