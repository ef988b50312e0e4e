#!/usr/bin/env python3
"""Real entry processes on loopback, one of which gets most new connections for some seconds.

Prints the share of first tries that were served, before, with and after the skew, of those that
were read. Run it in the project's environment:

    .venv/bin/python scripts/try_skewed_connections.py --rate 300 --pause 0.8
"""

import signal
import tempfile
import threading
from pathlib import Path

import defopt

from flamingofront.tests.skewed_connections import Deployment, SkewedLoad


def _schedule_disturbances(deployment: Deployment) -> None:
    """Let processes reload, stop, be killed and start again during the skew."""
    actions = (
        (7.0, lambda: deployment.reload_front(0)),
        (8.0, lambda: deployment.restart_front(1, signal.SIGTERM)),
        (10.0, lambda: deployment.restart_front(2, signal.SIGKILL)),
    )
    for seconds, action in actions:
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        timer.start()


def main(
    *,
    rate: float = 300.0,
    pause: float = 0.8,
    processes: int = 5,
    skewed: float = 9.0,
    seed: int = 1,
    endpoints: int = 8,
    network: int = 91,
    keep: str = "",
    returns: bool = False,
    disturb: bool = False,
) -> None:
    """Play a load with skewed connections.

    :param rate: requests per second
    :param pause: fraction of the time for which each entry process is stopped
    :param processes: number of entry processes
    :param skewed: seconds for which most new connections go to one process
    :param seed: seed of the callers' choices
    :param endpoints: number of endpoints
    :param network: third number of the loopback addresses
    :param keep: folder for the logs of the processes
    :param disturb: while most connections go to one process, it reloads its settings, another one
        is stopped and started again, and a third one is killed and started again
    :param returns: further tries go where first tries go, as behind a balancer
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(keep or folder)
        with Deployment(path, network, processes, endpoints, pause) as deployment:
            load = SkewedLoad(deployment, rate, seed, returns)
            if disturb:
                _schedule_disturbances(deployment)
            load.play(6.0, skewed, 3.0)
    spans = (("before", 2.0, 6.0), ("first 3 s", 6.0, 9.0), ("with skew", 9.0, 6.0 + skewed))
    for name, start, end in (*spans, ("after", 7.0 + skewed, 9.0 + skewed)):
        tries = [each for each in load.tries if start <= each.at < end]
        unread = sum(not each.was_read for each in tries)
        slow = sorted(each.seconds for each in tries)[len(tries) * 19 // 20]
        print(
            f"{name}: {load.share(start, end):.3f} of first tries served of those that count, "
            f"{len(tries)} sent, {unread} unread, {load.never_served(start, end)} never served, "
            f"slowest twentieth {slow:.2f} s"
        )


if __name__ == "__main__":
    defopt.run(main)
