"""Decisions on streams that go on after a part was sent, and their log lines and metrics."""

from typing import TYPE_CHECKING

from flamingofront.errors import ErrorKind, Executed, RequestError
from flamingofront.request.forward_work import CallerRequest
from flamingofront.request.stream_origins import OriginLookup
from flamingofront.version.forwarding import ForwardedRoute

if TYPE_CHECKING:
    from flamingofront.request.forwarded_request import ForwardedRequest
    from flamingofront.request.hub import RequestHub

__all__ = ["MAX_LOGGED_ID", "Resumption", "log_continuation"]

# Characters of an id that the caller chose, in a line of the log.
MAX_LOGGED_ID = 64
# Endpoints that are named in a line of the log.
MAX_LOGGED_ENDPOINTS = 8


class Resumption:
    """Decides whether a stream that its caller resumes can go on.

    Parameters
    ----------
    hub : RequestHub
        Endpoints, metrics and log of the process.
    """

    def __init__(self, hub: "RequestHub"):
        self._hub = hub

    def check(self, caller: CallerRequest, route: ForwardedRoute, found: OriginLookup) -> str:
        """Return the service at which the stream goes on.

        Raises
        ------
        RequestError
            If its version is not known or no endpoint of it serves.
        """
        result = self._find_obstacle(route, found)
        self._hub.metrics.count("stream_resumptions_total", by="caller", result=result or "resumed")
        fields = {
            "origin": caller.origin_id[:MAX_LOGGED_ID],
            "last_event": caller.last_event[:MAX_LOGGED_ID],
            **_describe(found),
        }
        if result:
            raise self._make_error(result, found, fields)
        endpoints = self._hub.directory.endpoints_of_version(
            found.origin.service, found.origin.version
        )
        self._hub.log.info(
            "stream resumed by its caller",
            request=caller.request_id,
            endpoints=endpoints[:MAX_LOGGED_ENDPOINTS],
            **fields,
        )
        return found.origin.service

    def _make_error(
        self, result: str, found: OriginLookup, fields: dict[str, object]
    ) -> RequestError:
        if result == "version_gone":
            detail = "no endpoint of the version that began the stream serves"
            retry_after = self._hub.no_endpoint_delay()
        else:
            detail = "the version that began the stream is not known"
            retry_after = found.retry_after
        return RequestError(
            ErrorKind.STREAM_NOT_RESUMABLE,
            f"{detail}; it may be started anew",
            Executed.NO,
            retry_after,
            {"reason": result, **fields},
        )

    def _find_obstacle(self, route: ForwardedRoute, found: OriginLookup) -> str:
        """Return why a stream cannot go on; empty if it can."""
        origin = found.origin
        if origin is None:
            return "version_unknown"
        is_routed = any(each.service == origin.service for each in route.backends)
        directory = self._hub.directory
        if is_routed and directory.endpoints_of_version(origin.service, origin.version):
            return ""
        return "version_gone"


def _describe(found: OriginLookup) -> dict[str, object]:
    """Return the fields of a log line about where a stream began."""
    origin = found.origin
    return {
        "began_version": origin.version if origin is not None else "",
        "began_at": origin.endpoint_id if origin is not None else "",
        "evidence": found.evidence.value,
        "age": None if found.age is None else round(found.age, 3),
        "asked": found.asked,
        "replied": found.replied,
    }


def log_continuation(request: "ForwardedRequest", result: str) -> None:
    """Log and count that an answer in progress goes on at another endpoint, or cannot."""
    hub, origin = request.hub, request.stream_origin.origin
    hub.metrics.count("stream_resumptions_total", by="process", result=result)
    endpoints = hub.directory.endpoints_of_version(origin.service, origin.version)
    request.log.info(
        "stream continued" if result == "resumed" else "stream not continued",
        result=result,
        began_version=origin.version,
        began_at=origin.endpoint_id,
        age=round(hub.now() - request.stream_origin.since, 3),
        last_event=request.relay.last_id[:MAX_LOGGED_ID],
        endpoints=endpoints[:MAX_LOGGED_ENDPOINTS],
    )
