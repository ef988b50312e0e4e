"""Paced sending of datagrams."""

from flamingofront.process.forwarding.pacing import BURST_BYTES, PAUSE_SECONDS, PacedSender
from flamingofront.process.timers import ManualClock, TimerService


class TestPacedSender:
    def make_sender(self):
        clock = ManualClock()
        timers = TimerService(clock)
        sent = []
        return PacedSender(lambda data, ip: sent.append((clock.time, ip)), timers), clock, sent

    def test_small_burst_is_sent_at_once_without_a_timer(self):
        sender, _, sent = self.make_sender()
        for number in range(3):
            sender.send(b"x" * 1000, str(number))
        assert [ip for _, ip in sent] == ["0", "1", "2"]
        assert sender._timers.next_due() is None

    def test_large_burst_is_sent_in_order_and_paced(self):
        sender, clock, sent = self.make_sender()
        for number in range(60):
            sender.send(b"x" * 1000, str(number))
        while sender._timers.next_due() is not None:
            clock.time = sender._timers.next_due()
            sender._timers.run_due()
        assert [ip for _, ip in sent] == [str(number) for number in range(60)]
        assert clock.time >= (60_000 / BURST_BYTES - 2) * PAUSE_SECONDS
        for start in {at for at, _ in sent}:
            assert sum(at == start for at, _ in sent) * 1000 <= BURST_BYTES + 1000
