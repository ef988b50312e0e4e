"""A cloud on raw sockets that records when each call of the leader tasks arrived.

Each entry process gets a port of its own, so that the sender of a connection is known before its
first byte.
"""

import json
import select
import socket
import struct
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Behaviour", "CloudCall", "CloudStage", "RecordingCloud"]

HOST = "127.0.0.1"
BACKLOG = 64
STEP_SECONDS = 0.05
# Longest time for which a connection waits for a byte.
IDLE_SECONDS = 60.0
READ_BYTES = 65536
HEAD_END = b"\r\n\r\n"
RESET = struct.pack("ii", 1, 0)


class CloudStage(StrEnum):
    """Stage of a call at which a play may act."""

    ACCEPTED = "accepted"
    """The connection was accepted; no byte has been read."""
    HEAD = "head"
    """The head has been read."""
    ANSWER = "answer"
    """The call has arrived and is answered next."""


@dataclass(frozen=True)
class Behaviour:
    """What the cloud does with calls; times in seconds.

    Parameters
    ----------
    closes : bool
        Close each connection behind its answer.
    accept_delay, answer_delay : float
        Wait before a connection is accepted, and before an answer.
    silent : bool
        Give no answer.
    resets : bool
        Reset the connection in place of an answer.
    """

    closes: bool = True
    accept_delay: float = 0.0
    answer_delay: float = 0.0
    silent: bool = False
    resets: bool = False

    @property
    def is_disturbed(self) -> bool:
        """True if the cloud does not serve at once."""
        return bool(self.accept_delay or self.answer_delay or self.silent or self.resets)


@dataclass
class CloudCall:
    """One call, or a connection without one; times of the monotonic clock, 0 if not reached.

    Parameters
    ----------
    process : int
        Number of the sending process.
    holder : str
        VM that the call names.
    subject : str
        What the calls are about that are ordered among themselves.
    answer : str
        Status of the answer, or what was done in its place.
    """

    process: int
    accepted_at: float
    first_byte_at: float = 0.0
    arrived_at: float = 0.0
    answered_at: float = 0.0
    holder: str = ""
    fencing: int = 0
    subject: str = ""
    body: str = ""
    answer: str = ""


Action = Callable[[CloudCall], None]


class RecordingCloud:
    """Cloud with a port for each entry process.

    Attributes
    ----------
    calls : list of CloudCall
        Calls that have arrived whole, in this order.
    connections : list of CloudCall
        All calls and connections.
    disturbances : list of tuple of (float, float)
        Times in which the cloud did not serve at once; the last one may go on.
    """

    def __init__(self):
        self.calls: list[CloudCall] = []
        self.connections: list[CloudCall] = []
        self.disturbances: list[tuple[float, float]] = []
        self._behaviour = Behaviour()
        self._disturbed_from: float | None = None
        self._lock = threading.Lock()
        self._actions: dict[CloudStage, list[Action]] = {each: [] for each in CloudStage}
        self._is_over = threading.Event()

    @property
    def behaviour(self) -> Behaviour:
        """What is done with calls from now on."""
        return self._behaviour

    @behaviour.setter
    def behaviour(self, behaviour: Behaviour) -> None:
        now = time.monotonic()
        if self._disturbed_from is not None:
            self.disturbances.append((self._disturbed_from, now))
        self._disturbed_from = now if behaviour.is_disturbed else None
        self._behaviour = behaviour

    def list_disturbances(self) -> list[tuple[float, float]]:
        """Return all times of disturbance until now."""
        if self._disturbed_from is None:
            return list(self.disturbances)
        return [*self.disturbances, (self._disturbed_from, time.monotonic())]

    def open_port(self, process: int) -> int:
        """Listen for the calls of one process, and return the port."""
        listening = socket.create_server((HOST, 0), backlog=BACKLOG)
        threading.Thread(target=self._accept, args=(listening, process), daemon=True).start()
        return listening.getsockname()[1]

    def act_once(self, stage: CloudStage, action: Action) -> None:
        """Do something when the next call reaches a stage, in the thread that serves it."""
        with self._lock:
            self._actions[stage].append(action)

    def _reach(self, stage: CloudStage, call: CloudCall) -> None:
        """Do what was to be done when a call reaches a stage."""
        with self._lock:
            actions, self._actions[stage] = self._actions[stage], []
        for each in actions:
            each(call)

    def close(self) -> None:
        """Accept no further connections."""
        self._is_over.set()

    def _accept(self, listening: socket.socket, process: int) -> None:
        with listening:
            while not self._is_over.is_set():
                if not select.select([listening], [], [], STEP_SECONDS)[0]:
                    continue
                time.sleep(self._behaviour.accept_delay)
                conn, _ = listening.accept()
                call = self._record_connection(process, time.monotonic())
                self._reach(CloudStage.ACCEPTED, call)
                words = (conn, call)
                threading.Thread(target=self._serve, args=words, daemon=True).start()

    def _record_connection(self, process: int, accepted_at: float) -> CloudCall:
        call = CloudCall(process, accepted_at)
        with self._lock:
            self.connections.append(call)
        return call

    def _serve(self, conn: socket.socket, call: CloudCall) -> None:
        with conn, suppress(OSError, EOFError):
            conn.settimeout(IDLE_SECONDS)
            while self._serve_call(conn, call):
                call = self._record_connection(call.process, call.accepted_at)

    def _serve_call(self, conn: socket.socket, call: CloudCall) -> bool:
        """Serve one call; return False if its connection is closed behind it."""
        self._read(conn, call)
        with self._lock:
            call.arrived_at = time.monotonic()
            self.calls.append(call)
        self._reach(CloudStage.ANSWER, call)
        # What is in force as the call arrives holds for it.
        behaviour = self._behaviour
        time.sleep(behaviour.answer_delay)
        if behaviour.silent:
            call.answer = "silent"
            conn.recv(1)
            return False
        if behaviour.resets:
            call.answer = "reset"
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return False
        call.answer, call.answered_at = "200", time.monotonic()
        more = b"Connection: close\r\n" if behaviour.closes else b""
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + more + b"\r\n{}")
        return not behaviour.closes

    def _read(self, conn: socket.socket, call: CloudCall) -> None:
        """Read a whole call.

        Raises
        ------
        EOFError
            If the connection ends before.
        """
        data = b""
        while HEAD_END not in data:
            data += _receive(conn)
            call.first_byte_at = call.first_byte_at or time.monotonic()
        head, body = data.split(HEAD_END, 1)
        first, *lines = head.decode().split("\r\n")
        fields = {
            name.lower(): value.strip() for name, _, value in (e.partition(":") for e in lines)
        }
        call.holder = fields["x-flamingofront-duty-holder"]
        call.fencing = int(fields["x-flamingofront-fencing-token"])
        self._reach(CloudStage.HEAD, call)
        while len(body) < int(fields["content-length"]):
            body += _receive(conn)
        call.body = body.decode()
        call.subject = _get_subject(first.split()[1], json.loads(body))


def _receive(conn: socket.socket) -> bytes:
    data = conn.recv(READ_BYTES)
    if not data:
        raise EOFError
    return data


def _get_subject(path: str, body: dict) -> str:
    """Return the subject of a call: usage is one, each service in each zone another."""
    return "usage" if path == "/usage" else f"{body['service']}@{body['zone']}"
