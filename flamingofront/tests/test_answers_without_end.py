"""Partners that answer one entry process with little memory without end."""

import time
from dataclasses import replace
from urllib.parse import urlencode

import pytest

from flamingofront.tests.endless_relay import SWITCH_PATH
from flamingofront.tests.memory_crowd import Crowd, build_head
from flamingofront.tests.memory_deployment import IP, Deployment, fetch
from flamingofront.tests.test_callers_that_exhaust_memory import (
    CALLERS,
    LIMITS,
    PLAY_SECONDS,
    check_limits,
)

FIRST_CALL_SECONDS = 15.0
ENDPOINT_CALLERS = 2 * CALLERS
ENDPOINT_SECONDS = 2 * PLAY_SECONDS
# Each caller has a connection to an endpoint.
ENDPOINT_LIMITS = replace(LIMITS, descriptors=2 * LIMITS.descriptors)


class EndlessDeployment(Deployment):
    """Deployment with a relay between the entry process and the platform."""

    more_settings = {"cloud_api.duties": "usage", "bounds.usage_window_s": "1"}
    slots = 64
    relay = ""

    def make_configuration(self) -> dict:
        config = super().make_configuration()
        stream = {**config["routes"][0], "name": "talk", "prefix": "/stream/", "kind": "stream"}
        return {**config, "routes": [*config["routes"], stream]}

    def start_platform(self, store: str) -> str:
        self.relay = f"{IP}:{int(self.start_program('flamingofront.tests.endless_relay', store))}"
        return self.relay

    def play_endless(self, prefix: str, form: str, seconds: float) -> None:
        """Let the platform answer calls of a path without end for some seconds."""
        self._call_relay(prefix=prefix, form=form)
        latest = time.monotonic() + FIRST_CALL_SECONDS
        while not self._call_relay():
            assert time.monotonic() < latest, "no call was answered without end"
            time.sleep(0.1)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.measure()
            time.sleep(0.1)
        self._call_relay(prefix="", form="")

    def _call_relay(self, **query: str) -> int:
        """Set which calls are answered without end; return how many were until now."""
        status, body = fetch(self.relay, "GET", f"{SWITCH_PATH}?{urlencode(query)}")
        assert status == 200
        return int(body)


@pytest.mark.alone
class TestPlatform:
    @pytest.mark.parametrize(
        ("path", "form"),
        [
            ("/api/", "chunks"),
            ("/api/rows-tx", "to-close"),
            ("/usage", "chunks"),
            ("/", "head"),
        ],
    )
    def test_process_stays_within_its_limits_and_serves(self, tmp_path, path, form):
        """What the platform sent was kept until its end."""
        with EndlessDeployment(tmp_path, LIMITS) as deployment:
            deployment.play_endless(path, form, PLAY_SECONDS)
            check_limits(deployment)


def ask(target: str, count: int = 1) -> Crowd:
    """Return callers that send requests, and read no answers."""

    def make_pieces(max_body):
        for _ in range(count):
            yield build_head(target, method="GET")

    return Crowd(make_pieces, reads=False)


@pytest.mark.alone
class TestEndpoints:
    @pytest.mark.parametrize(
        "target",
        [
            "/lookup/endless-length/1",
            "/stream/endless-events/1",
            "/stream/endless-one-event/1",
            "/stream/endless-head/1",
        ],
    )
    def test_callers_that_do_not_read_beside(self, tmp_path, target):
        """Several endpoints answer many callers at once."""
        with EndlessDeployment(tmp_path, ENDPOINT_LIMITS) as deployment:
            deployment.play(ask(target), ENDPOINT_CALLERS, ENDPOINT_SECONDS)
            check_limits(deployment)
