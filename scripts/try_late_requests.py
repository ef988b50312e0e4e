#!/usr/bin/env python3
"""Real entry processes that stop one by one, with callers that send until each process is gone.

The callers send all through the grace period, on kept and on new connections: streams that may be
resumed or not, calls and writes of different durations, with bodies of a known length, in chunks,
or late. Prints what became of the requests to processes that were stopping, and exits with 1 if a
request was passed on and then cut, or read and never answered, without an excuse: its deadline or
the timeout of its route, or an endpoint that was still at work in the last sixth of the grace
period on a request of the first three seconds. Run it in the project's environment:

    .venv/bin/python scripts/try_late_requests.py --seed 1
"""

import asyncio
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import defopt
from late_callers import ROUTES, Callers, Sent
from late_deployment import Deployment
from late_endpoints import Endpoints, Run

from flamingofront.tests.throttle import Throttle

EXCUSED_SECONDS = 3.0
LAST_PART = 1 / 6
# A request that was not passed on has to be answered within this time after its last byte.
SLACK_SECONDS = 0.2
# Tolerated difference between times that the callers and the endpoints observe.
TOLERANCE_SECONDS = 0.05
WARM_UP_SECONDS = 6.0


@dataclass
class Stop:
    """A planned stop of one entry process."""

    front: int
    at: float
    grace: float
    gone_at: float = 0.0
    was_killed: bool = False


@dataclass
class Play:
    """Stops of all entry processes, one after another.

    Parameters
    ----------
    rate : float
        Requests per second to a process that stops; the others get a quarter of it.
    signals : bool
        True to send SIGHUP and a second SIGTERM to a process that is stopping.
    reload_grace : float
        Grace period that a process reads from its changed settings before its stop; 0 for none.
    change_routes : int
        Further routes of the configurations that are written during each stop; 0 for none.
    """

    deployment: Deployment
    callers: Callers
    grace: float
    rate: float
    rounds: int
    signals: bool
    reload_grace: float
    change_routes: int
    stops: list[Stop] = field(default_factory=list)

    async def play(self) -> None:
        """Play all stops."""
        is_over = False
        stopping: set[int] = set()
        count = len(self.deployment.fronts)
        usual = [
            asyncio.create_task(self._send_usual(number, stopping, lambda: is_over))
            for number in range(count)
        ]
        await asyncio.sleep(WARM_UP_SECONDS)
        for number in list(range(count)) * self.rounds:
            stopping.add(number)
            await self._stop(number)
            self.deployment.restart(number)
            while not await asyncio.to_thread(self.deployment.is_ready, number):
                await asyncio.sleep(0.05)
            stopping.discard(number)
            await asyncio.sleep(WARM_UP_SECONDS / 2)
        is_over = True
        await asyncio.gather(*usual)
        await self.callers.finish()

    async def _send_usual(self, number: int, stopping: set[int], is_over) -> None:
        while not is_over():
            await self.callers.send_all(
                number, self.rate / 4, lambda: is_over() or number in stopping
            )
            await asyncio.sleep(0.1)

    async def _stop(self, number: int) -> None:
        """Stop a process as the platform does, while callers send to it."""
        process, grace = self.deployment.fronts[number], self.grace
        if self.reload_grace:
            grace = self.reload_grace
            self.deployment.write_settings(number, grace)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
        stop = Stop(number, time.monotonic(), grace)
        self.stops.append(stop)
        process.send_signal(signal.SIGTERM)
        load = asyncio.create_task(
            self.callers.send_all(number, self.rate, lambda: process.poll() is not None)
        )
        others = asyncio.create_task(self._disturb(process))
        while process.poll() is None and time.monotonic() < stop.at + grace:
            await asyncio.sleep(0.005)
        if process.poll() is None:
            process.kill()
            process.wait()
            stop.was_killed = True
        stop.gone_at = time.monotonic()
        others.cancel()
        await load
        # The settings of the next start.
        self.deployment.write_settings(number, self.grace)

    async def _disturb(self, process: subprocess.Popen) -> None:
        """Send further signals and write configurations while a process stops."""
        factors = (1.0, 2.0, 0.7, 3.0)
        for number in range(100):
            await asyncio.sleep(0.9)
            if self.signals and process.poll() is None:
                process.send_signal(signal.SIGHUP if number % 2 else signal.SIGTERM)
            if self.change_routes:
                self.deployment.write_configuration(
                    factors[number % len(factors)], self.change_routes
                )


@dataclass(frozen=True)
class Judge:
    """Decides what became of the requests to processes that were stopping."""

    runs: dict[str, list[Run]]

    def list_judged(self, play: Play) -> Iterator[tuple[Stop, Sent, str]]:
        """Yield each request that was sent to a stopping process, or was unanswered then."""
        for stop in play.stops:
            for sent in play.callers.sent:
                if sent.front == stop.front and sent.at < stop.gone_at and sent.ended_at > stop.at:
                    yield stop, sent, self.judge(stop, sent)

    def judge(self, stop: Stop, sent: Sent) -> str:
        """Return what became of a request."""
        runs = self.runs.get(sent.request_id, [])
        is_late = sent.at > stop.at + EXCUSED_SECONDS
        if sent.status in (408, 421, 429, 503) and sent.is_whole:
            return "REFUSED, and has run" if runs else "refused"
        if sent.is_whole:
            if sent.status == 200:
                return "whole"
            late = "late, " if is_late and sent.status == 502 else ""
            return f"{late}own {sent.status}"
        if not runs:
            waited = sent.ended_at - (sent.last_byte_at or sent.ended_at)
            return "LOST, read and not answered" if waited > SLACK_SECONDS else "closed unread"
        if sent.ended_at >= sent.at + sent.limit - TOLERANCE_SECONDS:
            return "cut at its limit"
        last = stop.at + stop.grace * (1 - LAST_PART)
        if not is_late and runs[-1].until >= last:
            return "cut, excused"
        return "LOST, cut"


def _report(play: Play, judge: Judge) -> bool:
    """Print what became of the requests; return True if none was lost."""
    counts: dict[str, Counter] = {"until 3 s": Counter(), "later": Counter()}
    lost, slowest, no_retry = [], 0.0, 0
    for stop, sent, outcome in judge.list_judged(play):
        part = "later" if sent.at > stop.at + EXCUSED_SECONDS else "until 3 s"
        counts[part][outcome] += 1
        if outcome == "refused":
            slowest = max(slowest, sent.ended_at - sent.last_byte_at)
            no_retry += not sent.retry_after
        if outcome[:4].isupper():
            lost.append((round(sent.at - stop.at, 2), round(sent.ended_at - stop.at, 2), sent))
    for name, counter in counts.items():
        print(f"sent {name}: {dict(sorted(counter.items()))}")
    print(
        f"{len(play.stops)} stops, {sum(each.was_killed for each in play.stops)} ended by SIGKILL, "
        f"exits after {[round(each.gone_at - each.at, 2) for each in play.stops]} s"
    )
    print(f"slowest refusal {slowest:.3f} s after the last byte, {no_retry} without Retry-After")
    again = sum(
        len(runs) > 1
        for sent in play.callers.sent
        if ROUTES[sent.route][1] == "non_idempotent" or sent.route == "once"
        for runs in (judge.runs.get(sent.request_id, []),)
    )
    print(f"requests that may run once and ran twice: {again}")
    for at, ended, sent in lost[:20]:
        print(f"LOST at {at}, ended {ended}: {sent}")
    print(f"lost: {len(lost)}")
    return not lost and not again


async def _play(deployment: Deployment, options: dict, seed: int) -> tuple[Play, Judge]:
    endpoints = Endpoints()
    for number in range(6):
        service = "engines" if number < 3 else "records"
        address = await endpoints.start(number, f"e-{number}")
        deployment.register(f"e-{number}", service, address, f"zone-{'ab'[number % 2]}")
    for number in range(len(deployment.fronts)):
        while not await asyncio.to_thread(deployment.is_ready, number):
            await asyncio.sleep(0.05)
    play = Play(deployment, Callers(random.Random(seed)), **options)
    await play.play()
    endpoints.close()
    await asyncio.sleep(0.1)
    return play, Judge(endpoints.runs)


def main(
    *,
    seed: int = 1,
    processes: int = 4,
    grace: float = 8.0,
    rate: float = 40.0,
    rounds: int = 1,
    pause: float = 0.0,
    signals: bool = False,
    reload_grace: float = 0.0,
    change_routes: int = 0,
    keep: str = "",
) -> None:
    """Play planned stops in calm.

    :param seed: seed of the callers' choices
    :param processes: number of entry processes
    :param grace: seconds between SIGTERM and SIGKILL
    :param rate: requests per second to a process that stops
    :param rounds: stops of each process
    :param pause: fraction of the time for which each entry process is stopped
    :param signals: send SIGHUP and further SIGTERMs to a process that stops
    :param reload_grace: grace period that a process reads from its changed settings before its
        stop, 0 for no change
    :param change_routes: further routes of the configurations that are written during each stop, 0
        to write none
    :param keep: folder for the logs of the processes
    """
    options = {"grace": grace, "rate": rate, "rounds": rounds, "signals": signals}
    options |= {"reload_grace": reload_grace, "change_routes": change_routes}
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(keep or folder), processes, grace) as deployment,
        Throttle(lambda: deployment.fronts, pause),
    ):
        play, judge = asyncio.run(_play(deployment, options, seed))
    if not _report(play, judge):
        sys.exit(1)


if __name__ == "__main__":
    defopt.run(main)
