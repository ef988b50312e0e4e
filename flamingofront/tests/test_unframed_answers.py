"""Answers of endpoints with neither a length nor chunks, which end with their connection."""

import http.client
import socket
import struct
import threading

import pytest

from flamingofront.tests.test_forward_processes import CALL, IP, WAIT_SECONDS, Processes

EVENTS = b"".join(b"id: %d\ndata: word\n\n" % number for number in range(1, 4))
LARGE = b"x" * 3_000_000


class RawEndpoint:
    """An endpoint that sends prepared bytes and then closes or resets the connection."""

    def __init__(self):
        self.body = b""
        self.content_type = "text/plain"
        self.is_reset = False
        self._sock = socket.create_server((IP, 0))
        self.address = f"{IP}:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        data = b""
        with conn:
            while b"\r\n\r\n" not in data:
                received = conn.recv(65536)
                if not received:
                    return
                data += received
            head = f"HTTP/1.1 200 OK\r\nContent-Type: {self.content_type}\r\n\r\n"
            conn.sendall(head.encode() + self.body)
            if self.is_reset:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def close(self) -> None:
        self._sock.close()


class RawProcesses(Processes):
    """An entry process whose endpoints are `RawEndpoint` objects."""

    def __init__(self, folder):
        self.raw = {}
        super().__init__(folder)

    def start_endpoint(self, name):
        self.raw[name] = RawEndpoint()
        return self.raw[name].address

    def stop(self):
        super().stop()
        for each in self.raw.values():
            each.close()


@pytest.fixture(scope="class")
def processes(tmp_path_factory):
    started = RawProcesses(tmp_path_factory.mktemp("raw"))
    started.wait_ready()
    yield started
    started.stop()


def fetch(processes, path):
    """Return the whole answer; raises `http.client.HTTPException` or `OSError` if it breaks off."""
    conn = http.client.HTTPConnection(processes.address("callers"), timeout=WAIT_SECONDS)
    conn.request("GET", path, headers=CALL)
    res = conn.getresponse()
    return res.status, res.read()


class TestUnframedAnswers:
    @pytest.mark.parametrize("body", [b"", b"whole", LARGE], ids=["empty", "short", "large"])
    def test_answer_of_a_call_is_whole(self, processes, body):
        endpoint = processes.raw["plain-1"]
        endpoint.body, endpoint.is_reset = body, False
        assert fetch(processes, "/lookup/1") == (200, body)

    def test_answer_that_is_reset_is_not_taken_for_whole(self, processes):
        endpoint = processes.raw["plain-1"]
        endpoint.body, endpoint.is_reset = LARGE, True
        status, _ = fetch(processes, "/lookup/2")
        assert status == 502

    def test_stream_is_whole(self, processes):
        endpoint = processes.raw["engine-1"]
        endpoint.body, endpoint.content_type = EVENTS, "text/event-stream"
        assert fetch(processes, "/stream/letter/1") == (200, EVENTS)

    def test_stream_that_ends_inside_an_event_is_visibly_broken(self, processes):
        """Its only endpoint sends the same again, so that it cannot go on."""
        endpoint = processes.raw["engine-1"]
        endpoint.body, endpoint.content_type = EVENTS[:-3], "text/event-stream"
        with pytest.raises((http.client.HTTPException, OSError)):
            fetch(processes, "/stream/letter/2")
