"""Messages between processes that proxy attempts for one another."""

import random
from dataclasses import replace
from urllib.parse import parse_qsl, urlsplit

import pytest

from flamingofront.messages import OutboundCall
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.request.proxy_messages import (
    ProxiedCall,
    ProxyFailure,
    ProxyRefusal,
    decode_proxied_call,
    decode_proxy_failure,
    encode_proxied_call,
    encode_proxy_failure,
)
from flamingofront.request.proxy_peers import ProxyPeers

CALL = ProxiedCall("i-1", "r#1", "vm-1", "POST", "/a/b?c=%20d&e", 2.5, 0.25, True)
ATTEMPT = OutboundCall("10.0.0.1:80", "POST", CALL.target, b"body", (("X-A", "1"),), host="h")


def query_of(call):
    path = encode_proxied_call(call, ATTEMPT, "10.0.0.2:81").path
    return dict(parse_qsl(urlsplit(path).query, keep_blank_values=True))


class TestProxiedCall:
    def test_round_trip(self):
        encoded = encode_proxied_call(CALL, ATTEMPT, "10.0.0.2:81")
        assert decode_proxied_call(query_of(CALL)) == CALL
        assert (encoded.body, encoded.headers, encoded.host) == (b"body", ATTEMPT.headers, "h")

    def test_only_attempts_that_may_be_repeated_are_sent_again_on_a_closed_connection(self):
        """Guards against peers that are left since one connection to them was closed while idle."""
        once = replace(ATTEMPT, new_connection=True)
        assert encode_proxied_call(CALL, ATTEMPT, "10.0.0.2:81").stale_seconds > 0
        assert encode_proxied_call(CALL, once, "10.0.0.2:81").stale_seconds == 0

    @pytest.mark.parametrize(
        "change",
        [
            {"target": "no-path"},
            {"target": "/a b"},
            {"target": "/a\r\nX: 1"},
            {"method": "GET /x HTTP/1.1"},
            {"method": ""},
            {"timeout": "nan"},
            {"timeout": "-1"},
            {"connect": "inf"},
            {"endpoint": None},
        ],
    )
    def test_malformed_parameters_are_rejected(self, change):
        # A request line within a parameter would smuggle a second request to the endpoint.
        query = {
            name: each for name, each in {**query_of(CALL), **change}.items() if each is not None
        }
        with pytest.raises(ValueError):
            decode_proxied_call(query)


class TestProxyFailure:
    @pytest.mark.parametrize("wrote", [False, True])
    def test_round_trip(self, wrote):
        failure = ProxyFailure("reset", wrote, True, "10.0.0.3:81")
        assert decode_proxy_failure(encode_proxy_failure(failure)[1]) == failure

    def test_missing_values_are_the_least_certain(self):
        assert decode_proxy_failure("").wrote

    def test_refusals_are_told_from_failures_of_endpoints(self):
        assert ProxyFailure(ProxyRefusal.BUSY.value).is_refusal
        assert not ProxyFailure("refused").is_refusal


class TestProxyPeers:
    def peers(self, *addresses):
        clock = ManualClock(100.0)
        peers = ProxyPeers(TimerService(clock), random.Random(1))
        peers.addresses = lambda: addresses
        return peers, clock

    def test_load_is_spread(self):
        peers, _ = self.peers("a", "b", "c", "d")
        assert {peers.choose() for _ in range(50)} == {"a", "b", "c", "d"}

    def test_refusing_peer_is_left_alone_for_a_while(self):
        peers, clock = self.peers("a", "b")
        peers.record_refusal("a", ProxyRefusal.NO_PATH.value, "")
        assert {peers.choose() for _ in range(20)} == {"b"}
        clock.time += 3.0
        assert {peers.choose() for _ in range(50)} == {"a", "b"}

    def test_peer_with_a_path_is_preferred_where_most_have_none(self):
        peers, _ = self.peers(*"abcdefgh")
        for each in "abcde":
            peers.record_refusal(each, ProxyRefusal.NO_PATH.value, "h")
        assert {peers.choose() for _ in range(20)} == {"h"}

    def test_wait_is_that_of_the_first_peer(self):
        peers, _ = self.peers("a", "b")
        peers.record_failure("a")
        assert peers.is_available and peers.wait_seconds() == 0
        peers.record_refusal("b", ProxyRefusal.BUSY.value, "")
        assert not peers.is_available and 0.2 <= peers.wait_seconds() <= 0.25
        assert peers.choose() is None
