"""Mutations of paths to endpoints, and of checks whether an endpoint has crashed."""

from bench.mutation import Mutation

__all__ = ["PATH_MUTATIONS"]

SERVING = "tests/test_serving_without_paths.py"
ENDS = "request/tests/test_endpoint_ends.py"

PATH_MUTATIONS = (
    Mutation(
        "Paths: a peer that reaches an endpoint on an open connection says so",
        "request/endpoint_paths.py",
        "if is_reached or not self._transport.has_idle(address):",
        "if True:",
        f"{SERVING}::TestOpenConnections",
    ),
    Mutation(
        "Paths: no new connection is opened where only open ones work",
        "request/endpoint_paths.py",
        "if self.monitor.is_lost(endpoint_id) and self.has_open_connection(endpoint_id):",
        "if False:",
        f"{SERVING}::TestOpenConnections",
    ),
    Mutation(
        "Paths: silent open connections are closed",
        "request/endpoint_paths.py",
        "                self._transport.drop_idle(self._directory.address_of(endpoint_id))\n",
        "",
        f"{SERVING}::TestOpenConnections",
    ),
    Mutation(
        "Paths: the loss of the paths to one service is noticed",
        "request/path_monitor.py",
        "            self._check_service(failed, self._paths.since, self._needs_response)\n",
        "            pass\n",
        f"{SERVING}::TestServingWithoutPaths",
    ),
    Mutation(
        "Ends: an endpoint that accepts a probe is probed again",
        "request/endpoint_ends.py",
        "elif due := self._find_next_confirmation(check):",
        "elif due := None:",
        ENDS,
    ),
    Mutation(
        "Ends: each lost connection may be that of an endpoint that ends",
        "request/endpoint_ends.py",
        "            check.last_lost_at = self._timers.now()\n",
        "",
        ENDS,
    ),
)
