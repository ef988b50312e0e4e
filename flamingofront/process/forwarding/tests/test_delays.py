"""Log lines and metrics on delays within a process."""

import logbook

from flamingofront.process.forwarding.delays import LOG_INTERVAL_SECONDS, DelayMonitor
from flamingofront.process.forwarding.pacing import MAX_QUEUED_DATAGRAMS, PacedSender
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import ManualClock, TimerService


class TestDelayMonitor:
    def test_long_turns_are_logged_once_a_second_with_the_longest(self):
        """Guards against a line for each turn of a process that is overloaded."""
        clock = ManualClock()
        monitor = DelayMonitor(TimerService(clock), Metrics(), Log("entry"))
        with logbook.TestHandler() as lines:
            for seconds in (0.3, 0.9, 0.4, 0.1):
                monitor.record_turn(seconds)
            clock.time = LOG_INTERVAL_SECONDS
            monitor.record_turn(0.5)
        found = [each.kwargs for each in lines.records]
        assert [(each["longest_ms"], each["count"]) for each in found] == [(300, 1), (900, 3)]

    def test_datagram_that_was_queued_is_recorded_with_its_wait(self):
        """Guards against word that is late by its queue and shows nowhere."""
        clock = ManualClock()
        timers = TimerService(clock)
        sender = PacedSender(lambda data, ip: None, timers)
        waits = []
        sender.on_sent = waits.append
        for _ in range(MAX_QUEUED_DATAGRAMS + 2):
            sender.send(b"x" * 5000, "10.0.0.1")
        assert (waits, len(sender), sender.dropped) == ([], MAX_QUEUED_DATAGRAMS, 1)
        clock.time = 0.6
        timers.run_due()
        assert set(waits) == {0.6}
