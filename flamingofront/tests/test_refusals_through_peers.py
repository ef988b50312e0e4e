"""Refusals through a peer, which sends attempts to endpoints and returns the responses."""

import pytest

from flamingofront.tests.network import PathFault
from flamingofront.tests.paths_world import FRONTS, cut_off, offer, offer_for, paths_world

ONCE = ("/stream/once/x", "/write/x")


def world_with_open_connections(**options):
    """Return a world in which one process depends on peers, which reach endpoints on idle ones."""
    world = paths_world(**options)
    offer(world, 1.0)
    cut_off(world, FRONTS[:1], PathFault.REFUSED)
    cut_off(world, FRONTS[1:], PathFault.NEW_REFUSED)
    offer_for(world, 2.0)
    world.run(4.0)
    return world


class TestResponsesWithoutAnId:
    """A response on a connection that was used before may be to an earlier request."""

    @pytest.mark.parametrize("path", ONCE)
    def test_refusal_of_an_earlier_request_is_not_passed_on(self, path):
        world = world_with_open_connections()
        refusal = (("X-Flamingofront-Not-Executed", "1"), ("Retry-After", "1"))
        reused = []

        def respond(req, exchange, fault):
            reused.append(exchange._link.reused)
            exchange.respond(503, refusal, b"")

        for each in world.endpoints.values():
            each._respond = respond
        callers = [world.ask("front-1", path) for _ in range(4)]
        world.finish(*callers)
        assert reused and all(reused)
        assert 503 not in [each.status for each in callers]

    def test_answer_to_an_earlier_request_is_not_passed_on(self):
        world = world_with_open_connections()
        for each in world.endpoints.values():
            each._respond = lambda req, exchange, fault: exchange.respond(200, (), b"another")
        callers = [world.ask("front-1", "/write/x") for _ in range(4)]
        world.finish(*callers)
        assert 200 not in [each.status for each in callers]


class TestHeadersOfPeers:
    """What a peer tells of an attempt is told from what the endpoint responds."""

    def test_endpoint_that_uses_a_header_of_peers_does_not_count_as_unreached(self):
        world = paths_world()
        cut_off(world, FRONTS[:1], PathFault.REFUSED)
        offer_for(world, 1.0)
        world.run(4.0)
        for each in world.endpoints.values():
            each._respond = lambda req, exchange, fault, each=each: exchange.respond(
                200, (*each._make_headers(req), ("Proxy-Failure", "reason=busy&wrote=0")), b"done"
            )
        callers = [world.ask("front-1", "/write/x", request_id=f"id-{n}") for n in range(4)]
        world.finish(*callers)
        assert [each.status for each in callers] == [200] * 4
        assert not any(name.startswith("proxy-") for each in callers for name in each.headers)
        assert len([each for each in world.list_runs() if each[0].startswith("id-")]) == 4

    @pytest.mark.parametrize("status", [408, 413, 431, 500, 503])
    @pytest.mark.parametrize("path", [*ONCE, "/read/x"])
    def test_error_of_the_peer_itself_is_not_passed_on(self, path, status):
        """A peer rejects what it cannot read or accept, before it has sent anything."""
        world = paths_world()
        cut_off(world, FRONTS[:1], PathFault.REFUSED)
        offer_for(world, 1.0)
        world.run(4.0)
        for name in FRONTS[1:]:
            world.host(name).handler = lambda req, exchange: exchange.respond(status, (), b"{}")
        caller = world.ask("front-1", path)
        world.finish(caller)
        assert caller.status in (502, 503, 504) and caller.error["kind"]
        assert caller.error["ran"] == "unknown" or path == "/read/x"


class TestRefusalsThatComeTwice:
    """A second copy of a response may come where the response to the next request is expected."""

    def refuse_twice(self, world):
        """Let endpoints reject a request, and repeat that on the connection if it comes again.

        Returns the requests that came again, which the endpoints run.
        """
        rejected, again = set(), []

        def respond_for(endpoint):
            def respond(req, exchange, fault):
                key = (endpoint.endpoint_id, req.header("x-flamingofront-request-id"))
                if key in rejected:
                    assert exchange._link.reused
                    again.append(key)
                else:
                    rejected.add(key)
                    endpoint.runs.remove(req)
                    endpoint.rejected.append(req)
                fields = (*endpoint._make_headers(req), ("X-Flamingofront-Not-Executed", "1"))
                exchange.respond(503, fields, b"")

            return respond

        for each in world.endpoints.values():
            each._respond = respond_for(each)
        return again

    @pytest.mark.parametrize("path", ONCE)
    def test_copy_of_a_refusal_does_not_refuse_the_next_attempt(self, path):
        """The peer keeps the connection of an attempt that was rejected, and uses it again."""
        # With one endpoint of a service, each second attempt goes to it again.
        world = world_with_open_connections(engines=1, plains=1)
        again = self.refuse_twice(world)
        callers = [world.ask("front-1", path) for _ in range(4)]
        world.finish(*callers)
        assert again
        assert [each.error["ran"] for each in callers].count("unknown") == len(again)
