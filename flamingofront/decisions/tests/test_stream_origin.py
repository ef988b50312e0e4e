"""Tests of the versions that endpoints have had, and of the rule for streams in progress."""

from flamingofront.decisions.stream_origin import SameVersion, VersionHistory
from flamingofront.process.membership import Fact, Role, VmState


def make_history(times: list[float]) -> VersionHistory:
    """Return a history whose time is the last one in a list."""
    return VersionHistory(lambda: times[-1])


def make_fact(name: str, version: str) -> Fact:
    return Fact(name, 0, VmState.LIVE, Role.ENDPOINT, "zone-a", "h:1", "engines", side=version)


class TestVersionHistory:
    def test_version_that_has_left_counts_for_a_while(self):
        # A stream of a version that has just left was taken for one of the only version.
        times = [0.0]
        history = make_history(times)
        history.record("e-1", "engines", "v1")
        history.record("e-2", "engines", "v2")
        history.record_removal("e-1")
        times.append(10.0)
        assert history.versions_since("engines", 10.0) == {"v1", "v2"}
        assert history.versions_since("engines", 9.9) == {"v2"}
        assert history.versions_since("records", 10.0) == frozenset()

    def test_history_covers_no_more_than_its_length(self):
        times = [5.0]
        history = make_history(times)
        assert not history.covers(1.0)
        history.record("e-1", "engines", "v1")
        times.append(15.0)
        assert history.covers(10.0) and not history.covers(10.1)

    def test_change_of_version_under_one_id(self):
        # What an endpoint wrote before its row changed may be of either version.
        times = [0.0]
        history = make_history(times)
        history.record("e-1", "engines", "v1")
        times.append(3.0)
        history.record("e-1", "engines", "v2")
        assert history.has_changed_since("e-1", 2.0)
        assert not history.has_changed_since("e-1", 3.1)
        assert not history.has_changed_since("e-2", 0.0)
        assert history.versions_since("engines", 1.0) == {"v1", "v2"}

    def test_row_that_returns_with_another_version(self):
        # The change was not seen, as the row had been removed between the two versions.
        times = [0.0]
        history = make_history(times)
        history.record("e-1", "engines", "v1")
        history.record_removal("e-1")
        times.append(3.0)
        history.record("e-1", "engines", "v2")
        assert history.has_changed_since("e-1", 2.0)
        history.record_removal("e-1")
        times.append(6.0)
        history.record("e-1", "engines", "v2")
        assert not history.has_changed_since("e-1", 4.0)

    def test_new_version_is_reported_once(self):
        history, reported = make_history([0.0]), []
        history.on_new_version = reported.append
        history.record("e-1", "engines", "v1")
        history.record("e-2", "engines", "v1")
        history.record("e-3", "engines", "v2")
        assert reported == ["engines", "engines"]


class TestSameVersion:
    def test_only_endpoints_of_the_version_are_selected(self):
        facts = {name: make_fact(name, version) for name, version in (("a", "v1"), ("b", "v2"))}
        assert list(SameVersion("v2").select(facts)) == ["b"]
        assert SameVersion(None).select(facts) == {}
