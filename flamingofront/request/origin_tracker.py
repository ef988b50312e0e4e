"""Origin of the stream of one forwarded request: fixed by its first event, or by its caller."""

from typing import TYPE_CHECKING

from flamingofront.decisions.choice import Candidate
from flamingofront.decisions.stream_origin import SameVersion, StreamOrigin
from flamingofront.request.stream_origins import compute_origin_key

if TYPE_CHECKING:
    from flamingofront.request.forwarded_request import ForwardedRequest

__all__ = ["OriginTracker"]


class OriginTracker:
    """Records where a stream begins, and restricts its further attempts to that version.

    Parameters
    ----------
    request : ForwardedRequest
        Request of the stream.

    Attributes
    ----------
    origin : StreamOrigin or None
        Where the stream began, once an event was sent or if the caller resumes it.
    since : float
        Time at which the endpoint that began the stream was chosen.
    """

    def __init__(self, request: "ForwardedRequest"):
        self._request = request
        resumed = request.work.resumed
        self.origin: StreamOrigin | None = resumed.origin if resumed is not None else None
        age = resumed.age if resumed is not None else None
        self.since = request.accepted_at - (age or 0.0)
        self._next_origin: StreamOrigin | None = None

    @property
    def is_certain(self) -> bool:
        """True if the endpoint that began the stream has kept its version."""
        return self._request.hub.origins.is_certain(self.origin, self.since)

    @property
    def rule(self) -> SameVersion:
        """Rule for the endpoints that may continue the stream."""
        return SameVersion(self.origin.version if self.is_certain else None)

    @property
    def is_stuck(self) -> bool:
        """True if the stream has begun and no endpoint that may continue it serves."""
        if self.origin is None:
            return False
        endpoints = self._request.hub.directory.endpoints_of_version(
            self.origin.service, self.origin.version
        )
        return not (endpoints and self.is_certain)

    def record_attempt(self, chosen: Candidate, number: int) -> None:
        """Record the version that the stream has if this attempt brings its first event.

        Parameters
        ----------
        number : int
            Number of the attempt within the request.
        """
        request = self._request
        if not request.work.resumable:
            return
        if self.origin is not None:
            # The caller may resume a resumed stream again, and name either of its attempts.
            if number == 1:
                self._send(request.work.caller_id)
                self._send(request.work.origin_id)
            return
        self.since = request.hub.now()
        self._next_origin = StreamOrigin(
            chosen.side, request.record.service.name, chosen.endpoint_id, number
        )

    def fix(self) -> None:
        """Fix the origin, and announce it, before the first event is sent to the caller.

        Notes
        -----
        An attempt that brings no event is not announced. Peers that the announcement of a further
        attempt does not reach would continue the stream at the version of the first one.
        """
        if self.origin is None and self._next_origin is not None:
            self.origin = self._next_origin
            self._send(self._request.work.caller_id)

    def _send(self, request_id: str) -> None:
        """Record the origin under the id of an attempt of the caller, if it is known."""
        request, now = self._request, self._request.hub.now()
        if not request_id:
            return
        request.hub.origins.record(
            compute_origin_key(request.record.workspace, request.record.route, request_id),
            self.origin,
            request.machine.facts.deadline - now,
            now - self.since,
        )
