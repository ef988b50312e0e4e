"""Streams while endpoints of several software versions serve one service, in the simulated network."""

import logbook

from flamingofront.tests.versions_world import versions_world


class TestLog:
    def test_line_of_an_attempt_names_version_origin_and_last_event(self):
        # Nothing told which version began a stream, that its caller resumed it, and where it went on.
        world = versions_world(fronts=1)
        with logbook.TestHandler(level="INFO", bubble=True).applicationbound() as log:
            caller = world.ask(
                "front-1", "/stream/again/1", Resumes="r-first", Last_Event_Id="2", key="key-1"
            )
            world.finish(caller)
        line = next(each for each in log.records if each.message == "attempt started")
        assert line.kwargs["origin"] == "r-first" and line.kwargs["last_event"] == "2"
        assert line.kwargs["version"] == world.versions[line.kwargs["endpoint"]]
