#!/usr/bin/env python3
"""Soak of real processes with prompt parts that crash endpoints, and an oracle over all requests.

Each endpoint exits when a request with such a part begins to run, with or without some events, and
another one takes its place. Some callers with the part close their connections before.
The answers of some end with their connection, and some of their streams inside an event.
Entry processes are killed, suspended, reloaded and cut from the store meanwhile, endpoints are
killed for other reasons, and callers prefer one process for some seconds. Exits with 1 if requests
with such a part reach endpoints late, if sound ones are refused for a part or seldom served, or if
a stream is not whole.

    .venv/bin/python scripts/soak_parts.py 7 --seconds 40
"""

import http.client
import json
import random
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

import defopt
from soak_departures import (
    CONTACT_SECONDS,
    MAX_NETWORKS,
    PORT,
    REGISTRATION_SECONDS,
    Deployment,
    Endpoint,
    Soak,
    count_exceptions,
)
from unframed_relay import UnframedRelay

from flamingofront.tests.part_load import POISON_PART, SHARED_PART, insert_part
from flamingofront.tests.throttle import Throttle

CRASH_STATUS = 1
# Crashes after which a part is quarantined; the time for word of it begins with the last.
KNOWN_CRASHES = 4
MAX_TRIALS = 3
# Endpoints that may crash before all processes know a part.
MAX_CRASHES = 8
MIN_SERVED = 0.9
MAX_SHOWN = 6
PLACES = ("first", "middle", "deep", "anywhere")
BACK_SECONDS = (0.8, 2.0, 4.0)
POISON_RATES = (1.0, 4.0, 12.0)
# Events that endpoints send before they exit, and the share of the callers with the part that close
# their connections within a time, in seconds.
CRASH_EVENTS = (0, 1, 3)
LEAVING_SHARES = (0.0, 0.5, 1.0)
LEAVE_SECONDS = (0.03, 0.5)
# Sound requests go on alone for so long at first, so that their parts have been answered.
SOUND_SECONDS = 4.0
PREFERRED_SECONDS = 5.0
PREFERRED_SHARE = 0.9
STREAM_SHARE = 0.6
# Bytes by which the bodies of requests differ in length.
MAX_PADDING = 37
REFUSED_FOR_PART = b"prompt_part_crashes_endpoints"
EVENTS = 8
# Share of the streams of relayed endpoints that end inside an event.
CUT_STREAMS = 0.05


@dataclass(frozen=True)
class Response:
    """Response to a caller; status 0 if its connection ended before the end of the response.

    Parameters
    ----------
    is_kept : bool
        True if the connection may be used again.
    is_unread : bool
        True if no process listened, so that the caller knows that nothing was read.
    """

    status: int = 0
    body: bytes = b""
    has_retry_after: bool = False
    is_kept: bool = False
    is_unread: bool = False

    @property
    def is_refused_for_part(self) -> bool:
        """True if it was refused for a part of its prompt."""
        return self.status != HTTPStatus.OK and REFUSED_FOR_PART in self.body


@dataclass(frozen=True)
class Outcome:
    """Result of one request; times in seconds of the monotonic clock."""

    request_id: str
    front: int
    is_poison: bool
    sent_at: float
    ended_at: float
    response: Response


class RelayedDeployment(Deployment):
    """Deployment in which some endpoints are reached through an `UnframedRelay`."""

    def __init__(self, *args, rng: random.Random, unframed: float):
        super().__init__(*args)
        self._rng = rng
        self._unframed = unframed
        self._endpoint_relays: dict[int, UnframedRelay] = {}

    def words_of_relay(self, port: int) -> list[str]:
        """Return the words for an endpoint, and start its relay if it gets one."""
        if self._rng.random() >= self._unframed:
            return []
        relay = UnframedRelay(self.host, (self.host, port), self._rng, CUT_STREAMS)
        self.run_in_loop(relay.open())
        self._endpoint_relays[port] = relay
        return ["--advertise", f"{self.host}:{relay.port}"]

    def close_relay(self, port: int) -> None:
        """Close the relay of an endpoint that has ended, if there is one."""
        relay = self._endpoint_relays.pop(port, None)
        if relay is not None:
            self.run_in_loop(relay.close())


class PartSoak(Soak):
    """Callers with sound requests and with poison parts, and faults.

    Attributes
    ----------
    crashed_at : list of float
        Times at which endpoints exited because of the part.
    broken : list of str
        Streams with status 200 that were not whole.
    """

    def __init__(self, deployment: Deployment, rng: random.Random):
        super().__init__(deployment, rng)
        self.outcomes: list[Outcome] = []
        self.poison: set[str] = set()
        self.crashed_at: list[float] = []
        self.broken: list[str] = []
        self._preferred: int | None = None
        self._place = rng.choice(PLACES)
        self._poison_rate = rng.choice(POISON_RATES)
        self._back_seconds = rng.choice(BACK_SECONDS)
        self._leaving_share = rng.choice(LEAVING_SHARES)
        self._watched: set[str] = set()
        self._is_over = False

    def play(self, seconds: float, rate: float) -> None:
        """Play sound requests alone, then poison ones and faults beside them."""
        end = time.monotonic() + seconds
        calm_end = end + 2 * CONTACT_SECONDS
        watcher = threading.Thread(target=self._replace_endpoints)
        watcher.start()
        callers = self.call_until(calm_end, rate)
        time.sleep(SOUND_SECONDS)
        args = (calm_end, self._rng.random())
        callers.append(threading.Thread(target=self._run_poison_caller, args=args))
        callers[-1].start()
        while time.monotonic() < end:
            time.sleep(3 * self._rng.random())
            self._rng.choice(
                (self._disturb, self._disturb, self._kill_all, self._end_endpoint, self._prefer)
            )()
        for each in callers:
            each.join()
        self._is_over = True
        watcher.join()
        for timer in self._timers:
            timer.join()

    # Callers

    def _run_caller(self, front: int, end: float, rate: float, seed: float) -> None:
        rng, conns = random.Random(seed), {}
        while time.monotonic() < end:
            time.sleep(rng.expovariate(rate))
            preferred = self._preferred
            is_moved = preferred is not None and rng.random() < PREFERRED_SHARE
            self._send(conns, preferred if is_moved else front, rng, ())

    def _run_poison_caller(self, end: float, seed: float) -> None:
        rng, threads = random.Random(seed), []
        while time.monotonic() < end:
            time.sleep(rng.expovariate(self._poison_rate))
            front = rng.randrange(self._deployment.processes)
            args = ({}, front, random.Random(rng.random()), (POISON_PART,))
            threads.append(threading.Thread(target=self._send, args=args))
            threads[-1].start()
        for each in threads:
            each.join()

    def _send(
        self, conns: dict, front: int, rng: random.Random, poison_parts: tuple[str, ...]
    ) -> None:
        """Send a request that is unlike all others, on a kept connection if there is one."""
        number = rng.getrandbits(32)
        request_id = f"r{rng.getrandbits(64):016x}"
        self.senders[request_id] = front
        if poison_parts:
            self.poison.add(request_id)
        is_stream = rng.random() < STREAM_SHARE
        conn = self._take_connection(conns, front)
        if poison_parts and rng.random() < self._leaving_share:
            conn.timeout = rng.uniform(*LEAVE_SECONDS)
        sent_at = time.monotonic()
        response = self._call(conn, request_id, is_stream, self._list_parts(number, poison_parts))
        if response.is_kept:
            conns[front] = conn, time.monotonic()
        else:
            conn.close()
        if is_stream and response.status == HTTPStatus.OK:
            self._check_stream(request_id, response.body)
        self.statuses[response.status] += 1
        self.outcomes.append(
            Outcome(request_id, front, bool(poison_parts), sent_at, time.monotonic(), response)
        )

    def _list_parts(self, number: int, poison_parts: tuple[str, ...]) -> list[str]:
        """Return the parts of a prompt: some that others share, and a last one of its own."""
        parts = [SHARED_PART, f"5b000{number % 4}"]
        for each in poison_parts:
            parts = insert_part(parts, each, self._place, number)
        return [*parts, f"1a57{number:08x}"]

    def _call(
        self, conn: http.client.HTTPConnection, request_id: str, is_stream: bool, parts: list[str]
    ) -> Response:
        """Send a request and read its response."""
        fields = {
            "Host": "desk.example",
            "Authorization": "Bearer demo-key",
            "X-Flamingofront-Deadline-Ms": "3000",
            "X-Flamingofront-Request-Id": request_id,
            "X-Flamingofront-Prompt-Prefix": ",".join(f"{each}:40" for each in parts),
        }
        method, path = ("POST", "/stream/letter/1") if is_stream else ("GET", "/lookup/1")
        try:
            body = parts[-1].encode().ljust(len(parts[-1]) + int(parts[-1], 16) % MAX_PADDING)
            conn.request(method, path, body, fields)
            res = conn.getresponse()
            body = res.read()
        except (OSError, http.client.HTTPException) as exc:
            return Response(is_unread=isinstance(exc, ConnectionRefusedError))
        return Response(
            res.status, body, res.getheader("Retry-After") is not None, not res.will_close
        )

    def _take_connection(self, conns: dict, front: int) -> http.client.HTTPConnection:
        """Return a kept connection, or a new one if its process was disturbed since then."""
        conn, used_at = conns.pop(front, (None, 0.0))
        if conn is not None and not any(end >= used_at for _, end in self.disturbed[front]):
            return conn
        if conn is not None:
            conn.close()
        address = f"{self._deployment.ip_of(front)}:{PORT + 1000}"
        return http.client.HTTPConnection(address, timeout=6.0)

    def _check_stream(self, request_id: str, answer: bytes) -> None:
        lines = (line for line in answer.split(b"\n") if line.startswith(b"id: "))
        numbers = [int(line[4:]) for line in lines]
        if numbers != list(range(1, EVENTS + 1)):
            self.broken.append(f"{request_id} has events {numbers}")

    # Endpoints

    def _replace_endpoints(self) -> None:
        """Note each endpoint that has exited, and start another one a while later."""
        while not self._is_over:
            for each in list(self._deployment.endpoints):
                if each.name not in self._watched and each.child.poll() is not None:
                    self._watched.add(each.name)
                    self._note_exit(each)
            time.sleep(0.02)

    def _note_exit(self, endpoint: Endpoint) -> None:
        endpoint.left_at = time.monotonic()
        self._deployment.close_relay(endpoint.port)
        if endpoint.child.returncode == CRASH_STATUS:
            self.crashed_at.append(endpoint.left_at)
        self._deployment.write_rows({}, (endpoint.name,))
        self._later(self._back_seconds, self._deployment.add_endpoint)

    def _end_endpoint(self) -> None:
        """Kill an endpoint, as by its operator."""
        found = self._registered()
        if len(found) > 4:
            self.faults["endpoint killed"] += 1
            self._rng.choice(found).child.kill()

    def _kill_all(self) -> None:
        """Kill all entry processes at once, and start them again."""
        self.faults["kill_all"] += 1
        fronts = range(self._deployment.processes)
        with self._disturbance(fronts):
            for each in fronts:
                self._deployment.fronts[each].kill()
            for each in fronts:
                self._deployment.fronts[each].wait()
                self._deployment.fronts[each] = self._deployment.run_front(each)

    def _prefer(self) -> None:
        """Let most requests come to one process for some seconds."""
        self.faults["preferred"] += 1
        self._preferred = self._pick()
        time.sleep(PREFERRED_SECONDS)
        self._preferred = None

    # Oracle

    def known_at(self) -> float | None:
        """Return the time from which all processes have to know the part."""
        if len(self.crashed_at) < KNOWN_CRASHES:
            return None
        return sorted(self.crashed_at)[KNOWN_CRASHES - 1] + CONTACT_SECONDS

    def sent_late(self) -> list[tuple[str, float]]:
        """Return the requests with the part that undisturbed processes sent to endpoints late."""
        known_at = self.known_at()
        arrivals = [
            (request_id, round(at - known_at, 2))
            for endpoint in self._deployment.endpoints
            for at, request_id in endpoint.arrivals
            if known_at is not None and request_id in self.poison and at > known_at
        ]
        return [
            (request_id, late)
            for request_id, late in arrivals
            if not self._was_disturbed(self.senders[request_id], known_at + late)
        ]

    def served_share(self) -> tuple[int, int]:
        """Return how many sound requests were served of those sent once all know the part.

        Notes
        -----
        Requests at processes that were disturbed before or at that time are left out, and those at
        processes that do not listen yet.
        """
        since = sorted(self.crashed_at)[:KNOWN_CRASHES][-1] if self.crashed_at else 0.0
        since += 2 * CONTACT_SECONDS
        found = [
            each.response.status == HTTPStatus.OK
            for each in self.outcomes
            if not each.is_poison
            and not each.response.is_unread
            and each.sent_at > since
            and not self._was_disturbed(each.front, each.ended_at)
        ]
        return sum(found), len(found)

    def violations(self) -> list[str]:
        """Return what is wrong; empty if nothing is."""
        return [
            *self.broken,
            *self._find_sent_late(),
            *self._find_crashes(),
            *self._find_refused(),
            *self._find_unserved(),
        ]

    def _find_sent_late(self) -> Iterator[str]:
        if len(late := self.sent_late()) > MAX_TRIALS:
            yield f"{len(late)} requests sent late: {late[:MAX_SHOWN]}"

    def _find_crashes(self) -> Iterator[str]:
        known_at = self.known_at()
        early = [each for each in self.crashed_at if known_at is None or each <= known_at]
        if len(early) > MAX_CRASHES:
            yield f"{len(early)} endpoints crashed before the part was known"

    def _find_refused(self) -> Iterator[str]:
        refused = [each for each in self.outcomes if each.response.is_refused_for_part]
        if sound := [each.request_id for each in refused if not each.is_poison]:
            yield f"sound requests refused for a part: {sound[:MAX_SHOWN]}"
        untrue = [
            each.request_id
            for each in refused
            if each.response.status == HTTPStatus.SERVICE_UNAVAILABLE
            and not each.response.has_retry_after
        ]
        if untrue:
            yield f"refused without Retry-After: {untrue[:MAX_SHOWN]}"

    def _find_unserved(self) -> Iterator[str]:
        served, count = self.served_share()
        if served < MIN_SERVED * count:
            yield f"{served} of {count} sound requests served"


def main(
    seed: int,
    *,
    seconds: float = 30.0,
    processes: int = 5,
    rate: float = 5.0,
    endpoints: int = 10,
    pause: float = 0.0,
    unframed: float = 0.3,
) -> None:
    """Run the soak with one seed.

    :param seed: seed of the faults and of the callers
    :param seconds: length of the soak
    :param processes: entry processes
    :param rate: sound requests a second at each entry process
    :param endpoints: endpoints that serve at any time
    :param pause: fraction of the time for which entry processes are stopped, in slices of 20 ms
    :param unframed: fraction of the endpoints whose answers have neither a length nor chunks
    """
    folder = Path(tempfile.mkdtemp())
    rng = random.Random(seed)
    events = rng.choice(CRASH_EVENTS)
    words = ("--crash-part", POISON_PART, "--crash-events", str(events))
    args = (folder, seed % MAX_NETWORKS, processes, endpoints, words)
    with RelayedDeployment(*args, rng=rng, unframed=unframed) as deployment:
        soak = PartSoak(deployment, rng)
        time.sleep(REGISTRATION_SECONDS)
        with Throttle(lambda: deployment.fronts, pause):
            soak.play(seconds, rate)
        found = soak.violations()
    exceptions = count_exceptions(folder)
    poison = Counter(each.response.status for each in soak.outcomes if each.is_poison)
    served, count = soak.served_share()
    summary = {
        "seed": seed,
        "crash_events": events,
        "crashes": len(soak.crashed_at),
        "crash_seconds": [round(each - min(soak.crashed_at), 2) for each in soak.crashed_at],
        "sent_late": len(soak.sent_late()),
        "served_after": [served, count],
        "statuses": dict(soak.statuses),
        "poison_statuses": dict(poison),
        "faults": dict(soak.faults),
        "exceptions": exceptions,
        "violations": found,
        "logs": str(folder),
    }
    print(json.dumps(summary), flush=True)
    sys.exit(bool(found) or bool(exceptions))


if __name__ == "__main__":
    defopt.run(main)
