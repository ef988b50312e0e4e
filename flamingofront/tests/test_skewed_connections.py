"""Most new connections go to one of several entry processes, which can't serve them all."""

import json
import signal
import threading

import pytest

from flamingofront.tests.skewed_connections import Deployment, SkewedLoad

# Of those served before: the users' aim; their rule asks for 0.75.
MIN_SHARE = 0.95
CONTACT_SECONDS = 3.0
CALM_SECONDS = 5.0
SKEWED_SECONDS = 9.0
# Part of the skew that is judged; then the process with most connections is stopped.
JUDGED_SECONDS = 7.0
STOP_SECONDS = 9.0
# The rates are tried in turn until the processes have room for more than that without skew.
RATES = (250.0, 125.0, 62.5)
ROOM_FACTOR = 1.5
CALM_SHARE = 0.95
# Latency objective of the route.
GOAL_SECONDS = 0.3


def find_rate(deployment) -> float:
    """Return a rate at which the processes have room on this machine."""
    for rate in RATES:
        load = SkewedLoad(deployment, ROOM_FACTOR * rate)
        load.play(CALM_SECONDS, 0.0)
        if load.share_in_time(2.0, CALM_SECONDS, GOAL_SECONDS) >= CALM_SHARE:
            return rate
    raise AssertionError(f"the machine has no room beside {RATES[-1]} requests a second")


def read_last_line(folder, front: int, event: str) -> dict:
    """Return the last line of an event in the log of an entry process."""
    lines = (folder / f"front-{front}.log").read_text().splitlines()
    return next(json.loads(each) for each in reversed(lines) if f'"event":"{event}"' in each)


@pytest.mark.alone
class TestSkewedConnections:
    @pytest.mark.parametrize(("pause", "returns"), [(0.0, False), (0.8, True)])
    def test_first_tries_are_served_while_one_process_gets_most_connections(
        self, tmp_path, pause, returns
    ):
        """That process read or refused more than it could serve, while the others had room."""
        with Deployment(tmp_path, network=92 + int(pause > 0), pause=pause) as deployment:
            rate = find_rate(deployment)
            load = SkewedLoad(deployment, rate, returns=returns)
            process = deployment.fronts[0]
            stop = threading.Timer(
                CALM_SECONDS + JUDGED_SECONDS, lambda: process.send_signal(signal.SIGTERM)
            )
            stop.start()
            load.play(CALM_SECONDS, SKEWED_SECONDS)
            assert process.wait(STOP_SECONDS) == 0
        before = load.share(2.0, CALM_SECONDS)
        start, end = CALM_SECONDS + CONTACT_SECONDS, CALM_SECONDS + JUDGED_SECONDS
        assert load.share(start, end) >= MIN_SHARE * before
        assert load.never_served(start, end) == 0
        # What was handed over is answered before the process ends.
        exit_line = read_last_line(tmp_path, 0, "exit")
        assert (exit_line["unanswered"], exit_line["spliced"]) == (0, 0)
