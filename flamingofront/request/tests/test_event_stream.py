"""Tests of the relay of server-sent events."""

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

    @pytest.mark.parametrize("repeated_event", [EVENTS[0], EVENTS[1]])
    def test_repeated_event_is_rejected(self, repeated_event):
        relay = EventRelay()
        relay.feed(EVENTS[0] + EVENTS[1])
        with pytest.raises(ValueError, match="order"):
            relay.feed(repeated_event)
