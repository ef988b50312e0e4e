"""The caller of a forwarded request: bytes pass unchanged, a stream as it arrives."""

from flamingofront.connection.interfaces import Exchange
from flamingofront.errors import RequestError
from flamingofront.request.attachments import Attachment
from flamingofront.request.forward_work import EndpointResponse, Fields, ForwardProtocol

__all__ = ["ForwardAttachment"]


class ForwardAttachment(Attachment):
    """The caller of a forwarded request."""

    def __init__(self, exchange: Exchange, request_id: str, protocol: ForwardProtocol):
        super().__init__(exchange, request_id)
        self._protocol = protocol
        self.begun = False

    def begin(self, status: int, fields: Fields) -> None:
        """Send the head of a stream, once."""
        if not self.begun:
            self.begun = True
            self._exchange.begin(status, fields)

    def events(self, data: bytes) -> bool:
        """Send whole events; False if the caller cannot keep up."""
        return self._exchange.send(data)

    def complete(self, answer: EndpointResponse) -> None:
        """Send the answer, or end the stream."""
        if self.begun:
            self._exchange.finish()
        else:
            self._exchange.respond(answer.status, answer.fields, answer.body)

    def failed(self, exc: RequestError) -> None:
        """Send the error, or break the stream so that it cannot look complete."""
        if self.begun:
            self._exchange.abort()
        else:
            self._exchange.respond(*self._protocol.render_error(exc))
