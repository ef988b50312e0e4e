"""Word of versions that are missing here."""

from flamingofront.process.forwarding.version_word import VersionTracker


class TestVersionWord:
    def test_only_the_first_word_of_a_missing_version_is_news(self):
        word = VersionTracker()
        assert word.record_report(5, "vm-1", local_version=4, now=1.0)
        assert not word.record_report(5, "vm-2", local_version=4, now=2.0)
        assert not word.record_report(3, "vm-2", local_version=4, now=2.0)
        assert (word.newest, word.sender) == (5, "vm-1")

    def test_it_is_missing_since_the_first_word_though_newer_ones_follow(self):
        word = VersionTracker()
        word.record_report(5, "vm-1", local_version=4, now=1.0)
        word.record_report(6, "vm-1", local_version=4, now=2.0)
        assert word.missing_seconds(4, now=3.5) == 2.5

    def test_it_is_missing_no_longer_once_it_is_here(self):
        word = VersionTracker()
        word.record_report(5, "vm-1", local_version=4, now=1.0)
        assert word.missing_seconds(5, now=2.0) is None
        word.record_report(5, "vm-1", local_version=5, now=2.0)
        word.record_report(6, "vm-1", local_version=5, now=7.0)
        assert word.missing_seconds(5, now=7.5) == 0.5
