"""Machines are stopped in turn; what becomes of a stream that is longer than those before it."""

import asyncio
import itertools
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import rig as rigs  # noqa: E402
import wire  # noqa: E402

HOST = "desk.example"
KEY = "key-of-desk"
RUNNERS = 6
ALLOWED_TOKENS = 700
# Tokens that most streams generate, at 10 ms each, and those of a few.
USUAL_TOKENS = 250
LONG_TOKENS = 700
REQUESTS_PER_SECOND = 18.0
CALM_SECONDS = 9.0
# Two of three machines of a zone are stopped, one after the other.
STOP_GAP_SECONDS = 2.0
GRACE_SECONDS = 8.0
# Requests sent up to this long after the signal to their machine may be broken off at its end.
EXCUSED_SECONDS = 3.0
# When the long streams are sent, after the first signal.
LONG_FROM_SECONDS, LONG_UNTIL_SECONDS = 3.2, 5.4
LONG_PERIOD_SECONDS = 0.15
CHECK_SECONDS = 1.0
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "letter",
            "host": HOST,
            "prefix": "/stream/",
            "kind": "stream",
            "service": "engines",
            "timeout_ms": 12000,
            "latency_goal_ms": 800,
            "gap_aim_ms": 300,
            "priority": 1,
            "max_attempts": 1,
            "sticky": True,
        }
    ],
    "services": [
        {
            "name": "engines",
            "health_path": "/health",
            "max_conns": 360,
            "engine": {"slots": 64, "kv_capacity_tokens": 796656},
        }
    ],
    "tenants": [{"name": "desk", "api_keys": [KEY], "priority": 1}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
SETTINGS = {"bounds.budget_slack": 54, "bounds.quota_slack": 140000, "bounds.grace_s": 8}


class Balancer:
    """Chooses machines as the platform does for new channels of the zone.

    It asks each machine once a second whether it is ready. After two misses a machine receives no
    new channels, but for the case in which fewer than half of the machines are in rotation.
    """

    def __init__(self, fronts: list[rigs.Front]):
        self._fronts = fronts
        self._misses = dict.fromkeys((each.name for each in fronts), 0)
        self._rng = random.Random(1)

    async def run(self) -> None:
        """Ask the machines until cancelled."""
        while True:
            await asyncio.gather(*map(self._check, self._fronts), asyncio.sleep(CHECK_SECONDS))

    async def _check(self, front: rigs.Front) -> None:
        try:
            reply = await asyncio.wait_for(wire.call(front.ready, "GET", "/api/ready"), 0.9)
            is_ready = reply.status == 200
        except (TimeoutError, OSError):
            is_ready = False
        self._misses[front.name] = 0 if is_ready else self._misses[front.name] + 1

    def choose(self) -> rigs.Front:
        """Return the machine for a new channel."""
        in_rotation = [each for each in self._fronts if self._misses[each.name] < 2]
        if 2 * len(in_rotation) < len(self._fronts):
            in_rotation = self._fronts
        return self._rng.choice(in_rotation)


class Traffic:
    """Sends streams and notes which of them ended without their last event."""

    def __init__(self, rig: rigs.Rig, balancer: Balancer):
        self._rig = rig
        self._balancer = balancer
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task] = []
        # When each machine was stopped.
        self.stopped_at: dict[str, float] = {}
        self.lost: list[str] = []

    def start(self, tokens: int) -> None:
        """Send a request for a stream on a new channel."""
        self._tasks.append(asyncio.ensure_future(self._send(next(self._numbers), tokens)))

    async def run(self) -> None:
        """Send usual streams until cancelled."""
        while True:
            self.start(USUAL_TOKENS)
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)

    async def finish(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)

    async def _send(self, number: int, tokens: int) -> None:
        request_id, front = f"{number:08x}", self._balancer.choose()
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Flamingofront-Request-Id": request_id,
            "X-Flamingofront-Model": "m",
            "X-Flamingofront-Token-Counts": f"1460,{ALLOWED_TOKENS}",
            "X-Flamingofront-Length-Hint": str(tokens),
            "X-Flamingofront-Prompt-Prefix": f"{number % 40:08x}:800,{request_id}:660",
            "X-Flamingofront-Deadline-Ms": "12000",
        }
        body = f"letter {request_id}".encode()
        sent_at = time.monotonic()
        answer = await rigs.send(front.address, "POST", "/stream/1", headers, 13.0, body)
        took = time.monotonic() - sent_at
        is_cut = answer.status == 0 and answer.has_head
        after = sent_at - self.stopped_at.get(front.name, sent_at)
        if tokens != USUAL_TOKENS or is_cut:
            text = "broken off" if is_cut else answer.status
            self._rig.note(
                f"{request_id} to {front.name}, {tokens} tokens, sent {after:.3f} s after its "
                f"stop: {text} after {took:.3f} s"
            )
        if is_cut and after > EXCUSED_SECONDS:
            self.lost.append(request_id)


async def stop_machines(rig: rigs.Rig) -> list[str]:
    """Stop two machines of the zone, and send some long streams later."""
    balancer = Balancer(rig.fronts)
    traffic = Traffic(rig, balancer)
    running = [asyncio.ensure_future(each.run()) for each in (balancer, traffic)]
    await asyncio.sleep(CALM_SECONDS)
    began, stopped = time.monotonic(), rig.fronts[:2] if rig.trouble else []
    for front in stopped:
        rig.note(f"SIGTERM {front.name}")
        traffic.stopped_at[front.name] = time.monotonic()
        front.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(STOP_GAP_SECONDS)
    await asyncio.sleep(began + LONG_FROM_SECONDS - time.monotonic())
    while time.monotonic() < began + LONG_UNTIL_SECONDS:
        traffic.start(LONG_TOKENS)
        await asyncio.sleep(LONG_PERIOD_SECONDS)
    for front in stopped:
        while front.process.poll() is None:
            await asyncio.sleep(0.05)
        ended = time.monotonic() - traffic.stopped_at[front.name]
        rig.note(f"{front.name} has ended within {ended:.3f} s after its signal")
    await asyncio.sleep(max(0.0, began + GRACE_SECONDS + STOP_GAP_SECONDS - time.monotonic()))
    for each in running:
        each.cancel()
    await traffic.finish()
    return traffic.lost


def play(rig: rigs.Rig) -> bool:
    """Return True if a stream was broken off that was sent more than 3 s after the signal."""
    rig.start_platform(CONFIG)
    for number in range(RUNNERS):
        rig.start_runner(f"engine-{number}", "engines", "zone-a", slots=64)
    for _ in range(3):
        rig.start_front(rig.add_front("zone-a", SETTINGS))
    rig.wait_until_ready()
    time.sleep(3.0)
    lost = asyncio.run(stop_machines(rig))
    for at, event, request, name in rig.read_runs():
        if request in lost:
            rig.note(f"runner {name}: {event} {request} at {at - rig.started_at:.3f}")
    rig.note(f"broken off, and sent over {EXCUSED_SECONDS} s after the stop: {lost}")
    return bool(lost)


if __name__ == "__main__":
    rigs.run_case(Path(__file__).resolve().parent, play)
