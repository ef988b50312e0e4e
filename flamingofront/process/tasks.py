"""Tasks: generators that yield calls and sleeps, and their runner.

A task yields an `OutboundCall` and is sent a `BufferedResponse` or `CallFailed`, or yields a
`Sleep` and is sent None. Its logic needs neither a socket nor a clock, and a test can drive it step
by step.
"""

from collections.abc import Callable, Generator
from typing import Any

import orjson

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

__all__ = [
    "Reply",
    "ReplyCollector",
    "RunningTask",
    "Task",
    "TaskRunner",
    "call_buffered",
    "read_json",
]

Reply = BufferedResponse | CallFailed
Task = Generator[OutboundCall | Sleep, Reply | None, Any]


STATUS_OK = 200


def read_json(reply: Reply) -> Any:
    """Return the JSON in the body of a successful response; None for any other reply.

    Notes
    -----
    A body without framing that was cut is malformed: an exception would end the task.
    """
    if isinstance(reply, CallFailed) or reply.status != STATUS_OK:
        return None
    try:
        return orjson.loads(reply.body)
    except orjson.JSONDecodeError:
        return None


class ReplyCollector:
    """Collects the events of one call into one buffered reply.

    Parameters
    ----------
    on_reply : callable
        Called with the `BufferedResponse`, or with the `CallFailed`.
    """

    def __init__(self, on_reply: Callable[[Reply], None]):
        self._on_reply = on_reply
        self._head: ResponseHead | None = None
        self._parts: list[bytes] = []

    def __call__(self, event: CallEvent) -> None:
        """Handle one event; the last one of the call delivers the reply."""
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


def call_buffered(
    transport: Transport, call: OutboundCall, on_reply: Callable[[Reply], None]
) -> CallHandle:
    """Send `call` and pass its complete response, or its failure, to `on_reply`."""
    return transport.start(call, ReplyCollector(on_reply))


class RunningTask:
    """Handle of a running task.

    Attributes
    ----------
    done : bool
        True once the task has returned, failed or was cancelled.
    """

    def __init__(self, runner: "TaskRunner", task: Task, on_done: Callable[[Any], None] | None):
        self._runner = runner
        self._task = task
        self._on_done = on_done
        self._call: CallHandle | None = None
        self._timer: Timer | None = None
        self.done = False

    def cancel(self) -> None:
        """Stop the task, and cancel its pending call or sleep."""
        self.done = True
        if self._call is not None:
            self._call.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._task.close()

    def step(self, reply: Reply | None) -> None:
        """Resume the generator with `reply` and start the call or sleep it yields next."""
        if self.done:
            return
        self._call = None
        self._timer = None
        try:
            request = self._task.send(reply)
        except StopIteration as exc:
            self._finish(exc.value)
            return
        except Exception as exc:  # must be logged and not reach the event loop
            self.done = True
            self._runner.on_fault(exc)
            return
        if isinstance(request, Sleep):
            self._timer = self._runner.timers.once(
                request.seconds, lambda: self.step(None), request.relaxed
            )
        else:
            self._call = call_buffered(self._runner.transport, request, self.step)

    def _finish(self, value: Any) -> None:
        self.done = True
        if self._on_done is not None:
            self._on_done(value)


class TaskRunner:
    """Starts tasks on a transport and a timer service.

    Parameters
    ----------
    on_fault : callable
        Called with an exception that a task did not handle.
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
        """Run `task` until its first call or sleep and return its handle."""
        running = RunningTask(self, task, on_done)
        running.step(None)
        return running
