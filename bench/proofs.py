"""The figures of docs/PROOFS.md, from the tests' world in virtual time."""

from flamingofront.process.tests.test_configuration import ZONES as FOUR_ZONES
from flamingofront.process.tests.test_configuration import seconds_until_active
from flamingofront.process.tests.test_leaving import measure_last_request
from flamingofront.request.recovery import ResumeOnLoss
from flamingofront.request.tests.test_reclaims import (
    count_recomputed_tokens,
    reclaim,
    start_streams,
)
from flamingofront.standins.platform import FaultMode
from flamingofront.tests.world import demo_world

THREE_ZONES = ("zone-a", "zone-b", "zone-c")


def _leaving():
    """Seconds from the first sign to the last new request at a leaving endpoint."""
    world = demo_world(THREE_ZONES, list_lag=20.0)
    world.platform.reclaim("engine-a1", 60.0)
    yield "notice, list 20 s late", measure_last_request(world, "engine-a1", 15.0)
    world = demo_world(THREE_ZONES)
    world.platform.vms["engine-a1"]["state"] = "leaving"
    world.platform._update_list("engine-a1", 0.0)
    yield "sign in the VM list only", measure_last_request(world, "engine-a1", 15.0)
    world = demo_world(THREE_ZONES)
    world.start_operation(["drain endpoint engine-a1"], "entry-b1")
    yield "order to drain", measure_last_request(world, "engine-a1", 15.0)
    world = demo_world(THREE_ZONES, list_lag=20.0)
    world.cut("zone-c", "platform")
    world.cut("zone-c", "entry-a1")
    world.platform.reclaim("engine-a1", 60.0)
    yield "notice, a zone cut off from the platform", measure_last_request(world, "engine-a1", 15.0)


def _in_force():
    """Seconds from acceptance until all processes have a configuration."""
    for name, mode in (
        ("all well", FaultMode.UP),
        ("platform out right after", FaultMode.DOWN),
        ("platform silent right after", FaultMode.SILENT),
    ):
        world = demo_world(FOUR_ZONES, entries_per_zone=2)
        caller = world.start_operation(["change workspace desk weight=2"], "entry-a1")
        world.run_until(lambda caller=caller: caller.done)
        for service in ("table", "vms", "cloud"):
            world.platform.inject_fault(service, mode)
        yield name, seconds_until_active(world, caller.data["revision"])
    world = demo_world(FOUR_ZONES)
    world.isolate("zone-d")
    outcome = world.operate("change workspace desk weight=2", "entry-a1")
    world.run(15.0)
    world.heal()
    yield "zone cut off, after it is joined", seconds_until_active(world, outcome["revision"])


def _recomputed():
    """Tokens that engines prefilled again, 12 streams, all engines of a zone reclaimed."""
    for name, notice, policy in (
        ("transfer, 3 s notice", 3.0, None),
        ("recompute, 3 s notice", 3.0, ResumeOnLoss()),
        ("no notice", 0.0, None),
    ):
        world = demo_world(("zone-a", "zone-b"))
        for node in world.nodes.values():
            if policy is not None:
                node.migrations._policy = policy
        callers = start_streams(world, 12)
        reclaim(world, ["engine-a1", "engine-a2"], notice)
        world.finish(*callers)
        yield name, count_recomputed_tokens(world)


def main():
    """Print all figures."""
    for title, figures in (
        ("seconds until a leaving endpoint gets no new work", _leaving()),
        ("seconds until a configuration is in force everywhere", _in_force()),
        ("recomputed tokens, of 12 streams of 300 tokens after prompts of 100", _recomputed()),
    ):
        print(f"\n{title}")
        for name, value in figures:
            print(f"  {name:44}{value:9.3f}")


if __name__ == "__main__":
    main()
