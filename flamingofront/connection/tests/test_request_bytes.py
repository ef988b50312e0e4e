"""Tests of the bytes of outgoing requests."""

import pytest

from flamingofront.connection.request_bytes import MAX_JOINED_BYTES, RequestBytes
from flamingofront.messages import OutboundCall


def make_call(body, method="POST"):
    return OutboundCall("127.0.0.1:1", method, "/x?y", body, (("A", "b"),), host="desk.example")


class TestRequestBytes:
    @pytest.mark.parametrize("size", [0, 1, MAX_JOINED_BYTES, MAX_JOINED_BYTES + 1, 300_000])
    @pytest.mark.parametrize("step", [7, 65_536, 10**9])
    def test_all_bytes_are_sent_in_order(self, size, step):
        body = bytes(each % 251 for each in range(size))
        unsent, sent = RequestBytes(make_call(body)), b""
        while unsent:
            data = unsent.peek()[:step]
            sent += data
            unsent.remove(len(data))
        head = f"POST /x?y HTTP/1.1\r\nHost: desk.example\r\nA: b\r\nContent-Length: {size}\r\n\r\n"
        assert sent == head.encode() + body
        assert len(unsent) == 0

    def test_large_body_is_not_copied(self):
        body = bytes(1_000_000)
        unsent = RequestBytes(make_call(body))
        unsent.remove(len(unsent.peek()))
        assert unsent.peek().obj is body

    def test_request_without_a_body_announces_none(self):
        assert b"Content-Length" not in bytes(RequestBytes(make_call(b"", "GET")).peek())
