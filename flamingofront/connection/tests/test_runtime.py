"""Tests of the event loop and its timers."""

import threading

from circuits import Component, Event

from flamingofront.connection.runtime import Runtime
from flamingofront.process.timers import ManualClock

JOIN_SECONDS = 5.0


class note(Event):  # noqa: N801 - the class name is the event name
    pass


class Listener(Component):
    def __init__(self):
        super().__init__()
        self.received = threading.Event()

    def note(self):
        self.received.set()


class TestRuntime:
    def test_stop_in_the_last_timer_ends_the_loop(self):
        runtime = Runtime(print, clock=ManualClock())
        runtime.timers.once(0.0, runtime.stop)
        thread = threading.Thread(target=runtime.run, daemon=True)
        thread.start()
        runtime.poller.resume()
        thread.join(JOIN_SECONDS)
        has_ended = not thread.is_alive()
        runtime.poller.resume()
        assert has_ended

    def test_event_fired_by_a_timer_is_handled_before_the_next_poll(self):
        runtime = Runtime(print, clock=ManualClock())
        listener = Listener().register(runtime)
        runtime.timers.once(0.0, lambda: runtime.fire(note()))
        thread = threading.Thread(target=runtime.run, daemon=True)
        thread.start()
        received = listener.received.wait(JOIN_SECONDS)
        runtime.timers.once(0.0, runtime.stop)
        runtime.poller.resume()
        thread.join(JOIN_SECONDS)
        runtime.poller.resume()
        assert received
