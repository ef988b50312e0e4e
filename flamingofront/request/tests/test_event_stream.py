"""Tests of the relay of server-sent events."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.request.event_stream import EventRelay

EVENTS = [b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 6)]


class TestEventRelay:
    @given(st.lists(st.integers(0, 80), max_size=8))
    def test_chunking_does_not_change_events(self, cuts):
        data, relay = b"".join(EVENTS), EventRelay()
        cut_points = sorted({0, len(data), *(min(each, len(data)) for each in cuts)})
        parts = [data[a:b] for a, b in zip(cut_points, cut_points[1:], strict=False)]
        events = [relay.feed(part) for part in parts]
        assert b"".join(events) == data
        assert all(each == b"" or each.endswith(b"\n\n") for each in events)
        assert (relay.last_id, relay.count, relay.has_partial_event) == ("5", 5, False)

    @given(st.lists(st.integers(0, 80), max_size=8), st.sampled_from([b"\r\n", b"\n"]))
    def test_event_ends_at_its_first_empty_line(self, cuts, line_end):
        events = [each.replace(b"\n", line_end) for each in EVENTS]
        data, relay = b"".join(events), EventRelay()
        cut_points = sorted({0, len(data), *(min(each, len(data)) for each in cuts)})
        received = 0
        for start, end in zip(cut_points, cut_points[1:], strict=False):
            received += len(relay.feed(data[start:end]))
            ends = [len(b"".join(events[:count])) for count in range(len(events) + 1)]
            assert received == max(each for each in ends if each <= end)
        assert relay.count == len(events)

    def test_large_event_in_small_pieces_does_not_take_long(self):
        """The whole event was searched again with each piece."""
        relay, piece, started_at = EventRelay(), b"x" * 256, time.process_time()
        with pytest.raises(ValueError, match="too large"):
            while True:
                relay.feed(piece)
        assert time.process_time() - started_at < 10.0

    def test_events_without_id_are_counted(self):
        relay = EventRelay()
        assert relay.feed(b": note\n\ndata: x\n\n") == b": note\n\ndata: x\n\n"
        assert relay.count == 2

    def test_partial_event_is_discarded_at_failover(self):
        relay = EventRelay()
        relay.feed(EVENTS[0] + EVENTS[1][:5])
        assert relay.has_partial_event
        relay.discard_partial_event()
        assert relay.feed(EVENTS[1]) == EVENTS[1]

    @pytest.mark.parametrize("end", [EVENTS[1], EVENTS[0] + EVENTS[4], b"x" * 2_000_000])
    def test_events_that_are_not_returned_do_not_count(self, end):
        """Guards against a stream that goes on after an event that nobody got."""
        relay = EventRelay()
        relay.feed(EVENTS[0] + EVENTS[1][:5])
        with pytest.raises(ValueError):
            relay.feed(EVENTS[1][5:] + EVENTS[2] + end)
        assert (relay.last_id, relay.count) == ("1", 1)
        relay.discard_partial_event()
        assert relay.feed(EVENTS[1]) == EVENTS[1]

    @pytest.mark.parametrize("repeated_event", [EVENTS[0], EVENTS[1]])
    def test_repeated_event_is_rejected(self, repeated_event):
        relay = EventRelay()
        relay.feed(EVENTS[0] + EVENTS[1])
        with pytest.raises(ValueError, match="order"):
            relay.feed(repeated_event)
