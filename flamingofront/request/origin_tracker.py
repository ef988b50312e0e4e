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
    def retry_rule(self) -> SameVersion | None:
        """Rule for a further attempt before the first event; None for any endpoint.

        Notes
        -----
        Peers know the version of the first attempt. One that a later announcement does not reach
        would continue the stream at that version, so it changes only if no endpoint that can be
        reached has it.
        """
        first, directory, now = (
            self._next_origin,
            self._request.hub.directory,
            self._request.hub.now(),
        )
        if first is None:
            return None
        endpoints = directory.endpoints_of_version(first.service, first.version)
        is_reachable = any(directory.is_reachable(each, now) for each in endpoints)
        return SameVersion(first.version) if is_reachable else None

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
        if not request.work.resumable or (self.origin is not None and number > 1):
            return
        if self.origin is None:
            self.since = request.hub.now()
        self._next_origin = self.origin or StreamOrigin(
            chosen.side, request.record.service.name, chosen.endpoint_id, number
        )
        for request_id in filter(None, (request.work.caller_id, request.work.origin_id)):
            self._send(request_id)

    def fix(self) -> None:
        """Fix the origin at the first event of the stream.

        Notes
        -----
        After a change of the endpoint the origin is announced twice: peers that lose the second
        announcement would keep an endpoint whose attempt brought no event.
        """
        if self.origin is not None or self._next_origin is None:
            return
        self.origin = self._next_origin
        if self.origin.attempt > 1:
            self._send(self._request.work.caller_id)

    def _send(self, request_id: str) -> None:
        request, now = self._request, self._request.hub.now()
        request.hub.origins.record(
            compute_origin_key(request.record.workspace, request.record.route, request_id),
            self._next_origin,
            request.machine.facts.deadline - now,
            now - self.since,
        )
