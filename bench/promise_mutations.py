"""Mutations of what keeps promises across holders of a lease, shutdowns and quarantines."""

from bench.mutation import Mutation

__all__ = ["PROMISE_MUTATIONS"]

HOLDERS = "process/forwarding/tests/test_holders_after_restore.py"
EARLY_ENDINGS = "process/forwarding/tests/test_early_endings.py"
REFUSALS = "tests/test_refusals.py"
PEER_REFUSALS = "tests/test_refusals_through_peers.py"
REFUSED_CONNECTIONS = "connection/tests/test_refused_connections.py"
RESTARTS = "tests/test_versions_after_restarts.py"
STORED_VERSIONS = "process/forwarding/tests/test_stored_versions.py"

PROMISE_MUTATIONS = (
    Mutation(
        "Holder: the first holder after a restore leaves out earlier windows",
        "process/forwarding/duty.py",
        "reports_from = max(reports_from, self.current_window())",
        "reports_from = reports_from",
        HOLDERS,
    ),
    Mutation(
        "Holder: the row tells its successors from which window reports are known",
        "process/forwarding/duty.py",
        "            reports_from=reports_from,\n",
        "            reports_from=0,\n",
        HOLDERS,
    ),
    Mutation(
        "Holder: tokens skip a gap for each restore",
        "process/forwarding/duty.py",
        "max(1, ERA_FENCING_GAP * restores)",
        "(ERA_FENCING_GAP if is_behind else 1)",
        HOLDERS,
    ),
    Mutation(
        "Holder: all wait until one has waited for a lease",
        "process/forwarding/duty.py",
        "holders_unknown=is_behind or self.state.holders_unknown,",
        "holders_unknown=is_behind,",
        HOLDERS,
    ),
    Mutation(
        "Stop: streams that end early do not bound those that do not",
        "decisions/stopping.py",
        "min(self.output_tokens, count * event_tokens)",
        "self.output_tokens",
        EARLY_ENDINGS,
    ),
    Mutation(
        "Stop: streams in progress count",
        "decisions/stopping.py",
        "        for each in running:\n",
        "        for each in ():\n",
        EARLY_ENDINGS,
    ),
    Mutation(
        "Stop: expected lengths that are too long do not shorten the bound",
        "decisions/stopping.py",
        "EVENT_TOKENS_QUANTILE = 0.4",
        "EVENT_TOKENS_QUANTILE = 0.9",
        EARLY_ENDINGS,
    ),
    Mutation(
        "Stop: endpoints may slow down",
        "decisions/stopping.py",
        "MAX_SLOWDOWN = 2.5",
        "MAX_SLOWDOWN = 1.0",
        EARLY_ENDINGS,
    ),
    Mutation(
        "Stop: a stream must end in time once the process is out of rotation",
        "request/stop_refusal.py",
        "if hub.is_out_of_rotation():",
        "if False:",
        EARLY_ENDINGS,
    ),
    Mutation(
        "Refusal: what was written may have run",
        "request/attempts.py",
        "if self._ran is Executed.NO and has_attempt and self._was_written():",
        "if False:",
        REFUSALS,
    ),
    Mutation(
        "Refusal: no error says more than the state machine",
        "request/active.py",
        "exc = exc.with_execution(self.machine.ran)",
        "pass",
        REFUSALS,
    ),
    Mutation(
        "Refusal: what was written outlasts the call",
        "request/active.py",
        "            self.machine.record_write(self.machine.attempt_id)\n",
        "            pass\n",
        "tests/test_refusals_of_ended_attempts.py",
    ),
    Mutation(
        "Refusal: a request that has ended is not sent",
        "request/active.py",
        "                if self.is_current(action.attempt_id):\n                    self._start",
        "                if True:\n                    self._start",
        "request/tests/test_reclaims.py::TestRequestThatEndsMeanwhile",
    ),
    Mutation(
        "Refusal: an error of the start is none of the request",
        "request/forward_gateway.py",
        'raise RuntimeError("an accepted request was not started") from exc',
        "raise exc",
        "tests/test_refusals_of_ended_attempts.py::TestErrorsAfterAcceptance",
    ),
    Mutation(
        "Refusal: an adopted job may have run",
        "request/jobs.py",
        "        record = replace(record, ran=Executed.UNKNOWN)\n",
        "        pass\n",
        "request/tests/test_reclaims.py::TestEntryCrash",
    ),
    Mutation(
        "Refusal: a peer tells on which connection a response came",
        "request/proxy_messages.py",
        "reused=mark != ON_NEW_CONNECTION)",
        "reused=False)",
        PEER_REFUSALS,
    ),
    Mutation(
        "Refusal: a response that the peer does not mark is its own",
        "request/proxy_messages.py",
        "headers.pop(RESPONSE_HEADER, ON_REUSED_CONNECTION)",
        "headers.pop(RESPONSE_HEADER, ON_NEW_CONNECTION)",
        PEER_REFUSALS,
    ),
    Mutation(
        "Refusal: endpoints do not speak for peers",
        "request/proxy_messages.py",
        "    dropped |= {FAILURE_HEADER, RESPONSE_HEADER}\n",
        "",
        PEER_REFUSALS,
    ),
    Mutation(
        "Refusal: a copy of a rejection is no rejection of the next attempt",
        "request/forwarded_request.py",
        "return is_repeated and head.reused and not self.work.repeatable",
        "return False",
        PEER_REFUSALS,
    ),
    Mutation(
        "Refusal: a call has a handle before it fails",
        "connection/client.py",
        "self._client.timers.once(0.0, lambda: self.fail(failure))",
        "self.fail(failure)",
        REFUSED_CONNECTIONS,
    ),
    Mutation(
        "Refusal: what the kernel holds of a cancelled call is not sent",
        "connection/client.py",
        "arrives after the call was cancelled.\n            self._set_reset_on_close(True)",
        "arrives after the call was cancelled.\n            pass",
        REFUSED_CONNECTIONS,
    ),
    Mutation(
        "Refusal: a rejected request is answered once",
        "connection/caller_connection.py",
        "        self._timer.cancel()\n        self._server.count_rejection",
        "        self._server.count_rejection",
        REFUSED_CONNECTIONS,
    ),
    Mutation(
        "Refusal: an accepted request is not refused",
        "connection/server.py",
        "if isinstance(exc, RequestError) and listener is None:",
        "if isinstance(exc, RequestError):",
        REFUSED_CONNECTIONS,
    ),
    Mutation(
        "Versions: what is present does not tell what was",
        "process/forwarding/shared_origins.py",
        "return make_sole_version(seen | versions)",
        "return make_sole_version(seen)",
        RESTARTS,
    ),
    Mutation(
        "Versions: a new version is stored",
        "process/forwarding/shared_origins.py",
        "        self._recorded.record_new_version()\n",
        "",
        RESTARTS,
    ),
    Mutation(
        "Versions: a row of an earlier era does not count",
        "process/forwarding/stored_versions.py",
        "if row is not None and row.era == self._era else None",
        "if row is not None else None",
        RESTARTS,
    ),
    Mutation(
        "Versions: a missing row does not count",
        "process/forwarding/stored_versions.py",
        "is_first = self._rules.first_start and self._row is None",
        "is_first = self._row is None",
        STORED_VERSIONS,
    ),
    Mutation(
        "Versions: a version stays while its streams can be resumed",
        "process/forwarding/stored_versions.py",
        "if now - since >= seconds}",
        "if now - since >= 1.0}",
        STORED_VERSIONS,
    ),
    Mutation(
        "Channel: a request's channel is closed with its answer",
        "connection/caller_connection.py",
        "return self._conn.exchange is self",
        "return True",
        "connection/tests/test_server.py",
    ),
    Mutation(
        "Channel: it is closed with the last answer of a connection as well",
        "connection/caller_connection.py",
        "        self.exchange = None\n        self._holding.release(MemoryKind.REQUEST)\n",
        "        self._holding.release(MemoryKind.REQUEST)\n",
        REFUSED_CONNECTIONS,
    ),
    Mutation(
        "Channel: pipelined requests do not nest",
        "connection/caller_connection.py",
        "self._next_timer = self._server.timers.once(0.0, self._receive_pipelined)",
        "self._receive_pipelined()",
        "connection/tests/test_server.py",
    ),
    Mutation(
        "Channel: a response without an id on a used connection is another's",
        "platform/requests.py",
        "        return head.reused\n",
        "        return False\n",
        "platform/tests/test_adapter.py",
    ),
    Mutation(
        "Memory: all responses together are bounded",
        "request/response_memory.py",
        "while self._total and not self._has_room():",
        "while False:",
        "request/tests/test_response_memory.py",
    ),
)
