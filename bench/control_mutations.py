"""Mutations of what keeps the effect of a decision from coming after what it was based on."""

from bench.mutation import Mutation

__all__ = ["CONTROL_MUTATIONS"]

DATAGRAMS = "connection/tests/test_datagrams.py"
ORDERS = "process/tests/test_orders_after_the_lease.py"
WAITED = "process/forwarding/tests/test_reports_that_waited.py"

CONTROL_MUTATIONS = (
    Mutation(
        "Control: an order is checked against the lease before its bytes are sent",
        "process/orders.py",
        "            guard=call,\n",
        "",
        ORDERS,
    ),
    Mutation(
        "Control: an order is sent only under the lease that it was decided under",
        "process/leases.py",
        "if lease is None or lease.fencing != fencing:",
        "if lease is None:",
        ORDERS,
    ),
    Mutation(
        "Control: the kernel gives an order up before a successor acts",
        "process/orders.py",
        "            ack_timeout=ACK_TIMEOUT_SECONDS,\n",
        "",
        ORDERS,
    ),
    Mutation(
        "Control: an order names the model that is configured when it is sent",
        "process/orders.py",
        '        reply = yield OutboundCall(\n            fact.address, "GET"',
        "        model = self._find_model(fact)\n"
        "        self._find_model = lambda fact: model\n"
        '        reply = yield OutboundCall(\n            fact.address, "GET"',
        ORDERS,
    ),
    Mutation(
        "Control: a released lease is valid no more",
        "process/leases.py",
        "if lease is None or self._released or self._now() >= lease.valid_until:",
        "if lease is None or self._now() >= lease.valid_until:",
        ORDERS,
    ),
    Mutation(
        "Control: a released lease is not acquired again",
        "process/leases.py",
        "        if self._released:\n            return\n",
        "",
        ORDERS,
    ),
    Mutation(
        "Control: a release waits for the last order",
        "process/leases.py",
        "        seconds = self.seconds_in_flight()\n",
        "        seconds = 0.0\n",
        ORDERS,
    ),
    Mutation(
        "Control: a release follows a renewal that was under way",
        "process/leases.py",
        "RELEASE_ATTEMPTS = 2\n",
        "RELEASE_ATTEMPTS = 1\n",
        ORDERS,
    ),
    Mutation(
        "Control: a process exits once its lease is released",
        "process/node.py",
        "self.timers.once(self.lease.seconds_in_flight() + 0.3, self._on_exit)",
        "self.timers.once(0.3, self._on_exit)",
        ORDERS,
    ),
    Mutation(
        "Control: counts of a report that waited are older",
        "process/forwarding/peer_word.py",
        "peers.cluster_time() - peers.seconds_unread()",
        "peers.cluster_time()",
        WAITED,
    ),
    Mutation(
        "Control: datagrams wait from the last poll on",
        "connection/poller.py",
        "        self.unread_since = self._polled_at\n",
        "        self.unread_since = started_at\n",
        DATAGRAMS,
    ),
    Mutation(
        "Control: what is left for another turn has waited for longer",
        "connection/datagrams.py",
        "        if not self._has_more:\n",
        "        if True:\n",
        DATAGRAMS,
    ),
    Mutation(
        "Control: the process asks its socket how long reports have waited",
        "forward_daemon.py",
        "        self.node.peers.seconds_unread = self._datagrams.seconds_unread\n",
        "",
        WAITED,
    ),
    Mutation(
        "Control: a message that waited shows no slow clock",
        "process/forwarding/reports.py",
        "return offset if last is None or waited <= MAX_CLOCK_WAIT_SECONDS else last",
        "return offset",
        WAITED,
    ),
    Mutation(
        "Control: a digest that waited shows no slow clock",
        "process/forwarding/peers.py",
        "        self.relaying.seconds_unread = lambda: self.seconds_unread()\n",
        "",
        WAITED,
    ),
    Mutation(
        "Control: what others consumed during a stop counts",
        "process/forwarding/peer_word.py",
        "            since_previous - peers.seconds_unread()\n",
        "            since_previous\n",
        WAITED,
    ),
    Mutation(
        "Control: totals of digests that waited count",
        "process/forwarding/streams.py",
        "now - waited - last_seen <= SOURCE_EXPIRY_SECONDS",
        "now - last_seen <= SOURCE_EXPIRY_SECONDS",
        WAITED,
    ),
    Mutation(
        "Control: a relay that stood still counts by the other one at first",
        "process/forwarding/relaying.py",
        "            self._relay_since = self._timers.now()\n",
        "            pass\n",
        WAITED,
    ),
    Mutation(
        "Control: a second process of a VM ends before it tries the lease",
        "connection/datagrams.py",
        "        self._sock.bind(bind)\n",
        "        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)\n"
        "        self._sock.bind(bind)\n",
        "tests/test_forward_processes.py",
    ),
)
