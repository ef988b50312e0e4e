"""Mutations of restarts of endpoints, late word and roll-outs; see `bench.mutations`."""

from bench.mutation import Mutation

__all__ = ["RESTART_MUTATIONS"]

ENDPOINTS = "process/forwarding/tests/test_endpoints.py"
ROLLOUTS = "process/forwarding/tests/test_rollouts.py"
QUOTA = "decisions/tests/test_quota.py"
REPORTS = "process/forwarding/tests/test_reports.py"

RESTART_MUTATIONS = (
    Mutation(
        "R a later start is another endpoint",
        "process/forwarding/endpoint_row.py",
        "return self.born, self.sequence",
        "return 0, self.sequence",
        ENDPOINTS,
    ),
    Mutation(
        "R what ran at an earlier start is given up",
        "request/hub.py",
        "                request.fail_if_restarted(at)",
        "                pass",
        ENDPOINTS,
    ),
    Mutation(
        "R an unreadable row names no endpoint",
        "process/forwarding/endpoints.py",
        "            self._unreadable.add(endpoint_id)\n"
        "        self._drop(endpoint_id, FROM_STORE)",
        "            self._unreadable.add(endpoint_id)",
        ENDPOINTS,
    ),
    Mutation(
        "R a row that vanishes after the return has less grace",
        "process/forwarding/endpoints.py",
        "if not self._outages.is_away and not self._in_first_answer:",
        "if False:",
        ENDPOINTS,
    ),
    Mutation(
        "R rows are checked",
        "process/forwarding/endpoint_row.py",
        "            _check_count(name, getattr(self, name))",
        "            pass",
        "platform/tests/test_adapter.py",
    ),
    Mutation(
        "R processes with late word let through a part",
        "decisions/quota.py",
        "return headroom < unreported and self._rng.random() * unreported > headroom",
        "return False",
        QUOTA,
    ),
    Mutation(
        "R a process that knows nobody is not the only one",
        "process/forwarding/peers.py",
        "            return ASSUMED_MEMBERS",
        "            return 1",
        QUOTA,
    ),
    Mutation(
        "R digests that cannot be counted are left out",
        "process/forwarding/relaying.py",
        "if is_global and digest.acknowledged not in self._sent_reports:",
        "if is_global and digest.acknowledged not in self._sent_reports and not digest.consumed:",
        REPORTS + "::TestFullRestart",
    ),
    Mutation(
        "R a usage window waits for missing counts",
        "process/forwarding/usage.py",
        "            last -= 1\n",
        "            pass\n",
        REPORTS + "::TestLargeDeployment::test_usage_window_waits_for_missing_counts",
    ),
    Mutation(
        "R relaxed timers wait for company",
        "process/timers.py",
        "latest = relaxed + SLACK_SECONDS",
        "latest = relaxed",
        "process/tests/test_timers.py",
    ),
    Mutation(
        "R a process stops a bad version by its own evidence",
        "process/forwarding/rollouts.py",
        "            rollout.stopped = True",
        "            rollout.stopped = False",
        ROLLOUTS,
    ),
    Mutation(
        "R further attempts go to the old version",
        "process/forwarding/rollouts.py",
        "rollout.phase is Phase.RUNNING and is_first and not rollout.stopped",
        "rollout.phase is Phase.RUNNING and not rollout.stopped",
        ROLLOUTS,
    ),
    Mutation(
        "R a verdict is final",
        "process/forwarding/rollouts.py",
        "or phase <= rollout.phase:",
        "or phase is rollout.phase:",
        ROLLOUTS,
    ),
    Mutation(
        "R a version whose order was replaced is blocked",
        "process/forwarding/rollouts.py",
        "    return (rollout.blocked | {rollout.order.version}) - {order.version}",
        "    return frozenset()",
        ROLLOUTS,
    ),
    Mutation(
        "R a process that starts looks up how far a roll-out is",
        "process/forwarding/leader_tasks.py",
        "node.rollouts.on_order = lambda: node.tasks.start(controller.load_status())",
        "pass",
        ROLLOUTS,
    ),
    Mutation(
        "R the old version ends before a roll-out is complete",
        "decisions/rollout.py",
        "evidence.clear >= IDLE_SECONDS else phase",
        "True else phase",
        ROLLOUTS,
    ),
    Mutation(
        "R slow answers count as bad",
        "request/forwarded_request.py",
        "self._report_outcome(is_slow or answer.status >= FIRST_ERROR_STATUS)",
        "self._report_outcome(answer.status >= FIRST_ERROR_STATUS)",
        ROLLOUTS,
    ),
    Mutation(
        "R a successor keeps the time of the order",
        "process/forwarding/rollouts.py",
        "rollout.seen_at = min(rollout.seen_at, self._now() - ago)",
        "pass",
        ROLLOUTS,
    ),
)
