"""Deltas of a document that processes send to one another."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.process.forwarding.document_copies import (
    MAX_BACKLOG_SECONDS,
    MAX_KEPT_VERSIONS,
    MAX_UNPACED_BYTES,
    SEND_BYTES_PER_SECOND,
    DeltaPacer,
    DeltaSource,
    apply_delta,
    encode_delta,
)
from flamingofront.process.timers import ManualClock
from flamingofront.tests.narrow_links import with_more_routes_data

documents = st.one_of(
    st.binary(max_size=200),
    st.lists(st.sampled_from([b"a", b"b", b'{"c":1', b"", b"}"]), max_size=30).map(b"},".join),
)


class TestDeltas:
    @given(documents, documents)
    def test_round_trip_restores_document(self, document, base):
        assert apply_delta(encode_delta(document, base), base) == document

    @given(documents, documents, documents)
    def test_delta_for_another_base_is_rejected(self, document, base, other):
        """The active document may change while a delta is in transit."""
        try:
            assert apply_delta(encode_delta(document, base), other) == document
        except ValueError as exc:
            assert "malformed document delta" in str(exc)

    def test_uncompressed_document_of_earlier_version_is_accepted(self):
        assert apply_delta(b'{"version":1}') == b'{"version":1}'

    @pytest.mark.parametrize("data", [b"", b"x", b"x\x9c", encode_delta(b"{}")[:10]])
    def test_malformed_delta_is_rejected(self, data):
        with pytest.raises(ValueError, match="malformed document delta"):
            apply_delta(data)

    def test_delta_is_much_smaller_than_document(self):
        few, many = (with_more_routes_data(1, count) for count in (50, 1700))
        assert len(encode_delta(many, few)) < len(many) / 8
        assert len(encode_delta(with_more_routes_data(2, 1701), many)) < 1000


class TestDeltaSource:
    def test_delta_from_kept_version_has_only_changes(self):
        source = DeltaSource()
        documents = {number: with_more_routes_data(number, 200 + number) for number in (1, 2)}
        for number, document in documents.items():
            source.add_version(number, document)
        delta = source.build_delta(1)
        assert len(delta) < 1000 and apply_delta(delta, documents[1]) == documents[2]

    def test_delta_from_unknown_version_has_whole_document(self):
        source = DeltaSource()
        for number in range(1, MAX_KEPT_VERSIONS + 2):
            source.add_version(number, b'{"version":%d}' % number)
        for after in (0, 1, 99):
            assert apply_delta(source.build_delta(after)) == b'{"version":%d}' % (
                MAX_KEPT_VERSIONS + 1
            )


class TestDeltaPacer:
    """Guards against deltas for a whole zone that share one small link and all arrive late."""

    def test_large_deltas_are_rate_limited(self):
        clock = ManualClock()
        pacer = DeltaPacer(clock.now)
        size = 33_000
        sent = 0
        for _ in range(100):
            sent += sum(pacer.try_admit(size) for _ in range(10))
            clock.time += 0.01
        limit = SEND_BYTES_PER_SECOND * (1.0 + MAX_BACKLOG_SECONDS) / size + 1
        assert limit / 2 < sent <= limit

    def test_small_deltas_are_always_admitted(self):
        pacer = DeltaPacer(ManualClock().now)
        while pacer.try_admit(33_000):
            pass
        assert all(pacer.try_admit(MAX_UNPACED_BYTES) for _ in range(100))
