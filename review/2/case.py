"""Requests with one prompt part crash their runners; what is answered to one that still runs."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import rig as rigs  # noqa: E402

HOST = "desk.example"
KEY = "key-of-desk"
SERVICE = "engines"
RUNNERS = 12
POISON = "bad00d0c"
# Requests with other prompts, so that the others are 3 in 100 at most.
ORDINARY = 200
ORDINARY_PER_SECOND = 20.0
# Requests with the part: time of sending in seconds, and output tokens at 10 ms each. The last one
# still runs when the fourth crashes its runner.
POISONED = ((6.0, 40), (6.5, 40), (7.0, 40), (7.5, 40), (7.6, 250))
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "draft",
            "host": HOST,
            "prefix": "/draft/",
            "kind": "non_idempotent",
            "service": SERVICE,
            "timeout_ms": 12000,
            "latency_goal_ms": 800,
            "priority": 1,
            "max_attempts": 1,
            "sticky": True,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 360,
            "engine": {"slots": 8, "kv_capacity_tokens": 796656},
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
PROMISES = (408, 421, 429, 503)


async def send_one(rig: rigs.Rig, front: rigs.Front, request_id: str, part: str, output: int):
    """Send a request and note what was answered."""
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "X-Flamingofront-Request-Id": request_id,
        "X-Flamingofront-Model": "m",
        "X-Flamingofront-Token-Counts": f"1460,{output}",
        "X-Flamingofront-Prompt-Prefix": f"{part}:800,{request_id}:660",
        "X-Flamingofront-Deadline-Ms": "12000",
    }
    rig.note(f"sent {request_id} part {part} output {output} to {front.name}")
    body = f"draft {request_id}".encode()
    answer = await rigs.send(front.address, "POST", "/draft/1", headers, 13.0, body)
    rig.note(
        f"answered {request_id} status {answer.status} "
        f"retry-after {answer.headers.get('retry-after', '-')} {answer.body[:120]!r}"
    )
    return request_id, answer


async def send_all(rig: rigs.Rig) -> list:
    """Send the ordinary requests at a steady rate, and those with the part among them."""
    ordinary = [
        (number / ORDINARY_PER_SECOND, f"{0x10000 + number:08x}", f"{0xA000 + number % 40:08x}", 10)
        for number in range(ORDINARY)
    ]
    poisoned = [
        (at, f"{0x20000 + number:08x}", POISON, output)
        for number, (at, output) in enumerate(POISONED)
    ]
    tasks, began = [], time.monotonic()
    for number, (at, request_id, part, output) in enumerate(sorted(ordinary + poisoned)):
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        front = rig.fronts[number % len(rig.fronts)]
        tasks.append(asyncio.ensure_future(send_one(rig, front, request_id, part, output)))
    return await asyncio.gather(*tasks)


def play(rig: rigs.Rig) -> bool:
    """Return True if a request was promised not to have run, and has run or runs later."""
    rig.start_platform(CONFIG)
    for number in range(RUNNERS):
        zone = f"zone-{'ab'[number % 2]}"
        poison = POISON if rig.trouble else ""
        rig.start_runner(f"engine-{number}", SERVICE, zone, poison=poison)
    for zone in ("zone-a", "zone-b"):
        rig.start_front(rig.add_front(zone, SETTINGS))
    rig.wait_until_ready()
    time.sleep(3.0)
    answers = dict(asyncio.run(send_all(rig)))
    time.sleep(1.0)
    runs = rig.read_runs()
    for at, event, request, name in runs:
        if event in ("crashed", "dropped") or request.startswith("0002"):
            rig.note(f"runner {name}: {event} {request} at {at - rig.started_at:.3f}")
    began = {request for _, event, request, _ in runs if event == "began"}
    broken = sorted(each for each in began if answers[each].status in PROMISES)
    for each in broken:
        rig.note(f"{each} was answered {answers[each].status} and has run")
    return bool(broken)


if __name__ == "__main__":
    rigs.run_case(Path(__file__).resolve().parent, play)
