"""Mutations of how configuration and endpoints travel between processes."""

from bench.mutation import Mutation

__all__ = ["KNOWLEDGE_MUTATIONS"]

CLIENT = "connection/tests/test_client.py"
FRESHNESS = "process/forwarding/tests/test_freshness.py"
LARGE = "tests/test_large_changes.py"
LEAVING = "tests/test_word_of_leaving.py"
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
        "        self._store_view.poll_store()\n",
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
)
