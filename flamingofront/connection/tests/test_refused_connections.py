"""What a call or a connection states of a request that was refused, on real sockets."""

import socket
import threading

import pytest

from flamingofront.connection.tests.test_client import Client, Endpoint, encode_response
from flamingofront.messages import CallFailed, OutboundCall

WAIT_SECONDS = 5.0


@pytest.fixture
def client():
    started = Client()
    yield started
    started.stop()
    assert started.faults == []


class KeepingEndpoint(Endpoint):
    """Endpoint that answers one request on a connection and leaves it open."""

    def _serve(self, conn):
        self.requests.append(conn.recv(65536))
        conn.sendall(self.responses.pop(0))
        self.kept = conn


class TestCallsThatFailAtOnce:
    def start_on_broken_connection(self, client, address, **options):
        """Start a call on an idle connection that takes no bytes; return what was seen when."""
        events, seen, done = [], [], threading.Event()

        def listen(event):
            events.append(event)
            if isinstance(event, CallFailed):
                done.set()

        def start():
            (conn,) = client.client._idle[address]
            conn.sock.shutdown(socket.SHUT_WR)
            call = OutboundCall(address, "POST", "/x", b"body", timeout=60.0, **options)
            handle = client.client.start(call, listen)
            seen.append((list(events), handle.wrote))

        client.run_in_loop(start)
        assert done.wait(WAIT_SECONDS)
        return seen[0], events

    def test_no_event_comes_before_the_handle(self, client):
        """The owner of a call that had failed already kept its handle as that of a running one."""
        endpoint = KeepingEndpoint(encode_response())
        client.call(endpoint.address)
        (before, wrote), events = self.start_on_broken_connection(client, endpoint.address)
        assert before == [] and wrote
        assert events == [CallFailed("reset", True, True)]
