#!/usr/bin/env python3
"""Measures after how long each kind of connection notices that its partner is silent.

A socket filter drops all packets that reach the partner's socket, so that its kernel acknowledges
nothing. Run it in the project's environment:

    .venv/bin/python scripts/measure_silent_partners.py
"""

import ctypes
import socket
import struct
import threading
import time

from flamingofront.connection import client, sockets
from flamingofront.connection.client import HTTPClient
from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer
from flamingofront.messages import CallFailed, OutboundCall, ResponseEnd

SO_ATTACH_FILTER = 26
LIMIT_SECONDS = 25.0
# One instruction of a classic packet filter: return 0 bytes, which drops the packet.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


def silence(sock: socket.socket) -> None:
    """Drop all packets that arrive at a socket."""
    code = ctypes.create_string_buffer(DROP_ALL)
    program = struct.pack("HL", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class Partner:
    """Server that responds once and falls silent at some point."""

    def __init__(self, silent_before_accept: bool = False):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.sock: socket.socket | None = None
        if silent_before_accept:
            silence(self.listener)
        else:
            threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        self.sock, _ = self.listener.accept()

    def wait_connected(self) -> None:
        """Wait until the client is connected."""
        while self.sock is None:
            time.sleep(0.005)

    def respond(self) -> None:
        """Read a request and respond to it."""
        self.sock.recv(65536)
        self.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


class Client:
    """The product's HTTP client in a thread of its own."""

    def __init__(self):
        self.faults: list = []
        self.runtime = Runtime(self.faults.append)
        self.http = HTTPClient(self.runtime.timers).register(self.runtime)
        threading.Thread(target=self.runtime.run, daemon=True).start()
        self.ended = threading.Event()
        self.event = None

    def _on_event(self, event) -> None:
        if isinstance(event, CallFailed | ResponseEnd):
            self.event = event
            self.ended.set()

    def start(self, call: OutboundCall) -> None:
        """Start a call in the thread of the client."""
        self.ended.clear()
        self.runtime.timers.once(0.0, lambda: self.http.start(call, self._on_event))
        self.runtime.poller.resume()

    def measure(self) -> str:
        """Return the seconds until the call has ended, and how."""
        start = time.monotonic()
        if not self.ended.wait(LIMIT_SECONDS):
            return f"not within {LIMIT_SECONDS:g} s"
        return f"{time.monotonic() - start:.2f} s, {self.event.reason}"


def measure_connect(timeout: float | None) -> str:
    """Measure a connection that is not established."""
    partner, caller = Partner(silent_before_accept=True), Client()
    caller.start(OutboundCall(partner.address, "GET", "/", timeout=3.0, connect_timeout=timeout))
    return caller.measure()


def measure_waiting(ack_timeout: float | None = None) -> str:
    """Measure a call whose request was acknowledged before the partner fell silent."""
    partner, caller = Partner(), Client()
    call = OutboundCall(partner.address, "GET", "/", timeout=LIMIT_SECONDS, ack_timeout=ack_timeout)
    caller.start(call)
    partner.wait_connected()
    partner.sock.recv(65536)
    silence(partner.sock)
    return caller.measure()


def measure_reused(ack_timeout: float | None = None) -> str:
    """Measure a call on an idle connection whose partner is silent already."""
    partner, caller = Partner(), Client()
    call = OutboundCall(partner.address, "GET", "/", timeout=LIMIT_SECONDS, ack_timeout=ack_timeout)
    caller.start(call)
    partner.wait_connected()
    partner.respond()
    caller.ended.wait(LIMIT_SECONDS)
    silence(partner.sock)
    caller.start(call)
    return caller.measure()


def measure_idle() -> str:
    """Measure until an idle connection is closed."""
    partner, caller = Partner(), Client()
    caller.start(OutboundCall(partner.address, "GET", "/", timeout=LIMIT_SECONDS))
    partner.wait_connected()
    partner.respond()
    caller.ended.wait(LIMIT_SECONDS)
    silence(partner.sock)
    start = time.monotonic()
    while time.monotonic() - start < LIMIT_SECONDS:
        if not caller.http._connections:
            return f"{time.monotonic() - start:.2f} s, closed"
        time.sleep(0.02)
    return f"not within {LIMIT_SECONDS:g} s"


def measure_server(is_responding: bool) -> str:
    """Measure an accepted connection whose client falls silent while its request is handled."""
    gone = threading.Event()
    exchanges: list = []
    runtime = Runtime(lambda exc: None)

    def handle(req, exchange) -> None:
        exchange.on_disconnect = gone.set
        exchanges.append(exchange)

    server = HTTPServer(("127.0.0.1", 0), handle, runtime.timers).register(runtime)
    threading.Thread(target=runtime.run, daemon=True).start()
    sock = socket.create_connection(("127.0.0.1", server.port))
    sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    while not exchanges:
        time.sleep(0.005)
    silence(sock)
    start = time.monotonic()
    if is_responding:
        runtime.timers.once(0.0, lambda: exchanges[0].begin(200, ()))
        runtime.poller.resume()
    if not gone.wait(LIMIT_SECONDS):
        return f"not within {LIMIT_SECONDS:g} s"
    return f"{time.monotonic() - start:.2f} s, closed"


def main() -> None:
    """Print one line for each kind of connection."""
    client_keepalive = (
        f"keep-alive {client.KEEPALIVE_INTERVAL_SECONDS} s x {client.KEEPALIVE_PROBE_COUNT}, "
        f"user timeout {client.USER_TIMEOUT_MS} ms"
    )
    server_keepalive = (
        f"keep-alive {sockets.KEEPALIVE_IDLE_SECONDS} s, {sockets.KEEPALIVE_INTERVAL_SECONDS} s x "
        f"{sockets.KEEPALIVE_PROBE_COUNT}, user timeout {sockets.USER_TIMEOUT_MS} ms"
    )
    rows = (
        ("new connection of an attempt", "connect timeout 0.25 s", lambda: measure_connect(0.25)),
        ("new connection without its own limit", "call timeout 3 s", lambda: measure_connect(None)),
        ("call that waits for its response", client_keepalive, measure_waiting),
        ("call on a silent idle connection", client_keepalive, measure_reused),
        ("same, acknowledgement within 0.8 s", "user timeout", lambda: measure_reused(0.8)),
        ("waiting, acknowledgement within 0.8 s", "user timeout", lambda: measure_waiting(0.8)),
        ("idle connection", client_keepalive, measure_idle),
        ("accepted, client waits", server_keepalive, lambda: measure_server(False)),
        ("accepted, response unacknowledged", server_keepalive, lambda: measure_server(True)),
    )
    for name, setting, measure in rows:
        print(f"{name}: {measure()} ({setting})", flush=True)


if __name__ == "__main__":
    main()
