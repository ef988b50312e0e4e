"""Errors with which a process answers peers before it has read their call."""

from flamingofront.errors import ErrorKind, RequestError
from flamingofront.platform.requests import PlatformProtocol
from flamingofront.process.forwarding.proxy import render_peer_error
from flamingofront.request.proxy_messages import FAILURE_HEADER, ProxyRefusal, decode_proxy_failure

render = PlatformProtocol().render_error


class TestPeerErrors:
    def test_refusal_for_want_of_memory_is_not_taken_for_an_answer_of_the_endpoint(self):
        exc = RequestError(ErrorKind.MEMORY_EXHAUSTED, retry_after=1.0)
        status, headers, _ = render_peer_error(exc, render(exc))
        failure = decode_proxy_failure(dict(headers)[FAILURE_HEADER])
        assert status == 503 and failure.is_refusal and not failure.wrote
        assert failure.reason == ProxyRefusal.BUSY.value

    def test_other_errors_are_unchanged(self):
        exc = RequestError(ErrorKind.NOT_FOUND)
        assert render_peer_error(exc, render(exc)) == render(exc)
