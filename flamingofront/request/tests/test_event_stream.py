"""Events that pass through: whole ones only, in order, however their bytes are cut."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.request.event_stream import EventRelay

EVENTS = [b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 6)]


class TestEventRelay:
    @given(st.lists(st.integers(0, 80), max_size=8))
    def test_any_cut_of_the_bytes_gives_the_same_events(self, cuts):
        data, relay = b"".join(EVENTS), EventRelay()
        places = sorted({0, len(data), *(min(each, len(data)) for each in cuts)})
        parts = [data[a:b] for a, b in zip(places, places[1:], strict=False)]
        passed = [relay.feed(part) for part in parts]
        assert b"".join(passed) == data
        assert all(each == b"" or each.endswith(b"\n\n") for each in passed)
        assert (relay.last_id, relay.count, relay.has_partial_event) == ("5", 5, False)

    def test_events_without_an_id_count_too(self):
        relay = EventRelay()
        assert relay.feed(b": note\n\ndata: x\n\n") == b": note\n\ndata: x\n\n"
        assert relay.count == 2

    def test_unfinished_event_is_dropped_when_another_endpoint_goes_on(self):
        relay = EventRelay()
        relay.feed(EVENTS[0] + EVENTS[1][:5])
        assert relay.has_partial_event
        relay.discard_partial_event()
        assert relay.feed(EVENTS[1]) == EVENTS[1]

    @pytest.mark.parametrize("again", [EVENTS[0], EVENTS[1]])
    def test_event_that_came_before_is_refused(self, again):
        relay = EventRelay()
        relay.feed(EVENTS[0] + EVENTS[1])
        with pytest.raises(ValueError, match="order"):
            relay.feed(again)
