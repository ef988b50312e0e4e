"""Questions for permits, their replies, and word of limits in reports and digests."""

from dataclasses import replace

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.process.forwarding.digests import Digest, DigestWriter, decode_digest
from flamingofront.process.forwarding.limit_messages import (
    PermitReply,
    PermitRequest,
    decode_permit_reply,
    decode_permit_request,
    encode_permit_reply,
    encode_permit_request,
    is_permit_reply,
    is_permit_request,
)
from flamingofront.process.forwarding.quota_messages import Verdict
from flamingofront.process.forwarding.reports import PeerReport, decode_report, encode_report
from flamingofront.request.endpoint_limits import EndpointLimit

LIMIT = EndpointLimit("i-1", 1_700_000_000_123, 2.1, 1_700_000_001.25)
ENDED = replace(LIMIT, rate=None)
OWN = PeerReport("vm-1", 1, 1, "zone-a", "127.0.0.1", "127.0.0.1:1", limits=(LIMIT, ENDED))


class TestMessages:
    def test_question_and_reply_come_as_they_were_sent(self):
        question = PermitRequest(7, LIMIT, 2, 0.08)
        data = encode_permit_request(question)
        assert is_permit_request(data) and not is_permit_reply(data)
        assert decode_permit_request(data) == question
        reply = PermitReply(7, Verdict.REFUSED, 0.0, 1.5)
        data = encode_permit_reply(reply)
        assert is_permit_reply(data) and not is_permit_request(data)
        assert decode_permit_reply(data) == reply

    @given(st.binary(max_size=60))
    def test_malformed_ones_are_refused(self, data):
        for decode in (decode_permit_request, decode_permit_reply):
            try:
                decode(b"L?" + data)
            except ValueError:
                continue

    @pytest.mark.parametrize("limit", [["e", 1, -2.0, 0.0], ["e", 1], "text", ["e", "x", 1, 1]])
    def test_limits_that_are_none_are_refused(self, limit):
        with pytest.raises(ValueError):
            decode_permit_request(b"L?" + orjson.dumps([1, 1, 0.0, limit]))


class TestWord:
    def test_report_and_digest_tell_limits(self):
        assert decode_report(encode_report(OWN)).limits == OWN.limits
        digest = decode_digest(DigestWriter(Digest(OWN, "zone-a", 1.0, 1, 1)).datagram())
        assert digest.relay.limits == OWN.limits

    def test_processes_of_an_earlier_version_tell_none(self):
        report = orjson.dumps(orjson.loads(encode_report(OWN))[:-4])
        assert decode_report(report).limits == ()
        head, _, body = DigestWriter(Digest(OWN, "zone-a", 1.0, 1, 1)).datagram().partition(b"\n")
        earlier = head + b"\n" + orjson.dumps(orjson.loads(body)[:-3])
        assert decode_digest(earlier).relay.limits == ()
