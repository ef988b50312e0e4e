"""Evidence on the direct paths to endpoints."""

from flamingofront.decisions.direct_paths import DirectPaths, PathStatus


class TestDirectPaths:
    def check(self, connected=(), failed=(), now=10.0):
        paths = DirectPaths()
        paths.start_check(now)
        for each in connected:
            paths.record_connected(each, now + 0.01)
        for each in failed:
            paths.record_failure(each, now + 0.01)
        paths.conclude_check((*connected, *failed))
        return paths

    def test_one_endpoint_reached_shows_that_the_paths_work(self):
        assert self.check(["a"], ["b", "c", "d"]).status is PathStatus.WORKING

    def test_none_reached_shows_that_the_paths_are_lost(self):
        paths = self.check(failed=["a", "b"])
        assert paths.status is PathStatus.LOST
        assert paths.is_lost("a") and paths.is_lost("never seen")

    def test_earlier_connections_are_no_evidence(self):
        paths = DirectPaths()
        paths.record_connected("a", 9.9)
        paths.start_check(10.0)
        assert paths.is_lost("a")
        assert paths.conclude_check(("a",)) is PathStatus.LOST

    def test_restored_once_half_of_all_are_reached(self):
        paths = self.check(failed=["a", "b"])
        paths.record_connected("a", 11.0)
        assert not paths.restore_if_reached(["a", "b", "c"])
        assert not paths.is_lost("a") and paths.is_lost("b")
        paths.record_connected("b", 11.0)
        assert paths.restore_if_reached(["a", "b", "c"])
        assert not paths.is_lost("c")

    def test_no_endpoints_restore_nothing(self):
        assert not self.check(failed=["a"]).restore_if_reached([])

    def test_checks_are_apart(self):
        paths = self.check(["a"])
        assert not paths.can_start_check(10.4)
        assert paths.can_start_check(10.6)
