"""Connections whose partner is silently gone, by the socket options that end them."""

import socket

from flamingofront.connection import client, sockets


class TestKeepAlive:
    def options(self, sock):
        names = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")
        return [sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name)) for name in names]

    def test_accepted_connections_end_when_their_client_is_gone(self):
        # Without keep-alive, the attempt proxied for a peer that vanished would run to its end.
        with socket.socket() as sock:
            sockets._enable_keepalive(sock)
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            assert self.options(sock) == [5, 2, 3, 10_000]

    def test_probes_give_up_no_earlier_than_the_user_timeout(self):
        # Linux ends keep-alive at the user timeout, whatever the number of probes.
        idle, interval, count = (
            sockets.KEEPALIVE_IDLE_SECONDS,
            sockets.KEEPALIVE_INTERVAL_SECONDS,
            sockets.KEEPALIVE_PROBE_COUNT,
        )
        assert idle + interval * (count - 1) <= sockets.USER_TIMEOUT_MS / 1000
        assert client.USER_TIMEOUT_MS >= 1000 * client.KEEPALIVE_INTERVAL_SECONDS
