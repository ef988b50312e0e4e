"""Mutations of what follows from the words of endpoints in their answers."""

from bench.mutation import Mutation

__all__ = ["ANSWER_MUTATIONS"]

LIMITS = "tests/test_endpoint_limits.py"
KNOWN_LIMITS = "request/tests/test_endpoint_limits.py"
BUCKET = "decisions/tests/test_rate_limits.py"
LEAVING = "tests/test_leaving_endpoints.py"
PAUSES = "tests/test_endpoint_pauses.py"
KNOWN_PAUSES = "request/tests/test_endpoint_pauses.py"

ANSWER_MUTATIONS = (
    Mutation(
        "Limit: an attempt at a limited endpoint needs a permit",
        "request/active.py",
        "elif self.hub.permits.is_required(chosen.endpoint_id):",
        "elif False:",
        LIMITS,
    ),
    Mutation(
        "Limit: a bucket begins empty",
        "decisions/rate_limits.py",
        "        self.level = 0.0\n",
        "        self.level = 1000.0\n",
        BUCKET,
    ),
    Mutation(
        "Limit: urgent requests are kept a part",
        "decisions/rate_limits.py",
        "needed = 1.0 + endpoint.count_urgent(claim.priority, now) *",
        "needed = 1.0 + 0 *",
        BUCKET,
    ),
    Mutation(
        "Limit: an answer to an earlier request does not end a limit",
        "request/endpoint_limits.py",
        "return sent_wall > cached.advertised_at + REORDERING_MARGIN_SECONDS",
        "return True",
        KNOWN_LIMITS,
    ),
    Mutation(
        "Limit: the own part only after silence",
        "process/forwarding/limit_arbiter.py",
        "-math.inf) < RECENT_REPLY_SECONDS:",
        "-math.inf) < 0:",
        LIMITS,
    ),
    Mutation(
        "Limit: a process that stops does not decide",
        "process/forwarding/limit_members.py",
        "if not (self._is_stopping() and ip == self._local_ip)]",
        "if ip]",
        LIMITS,
    ),
    Mutation(
        "Limit: other processes are told",
        "process/forwarding/own_report.py",
        "limits=sources.hub.limits.recent_changes(),",
        "limits=(),",
        LIMITS,
    ),
    Mutation(
        "Leave: an answer ends new work",
        "process/forwarding/endpoints.py",
        "        self.merge_row(replace(row, ready=False), from_peer=True, origin=origin)\n",
        "        pass\n",
        LEAVING,
    ),
    Mutation(
        "Leave: leaving is final though the row had gone",
        "process/forwarding/endpoints.py",
        "if row.born == before.born and not before.ready and row.ready:",
        "if is_present and row.born == before.born and not before.ready and row.ready:",
        LEAVING,
    ),
    Mutation(
        "Leave: other processes are told",
        "process/forwarding/own_report.py",
        "leaving_endpoints=knowledge.endpoints.recently_leaving(),",
        "leaving_endpoints=(),",
        LEAVING,
    ),
    Mutation(
        "Pause: nothing is sent in a pause",
        "request/hub.py",
        " | self.backoffs.endpoints_in_backoff()",
        "",
        PAUSES,
    ),
    Mutation(
        "Pause: a success does not end a pause",
        "request/endpoint_pauses.py",
        "if backoff is not None and backoff.trial_at is not None and sent_at >= backoff.trial_at:",
        "if backoff is not None:",
        KNOWN_PAUSES,
    ),
    Mutation(
        "Pause: one request goes first after a pause",
        "request/endpoint_pauses.py",
        "            self._backoffs[endpoint_id] = replace(backoff, trial_at=self._timers.now())\n",
        "            del self._backoffs[endpoint_id]\n",
        KNOWN_PAUSES,
    ),
    Mutation(
        "Pause: no refusal tells a time before an endpoint opens",
        "request/active.py",
        "        if self.hub.seconds_until_open(service, priority) <= 0:\n",
        "        if True:\n",
        PAUSES,
    ),
)
