"""The store comes back from a copy during a rolling restart; which usage reports are accepted."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import rig as rigs  # noqa: E402

HOST = "desk.example"
KEY = "key-of-desk"
SERVICE = "records"
RUNNERS = 4
# Each request works for so long at its runner, as a slow report does.
WORK_SECONDS = 3.0
REQUESTS_PER_SECOND = 6.0
# The store is away for a moment, and its copy is some seconds old.
AWAY_SECONDS = 1.0
COPY_AGE_SECONDS = 6.0
# Of three entry processes, the one that leads is stopped and started, twice.
STOP_GAP_SECONDS = 2.5
GRACE_SECONDS = 8.0
RESTART_SECONDS = 0.5
# After the second stop, until the reports of all windows in question must have come.
WATCH_SECONDS = 15.0
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "letter",
            "host": HOST,
            "prefix": "/letter/",
            "kind": "non_idempotent",
            "service": SERVICE,
            "timeout_ms": 6000,
            "latency_goal_ms": 4000,
            "priority": 1,
            "max_attempts": 1,
        }
    ],
    "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 100}],
    "tenants": [{"name": "desk", "api_keys": [KEY], "priority": 1}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
SETTINGS = {
    "bounds.budget_slack": 54,
    "bounds.quota_slack": 140000,
    "bounds.grace_s": 8,
    "bounds.lease_ms": 3000,
    "bounds.usage_window_s": 5,
    "bounds.usage_late_s": 10,
}


class Traffic:
    """Sends requests to the entry processes that are not stopping, as the balancer would."""

    def __init__(self, rig: rigs.Rig):
        self.rig = rig
        self.stopping: set[str] = set()
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send requests at a steady rate until cancelled."""
        while True:
            ready = [each for each in self.rig.fronts if each.name not in self.stopping]
            number = next(self._numbers)
            task = asyncio.ensure_future(self._send(ready[number % len(ready)], number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)

    async def _send(self, front: rigs.Front, number: int) -> None:
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Flamingofront-Request-Id": f"{number:08x}",
            "X-Flamingofront-Deadline-Ms": "6000",
        }
        answer = await rigs.send(front.address, "POST", f"/letter/{number}", headers, 7.0)
        self.rig.note(f"request {number:08x} to {front.name} answered {answer.status}")


async def roll(rig: rigs.Rig, traffic: Traffic, front: rigs.Front) -> None:
    """Stop an entry process with SIGTERM and start it again once it has ended."""
    rig.note(f"SIGTERM {front.name}")
    traffic.stopping.add(front.name)
    front.process.send_signal(signal.SIGTERM)
    until = time.monotonic() + GRACE_SECONDS
    while front.process.poll() is None and time.monotonic() < until:
        await asyncio.sleep(0.05)
    if front.process.poll() is None:
        front.process.kill()
        front.process.wait()
    rig.note(f"{front.name} has ended")
    await asyncio.sleep(RESTART_SECONDS)
    settings = front.settings.read_text().replace("bootstrap=true", "bootstrap=false")
    front.settings.write_text(settings)
    rig.start_front(front)
    await rig.wait_for(front.ready, "/api/ready")
    traffic.stopping.discard(front.name)
    rig.note(f"{front.name} is ready again")


async def wait_for_report(rig: rigs.Rig, count: int) -> None:
    """Wait until so many usage reports have come."""
    until = time.monotonic() + 30.0
    while time.monotonic() < until:
        reports = [each for each in rig.read_duties() if each["path"] == "/usage"]
        if len(reports) >= count:
            return
        await asyncio.sleep(0.02)
    raise rigs.CannotRunError("no usage reports")


async def stop_in_turn(rig: rigs.Rig) -> None:
    """Restart the machine that leads, then the next one, with a drill at the beginning."""
    traffic = Traffic(rig)
    sending = asyncio.ensure_future(traffic.run())
    await wait_for_report(rig, 3)
    if rig.trouble:
        rig.note(f"drill: the store is away for {AWAY_SECONDS} s")
        await rig.control_async("down", {"seconds": AWAY_SECONDS})
    await asyncio.sleep(0.2)
    rolls = [asyncio.ensure_future(roll(rig, traffic, rig.find_leader()))]
    await asyncio.sleep(AWAY_SECONDS - 0.2)
    if rig.trouble:
        rig.note(f"drill: the store is back from a copy {COPY_AGE_SECONDS} s old")
        await rig.control_async("restore", {"seconds": COPY_AGE_SECONDS})
    await asyncio.sleep(STOP_GAP_SECONDS - AWAY_SECONDS)
    rolls.append(asyncio.ensure_future(roll(rig, traffic, rig.find_leader())))
    await asyncio.gather(*rolls)
    await asyncio.sleep(WATCH_SECONDS)
    sending.cancel()


def find_conflicts(rig: rigs.Rig) -> list[str]:
    """Return the usage windows that were reported with different counts."""
    reported: dict[int, dict] = {}
    conflicts = []
    for each in rig.read_duties():
        rig.note(f"duty {each}")
        if each["path"] != "/usage":
            continue
        window, counts = each["body"]["window_id"], each["body"]["counts"]
        if reported.setdefault(window, counts) != counts:
            conflicts.append(f"window {window}: {reported[window]}, then {counts}")
    return conflicts


def play(rig: rigs.Rig) -> bool:
    """Return True if two reports for one window with different counts were accepted."""
    rig.start_platform(CONFIG)
    for number in range(RUNNERS):
        zone = f"zone-{'ab'[number % 2]}"
        rig.start_runner(f"records-{number}", SERVICE, zone, work=WORK_SECONDS)
    for zone in ("zone-a", "zone-b", "zone-c"):
        rig.start_front(rig.add_front(zone, SETTINGS))
    rig.wait_until_ready()
    asyncio.run(stop_in_turn(rig))
    conflicts = find_conflicts(rig)
    for each in conflicts:
        rig.note(each)
    return bool(conflicts)


if __name__ == "__main__":
    rigs.run_case(Path(__file__).resolve().parent, play)
