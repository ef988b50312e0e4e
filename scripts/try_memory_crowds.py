#!/usr/bin/env python3
"""Crowds of callers that make an entry process hold memory, each on a process of its own.

Prints for each crowd the peak of the memory, the memory some seconds after the crowd has left, the
descriptors, and how many ordinary requests were answered beside and after. Exits with 1 if a
process ended or exceeded a limit. Run it in the project's environment:

    .venv/bin/python scripts/try_memory_crowds.py whole chunks-64kb --memory-mb 300 --callers 100
"""

import sys
import tempfile
import threading
import time
from pathlib import Path

import defopt

from flamingofront.tests.memory_crowd import CROWDS
from flamingofront.tests.memory_deployment import RESERVED_DESCRIPTORS, Deployment, Limits

LATER_SECONDS = (2.0, 10.0)


class OrdinaryCalls:
    """One caller that sends a request several times a second, in a thread."""

    def __init__(self, deployment: Deployment):
        self.sent = 0
        self.served = 0
        self._deployment = deployment
        self._end = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "OrdinaryCalls":
        self._thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._end.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._end.wait(0.25):
            self.sent += 1
            self.served += self._deployment.try_request()


def try_crowd(deployment: Deployment, name: str, callers: int, seconds: float) -> bool:
    """Play one crowd, print what was measured, and return True if all limits held."""
    rest = deployment.read_memory_mb()
    with OrdinaryCalls(deployment) as calls:
        play = deployment.play(CROWDS[name], callers, seconds)
    left_at, later = time.monotonic(), []
    is_served = deployment.is_served()
    for each in LATER_SECONDS:
        time.sleep(max(0.0, left_at + each - time.monotonic()))
        later.append(f"{deployment.read_memory_mb():.0f}")
    deployment.measure()
    usage, limits = deployment.usage, deployment.limits
    is_held = (
        deployment.is_alive
        and is_served
        and usage.memory_mb < limits.memory_mb
        and usage.descriptors < limits.descriptors
        and usage.sockets <= limits.descriptors - RESERVED_DESCRIPTORS
    )
    print(
        f"{name:18} {'holds' if is_held else 'FAILS'}  rest {rest:.0f} peak {usage.memory_mb:.0f}"
        f" later {'/'.join(later)} MB  descriptors {usage.descriptors} sockets {usage.sockets}"
        f"  closed {play.closed_by_process}  beside {calls.served}/{calls.sent}"
        f"  after {'served' if is_served else 'NOT SERVED'}",
        flush=True,
    )
    return is_held


def run(
    *names: str,
    memory_mb: int = 300,
    descriptors: int = 4100,
    max_body: int = 4 * 1024 * 1024,
    callers: int = 100,
    seconds: float = 5.0,
    together: bool = False,
) -> None:
    """Play crowds.

    :param names: names of crowds, all if none is given
    :param memory_mb: limit of the memory of the process in millions of bytes
    :param descriptors: limit of its descriptors
    :param max_body: largest legal size of a request body in bytes
    :param callers: callers in a crowd
    :param seconds: length of each play
    :param together: play all crowds on one process, one after another
    """
    limits = Limits(memory_mb, descriptors, max_body)
    groups = [list(names or CROWDS)] if together else [[name] for name in names or CROWDS]
    results = []
    for group in groups:
        with tempfile.TemporaryDirectory() as folder, Deployment(Path(folder), limits) as found:
            results += [try_crowd(found, name, callers, seconds) for name in group]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    defopt.run(run)
