"""Mutations of what keeps requests that crash endpoints away from them; see `bench.mutations`."""

from bench.mutation import Mutation

__all__ = ["QUARANTINE_MUTATIONS"]

DECISIONS = "decisions/tests/test_quarantine.py"
ENDS = "request/tests/test_endpoint_ends.py"
HOLDS = "process/tests/test_holds.py"
PRODUCT = "request/tests/test_crashing_requests.py"
WORLD = "tests/test_crashing_requests.py"
SERIES = "tests/test_series_of_kills.py"
INTENTS = "decisions/tests/test_send_intents.py"
RECORDER = "process/tests/test_intents.py"
EXPOSURE = "decisions/tests/test_part_exposure.py"
KEPT = "tests/test_part_evidence_kept.py"
ANSWERED = "process/tests/test_answered_parts.py"

QUARANTINE_MUTATIONS = (
    Mutation(
        "Q the request is known by what it asks",
        "request/fingerprint.py",
        "work.target.encode(), work.body",
        "work.target.encode(), record.request_id.encode()",
        WORLD,
    ),
    Mutation(
        "Q an endpoint that still sends has not ended",
        "request/endpoint_ends.py",
        "if contact_at > check.last_lost_at + LAST_DATA_SECONDS:",
        "if False:",
        ENDS,
    ),
    Mutation(
        "Q an endpoint that leaves is no evidence",
        "request/endpoint_ends.py",
        "if self._directory.is_unavailable(endpoint_id):",
        "if False:",
        ENDS,
    ),
    Mutation(
        "Q what runs beside it is cleared",
        "decisions/quarantine.py",
        "return bool(self.explained_by) and fingerprint not in self.explained_by",
        "return False",
        DECISIONS,
    ),
    Mutation(
        "Q ends with a common cause count once",
        "decisions/quarantine.py",
        "return 1 if has_crash_without else len(cluster)",
        "return len(cluster)",
        DECISIONS,
    ),
    Mutation(
        "Q an answer clears",
        "decisions/quarantine.py",
        "        self._drop_suspect(fingerprint)\n        self._released",
        "        self._released",
        DECISIONS,
    ),
    Mutation(
        "Q late word of old ends does not bring it back",
        "decisions/quarantine.py",
        "return self._released.get(fingerprint, at - 1.0) >= at",
        "return False",
        DECISIONS,
    ),
    Mutation(
        "Q trials are few",
        "decisions/quarantine.py",
        "return entry.trials < len(TRIAL_SECONDS) and now >= entry.next_trial",
        "return now >= entry.since + TRIAL_SECONDS[0]",
        DECISIONS,
    ),
    Mutation(
        "Q others are told",
        "process/forwarding/peer_word.py",
        "            report.quarantine, report.suspect_parts, report.part_times\n",
        "            None, None, None\n",
        WORLD,
    ),
    Mutation(
        "Q holds outlast all processes",
        "process/holds.py",
        "        self._tasks.start(self._store_entry(entry, is_local))",
        "        pass",
        WORLD,
    ),
    Mutation(
        "Q a trial is claimed by one process",
        "process/holds.py",
        "            is_granted = yield from self._rows.write("
        "claimed, self._versions.get(fingerprint, 0))",
        "            is_granted = True",
        HOLDS,
    ),
    Mutation(
        "Q what is held is refused at once",
        "request/guard.py",
        "        if self.quarantine_status(identity) is QuarantineStatus.QUARANTINED:\n"
        "            raise",
        "        if False:\n            raise",
        WORLD,
    ),
    Mutation(
        "Q what is under way is stopped",
        "request/guard.py",
        "                request.fail_quarantined()",
        "                pass",
        WORLD,
    ),
    Mutation(
        "Q processes of the product tell one another",
        "process/node.py",
        "        self.gossip.on_quarantine_update = guard.merge_update\n",
        "",
        PRODUCT,
    ),
    Mutation(
        "Q an end with no witness lets requests be recorded",
        "decisions/send_intents.py",
        "self._record_until[service] = now + RECORDING_SECONDS",
        "self._record_until[service] = now",
        SERIES,
    ),
    Mutation(
        "Q a start that may have followed a kill lets requests be recorded",
        "decisions/send_intents.py",
        "self._start_until = began + STARTUP_SECONDS",
        "self._start_until = began",
        INTENTS,
    ),
    Mutation(
        "Q what was recorded before is evidence",
        "process/former_sends.py",
        "        self._guard.load_evidence(crashes)\n",
        "        pass\n",
        SERIES,
    ),
    Mutation(
        "Q several sends without answer keep the next one waiting",
        "decisions/send_intents.py",
        "return len(unanswered) >= MAX_UNANSWERED",
        "return False",
        INTENTS,
    ),
    Mutation(
        "Q ends before a record use up trials",
        "decisions/quarantine.py",
        "return len(crashed_near_restart.union(unobserved).difference(endpoint_ids))",
        "return len(crashed_near_restart.difference(endpoint_ids))",
        SERIES,
    ),
    Mutation(
        "Q an endpoint that still listens has not ended",
        "request/endpoint_ends.py",
        "if reach is ConnectResult.CONNECTED and not self._directory.is_replaced(endpoint_id):",
        "if False:",
        RECORDER,
    ),
    Mutation(
        "Q a request that is found out while it waits is not sent",
        "request/intent_gate.py",
        "if request.is_quarantined:",
        "if False:",
        PRODUCT,
    ),
    Mutation(
        "R requests with events count at crashes",
        "decisions/part_evidence.py",
        "[existing.add(each) for each in crash.requests]",
        "[existing.add(each) for each in crash.requests if not each.is_answered]",
        EXPOSURE,
    ),
    Mutation(
        "R a first event clears no part",
        "request/forwarded_request.py",
        "        self.machine.record_progress(attempt_id)\n",
        "        self.machine.record_progress(attempt_id)\n"
        "        self.hub.guard.record_parts_answered(self.identity, 'event')\n",
        KEPT,
    ),
    Mutation(
        "R crashes that are likely by chance blame no part",
        "decisions/part_evidence.py",
        "if self._compute_chance(part, crashes, is_open, now) > MAX_CHANCE:",
        "if False:",
        EXPOSURE,
    ),
    Mutation(
        "R requests that outlast others at crashes speak for a part",
        "decisions/part_evidence.py",
        "if not is_sufficient or self._is_contested(part, crashes, now):",
        "if not is_sufficient:",
        EXPOSURE,
    ),
    Mutation(
        "R abandoned attempts count at crashes",
        "request/endpoint_ends.py",
        "            *self._list_abandoned(endpoint_id, check.lost_at),\n",
        "",
        ENDS,
    ),
    Mutation(
        "R silent endpoints with abandoned attempts are probed",
        "request/endpoint_ends.py",
        "elif self.has_unproven_part(request):",
        "elif False:",
        ENDS,
    ),
    Mutation(
        "R a zone without a reached endpoint may be partitioned",
        "request/endpoint_ends.py",
        "            if reach is ConnectResult.CONNECTED:\n                self.ask_peer(",
        "            if True:\n                self.ask_peer(",
        ENDS,
    ),
    Mutation(
        "R an accepted connection is no sign of life",
        "request/endpoint_ends.py",
        "if is_alive or has_data or",
        "if True or",
        ENDS,
    ),
    Mutation(
        "R fresh processes know the common parts",
        "process/answered_parts.py",
        "        self._evidence.load_answers(answers)\n",
        "",
        ANSWERED,
    ),
)
