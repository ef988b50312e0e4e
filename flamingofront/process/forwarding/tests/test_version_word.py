"""Word of versions that are missing here."""

from flamingofront.process.forwarding.version_word import VersionTracker


class TestVersionWord:
    def test_only_the_first_word_of_a_missing_version_is_news(self):
        word = VersionTracker()
        assert word.told(5, "vm-1", known=4, now=1.0)
        assert not word.told(5, "vm-2", known=4, now=2.0)
        assert not word.told(3, "vm-2", known=4, now=2.0)
        assert (word.newest, word.teller) == (5, "vm-1")

    def test_it_is_missing_since_the_first_word_though_newer_ones_follow(self):
        word = VersionTracker()
        word.told(5, "vm-1", known=4, now=1.0)
        word.told(6, "vm-1", known=4, now=2.0)
        assert word.missing_for(4, now=3.5) == 2.5

    def test_it_is_missing_no_longer_once_it_is_here(self):
        word = VersionTracker()
        word.told(5, "vm-1", known=4, now=1.0)
        assert word.missing_for(5, now=2.0) is None
        word.told(5, "vm-1", known=5, now=2.0)
        word.told(6, "vm-1", known=5, now=7.0)
        assert word.missing_for(5, now=7.5) == 0.5
