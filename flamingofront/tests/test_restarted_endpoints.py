"""Attempts at endpoints whose rows tell another start time, in the simulated network."""

from flamingofront.tests.forwarding_world import ready_world

GAP_SECONDS = 0.1


def streaming_world():
    """Return a world with one endpoint that streams, whose row tells its start time."""
    world = ready_world(engines=1, plains=0)
    start_ms = int((world.clock.now() - 2.0) * 1000)
    world.register("engine-1", "engines", sequence=2, born=start_ms)
    world.run(1.0)
    world.endpoints["engine-1"].gap, world.endpoints["engine-1"].events = GAP_SECONDS, 12
    return world


def write_start_time(world, seconds_from_now):
    start_ms = int((world.clock.now() + seconds_from_now) * 1000)
    world.register("engine-1", "engines", sequence=1, born=start_ms)


class TestStartTimesThatChange:
    """Attempts at the present start of an endpoint were failed as those of an earlier one."""

    def test_stream_that_goes_on_is_not_given_up(self):
        # The start time is corrected, and the endpoint sends events all along.
        world = streaming_world()
        caller = world.ask("front-1", "/stream/once/x")
        world.run(0.5)
        write_start_time(world, 0.0)
        world.finish(caller)
        assert caller.status == 200 and not caller.broken
        assert len(world.list_runs()) == 1

    def test_attempt_after_the_row_is_not_one_before_the_start(self):
        # The clock of the endpoint is ahead, so that its start seems to be in the future.
        world = streaming_world()
        front = world.fronts["front-1"]
        lines = []
        front.log.info = lambda event, **fields: lines.append(event)
        write_start_time(world, 1.5)
        world.run_until(lambda: "endpoint restarted" in lines)
        caller = world.ask("front-1", "/stream/once/x")
        world.finish(caller)
        assert caller.status == 200 and not caller.broken
        assert len(world.list_runs()) == 1

    def test_attempt_without_data_since_the_restart_is_given_up(self):
        # Its connection would be reset after two seconds only, if its VM is gone.
        world = streaming_world()
        world.endpoints["engine-1"].gap = 30.0
        caller = world.ask("front-1", "/stream/again/x")
        world.run(0.5)
        world.endpoints["engine-1"].gap = GAP_SECONDS
        write_start_time(world, 0.0)
        world.finish(caller)
        assert caller.status == 200 and len(world.list_runs()) == 2
