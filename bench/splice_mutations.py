"""Mutations of connections that are handed over, and of origins of streams."""

from bench.mutation import Mutation

__all__ = ["SPLICE_MUTATIONS"]

CHOICE = "decisions/tests/test_splice_choice.py"
SPLICES = "connection/tests/test_splice.py"
CONTROL = "decisions/tests/test_accept_control.py"
RESUMPTIONS = "tests/test_stream_resumptions.py"

CHOSEN_ORIGIN = (
    "            chosen.side, request.record.service.name, chosen.endpoint_id, number\n"
    "        )\n"
)

SPLICE_MUTATIONS = (
    Mutation(
        "Splice: a peer that is busy with connections gets no more",
        "decisions/splice_choice.py",
        "            and unanswered.get(ip, 0) < MAX_UNANSWERED\n",
        "",
        CHOICE,
    ),
    Mutation(
        "Splice: a peer that is slow itself gets none",
        "decisions/splice_choice.py",
        "            if each < limit\n",
        "            if True\n",
        CHOICE,
    ),
    Mutation(
        "Splice: connections that have waited are handed over",
        "decisions/accept_control.py",
        "return self._is_queue_slow and waited > MAX_DELAY_SECONDS",
        "return False",
        CONTROL,
    ),
    Mutation(
        "Splice: a failed connect leaves the caller unread",
        "connection/splice.py",
        "if self._peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):",
        "if False:",
        SPLICES,
    ),
    Mutation(
        "Splice: the end of the peer waits for what the caller has not read",
        "connection/splice.py",
        "elif sock is self._caller or not self._unsent[self._caller]:",
        "else:",
        SPLICES,
    ),
    Mutation(
        "Splice: a shutdown passes on what has arrived",
        "connection/splice.py",
        "        if self._is_connected and self._is_idle:\n"
        "            self.on_readable(self._caller)\n",
        "",
        SPLICES,
    ),
    Mutation(
        "Origin: an attempt without an event is not announced",
        "request/origin_tracker.py",
        CHOSEN_ORIGIN,
        CHOSEN_ORIGIN + "        self.origin = self._next_origin\n"
        "        self._send(request.work.caller_id)\n"
        "        self.origin = None\n",
        RESUMPTIONS,
    ),
    Mutation(
        "Origin: the first event is announced",
        "request/origin_tracker.py",
        "            self.origin = self._next_origin\n"
        "            self._send(self._request.work.caller_id)\n",
        "            self.origin = self._next_origin\n",
        RESUMPTIONS,
    ),
)
