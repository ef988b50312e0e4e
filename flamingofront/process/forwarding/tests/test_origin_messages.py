"""Tests of the datagrams about origins of streams."""

import pytest

from flamingofront.decisions.stream_origin import StreamOrigin
from flamingofront.process.forwarding.origin_messages import (
    MAX_RECORDS_PER_DATAGRAM,
    AnnouncedOrigin,
    OriginReply,
    OriginRequest,
    decode_announcement,
    decode_origin_reply,
    decode_origin_request,
    encode_announcement,
    encode_origin_reply,
    encode_origin_request,
    is_announcement,
    is_origin_datagram,
    is_origin_reply,
)
from flamingofront.request.stream_origins import OriginQuery

RECORD = AnnouncedOrigin(
    "0123456789abcdef01234567", StreamOrigin("v1.2", "puvo77a", "i-f8a0e8c9b1", 2), 0.25, 27.5
)
MAX_PACKET_BYTES = 1400


class TestRoundTrip:
    def test_announcement(self):
        data = encode_announcement([RECORD] * MAX_RECORDS_PER_DATAGRAM)
        assert is_origin_datagram(data) and is_announcement(data)
        assert decode_announcement(data) == (RECORD,) * MAX_RECORDS_PER_DATAGRAM
        assert len(data) <= MAX_PACKET_BYTES

    def test_request(self):
        request = OriginRequest(7, OriginQuery("key", ("a", "b"), 12.0))
        data = encode_origin_request(request)
        assert is_origin_datagram(data) and not is_announcement(data) and not is_origin_reply(data)
        assert decode_origin_request(data) == request

    @pytest.mark.parametrize("found", [None, RECORD])
    def test_reply(self, found):
        reply = OriginReply(7, found, frozenset({("a", "v1"), ("a", "v2")}), True)
        data = encode_origin_reply(reply)
        assert is_origin_reply(data) and decode_origin_reply(data) == reply


class TestMalformed:
    @pytest.mark.parametrize("body", [b"", b"{}", b"[1]", b"[[1,2]]", b"null", b"[null]", b"\xff"])
    @pytest.mark.parametrize(
        ("prefix", "decode"),
        [
            (b"S+", decode_announcement),
            (b"S?", decode_origin_request),
            (b"S!", decode_origin_reply),
        ],
    )
    def test_malformed_datagram_is_a_value_error(self, prefix, decode, body):
        if (prefix, body) == (b"S+", b"{}"):
            assert decode(prefix + body) == ()
            return
        with pytest.raises(ValueError):
            decode(prefix + body)

    @pytest.mark.parametrize("seconds", [-1, 1e9, "x", None])
    def test_times_out_of_range(self, seconds):
        # A peer asked to keep a record for years.
        data = b'S+[["k","v","s","e",1,0.1,%b]]' % (
            b"null" if seconds is None else b'"x"' if seconds == "x" else str(seconds).encode()
        )
        with pytest.raises(ValueError):
            decode_announcement(data)
