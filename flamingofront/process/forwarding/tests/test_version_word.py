"""Tracking of versions that peers reported and this process lacks."""

from flamingofront.process.forwarding.version_word import VersionTracker


class TestVersionTracker:
    def test_only_first_report_of_missing_version_is_new(self):
        tracker = VersionTracker()
        assert tracker.record_report(5, "vm-1", local_version=4, now=1.0)
        assert not tracker.record_report(5, "vm-2", local_version=4, now=2.0)
        assert not tracker.record_report(3, "vm-2", local_version=4, now=2.0)
        assert (tracker.newest, tracker.sender) == (5, "vm-1")

    def test_missing_since_first_report_despite_newer_versions(self):
        tracker = VersionTracker()
        tracker.record_report(5, "vm-1", local_version=4, now=1.0)
        tracker.record_report(6, "vm-1", local_version=4, now=2.0)
        assert tracker.missing_seconds(4, now=3.5) == 2.5

    def test_not_missing_once_local_version_catches_up(self):
        tracker = VersionTracker()
        tracker.record_report(5, "vm-1", local_version=4, now=1.0)
        assert tracker.missing_seconds(5, now=2.0) is None
        tracker.record_report(5, "vm-1", local_version=5, now=2.0)
        tracker.record_report(6, "vm-1", local_version=5, now=7.0)
        assert tracker.missing_seconds(5, now=7.5) == 0.5
