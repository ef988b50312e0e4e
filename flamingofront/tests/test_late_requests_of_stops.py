"""Requests that come late in the grace period of a planned stop: whole answers, or refused."""

import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest

from flamingofront.decisions.accept_control import AcceptControl
from flamingofront.decisions.stopping import StreamBound, StreamTimes
from flamingofront.process.forwarding.overload import ConnectionOverload
from flamingofront.process.forwarding.shutdown import GracefulShutdown
from flamingofront.process.forwarding.tests.test_early_endings import (
    TIMEOUT_MS,
    TOKENS_PER_EVENT,
    AllowedTokens,
)
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ready_world
from flamingofront.tests.test_forward_processes import WAIT_SECONDS, Processes

# Requests sent sooner after the signal may be cut in the last part of the grace period.
EXCUSED_SECONDS = 3.0
LAST_PART = 1 / 6
GRACE_SECONDS = 8.0


class StoppingWorld(AllowedTokens):
    """A process before endpoints that prefill prompts, and end a stream with its last event.

    Parameters
    ----------
    token_seconds : float
        Time of an endpoint for each token of a prompt.
    events_at_once : int
        Events that an endpoint sends together.
    """

    def __init__(
        self,
        seed=1,
        gap=0.06,
        token_seconds=0.0,
        grace=GRACE_SECONDS,
        events_at_once=1,
        **options,
    ):
        self.token_seconds = token_seconds
        self.events_at_once = events_at_once
        self.grace = grace
        self.prompts, self.seconds = {}, {}
        self.limits, self.cut_at = {}, {}
        super().__init__(seed, gap, **options)

    def _size_streams(self, endpoint):
        def respond(req, exchange, fault):
            request_id = req.header("x-flamingofront-request-id")
            seconds = self.token_seconds * self.prompts.get(request_id, 0)
            seconds += self.seconds.get(request_id, 0.0)
            endpoint._timers.once(seconds, lambda: answer(req, exchange, request_id))

        def answer(req, exchange, request_id):
            seal = ("X-Flamingofront-Response-Seal", endpoint.endpoint_id)
            fields = (*endpoint._make_headers(req), seal)
            if request_id in self.seconds:
                exchange.respond(200, fields, b"whole")
                return
            exchange.begin(200, (*fields, ("Content-Type", "text/event-stream")))
            tokens = self.generated.get(request_id, TOKENS_PER_EVENT)
            send(exchange, 1, max(1, tokens // TOKENS_PER_EVENT))

        def send(exchange, number, count):
            end = min(count + 1, number + self.events_at_once)
            events = (b"id: %d\ndata: x\n\n" % each for each in range(number, end))
            exchange.send(b"".join(events))
            if end > count:
                exchange.finish()
                return
            pause = endpoint.gap * self.events_at_once
            endpoint._timers.once(pause, lambda: send(exchange, end, count))

        endpoint._respond = respond

    def send(self, path, allowed=0, generated=0, prompt=100, seconds=None, deadline=TIMEOUT_MS):
        """Send a request: a stream of a size, or a call that takes some seconds."""
        request_id = f"s-{len(self.asked)}"
        self.generated[request_id], self.prompts[request_id] = generated, prompt
        headers = {"X_Flamingofront_Deadline_Ms": str(deadline)}
        if seconds is not None:
            self.seconds[request_id] = seconds
        elif allowed:
            headers["X_Flamingofront_Token_Counts"] = f"{prompt},{allowed}"
        if self.has_hints and generated:
            headers["X_Flamingofront_Length_Hint"] = str(generated)
        caller = self.world.ask("front-1", path, request_id=request_id, **headers)
        now = self.world.clock.now()
        self.asked.append((now, caller))
        self.limits[caller] = now + min(deadline, TIMEOUT_MS) / 1000
        caller.abort = lambda: self._record_cut(caller)
        return caller

    def _record_cut(self, caller):
        self.cut_at[caller] = self.world.clock.now()
        caller.broken = caller.done = True

    def stop(self):
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        self.signalled_at = self.world.clock.now()
        GracefulShutdown(self.front, callers, self.grace, self._record_exit).begin()

    def _record_exit(self):
        self.exits.append(self.world.clock.now())
        self.unanswered = [
            round(at - self.signalled_at, 2)
            for at, each in self.asked
            if (not each.done or each.broken) and not self._is_excused(at, each)
        ]

    def _is_excused(self, at, caller):
        """Return True if a request that was sent at a time may have been cut."""
        cut_at = self.cut_at.get(caller, self.world.clock.now())
        is_early = at - self.signalled_at <= EXCUSED_SECONDS
        is_at_work = cut_at - self.signalled_at >= self.grace * (1 - LAST_PART)
        return cut_at >= self.limits[caller] - 0.001 or (is_early and is_at_work)

    def run_until_exit(self):
        """Run until the process has ended, and check that this was before it would be killed."""
        self.world.run_until(lambda: self.exits)
        assert self.exits[0] - self.signalled_at < self.grace


class TestStreamsUnlikeThoseBefore:
    """Streams that took longer than those before were taken late, and cut by the exit."""

    @pytest.mark.parametrize("has_hints", [True, False])
    @pytest.mark.parametrize("events", [2, 3, 4])
    def test_long_stream_after_streams_of_few_events(self, events, has_hints):
        stopping = StoppingWorld(has_hints=has_hints)
        tokens = TOKENS_PER_EVENT * events
        stopping.warm_up(60, tokens, tokens)
        stopping.stop()
        stopping.world.run(4.0)
        stopping.send("/stream/once/x", 720, 720)
        stopping.run_until_exit()
        assert stopping.unanswered == []

    @pytest.mark.parametrize("events", [2, 3, 4, 12])
    def test_pace_is_that_of_the_pauses_which_are_left(self, events):
        """Of `n` pauses between events one may be the longest one; the pace is that of the rest."""
        bound = StreamBound()
        for _ in range(60):
            rest = 0.1 * (events - 1)
            tokens = TOKENS_PER_EVENT * events
            bound.observe(StreamTimes(0.1, rest, tokens, events, tokens, longest_pause=0.1))
        assert bound.estimate_max_seconds(100 * TOKENS_PER_EVENT) >= 2.5 * 9.9

    @pytest.mark.parametrize("events", [4, 10])
    def test_long_stream_after_streams_whose_events_came_together(self, events):
        """All events came in two parts, so that the only pause was left out as the longest one."""
        stopping = StoppingWorld(events_at_once=events // 2)
        tokens = TOKENS_PER_EVENT * events
        stopping.warm_up(60, tokens, tokens)
        stopping.stop()
        stopping.world.run(4.0)
        stopping.send("/stream/once/x", 1440, 1440)
        stopping.run_until_exit()
        assert stopping.unanswered == []

    @pytest.mark.parametrize("at", [3.5, 4.5])
    def test_long_prompt_after_short_ones(self, at):
        stopping = StoppingWorld(token_seconds=1e-3, gap=0.02)
        for number in range(60):
            stopping.send("/stream/once/x", 60, 60, prompt=200 + 20 * number % 400)
            stopping.world.run(0.7)
        stopping.stop()
        stopping.world.run(at)
        # The first event comes within the time that is left, the last one doesn't.
        prompt = round(1000 * (GRACE_SECONDS - at - 0.35))
        stopping.send("/stream/once/x", 120, 120, prompt=prompt)
        stopping.run_until_exit()
        assert stopping.unanswered == []


class TestLookupsAtTheEnd:
    """Requests that waited for word of a peer or the store got no answer before the exit."""

    @pytest.mark.parametrize("at", [7.75, 7.9])
    @pytest.mark.parametrize("path", ["/stream/again/x", "/nowhere/x"])
    def test_request_gets_its_answer_before_the_exit(self, path, at):
        world = ready_world(fronts=2)
        front, exits = world.fronts["front-1"], []
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        GracefulShutdown(front, callers, GRACE_SECONDS, lambda: exits.append(1)).begin()
        world.run(5.0)
        # The configuration was not confirmed lately, and the keeper of the stream is silent.
        world.cut("front-1", "store")
        world.pause("front-2")
        world.run(at - 5.0)
        caller = world.ask("front-1", path, Resumes="origin", Last_Event_Id="2")
        world.run_until(lambda: exits)
        assert caller.done and caller.status == 503


class TestConnectionsOfPeers:
    def test_stopping_process_hands_no_late_connection_over(self):
        """The peer that serves it does not know when this process ends, and it with the answer."""
        world = ready_world()
        front, started = world.fronts["front-1"], []
        callers = SimpleNamespace(
            closing=False,
            connections=1,
            close_idle=lambda: 0,
            set_refusal=lambda must_refuse, take_over: None,
        )
        peers = SimpleNamespace(choose=lambda *facts: "10.0.0.9")
        front.peers.delays_by_ip = lambda: {"10.0.0.9": 0.0}
        overload = ConnectionOverload(
            front, callers, front.timers, AcceptControl(random.Random(1)), peers
        )
        overload.splicer.start = lambda sock, address: started.append(address)
        GracefulShutdown(front, callers, GRACE_SECONDS, lambda: None).begin()
        world.run(1.0)
        assert overload._take_over(None, 0.5, True) and len(started) == 1
        world.run(2.0)
        assert not overload._take_over(None, 0.5, True) and len(started) == 1


class TestShortGrace:
    @pytest.mark.parametrize("grace", [1.0, 2.0, 2.6])
    def test_process_ends_by_itself_and_answers(self, grace):
        """A process with less time than the balancer needs did nothing at the end of it."""
        stopping = StoppingWorld(grace=grace)
        for each in stopping.world.endpoints.values():
            each.inject_fault(ForwardFault.HANG)
        caller = stopping.send("/write/x", seconds=9.0)
        stopping.world.run(0.1)
        stopping.stop()
        stopping.run_until_exit()
        assert caller.done and caller.status == 502


SLOW_RELOAD = """
import time
from flamingofront import forward_daemon
read, paths = forward_daemon.read_settings, []
def read_slowly(path):
    paths.append(path)
    time.sleep(1.5 if len(paths) == 2 else 0.0)
    return read(path)
forward_daemon.read_settings = read_slowly
forward_daemon.main()
"""


class StoppedProcesses(Processes):
    """A process whose first reload takes 1.5 seconds, and a caller that sends half a request."""

    def start(self, environment):
        child = subprocess.Popen(
            [sys.executable, "-c", SLOW_RELOAD, "--metrics-port", "0"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**self.environment, **environment},
        )
        self.running.append(child)
        return child

    def __init__(self, folder, environment):
        self.environment = environment
        super().__init__(folder)

    def send_half(self):
        host, port = self.address("callers").split(":")
        conn = socket.create_connection((host, int(port)), timeout=WAIT_SECONDS)
        conn.sendall(b"POST /lookup/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
        return conn

    def stop_with(self, conn):
        """Send SIGTERM; return the status of the answer and the seconds until it came."""
        signalled_at = time.monotonic()
        self.front.send_signal(signal.SIGTERM)
        with conn:
            found = re.match(rb"HTTP/1.1 (\d+)", conn.recv(4096))
        seconds = time.monotonic() - signalled_at
        assert self.front.wait(WAIT_SECONDS) == 0
        return int(found.group(1)) if found else 0, seconds


@pytest.fixture
def processes(tmp_path):
    started = StoppedProcesses(tmp_path, dict(os.environ))
    started.wait_ready()
    yield started
    started.stop()


class TestTimeOfTheStop:
    """A process that counted from another time, or to another one, was killed before its end."""

    # Shorter than the time for a body, which would end the wait for it.
    GRACE = 2.7

    @pytest.mark.parametrize("is_announced", [True, False])
    def test_grace_of_changed_settings(self, processes, is_announced):
        processes.write_settings(**{"bounds.grace_s": str(self.GRACE)})
        if is_announced:
            processes.front.send_signal(signal.SIGHUP)
            processes.wait_event("settings reloaded")
        status, seconds = processes.stop_with(processes.send_half())
        assert status == 503 and seconds < self.GRACE

    def test_signal_that_is_noticed_late(self, processes):
        """SIGTERM came while the process read its settings, for as long as that took."""
        processes.write_settings(**{"bounds.grace_s": str(self.GRACE)})
        conn = processes.send_half()
        processes.front.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        status, seconds = processes.stop_with(conn)
        assert status == 503 and seconds < self.GRACE


class TestAnyLateRequests:
    """Nothing that is sent later than three seconds after the signal is cut, and little before."""

    KINDS = ("/read/x", "/write/x", "/stream/once/x", "/stream/again/x")

    def send_random(self, stopping):
        rng = stopping.rng
        path, deadline = rng.choice(self.KINDS), rng.choice((500, 2000, 6000, TIMEOUT_MS))
        if path.startswith("/stream"):
            allowed = rng.choice((0, 12, 60, 240, 720))
            generated = max(6, round((allowed or 60) * rng.choice((0.2, 0.5, 1.0))))
            prompt = rng.choice((50, 400, 3000))
            stopping.send(path, allowed, generated, prompt, deadline=deadline)
        else:
            seconds = rng.choice((0.05, 0.3, 1.0, 3.0, 7.0))
            stopping.send(path, seconds=seconds, deadline=deadline)

    @pytest.mark.parametrize("warm_up", [0, 150])
    @pytest.mark.parametrize("grace", [2.0, 8.0, 30.0])
    @pytest.mark.parametrize("seed", range(2))
    def test_late_requests_get_their_answers(self, seed, grace, warm_up):
        stopping = StoppingWorld(seed, gap=0.03, token_seconds=3e-4, grace=grace)
        for _ in range(warm_up):
            self.send_random(stopping)
            stopping.world.run(0.1 * stopping.rng.random())
        stopping.stop()
        while not stopping.exits:
            self.send_random(stopping)
            stopping.world.run(0.2 * stopping.rng.random())
        stopping.run_until_exit()
        assert stopping.unanswered == []
