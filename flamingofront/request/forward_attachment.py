"""The caller of a forwarded request: the body is relayed unchanged, a stream as it arrives."""

from flamingofront.connection.interfaces import Exchange
from flamingofront.errors import RequestError
from flamingofront.request.attachments import Attachment
from flamingofront.request.forward_work import EndpointResponse, Fields, ForwardProtocol

__all__ = ["ForwardAttachment"]


class ForwardAttachment(Attachment):
    """A caller that receives the response of a forwarded request.

    Attributes
    ----------
    has_sent_head : bool
        True once the head of a stream was sent.
    """

    def __init__(self, exchange: Exchange, request_id: str, protocol: ForwardProtocol):
        super().__init__(exchange, request_id)
        self._protocol = protocol
        self.has_sent_head = False

    def send_head(self, status: int, fields: Fields) -> None:
        """Send the head of a stream, once."""
        if not self.has_sent_head:
            self.has_sent_head = True
            self._exchange.begin(status, fields)

    def send_events(self, data: bytes) -> bool:
        """Send complete events; return False if the caller reads too slowly."""
        return self._exchange.send(data)

    def send_answer(self, answer: EndpointResponse) -> None:
        """Send the complete response, or end a stream that has started."""
        if self.has_sent_head:
            self._exchange.finish()
        else:
            self._exchange.respond(answer.status, answer.fields, answer.body)

    def send_error(self, exc: RequestError) -> None:
        """Send the error, or abort a stream that has started so that it cannot look complete."""
        if self.has_sent_head:
            self._exchange.abort()
        else:
            self._exchange.respond(*self._protocol.render_error(exc))
