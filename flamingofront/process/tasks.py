"""Run generators that yield calls and sleeps.

A task is a generator: it yields an `OutboundCall` and is sent a `BufferedResponse` or `CallFailed`, or
yields a `Sleep` and is sent None. The decision in it needs neither a socket nor a clock, and a test
can drive it step by step.
"""

from collections.abc import Callable, Generator
from typing import Any

from flamingofront.connection.interfaces import CallEvent, CallHandle, Transport
from flamingofront.messages import (
    BufferedResponse,
    CallFailed,
    OutboundCall,
    ResponseData,
    ResponseEnd,
    ResponseHead,
    Sleep,
)
from flamingofront.process.timers import Timer, TimerService

__all__ = ["Reply", "ReplyCollector", "Task", "TaskRunner", "call_whole"]

Reply = BufferedResponse | CallFailed
Task = Generator[OutboundCall | Sleep, Reply | None, Any]


class ReplyCollector:
    """Gather the events of one call into one reply."""

    def __init__(self, on_reply: Callable[[Reply], None]):
        self._on_reply = on_reply
        self._head: ResponseHead | None = None
        self._parts: list[bytes] = []

    def __call__(self, event: CallEvent) -> None:
        """Take one event; the last one makes the reply."""
        if isinstance(event, ResponseHead):
            self._head = event
        elif isinstance(event, ResponseData):
            self._parts.append(event.data)
        elif isinstance(event, ResponseEnd):
            assert self._head is not None
            body = b"".join(self._parts)
            self._on_reply(BufferedResponse(self._head.status, self._head.headers, body))
        else:
            self._on_reply(event)


def call_whole(
    transport: Transport, call: OutboundCall, on_reply: Callable[[Reply], None]
) -> CallHandle:
    """Send `call` and pass its complete response, or its failure, to `on_reply`."""
    return transport.start(call, ReplyCollector(on_reply))


class RunningTask:
    """Handle of a task in progress."""

    def __init__(self, runner: "TaskRunner", task: Task, on_done: Callable[[Any], None] | None):
        self._runner = runner
        self._task = task
        self._on_done = on_done
        self._call: CallHandle | None = None
        self._timer: Timer | None = None
        self.done = False

    def cancel(self) -> None:
        """Stop the task where it is."""
        self.done = True
        if self._call is not None:
            self._call.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._task.close()

    def step(self, reply: Reply | None) -> None:
        """Send `reply` into the generator and carry out what it yields next."""
        if self.done:
            return
        self._call = None
        self._timer = None
        try:
            wanted = self._task.send(reply)
        except StopIteration as exc:
            self._finish(exc.value)
            return
        except Exception as exc:  # the fault must end in the log, not in the event loop
            self.done = True
            self._runner.on_fault(exc)
            return
        if isinstance(wanted, Sleep):
            self._timer = self._runner.timers.once(
                wanted.seconds, lambda: self.step(None), wanted.relaxed
            )
        else:
            self._call = call_whole(self._runner.transport, wanted, self.step)

    def _finish(self, value: Any) -> None:
        self.done = True
        if self._on_done is not None:
            self._on_done(value)


class TaskRunner:
    """Start tasks on a transport and a timer service.

    Parameters
    ----------
    on_fault : callable
        Gets an exception that a task did not handle.
    """

    def __init__(
        self,
        transport: Transport,
        timers: TimerService,
        on_fault: Callable[[Exception], None],
    ):
        self.transport = transport
        self.timers = timers
        self.on_fault = on_fault

    def start(self, task: Task, on_done: Callable[[Any], None] | None = None) -> RunningTask:
        """Run `task` until its first wait and return its handle."""
        running = RunningTask(self, task, on_done)
        running.step(None)
        return running
