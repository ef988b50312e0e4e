"""Mutations of what running on the users' platform calls for; see `bench.mutations`."""

from bench.mutation import Mutation

__all__ = ["PLATFORM_MUTATIONS"]

FORWARDING = "tests/test_forwarding.py"
DUTIES = "process/forwarding/tests/test_duties.py"
FUZZ = "process/forwarding/tests/test_lease_fuzz.py"
QUOTA = "decisions/tests/test_quota.py"
REPORTS = "process/forwarding/tests/test_reports.py"
READERS = "process/forwarding/tests/test_readers.py"
DIRECTORY = "request/tests/test_directory.py"
SERVER = "connection/tests/test_server.py"
CLIENT = "connection/tests/test_client.py"

PLATFORM_MUTATIONS = (
    Mutation(
        "P forged headers are dropped",
        "platform/requests.py",
        "NOT_FORWARDED = HOP_FIELDS | SYSTEM_FIELDS | {",
        "NOT_FORWARDED = HOP_FIELDS | {",
        FORWARDING,
    ),
    Mutation(
        "P a status that says not run needs evidence",
        "platform/requests.py",
        "if status in NOT_RUN_STATUSES and exc.ran is not Ran.NO:",
        "if False:",
        "platform/tests/test_adapter.py",
    ),
    Mutation(
        "P answers of other requests are not passed on",
        "request/forwarded_request.py",
        "        if answer.crossed:\n            self._lost",
        "        if False:\n            self._lost",
        FORWARDING,
    ),
    Mutation(
        "P no more endpoints than the route allows",
        "request/attempts.py",
        "and self.attempts >= self.facts.max_attempts:",
        "and False:",
        FORWARDING,
    ),
    Mutation(
        "P only whole events pass",
        "request/event_stream.py",
        "whole, self._buffer = self._buffer[:end], self._buffer[end:]",
        'whole, self._buffer = self._buffer, b""',
        FORWARDING,
    ),
    Mutation(
        "P requests are kept apart by a number of our own",
        "request/forward_gateway.py",
        'request_id=f"{caller.request_id}#{next(self._numbers)}"',
        "request_id=caller.request_id",
        FORWARDING,
    ),
    Mutation(
        "P configuration versions never go back",
        "process/forwarding/knowledge.py",
        "if cfg.version <= self.configuration.version:",
        "if cfg.version == self.configuration.version:",
        FORWARDING,
    ),
    Mutation(
        "P rows that lapsed in an outage have grace",
        "process/forwarding/endpoints.py",
        "if self._away or self._timers.now() < self._grace_until:",
        "if False:",
        FORWARDING,
    ),
    Mutation(
        "P an old row revives nothing",
        "process/forwarding/endpoints.py",
        "(row.sequence < known.sequence or not known.ready):",
        "False:",
        "process/forwarding/tests/test_endpoints.py",
    ),
    Mutation(
        "P peers tell a process that the store turns away",
        "process/forwarding/exchange.py",
        "if not newer_configuration and not newer_endpoints:",
        "if True:",
        FORWARDING,
    ),
    Mutation(
        "P the store's return is not hidden by a waiting call",
        "process/forwarding/follower.py",
        "wait = 0.0 if self._failures or self._look_once else FEED_WAIT_SECONDS",
        "wait = 0.0 if self._look_once else FEED_WAIT_SECONDS",
        FORWARDING,
    ),
    Mutation(
        "P a lease is taken after its whole duration",
        "process/forwarding/duty.py",
        "return waited >= self._duration + TAKEOVER_MARGIN_SECONDS",
        "return waited >= 0.5",
        FUZZ,
    ),
    Mutation(
        "P the wait is looked at again behind the read",
        "process/forwarding/duty.py",
        "if not self.state.holder or self._is_own_row() or self._has_waited():",
        "if not self.state.holder or self._is_own_row() or known is not None:",
        FUZZ,
    ),
    Mutation(
        "P the lease is written on condition of its version",
        "process/forwarding/duty.py",
        "outcome = yield from self._store.transact(DUTY_PART, (condition,), (write,))",
        "condition = RowCondition(DUTY_TABLE, DUTY_KEY, (yield from self._store.read(DUTY_TABLE,"
        " DUTY_PART)).version)\n        "
        "outcome = yield from self._store.transact(DUTY_PART, (condition,), (write,))",
        FUZZ,
    ),
    Mutation(
        "P no act when the lease has run out",
        "process/forwarding/duty.py",
        "if now < lease.acts_from or now >= lease.valid_until - ACT_MARGIN_SECONDS:",
        "if now < lease.acts_from:",
        FUZZ,
    ),
    Mutation(
        "P reports are stored before they are sent",
        "process/forwarding/usage.py",
        "return (yield from self._lease.renew(kept))",
        "object.__setattr__(self._lease.state, 'reports', kept)\n        return True",
        DUTIES,
    ),
    Mutation(
        "P counts of processes that are gone are told on",
        "process/forwarding/usage.py",
        "if process not in alive and (process in found or len(found) < MAX_TOLD):",
        "if process == self._process:",
        DUTIES,
    ),
    Mutation(
        "P quotas fill at the part that is heard",
        "decisions/quota.py",
        "bucket.fill(workspace.rate * share,",
        "bucket.fill(workspace.rate,",
        QUOTA,
    ),
    Mutation(
        "P the sum over the window keeps the limit",
        "decisions/quota.py",
        "return 0.0 if total <= 0 or excess <= 0 else taken.wait(excess, now)",
        "return 0.0",
        QUOTA,
    ),
    Mutation(
        "P a new holder waits for the counts of all",
        "process/forwarding/usage.py",
        "window = self._due() if knows_counts else None",
        "window = self._due()",
        REPORTS,
    ),
    Mutation(
        "P demand that is not told stays",
        "process/forwarding/reports.py",
        "if known and report.demand is None:",
        "if False:",
        REPORTS,
    ),
    Mutation(
        "P nobody rests without hearing those that follow",
        "process/forwarding/readers.py",
        "return sum(each.follows for each in able) >= HEARD_READERS",
        "return True",
        READERS,
    ),
    Mutation(
        "P the end of grace is told to those that rest",
        "process/forwarding/knowledge.py",
        "self._history.changed(endpoint_id, max(mark, self._history.mark))",
        "pass",
        READERS,
    ),
    Mutation(
        "P the whole table is read after a peer's word",
        "process/forwarding/follower.py",
        "self._told_by_peer, self._version = False, None",
        "self._told_by_peer = False",
        READERS,
    ),
    Mutation(
        "P orders wait for endpoints to register",
        "process/forwarding/scaling.py",
        "return now <= self._registering_until.get(service, now)",
        "return False",
        DUTIES,
    ),
    Mutation(
        "P few are looked at where word is late",
        "request/directory.py",
        "if whole or len(endpoints.facts) <= self.sample_size():",
        "if True:",
        DIRECTORY,
    ),
    Mutation(
        "P an idle connection is closed behind what was read",
        "connection/server.py",
        "self.fire(retire(sock, conn.requests))",
        "self.close_after_sending(sock)",
        SERVER,
    ),
    Mutation(
        "P the retry budget is shared by number",
        "decisions/shared_retry.py",
        "allowance = self._allowance * USED_ALLOWANCE * self._member_share()",
        "allowance = self._allowance * USED_ALLOWANCE",
        QUOTA,
    ),
    Mutation(
        "P bytes behind an answer end the connection",
        "connection/client.py",
        "reusable = self._head.keep_alive and not self._unsent and not beyond",
        "reusable = self._head.keep_alive and not self._unsent",
        CLIENT,
    ),
    Mutation(
        "P a zone that seems cut off is left out",
        "decisions/zone_reach.py",
        "        times = self._failed.get(zone, {})\n",
        "        times = {}\n",
        FORWARDING,
    ),
    Mutation(
        "P silent processes of a zone with an endpoint that does not answer tell a cut",
        "decisions/zone_reach.py",
        "        if zone in self._silent:\n",
        "        if False:\n",
        "decisions/tests/test_zone_reach.py",
    ),
    Mutation(
        "P silent processes alone tell nothing",
        "decisions/zone_reach.py",
        "        if now - since >= SPOKE_SECONDS:\n",
        "        if True:\n",
        "decisions/tests/test_zone_reach.py",
    ),
    Mutation(
        "P placements are told to peers at once",
        "process/forwarding/observations.py",
        "        self._hub.directory.on_load = self._load_changed\n",
        "",
        REPORTS,
    ),
    Mutation(
        "P late work stands back",
        "decisions/lateness.py",
        "    return LOOK_SECONDS if waited < LONGEST_PART * deadline else 0.0\n",
        "    return 0.0\n",
        "decisions/tests/test_lateness.py",
    ),
    Mutation(
        "P work that stands back goes before its deadline is lost",
        "decisions/lateness.py",
        "    return LOOK_SECONDS if waited < LONGEST_PART * deadline else 0.0\n",
        "    return LOOK_SECONDS\n",
        "decisions/tests/test_lateness.py",
    ),
    Mutation(
        "P rates are learned",
        "decisions/engine_rates.py",
        "        self._fit(self._seen.plus(self._prior))\n",
        "",
        "decisions/tests/test_engine_rates.py",
    ),
    Mutation(
        "P wild answers count as near ones",
        "decisions/engine_rates.py",
        "        bounded = max(-limit, min(limit, residual))\n",
        "        bounded = residual\n",
        "decisions/tests/test_engine_rates.py",
    ),
    Mutation(
        "P the loss of the next zone is borne",
        "decisions/fleet_plan.py",
        "need.surviving - survivors, uncovered)",
        "uncovered)",
        DUTIES,
    ),
    Mutation(
        "P firm endpoints stay until others have taken their place",
        "decisions/fleet_plan.py",
        "need.surviving - survivors, uncovered)",
        "need.surviving - survivors)",
        DUTIES,
    ),
    Mutation(
        "P firm endpoints are ordered at the notice",
        "process/forwarding/scaling.py",
        "        return {zone for zone, ready in states.items() if ready == {False}}\n",
        "        return set()\n",
        DUTIES,
    ),
    Mutation(
        "P a holder that comes back orders soon",
        "process/forwarding/scaling.py",
        "REGISTER_SECONDS if first_start else RESTART_SECONDS",
        "REGISTER_SECONDS",
        DUTIES,
    ),
)
