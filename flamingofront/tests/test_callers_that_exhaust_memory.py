"""Crowds of callers before one entry process with little memory and few descriptors."""

import pytest

from flamingofront.tests.memory_crowd import CROWDS, MB
from flamingofront.tests.memory_deployment import RESERVED_DESCRIPTORS, Deployment, Limits

LIMITS = Limits(memory_mb=120, descriptors=440, max_body=2 * MB)
CALLERS = 60
PLAY_SECONDS = 2.0
ALONE = (
    "whole",
    "pieces",
    "dripping",
    "chunks-64kb",
    "chunks-1",
    "endless-chunks",
    "over-announced",
    "over-expecting",
    "over-one-chunk",
    "chunk-extensions",
    "trailers",
    "unread-answers",
    "pipelined-1mb",
    "slow-endpoint",
    "come-and-go",
    "many-connections",
)
IN_TURN = (
    "whole",
    "chunks-1mb",
    "short-heads",
    "endless-chunks",
    "chunks-7",
    "pipelined-small",
    "slow-endpoint",
    "come-and-go",
)


def check_limits(deployment: Deployment) -> None:
    """Check that the process lives, has stayed within its limits, and still serves."""
    assert deployment.is_alive
    is_served = deployment.is_served()
    deployment.measure()
    assert deployment.is_alive
    assert is_served
    usage, limits = deployment.usage, deployment.limits
    assert usage.memory_mb < limits.memory_mb
    assert usage.descriptors < limits.descriptors
    assert usage.sockets <= limits.descriptors - RESERVED_DESCRIPTORS


@pytest.mark.alone
class TestCrowds:
    @pytest.mark.parametrize("name", ALONE)
    def test_process_stays_within_its_limits_and_serves(self, tmp_path, name):
        """What was bounded for one request was not for all of them together."""
        with Deployment(tmp_path, LIMITS) as deployment:
            deployment.play(CROWDS[name], CALLERS, PLAY_SECONDS)
            check_limits(deployment)

    def test_crowds_in_turn_leave_nothing_behind(self, tmp_path):
        """Memory of callers that had left was not free for those after them."""
        with Deployment(tmp_path, LIMITS) as deployment:
            for name in IN_TURN:
                deployment.play(CROWDS[name], CALLERS, PLAY_SECONDS)
            check_limits(deployment)
            assert deployment.is_served(bytes(LIMITS.max_body))


@pytest.fixture(scope="class")
def calm_deployment(tmp_path_factory):
    with Deployment(tmp_path_factory.mktemp("calm"), LIMITS) as deployment:
        yield deployment


@pytest.mark.alone
class TestSingleRequests:
    @pytest.mark.parametrize(
        ("size", "chunk"),
        [(2 * MB, None), (2 * MB, 2 * MB), (2 * MB, 64 * 1024), (20_000, 1)],
        ids=["length", "one-chunk", "chunks-64kb", "chunks-1"],
    )
    def test_request_inside_the_limits_is_served_in_calm(self, calm_deployment, size, chunk):
        assert calm_deployment.try_request(bytes(size), chunk)
        check_limits(calm_deployment)
