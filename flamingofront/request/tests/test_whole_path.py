"""A request from end to end through real decisions and fake sockets."""

import pytest

from flamingofront.standins.engine import compute_token
from flamingofront.tests.world import demo_world


def expected_text(prompt_tokens, count):
    return "".join(compute_token(prompt_tokens, index) for index in range(count))


PROMPT = ["a", " b", " c"]


class TestCompletion:
    def test_stream_gives_the_whole_text(self):
        world = demo_world()
        caller = world.complete("entry-a1", tokens=20)
        world.finish(caller)
        assert caller.status == 200
        assert caller.text == expected_text(PROMPT, 20)
        assert caller.body.endswith(b"data: [DONE]\n\n")

    def test_whole_answer_gives_the_same_text(self):
        world = demo_world()
        caller = world.complete("entry-a1", tokens=20, stream=False)
        world.finish(caller)
        assert caller.text == expected_text(PROMPT, 20)
        assert caller.data["usage"]["completion_tokens"] == 20

    @pytest.mark.parametrize("tokens", [1, 2, 30])
    def test_a_completed_attempt_is_not_counted_as_lost(self, tokens):
        """The end of a response that arrives with its last frame is not a loss."""
        world = demo_world()
        caller = world.complete("entry-a1", tokens=tokens)
        world.finish(caller)
        world.run(5.0)
        node = world.nodes["entry-a1"]
        assert [each for each in node.metrics.rows() if each["counter"] == "retries_total"] == []
        assert node.directory.in_flight_at("engine-a1") == 0
        assert node.directory.in_flight_at("engine-a2") == 0

    def test_caller_that_leaves_has_its_stream_cancelled(self):
        world = demo_world(entry_settings={"reattach_grace": 1.0})
        caller = world.complete("entry-a1", tokens=10000)
        world.run_until(lambda: caller.body)
        caller.leave()
        world.run(2.0)
        assert not world.nodes["entry-a1"].hub.active
        assert all(not each._running for each in world.engines.values())


class TestPlainCall:
    def test_method_path_query_and_body_are_passed_through(self):
        world = demo_world()
        caller = world.call("entry-a1", "PUT", "/services/records/a/b", b"text", query={"q": "1"})
        world.finish(caller)
        assert caller.status == 200
        seen = {name: caller.data[name] for name in ("method", "path", "query", "body")}
        assert seen == {"method": "PUT", "path": "/a/b", "query": {"q": "1"}, "body": "text"}


class TestAsynchronous:
    def test_answer_can_be_fetched_at_any_entry_vm(self):
        world = demo_world(("zone-a", "zone-b"))
        caller = world.complete("entry-a1", stream=False, headers={"prefer": "respond-async"})
        world.finish(caller)
        assert caller.status == 202
        world.run(5.0)
        for name in world.nodes:
            later = world.call(name, "GET", caller.headers["location"])
            world.finish(later)
            assert later.text == expected_text(PROMPT, 20)

    def test_other_workspace_cannot_fetch_it(self):
        world = demo_world()
        caller = world.complete("entry-a1", stream=False, headers={"prefer": "respond-async"})
        world.run(5.0)
        headers = {"x-workspace": "other"}
        later = world.call("entry-a1", "GET", caller.headers["location"], headers=headers)
        world.finish(later)
        assert later.status == 404


class TestReattachment:
    @pytest.mark.parametrize("where", ["entry-a1", "entry-b1"])
    def test_rest_of_the_text_is_given_from_the_offset(self, where):
        world = demo_world(("zone-a", "zone-b"))
        caller = world.complete("entry-a1", tokens=200)
        world.run_until(lambda: len(caller.body) > 2000)
        caller.leave()
        last = caller.last_event_id
        request_id, _, offset = last.rpartition(":")
        again = world.call(
            where, "GET", f"/v1/requests/{request_id}", headers={"last-event-id": last}
        )
        world.finish(again)
        assert caller.text + again.text == expected_text(PROMPT, 200)

    def test_offset_beyond_the_text_is_an_error(self):
        world = demo_world()
        caller = world.complete("entry-a1", tokens=200)
        world.run_until(lambda: caller.body)
        request_id = caller.headers["x-request-id"]
        again = world.call("entry-a1", "GET", f"/v1/requests/{request_id}", query={"offset": "999"})
        assert again.status == 404

    def test_unknown_request_is_told_as_unknown(self):
        world = demo_world(("zone-a", "zone-b"))
        caller = world.call("entry-a1", "GET", "/v1/requests/entry-b1~0000")
        world.finish(caller)
        assert caller.error["kind"] == "unknown_request"
        assert caller.error["ran"] == "unknown"
