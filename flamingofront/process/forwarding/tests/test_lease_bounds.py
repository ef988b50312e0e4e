"""The longest time from the last write of a call under the lease until the cloud can receive it.

Parts: the last check of the lease, the write, and what the kernel does on its own from then on,
also while the process stands still. Their sum must be shorter than any successor waits.
"""

import select
import signal
import socket
import struct
import subprocess
import sys
import time
from ctypes import addressof, create_string_buffer

import pytest

from flamingofront.connection.call_guard import ACK_TIMEOUT_SECONDS
from flamingofront.forward_daemon import PLATFORM_TIMEOUT_SECONDS
from flamingofront.process.forwarding.duty import (
    ACT_MARGIN_SECONDS,
    MAX_DELIVERY_SECONDS,
    TAKEOVER_MARGIN_SECONDS,
)
from flamingofront.process.forwarding.tests.lease_model import (
    DURATION,
    STEP_SECONDS,
    LeasePlay,
    StoreDelays,
)
from flamingofront.process.timers import ManualClock, TimerService

# Linux: shortest time until the first repetition of a lost segment, with its slack. It is a probe;
# the acknowledgement timeout counts from the first true retransmission, after twice this time.
FIRST_REPETITION_SECONDS = 0.22
# Timers of the kernel and of the test, on a machine that does other things too.
SLACK_SECONDS = 0.08
SMALL_BYTES = 300
LARGE_BYTES = 60_000
SMALL_BUFFER_BYTES = 4096
_SO_ATTACH_FILTER, _SO_DETACH_FILTER = 26, 27
# Berkeley packet filter of one instruction: return 0, so that each segment is dropped.
_DROP = create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))

# Starts calls, waits until told, writes them all in one turn and prints the time of the last write.
SENDER = f"""
import sys, time
from flamingofront.connection.call_guard import CallGuard
from flamingofront.connection.client import HTTPClient
from flamingofront.connection.runtime import Runtime
from flamingofront.messages import OutboundCall
address, count, size = "127.0.0.1:" + sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
class Gate(CallGuard):
    asked = 0
    def may_send(self):
        Gate.asked += 1
        if Gate.asked == 1:
            sys.stdin.readline()
        return True
    def record(self, step):
        if step == "written":
            Gate.written += 1
            if Gate.written == count:
                print(time.monotonic(), flush=True)
    written = 0
Gate.written = 0
runtime = Runtime(print)
client = HTTPClient(runtime.timers).register(runtime)
def start():
    for _ in range(count):
        call = OutboundCall(address, "POST", "/usage", bytes(size), timeout=60.0,
                            ack_timeout={ACK_TIMEOUT_SECONDS}, guard=Gate())
        client.start(call, lambda event: None)
runtime.timers.once(0.0, start)
runtime.run()
"""


class StandingSender:
    """A process that has written calls which have not arrived, and then stands still."""

    def __init__(self, count, size, buffer_bytes=None):
        self.listener = socket.socket()
        if buffer_bytes is not None:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(count)
        words = [self.listener.getsockname()[1], count, size]
        self.child = subprocess.Popen(
            [sys.executable, "-c", SENDER, *map(str, words)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.connections = [self.listener.accept()[0] for _ in range(count)]

    def write(self):
        """Let the process write all calls and stand still; return the time of the last write."""
        self.child.stdin.write(b"go\n")
        self.child.stdin.flush()
        written_at = float(self.child.stdout.readline())
        self.child.send_signal(signal.SIGSTOP)
        return written_at

    def close(self):
        self.child.kill()
        self.child.wait()
        self.child.stdin.close()
        self.child.stdout.close()
        for each in (self.listener, *self.connections):
            each.close()


def drop_segments(sock):
    """Let the kernel drop what comes on a connection, as a link that loses packets does."""
    program = struct.pack("HL", 1, addressof(_DROP))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


def accept_segments(sock):
    """End the effect of `drop_segments`."""
    sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)


def read_until(connections, until):
    """Return the time and connection of each arrival of bytes until a time."""
    found, left = [], list(connections)
    while (seconds := until - time.monotonic()) > 0 and left:
        for sock in select.select(left, (), (), seconds)[0]:
            try:
                data = sock.recv(65536)
            except ConnectionResetError:
                data = b""
            if data:
                found.append((time.monotonic(), sock, len(data)))
            else:
                left.remove(sock)
    return found


@pytest.mark.alone
class TestKernel:
    """How late the kernel delivers what a process wrote that stands still since."""

    MAX_SECONDS = 2 * FIRST_REPETITION_SECONDS + ACK_TIMEOUT_SECONDS

    def test_lost_segments_are_repeated_within_the_bound(self):
        """A link loses packets for a while; the call arrives with the first repetition after."""
        ends = [0.1 * number for number in range(15)]
        sender = StandingSender(len(ends), SMALL_BYTES)
        for each in sender.connections:
            drop_segments(each)
        written_at = sender.write()
        arrivals = []
        for seconds, sock in zip(ends, sender.connections, strict=True):
            arrivals += read_until(sender.connections, written_at + seconds)
            accept_segments(sock)
        arrivals += read_until(sender.connections, written_at + ends[-1] + 3.0)
        sender.close()
        late = [at - written_at for at, _, _ in arrivals]
        assert 2 * FIRST_REPETITION_SECONDS < max(late) < self.MAX_SECONDS + SLACK_SECONDS
        assert max(late) < MAX_DELIVERY_SECONDS

    def test_receiver_without_room_gets_no_rest_after_the_bound(self):
        """Its buffer is full when the call is written, and it reads on later."""
        begins = [0.0, 0.3] + [0.5 + 0.05 * number for number in range(13)]
        sender = StandingSender(len(begins), LARGE_BYTES, SMALL_BUFFER_BYTES)
        written_at = sender.write()
        received = {}
        for seconds, sock in zip(begins, sender.connections, strict=True):
            until = written_at + seconds
            for at, other, size in read_until(list(received), until):
                received[other].append((at, size))
            time.sleep(max(0.0, until - time.monotonic()))
            received[sock] = []
        for at, other, size in read_until(list(received), written_at + begins[-1] + 3.0):
            received[other].append((at, size))
        sender.close()
        whole = [
            max(at for at, _ in pieces) - written_at
            for pieces in received.values()
            if sum(size for _, size in pieces) > LARGE_BYTES
        ]
        assert whole and max(whole) < self.MAX_SECONDS + SLACK_SECONDS
        assert max(whole) < MAX_DELIVERY_SECONDS


class TestSum:
    """The sum of the parts against what a successor waits."""

    def test_bound_of_the_kernel(self):
        """The acknowledgement timeout counts from a retransmission, not from the write."""
        assert 2 * FIRST_REPETITION_SECONDS + ACK_TIMEOUT_SECONDS <= MAX_DELIVERY_SECONDS

    @pytest.mark.parametrize("round_trip", [0.0, 0.05, 0.1, 0.2, 0.3])
    def test_last_retransmission_over_a_long_path(self, round_trip):
        """The kernel sends again after its timeout, doubled each time, while the limit allows."""
        timeout = 0.2 + round_trip
        gives_up = 2 * timeout + ACK_TIMEOUT_SECONDS
        last = max(each for each in (timeout, 2 * timeout, 4 * timeout) if each < gives_up)
        assert last <= 1.0
        assert last + round_trip / 2 < TAKEOVER_MARGIN_SECONDS + ACT_MARGIN_SECONDS

    def test_call_of_a_running_process_ends_within_the_bound(self):
        """It is closed with a reset when its timeout is over, which counts from its begin."""
        assert PLATFORM_TIMEOUT_SECONDS <= MAX_DELIVERY_SECONDS

    def test_call_ends_before_the_release_also_after_a_standstill(self):
        """Both timers are late then; the one of the call, which resets it, is due first."""
        clock, order = ManualClock(100.0), []
        timers = TimerService(clock)
        timers.once(MAX_DELIVERY_SECONDS, lambda: order.append("release"))
        timers.once(PLATFORM_TIMEOUT_SECONDS, lambda: order.append("end of the call"))
        clock.time += 10.0
        timers.run_due()
        assert order == ["end of the call", "release"]

    def test_expired_lease(self):
        """Last write before the margin, delivery, then the first write of the successor."""
        last_arrival = DURATION - ACT_MARGIN_SECONDS + MAX_DELIVERY_SECONDS
        assert last_arrival < DURATION + TAKEOVER_MARGIN_SECONDS


class Ends:
    """One end of a holder, at its worst; measures what is left between the calls of the two."""

    def __init__(self, vms=3):
        self.cut_off = set()
        self.play = LeasePlay(vms=vms, killed_delivery_seconds=0.0)
        self.play.draw_delays = lambda process: StoreDelays(
            request=None if process in self.cut_off else 0.0
        )
        self.play.run(6.0)
        self.holder = self.play.holder()
        before = self.holder.lease.valid_lease().valid_until
        self.play.run_until(lambda: self.holder.lease.valid_lease().valid_until != before)

    def reserve(self):
        """Return the seconds from the last possible arrival to the successor's first one."""
        play = self.play
        play.run_until(lambda: len({each.fencing for each in play.arrivals}) == 2)
        play.run(3.0)
        assert play.breaches() == []
        old, new = sorted({each.fencing for each in play.arrivals})
        last = max(each.at for each in play.arrivals if each.fencing == old)
        return min(each.at for each in play.arrivals if each.fencing == new) - last


class TestReserve:
    """What a successor waits leaves room after the longest delivery, for each end of a lease."""

    def test_expired_lease_of_a_holder_that_is_cut_off(self):
        ends = Ends()
        ends.cut_off.add(ends.holder)
        assert ends.reserve() >= 0.3

    def test_expired_lease_of_a_holder_that_stands_still(self):
        """It stands still right after its last write."""
        ends = Ends()
        ends.cut_off.add(ends.holder)
        ends.play.run(DURATION - ACT_MARGIN_SECONDS - STEP_SECONDS)
        ends.play.freeze(ends.holder, 10.0)
        assert ends.reserve() >= 0.3

    def test_released_lease(self):
        ends = Ends()
        ends.play.stop(ends.holder)
        assert ends.reserve() >= 0.0

    def test_lease_of_a_killed_process_that_starts_again(self):
        """Its kernel discards what was not sent, so that nothing is on its way."""
        ends = Ends()
        ends.play.kill(ends.holder, restart_after=STEP_SECONDS)
        assert ends.reserve() > 0.0

    @pytest.mark.parametrize("restart_after", [0.05, 0.5, 1.0])
    def test_lease_that_a_restored_store_lacks(self, restart_after):
        ends = Ends()
        ends.cut_off.add(ends.holder)
        ends.play.restore(100.0)
        other = next(each for each in ends.play.live() if each is not ends.holder)
        ends.play.kill(other, restart_after)
        assert ends.reserve() >= 0.3
