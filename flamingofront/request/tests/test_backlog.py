"""Backlog of prompt tokens that a process reports."""

import random

from flamingofront.process.membership import FactTable
from flamingofront.request.directory import EndpointDirectory
from flamingofront.tests.forwarding_world import ready_world


class TestBacklog:
    def test_requests_without_prompt_leave_nothing_behind(self):
        """Guards against reports that name each endpoint that was ever used."""
        world = ready_world()
        callers = [world.ask("front-1", "/read/x", "GET") for _ in range(8)]
        world.finish(*callers)
        assert world.fronts["front-1"].build_report().backlog == {}

    def test_tokens_are_counted_until_they_are_removed(self):
        directory = EndpointDirectory(FactTable(), random.Random(1))
        directory.add_backlog("i-1", 0)
        directory.add_backlog("i-2", 7)
        assert directory.backlog_by_endpoint() == {"i-2": 7}
        directory.remove_backlog("i-2", 7)
        assert directory.backlog_by_endpoint() == {}
