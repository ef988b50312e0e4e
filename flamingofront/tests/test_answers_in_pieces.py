"""Large answers that arrive in pieces while new connections fail, in the simulated network."""

import pytest

from flamingofront.standins.forward_endpoint import ForwardEndpointStandIn
from flamingofront.tests.network import PathFault
from flamingofront.tests.paths_world import cut_off, paths_world, runs_of

PIECE = b"x" * 1000
PIECES = 15
PERIOD_SECONDS = 0.1


class PiecewiseEndpoint(ForwardEndpointStandIn):
    """Endpoint that sends the answers of calls in pieces."""

    def _respond(self, req, exchange, fault) -> None:
        if req.path.startswith("/stream/"):
            super()._respond(req, exchange, fault)
            return
        length = ("Content-Length", str(PIECES * len(PIECE)))
        exchange.begin(200, (*self._make_headers(req), length))
        self._send_pieces(exchange, PIECES)

    def _send_pieces(self, exchange, count: int) -> None:
        if not count:
            exchange.finish()
        elif exchange.send(PIECE):
            self._timers.once(PERIOD_SECONDS, lambda: self._send_pieces(exchange, count - 1))


class TestAnswersInPieces:
    """Attempts whose answers were arriving were given up as silent: only events counted as data."""

    @pytest.mark.parametrize("fault", [PathFault.NEW_REFUSED, PathFault.NEW_SILENT])
    def test_call_is_not_given_up_while_its_answer_arrives(self, fault):
        world = paths_world()
        for name, endpoint in world.endpoints.items():
            endpoint.__class__ = PiecewiseEndpoint
            world.host(name).handler = endpoint.handle
        callers = [world.ask("front-1", "/read/1") for _ in range(8)]
        world.run(0.2)
        cut_off(world, ("front-1",), fault)
        # A request on a new connection makes the process check its paths.
        others = [world.ask("front-1", "/write/1") for _ in range(12)]
        world.finish(*callers, *others)
        front = world.fronts["front-1"]
        assert front.metrics.value("path_checks_total", outcome="lost") > 0
        assert len(runs_of(world, "/read/")) == len(callers)
        assert [len(each.body) for each in callers] == [PIECES * len(PIECE)] * 8
