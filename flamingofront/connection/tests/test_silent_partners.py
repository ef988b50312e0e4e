"""Connections whose partner is silently gone, by the socket options that end them."""

import socket
import threading
import time

from flamingofront.connection import client, sockets
from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer

WAIT_SECONDS = 5.0


class TestKeepAlive:
    def test_accepted_connections_end_when_their_client_is_gone(self):
        # Without keep-alive, the attempt proxied for a peer that vanished would run to its end.
        runtime = Runtime(lambda exc: None)
        server = HTTPServer(("127.0.0.1", 0), lambda req, exchange: None, runtime.timers)
        server.register(runtime)
        threading.Thread(target=runtime.run, daemon=True).start()
        with socket.create_connection(("127.0.0.1", server.port)):
            end = time.monotonic() + WAIT_SECONDS
            while not server.connections and time.monotonic() < end:
                time.sleep(0.01)
            (accepted,) = server._connections
            assert accepted.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            limit = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert limit == sockets.USER_TIMEOUT_MS
        runtime.stop()

    def test_probes_give_up_no_earlier_than_the_user_timeout(self):
        # Linux ends keep-alive at the user timeout, whatever the number of probes.
        idle, interval, count = (
            sockets.KEEPALIVE_IDLE_SECONDS,
            sockets.KEEPALIVE_INTERVAL_SECONDS,
            sockets.KEEPALIVE_PROBE_COUNT,
        )
        assert idle + interval * (count - 1) <= sockets.USER_TIMEOUT_MS / 1000
        assert client.USER_TIMEOUT_MS >= 1000 * client.KEEPALIVE_INTERVAL_SECONDS
