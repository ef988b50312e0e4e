"""Copies of a document that processes hand to one another."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.process.forwarding.document_copies import (
    FREE_BYTES,
    KEPT_VERSIONS,
    MAX_BACKLOG_SECONDS,
    PACE_BYTES,
    CopyPacer,
    CopySource,
    apply_copy,
    encode_copy,
)
from flamingofront.process.timers import ManualClock
from flamingofront.tests.narrow_links import with_more_routes_data

documents = st.one_of(
    st.binary(max_size=200),
    st.lists(st.sampled_from([b"a", b"b", b'{"c":1', b"", b"}"]), max_size=30).map(b"},".join),
)


class TestCopies:
    @given(documents, documents)
    def test_document_is_what_it_was(self, document, base):
        assert apply_copy(encode_copy(document, base), base) == document

    @given(documents, documents, documents)
    def test_copy_for_another_base_is_refused(self, document, base, other):
        """What was in force here may have changed while a copy was on its way."""
        try:
            assert apply_copy(encode_copy(document, base), other) == document
        except ValueError as exc:
            assert "malformed copy" in str(exc)

    def test_document_of_an_earlier_program_is_taken_as_it_is(self):
        assert apply_copy(b'{"version":1}') == b'{"version":1}'

    @pytest.mark.parametrize("data", [b"", b"x", b"x\x9c", encode_copy(b"{}")[:10]])
    def test_malformed_copy_is_refused(self, data):
        with pytest.raises(ValueError, match="malformed copy"):
            apply_copy(data)

    def test_large_change_takes_a_small_part_of_its_document(self):
        few, many = (with_more_routes_data(1, count) for count in (50, 1700))
        assert len(encode_copy(many, few)) < len(many) / 8
        assert len(encode_copy(with_more_routes_data(2, 1701), many)) < 1000


class TestCopySource:
    def test_receiver_of_a_known_version_is_told_what_changed(self):
        source = CopySource()
        documents = {number: with_more_routes_data(number, 200 + number) for number in (1, 2)}
        for number, document in documents.items():
            source.put(number, document)
        copy = source.copy(1)
        assert len(copy) < 1000 and apply_copy(copy, documents[1]) == documents[2]

    def test_receiver_of_an_unknown_version_is_told_all(self):
        source = CopySource()
        for number in range(1, KEPT_VERSIONS + 2):
            source.put(number, b'{"version":%d}' % number)
        for after in (0, 1, 99):
            assert apply_copy(source.copy(after)) == b'{"version":%d}' % (KEPT_VERSIONS + 1)


class TestCopyPacer:
    """With copies for a whole zone on one small link none arrived before all did."""

    def test_few_large_copies_are_sent_at_a_time(self):
        clock = ManualClock()
        pacer = CopyPacer(clock.now)
        size = 33_000
        sent = 0
        for _ in range(100):
            sent += sum(pacer.takes(size) for _ in range(10))
            clock.time += 0.01
        most = PACE_BYTES * (1.0 + MAX_BACKLOG_SECONDS) / size + 1
        assert most / 2 < sent <= most

    def test_small_copies_are_always_sent(self):
        pacer = CopyPacer(ManualClock().now)
        while pacer.takes(33_000):
            pass
        assert all(pacer.takes(FREE_BYTES) for _ in range(100))
