"""Processor time of one turn of the event loop: datagrams that arrive one by one."""

import socket
import threading
import time

from flamingofront.connection.datagrams import DatagramSocket
from flamingofront.connection.runtime import Runtime

DATAGRAMS = 5000
DATAGRAM_BYTES = 100
LOST_SECONDS = 0.01
POLL_SECONDS = 0.0002


class _Receiver:
    """A runtime that counts the datagrams it gets."""

    def __init__(self):
        self.received = 0
        self.runtime = Runtime(print)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        DatagramSocket(self.address, self._take).register(self.runtime)

    def _take(self, data: bytes, ip: str) -> None:
        self.received += 1


def _send(receiver: _Receiver) -> None:
    """Send each datagram after the one before has been taken."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(DATAGRAMS):
            before, start = receiver.received, time.perf_counter()
            sock.sendto(b"x" * DATAGRAM_BYTES, receiver.address)
            while receiver.received == before and time.perf_counter() - start < LOST_SECONDS:
                time.sleep(POLL_SECONDS)
    receiver.runtime.timers.once(0.0, receiver.runtime.stop)
    receiver.runtime.poller.resume()


def main() -> None:
    """Print the processor time of the loop's thread for each datagram."""
    receiver = _Receiver()
    sender = threading.Thread(target=_send, args=(receiver,))
    sender.start()
    start = time.thread_time()
    receiver.runtime.run()
    used = time.thread_time() - start
    sender.join()
    print(f"{used / receiver.received * 1e6:.0f} us a datagram, {receiver.received} datagrams")


if __name__ == "__main__":
    main()
