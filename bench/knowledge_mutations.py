"""Mutations of how configuration and endpoints travel between processes."""

from bench.mutation import Mutation

__all__ = ["KNOWLEDGE_MUTATIONS"]

CLIENT = "connection/tests/test_client.py"
FRESHNESS = "process/forwarding/tests/test_freshness.py"
LARGE = "tests/test_large_changes.py"
LEAVING = "tests/test_word_of_leaving.py"
ODD_ROWS = "tests/test_odd_rows.py"
PACING = "process/forwarding/tests/test_pacing.py"
READERS = "process/forwarding/tests/test_readers.py"

KNOWLEDGE_MUTATIONS = (
    Mutation(
        "Know: a response that goes on is read to its end",
        "connection/client.py",
        "        return call.stall_timeout\n",
        "        return 0.0\n",
        CLIENT,
    ),
    Mutation(
        "Know: reads of the store are bounded by silence",
        "platform/store.py",
        "            stall_timeout=self._timeout,\n",
        "",
        LARGE,
    ),
    Mutation(
        "Know: few copies are sent at a time",
        "process/forwarding/document_copies.py",
        "if self._busy_until - now > MAX_BACKLOG_SECONDS:",
        "if False:",
        LARGE,
    ),
    Mutation(
        "Know: unknown routes are looked up",
        "request/forward_gateway.py",
        "if exc.kind in UNKNOWN_KINDS and not self.config_freshness.is_current():",
        "if False:",
        FRESHNESS,
    ),
    Mutation(
        "Know: what cannot be confirmed is no 404",
        "request/forward_gateway.py",
        "if exc.kind in UNKNOWN_KINDS and not is_current:",
        "if False:",
        FRESHNESS,
    ),
    Mutation(
        "Know: a failed look pauses the next",
        "process/forwarding/freshness.py",
        "        if self._timers.now() < self._next_poll_at:\n",
        "        if False:\n",
        FRESHNESS,
    ),
    Mutation(
        "Know: a process without word asks the store",
        "process/forwarding/exchange.py",
        "        self._store_view.poll_endpoints()\n",
        "        return\n",
        LARGE,
    ),
    Mutation(
        "Know: rows that say an endpoint leaves are told",
        "process/forwarding/endpoints.py",
        "                if origin.source is Source.STORE:\n",
        "                if False:\n",
        LEAVING,
    ),
    Mutation(
        "Know: what vanished about an own outage is compared",
        "process/forwarding/knowledge.py",
        "        for endpoint_id in self.endpoints.missing_ids() - present:\n",
        "        for endpoint_id in ():\n",
        READERS,
    ),
    Mutation(
        "Know: newer datagrams replace queued ones",
        "process/forwarding/pacing.py",
        "key = (ip, self._number) if subject is None else (ip, subject)",
        "key = (ip, self._number)",
        PACING,
    ),
    Mutation(
        "Know: long turns allow larger bursts",
        "process/forwarding/pacing.py",
        "limit = MAX_BURST_BYTES if self._is_pausing else BURST_BYTES",
        "limit = BURST_BYTES",
        PACING,
    ),
    Mutation(
        "Know: only members with an unsent full digest get one",
        "process/forwarding/relaying.py",
        "if is_full or self.sender.has_queued_full(each.ip, ZONE_DIGEST)",
        "if True",
        LARGE,
    ),
    Mutation(
        "Know: a second lost answer is a lost store",
        "process/forwarding/follower.py",
        "            and not self._has_lost_another()\n",
        "",
        LEAVING,
    ),
    Mutation(
        "Know: a report that is too long goes without its largest parts",
        "process/forwarding/message_size.py",
        "    if len(data) <= max_bytes:\n        return data, ()\n",
        "    return data, ()\n",
        ODD_ROWS,
    ),
    Mutation(
        "Know: ids and names of endpoints are bounded",
        "process/forwarding/endpoint_row.py",
        "    if len(value) > MAX_TEXT_CHARACTERS:\n",
        "    if False:\n",
        ODD_ROWS,
    ),
)
