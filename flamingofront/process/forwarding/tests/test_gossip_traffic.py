"""Log lines on the bytes between entry processes."""

import pytest

from flamingofront.process.forwarding.gossip_traffic import MIN_LOGGED_BYTES, GossipTraffic


class _Log:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))


class TestGossipTraffic:
    @pytest.mark.parametrize("way", ["sent", "received"])
    def test_period_with_many_bytes_is_logged_by_kind(self, way):
        log = _Log()
        traffic = GossipTraffic(log)
        traffic.record(way, "report", MIN_LOGGED_BYTES - 100)
        traffic.record(way, "note", 100)
        traffic.end_period(queued=3)
        traffic.end_period(queued=0)
        ((event, fields),) = log.lines
        assert event == "gossip traffic"
        assert fields[way] == MIN_LOGGED_BYTES
        assert fields["bytes"] == {f"{way} report": MIN_LOGGED_BYTES - 100, f"{way} note": 100}
        assert fields["datagrams"] == {f"{way} report": 1, f"{way} note": 1}
        assert (fields["largest"], fields["queued"]) == (MIN_LOGGED_BYTES - 100, 3)

    def test_period_with_few_bytes_is_not_logged(self):
        log = _Log()
        traffic = GossipTraffic(log)
        traffic.record("sent", "report", MIN_LOGGED_BYTES - 1)
        traffic.record("received", "report", MIN_LOGGED_BYTES - 1)
        traffic.end_period(queued=0)
        assert not log.lines
