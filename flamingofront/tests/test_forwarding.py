"""Forwarded requests through a whole entry process, against stand-ins of the users' platform."""

import pytest

from flamingofront.platform.endpoints import ENDPOINT_TABLE
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import configuration, ready_world
from flamingofront.tests.network import LATENCY

FORGED = {
    "X_Flamingofront_Tenant": "another",
    "X_Flamingofront_Expect_Instance": "another",
    "X_Flamingofront_Hold": "h",
    "X_Flamingofront_Pin_Ms": "9",
    "X_Flamingofront_Kv_Backup": "127.0.0.1:1",
    "X_Flamingofront_Request_Urgency": "0",
    "Kv_From": "127.0.0.1:1/x",
    "Kv_Fetch": "127.0.0.1:1",
    "Connection": "close, X-Of-This-Hop",
    "X_Of_This_Hop": "1",
}


def runs(world):
    return [req for each in world.endpoints.values() for req in each.runs]


class TestForwarding:
    def test_request_passes_unchanged_but_for_what_the_system_sets(self):
        world = ready_world()
        caller = world.ask("front-1", "/write/a%2fb?x=1&y=%20", X_Own="kept", **FORGED)
        world.finish(caller)
        (req,) = runs(world)
        assert (req.method, req.target, req.body) == ("POST", "/write/a%2fb?x=1&y=%20", b"body")
        assert req.header("host") == "desk.example"
        assert req.header("x-own") == "kept"
        assert req.header("x-flamingofront-tenant") == "desk"
        assert req.header("x-flamingofront-expect-instance").startswith("plain-")
        for name in ("authorization", "x-of-this-hop", "kv-from", "kv-fetch"):
            assert name not in req.headers
        for name in ("hold", "pin-ms", "kv-backup", "request-urgency"):
            assert f"x-flamingofront-{name}" not in req.headers

    def test_answer_passes_with_status_seal_and_body(self):
        world = ready_world(plains=1)
        caller = world.ask("front-1", "/read/x", "GET")
        world.finish(caller)
        assert (caller.status, caller.body) == (200, b"from plain-1")
        assert caller.headers["x-flamingofront-response-seal"] == "plain-1"

    def test_endpoint_is_told_the_smaller_of_deadline_and_route_timeout(self):
        world = ready_world()
        world.configure_routes(
            version=2, routes=[{**configuration()["routes"][0], "timeout_ms": 700}]
        )
        world.run(1.0)
        world.finish(world.ask("front-1", "/read/x", "GET"))
        (req,) = runs(world)
        assert 600 < int(req.header("x-flamingofront-deadline-ms")) <= 700

    @pytest.mark.parametrize("key, status", [("key-2", 200), ("wrong", 401), (None, 401)])
    def test_key_decides(self, key, status):
        world = ready_world()
        caller = world.ask("front-1", "/read/x", key=key)
        world.finish(caller)
        assert caller.status == status
        assert len(runs(world)) == (status == 200)

    def test_open_route_needs_no_key(self):
        world = ready_world()
        caller = world.ask("front-1", "/open/x", key=None)
        world.finish(caller)
        assert caller.status == 200

    def test_longest_prefix_decides_and_an_unknown_path_is_not_found(self):
        world = ready_world()
        routes = configuration()["routes"]
        deep = {**routes[0], "name": "deep", "prefix": "/read/deep/", "service": "engines"}
        world.configure_routes(version=2, routes=[*routes, deep])
        world.run(1.0)
        world.finish(world.ask("front-1", "/read/deep/x"))
        assert any(each.runs for name, each in world.endpoints.items() if "engine" in name)
        assert world.refusal("front-1", "/elsewhere/x", version=2) == 404
        assert world.refusal("front-1", "/read", version=2) == 404

    def test_process_without_configuration_promises_to_be_back(self):
        world = ready_world()
        world.store.fault = StoreFault.SILENT
        world.front("front-2")
        caller = world.ask("front-2", "/read/x")
        assert caller.status == 503 and "retry-after" in caller.headers
        assert not world.fronts["front-2"].ready

    def test_requests_with_one_id_are_answered_apart(self):
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.CUT, 1)
        same = {"X_Flamingofront_Request_Id": "r-same"}
        callers = [world.ask("front-1", "/stream/again/x", **same) for _ in range(3)]
        world.finish(*callers)
        assert [each.body.count(b"id:") for each in callers] == [4] * 3
        assert {each.header("x-flamingofront-request-id") for each in runs(world)} == {"r-same"}
        hub = world.fronts["front-1"].hub
        assert not hub.active and not hub.in_flight_by_workspace()


class TestAtMostOnce:
    @pytest.mark.parametrize("fault", [ForwardFault.LOSE_ANSWER, ForwardFault.CROSSED])
    def test_doubtful_call_is_not_sent_again_and_promises_nothing(self, fault):
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(fault)
        caller = world.ask("front-1", "/write/x")
        world.finish(caller)
        assert caller.status == 502
        assert len(runs(world)) == 1

    def test_rejected_call_is_offered_to_another_endpoint(self):
        world = ready_world()
        world.endpoints["plain-1"].inject_fault(ForwardFault.REFUSE)
        callers = [world.ask("front-1", "/write/x") for _ in range(8)]
        world.finish(*callers)
        assert {each.status for each in callers} == {200}
        assert not world.endpoints["plain-1"].runs

    def test_call_that_all_reject_is_promised_not_to_have_run(self):
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.REFUSE)
        caller = world.ask("front-1", "/write/x")
        world.finish(caller)
        assert caller.status == 503 and "retry-after" in caller.headers
        assert not runs(world)

    def test_endpoints_own_error_passes_with_its_status(self):
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.ERROR)
        caller = world.ask("front-1", "/write/x")
        world.finish(caller)
        assert (caller.status, caller.body) == (500, b"failed")
        assert "x-flamingofront-response-seal" in caller.headers
        assert len(runs(world)) == 1


class TestRepeating:
    def test_idempotent_request_is_tried_elsewhere_after_an_error(self):
        world = ready_world()
        world.endpoints["plain-1"].inject_fault(ForwardFault.ERROR)
        callers = [world.ask("front-1", "/read/x", "GET") for _ in range(6)]
        world.finish(*callers)
        assert {each.status for each in callers} == {200}

    def test_no_more_endpoints_than_the_route_allows(self):
        world = ready_world(plains=4)
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.ERROR)
        caller = world.ask("front-1", "/read/x", "GET")
        world.finish(caller)
        assert caller.status == 500
        assert len(runs(world)) == 2

    def test_budget_bounds_further_attempts(self):
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.ERROR)
        callers = []
        for _ in range(200):
            callers.append(world.ask("front-1", "/read/x", "GET"))
            world.run(0.02)
        world.finish(*callers)
        assert len(runs(world)) <= 200 * 1.2 + 40


class TestDeadlines:
    def test_silent_endpoint_ends_as_timeout_at_the_deadline(self):
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.HANG)
        caller = world.ask("front-1", "/write/x", X_Flamingofront_Deadline_Ms="900")
        took = world.run_until(lambda: caller.done)
        assert caller.status == 504
        assert 0.85 < took < 1.0

    def test_endpoint_is_freed_when_the_caller_leaves(self):
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.HANG)
        caller = world.ask("front-1", "/read/x")
        world.run(0.2)
        caller.leave()
        world.run(3 * LATENCY)
        assert sum(each.abandoned for each in world.endpoints.values()) == 1


class TestStreams:
    def test_events_pass_in_order(self):
        world = ready_world()
        caller = world.ask("front-1", "/stream/once/x")
        world.finish(caller)
        assert caller.status == 200 and not caller.broken
        assert [b"id: %d\n" % n in caller.body for n in range(1, 5)] == [True] * 4

    def test_resumable_stream_goes_on_elsewhere_behind_the_last_whole_event(self):
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.CUT, 1)
        world.endpoints["engine-2"].inject_fault(ForwardFault.NONE)
        callers = [world.ask("front-1", "/stream/again/x") for _ in range(4)]
        world.finish(*callers)
        for caller in callers:
            ids = [line for line in caller.body.split(b"\n") if line.startswith(b"id:")]
            assert ids == [b"id: %d" % n for n in range(1, 5)]
            assert not caller.broken and caller.answers == 1

    @pytest.mark.parametrize(
        "then", [ForwardFault.ERROR, ForwardFault.REFUSE, ForwardFault.CROSSED]
    )
    def test_stream_that_cannot_go_on_never_looks_complete(self, then):
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.CUT, 1)
        caller = world.ask("front-1", "/stream/again/x")
        world.run_until(lambda: b"id: 1" in caller.body)
        for each in world.endpoints.values():
            each.inject_fault(then)
        world.finish(caller)
        assert caller.broken and caller.status == 200

    def test_stream_that_goes_on_as_another_answer_never_looks_complete(self):
        world = ready_world()
        caller = world.ask("front-1", "/stream/again/x")
        world.run_until(lambda: b"id: 1" in caller.body)
        for each in world.endpoints.values():
            each.disable_streaming = True
        world.kill(world.fronts["front-1"].hub.active.popitem()[1].endpoint_id)
        world.finish(caller)
        assert caller.broken and b"from" not in caller.body

    def test_other_stream_is_visibly_broken(self):
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.CUT)
        caller = world.ask("front-1", "/stream/once/x")
        world.finish(caller)
        assert caller.broken
        assert len(runs(world)) == 1


class TestEndpoints:
    def test_leaving_endpoint_gets_no_new_request(self):
        world = ready_world()
        world.register("plain-1", "records", state="draining", sequence=2)
        world.run(0.1)
        world.finish(*[world.ask("front-1", "/read/x") for _ in range(6)])
        assert not world.endpoints["plain-1"].runs

    def test_old_row_does_not_revive_a_leaving_endpoint(self):
        world = ready_world()
        world.register("plain-1", "records", state="draining", sequence=5)
        world.register("plain-1", "records", state="ready", sequence=4)
        world.run(0.1)
        world.finish(*[world.ask("front-1", "/read/x") for _ in range(6)])
        assert not world.endpoints["plain-1"].runs

    def test_vanished_row_means_leaving_and_a_newer_row_revives(self):
        world = ready_world()
        world.store.drop(ENDPOINT_TABLE, "plain-1")
        world.run(0.1)
        world.finish(*[world.ask("front-1", "/read/x") for _ in range(6)])
        assert not world.endpoints["plain-1"].runs
        world.register("plain-1", "records", sequence=9)
        world.run(0.1)
        world.finish(*[world.ask("front-1", "/read/x") for _ in range(8)])
        assert world.endpoints["plain-1"].runs

    def test_rows_that_lapsed_in_an_outage_have_time_to_come_back(self):
        world = ready_world(plains=1)
        world.store.fault = StoreFault.BUSY
        world.run(5.0)
        world.store.drop(ENDPOINT_TABLE, "plain-1")
        world.store.fault = StoreFault.NONE
        world.run(1.5)
        caller = world.ask("front-1", "/read/x")
        world.finish(caller)
        assert caller.status == 200
        world.run(2.5)
        assert world.ask("front-1", "/read/x").status == 503

    def test_zone_that_seems_cut_off_is_not_tried_endpoint_by_endpoint(self):
        world = ready_world(plains=0)
        for number in range(6):
            world.endpoint(f"far-{number}", "records", "zone-far")
        # So slow that the others are wanted too.
        world.endpoint("near", "records", "zone-a", gap=0.1)
        world.run(0.5)
        for number in range(6):
            world.kill(f"far-{number}", dark=True)
        callers = []
        for _ in range(40):
            callers.append(world.ask("front-1", "/read/x", "GET"))
            world.run(0.02)
        world.finish(*callers)
        assert {each.status for each in callers} == {200}
        directory = world.fronts["front-1"].directory
        assert sum(directory._connect_failures.values()) <= 3

    def test_idle_connections_are_shared_among_the_processes(self):
        alone, many = ready_world(), ready_world(fronts=10)
        address = [world.host("plain-1").address for world in (alone, many)]
        assert alone.fronts["front-1"].max_idle(address[0]) == 16
        assert many.fronts["front-1"].max_idle(address[1]) == 5
        assert many.fronts["front-1"].max_idle("127.0.0.1:1") == 16

    def test_address_that_another_endpoint_took_over_is_left_out(self):
        world = ready_world()
        world.endpoints["plain-1"].endpoint_id = "another"
        callers = [world.ask("front-1", "/write/x") for _ in range(6)]
        world.finish(*callers)
        assert {each.status for each in callers} == {200}
        assert not world.endpoints["plain-1"].runs


class TestConfiguration:
    def test_new_version_is_in_force_at_once(self):
        world = ready_world()
        world.configure_routes(version=2, routes=configuration()["routes"][1:])
        world.run(0.1)
        assert world.refusal("front-1", "/read/x", version=2) == 404

    def test_versions_never_go_back(self):
        world = ready_world()
        world.configure_routes(version=7)
        world.run(0.1)
        world.configure_routes(version=3, routes=[])
        world.run(0.1)
        caller = world.ask("front-1", "/read/x")
        world.finish(caller)
        assert caller.status == 200

    @pytest.mark.logs_error("configuration rejected")
    def test_malformed_document_changes_nothing(self):
        world = ready_world()
        world.store.put("op", "config", {"version": 9, "routes": [{"name": "r"}]})
        world.run(0.1)
        caller = world.ask("front-1", "/read/x")
        world.finish(caller)
        assert caller.status == 200
        value = world.fronts["front-1"].metrics.value
        assert value("platform_errors_total", operation="configuration") == 1

    @pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.SILENT, StoreFault.RESET])
    def test_change_after_an_outage_is_in_force_within_two_seconds(self, fault):
        world = ready_world()
        world.store.fault = fault
        world.run(5.0)
        world.store.fault = StoreFault.NONE
        world.configure_routes(version=2, routes=[])
        world.run(2.0)
        assert world.refusal("front-1", "/read/x", version=2) == 404

    @pytest.mark.parametrize("seconds", [5.0, 6.0, 7.0, 8.0, 9.0, 10.0])
    def test_return_of_a_silent_store_is_noticed_whenever_it_comes(self, seconds):
        world = ready_world()
        world.store.fault = StoreFault.SILENT
        world.run(seconds)
        world.store.fault = StoreFault.NONE
        world.configure_routes(version=2, routes=[])
        world.run(2.0)
        assert world.refusal("front-1", "/read/x", version=2) == 404

    def test_lost_history_is_read_again(self):
        world = ready_world()
        world.store.fault = StoreFault.BUSY
        world.run(4.0)
        world.configure_routes(version=2, routes=[])
        world.store.discard_history()
        world.store.fault = StoreFault.NONE
        world.run(2.0)
        assert world.refusal("front-1", "/read/x", version=2) == 404

    def test_process_that_the_store_turns_away_learns_from_its_peers(self):
        world = ready_world(fronts=3)
        world.cut("front-3", "store")
        world.run(6.0)
        world.configure_routes(version=2, routes=configuration()["routes"][:1])
        world.register("plain-1", "records", state="draining", sequence=2)
        world.run(3.0)
        # 503 while it cannot tell whether there is a newer one: a 404 would have to be true.
        assert world.refusal("front-3", "/write/x", version=2) in (404, 503)
        world.finish(*[world.ask("front-3", "/read/x") for _ in range(6)])
        assert not world.endpoints["plain-1"].runs
