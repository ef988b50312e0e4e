"""Listening sockets of circuits that count what waits for each reader."""

import socket

from circuits.net.sockets import TCPServer

__all__ = ["CountedSockets"]

MAX_SEND_BYTES = 256 * 1024


class CountedSockets(TCPServer):
    """Sockets that know how much waits for each reader, and send what waits in one go."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.waiting: dict[socket.socket, int] = {}

    def queue(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes, and keep what the socket does not take at once.

        Notes
        -----
        A socket is closed before the event that tells of it is handled; what is sent in between is
        dropped.
        """
        if sock.fileno() < 0:
            return
        if not self.waiting.get(sock):
            data = data[self._send_now(sock, data) :]
        if data:
            self.waiting[sock] = self.waiting.get(sock, 0) + len(data)
            self.write(sock, data)

    def pause(self, sock: socket.socket) -> None:
        """Read no more from a socket until `resume`."""
        self._poller.removeReader(sock)

    def resume(self, sock: socket.socket) -> None:
        """Read from a paused socket again."""
        if sock.fileno() >= 0 and not self._poller.isReading(sock):
            self._poller.addReader(self, sock)

    @staticmethod
    def _send_now(sock: socket.socket, data: bytes) -> int:
        """Return how many bytes the socket took; a broken one shows at the next poll."""
        try:
            return sock.send(data)
        except OSError:
            return 0

    def _write(self, sock: socket.socket, data: bytes) -> None:
        """Send the given bytes and those behind them; called when the socket has room."""
        buffer = self._buffers[sock]
        parts = [data]
        size = len(data)
        while buffer and size < MAX_SEND_BYTES:
            parts.append(buffer.popleft())
            size += len(parts[-1])
        joined = b"".join(parts)
        try:
            sent = sock.send(joined)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close(sock)
            return
        self.waiting[sock] = self.waiting.get(sock, 0) - sent
        if sent < len(joined):
            buffer.appendleft(joined[sent:])
