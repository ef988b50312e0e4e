"""Probes that tell whether an endpoint is reached, on a new connection or an idle one."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from flamingofront.connection.interfaces import CallEvent, ConnectResult, Transport
from flamingofront.messages import CallFailed, OutboundCall, ResponseHead
from flamingofront.request.directory import EndpointDirectory

__all__ = ["PROBE_TIMEOUT_SECONDS", "ConnectProbe", "PathProbe", "ResponseProbe"]

# The connect timeout of attempts; a reachable endpoint accepts within a few milliseconds, and
# responds to a request for its state without delay.
PROBE_TIMEOUT_SECONDS = 0.25


class PathProbe(ABC):
    """Test of the path to one endpoint."""

    @abstractmethod
    def start(self, endpoint_id: str, on_result: Callable[[bool], None]) -> None:
        """Test the path, and pass on whether the endpoint was reached."""


class ConnectProbe(PathProbe):
    """Opens a connection and closes it."""

    def __init__(self, transport: Transport, directory: EndpointDirectory):
        self._transport = transport
        self._directory = directory

    def start(self, endpoint_id: str, on_result: Callable[[bool], None]) -> None:
        """Pass on whether a connection was established."""
        self._transport.probe(
            self._directory.address_of(endpoint_id),
            PROBE_TIMEOUT_SECONDS,
            lambda result: on_result(result is ConnectResult.CONNECTED),
        )


class ResponseProbe(PathProbe):
    """Sends a request for the state of the endpoint.

    Parameters
    ----------
    target_of : callable
        Returns the request target at an endpoint.
    needs_new_connection : bool
        False if an idle connection is tested.
    is_from : callable
        Returns True if a response head is from the endpoint, and not from a later one at its
        address.

    Notes
    -----
    A forwarder or a translating gateway may establish connections though it does not reach the
    endpoint, so that only a response is evidence.
    """

    def __init__(
        self,
        transport: Transport,
        directory: EndpointDirectory,
        target_of: Callable[[str], str],
        needs_new_connection: bool = True,
        is_from: Callable[[str, ResponseHead], bool] = lambda endpoint_id, head: True,
    ):
        self._transport = transport
        self._directory = directory
        self._target_of = target_of
        self._needs_new_connection = needs_new_connection
        self._is_from = is_from

    def start(self, endpoint_id: str, on_result: Callable[[bool], None]) -> None:
        """Pass on whether the endpoint responded, whatever the status."""

        results = iter([on_result])

        def on_event(event: CallEvent) -> None:
            if isinstance(event, ResponseHead | CallFailed):
                # A connection may fail after the head; only the first event counts.
                is_reached = isinstance(event, ResponseHead) and self._is_from(endpoint_id, event)
                next(results, lambda is_reached: None)(is_reached)

        self._transport.start(
            OutboundCall(
                self._directory.address_of(endpoint_id),
                "GET",
                self._target_of(endpoint_id),
                timeout=PROBE_TIMEOUT_SECONDS,
                new_connection=self._needs_new_connection,
                idle_only=not self._needs_new_connection,
                connect_timeout=PROBE_TIMEOUT_SECONDS,
            ),
            on_event,
        )
