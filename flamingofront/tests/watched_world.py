"""Entry processes in the simulated network, and endpoints that say what they want."""

from dataclasses import dataclass

from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ForwardingWorld

__all__ = ["ZONES", "Arrival", "WatchedWorld"]

ZONES = ("zone-a", "zone-b", "zone-c")


@dataclass(frozen=True)
class Arrival:
    """A request that reached an endpoint."""

    at: float
    front: str
    rejected: bool


class WatchedWorld(ForwardingWorld):
    """World that notes what reaches endpoints, and from which process.

    Attributes
    ----------
    arrivals : dict
        Arrivals by endpoint, in their order.
    """

    def __init__(self, fronts=3, plains=3, seed=1):
        super().__init__(seed)
        self.configure_routes()
        self.arrivals = {}
        # Part of the requests that an endpoint refuses with the wish for a pause.
        self._rejected = {}
        for number in range(plains):
            self.watched_endpoint(f"plain-{number}", "records", ZONES[number % 3])
        for number in range(2):
            self.watched_endpoint(f"engine-{number}", "engines", ZONES[number])
        for number in range(fronts):
            self.front(f"front-{number}", ZONES[number % 3])
        self.run_until(lambda: all(each.ready for each in self.fronts.values()))
        self.run(3.0)

    def watched_endpoint(self, name, service, zone):
        """Start an endpoint whose arrivals are noted."""
        endpoint = self.endpoint(name, service, zone)
        arrivals = self.arrivals[name] = []

        def handle(req, exchange):
            rejected = self.rng.random() < self._rejected.get(name, 0.0)
            arrivals.append(Arrival(self.clock.now(), exchange.source, rejected))
            if rejected:
                endpoint.inject_fault(ForwardFault.REJECT, 1)
            endpoint.handle(req, exchange)

        self.host(name).handler = handle

    def reject(self, name, share, seconds="3"):
        """Let an endpoint refuse a part of its requests and name a time each time."""
        self._rejected[name] = share
        self.endpoints[name].retry_after = seconds

    def offer(self, rate, seconds, path="/read/x"):
        """Send requests at random times to random processes; return their callers."""
        callers = []
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.run(self.rng.expovariate(rate))
            callers.append(self.ask(self.rng.choice(sorted(self.fronts)), path, "GET"))
        return callers
