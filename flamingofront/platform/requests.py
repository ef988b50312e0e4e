"""Headers of forwarded requests and responses."""

import math
import re

from flamingofront.connection.framing import HOP_BY_HOP_FIELDS, get_connection_options
from flamingofront.connection.server import RenderedError, encode_error
from flamingofront.decisions.lateness import Urgency
from flamingofront.errors import ERROR_RESPONSES, ErrorKind, Executed, RequestError
from flamingofront.messages import InboundRequest, ResponseHead
from flamingofront.request.forward_work import (
    AttemptFacts,
    CallerRequest,
    EndpointResponseHead,
    Fields,
    ForwardProtocol,
    ForwardWork,
    PromptPart,
)
from flamingofront.version.forwarding import ForwardedService

__all__ = ["PlatformProtocol"]

HEADER_PREFIX = "x-flamingofront-"
REQUEST_ID_HEADER = HEADER_PREFIX + "request-id"
DEADLINE_HEADER = HEADER_PREFIX + "deadline-ms"
# Two numbers: tokens in the prompt, and the maximum number of tokens in the response.
TOKEN_COUNTS_HEADER = HEADER_PREFIX + "token-counts"
# Number of tokens that the caller expects in the response; accurate at the median only.
EXPECTED_TOKENS_HEADER = HEADER_PREFIX + "length-hint"
PROMPT_PARTS_HEADER = HEADER_PREFIX + "prompt-prefix"
# Id of the endpoint process that must run the request; any other endpoint rejects it.
ENDPOINT_ID_HEADER = HEADER_PREFIX + "instance-id"
EXPECTED_ENDPOINT_HEADER = "X-Flamingofront-Expect-Instance"
WORKSPACE_HEADER = "X-Flamingofront-Tenant"
# One digit: 0 is the most urgent. Endpoints assume 5 if the header is absent.
URGENCY_HEADER = "X-Flamingofront-Request-Urgency"
NOT_RUN_HEADER = HEADER_PREFIX + "not-executed"
LAST_EVENT_HEADER = "last-event-id"
# Request id of the caller's attempt that brought the first event of the stream to be resumed.
ORIGIN_HEADER = "resumes"
# Requests per second that the endpoint accepts from all entry processes together, as a decimal.
RATE_LIMIT_HEADER = "server-limit"
DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
COUNT = re.compile(r"\d{1,9}", re.ASCII)
# Rejections per second, over all entry processes, that the endpoint survives; only while brittle.
BRITTLE_HEADER = "server-brittle"
# "1" while the endpoint is draining.
LEAVING_HEADER = "server-leaving"
# Seconds as a decimal. HTTP dates are not supported and are ignored.
RETRY_AFTER_HEADER = "retry-after"
# State of a model engine.
REPORT_PATH = "/api/report"
STATUS_WRONG_ENDPOINT = 421
STATUS_UNAVAILABLE = 503
# These statuses state that the request was not executed and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
STATUS_MAY_HAVE_RUN = 502

# Headers that only this system may set. They are removed from requests because callers forge them.
SYSTEM_FIELDS = frozenset(
    {
        EXPECTED_ENDPOINT_HEADER.lower(),
        WORKSPACE_HEADER.lower(),
        DEADLINE_HEADER,
        NOT_RUN_HEADER,
        HEADER_PREFIX + "expect-version",
        URGENCY_HEADER.lower(),
        HEADER_PREFIX + "hold",
        HEADER_PREFIX + "pin-ms",
        HEADER_PREFIX + "kv-backup",
        HEADER_PREFIX + "kv-fetch",
        HEADER_PREFIX + "kv-from",
        HEADER_PREFIX + "duty-holder",
        HEADER_PREFIX + "fencing-token",
        ENDPOINT_ID_HEADER,
        "kv-fetch",
        "kv-from",
    }
)
NOT_FORWARDED = HOP_BY_HOP_FIELDS | SYSTEM_FIELDS | {"host", "authorization"}
BEARER = "bearer "


class PlatformProtocol(ForwardProtocol):
    """Encodes and decodes headers under the platform's names."""

    def request_id(self, req: InboundRequest) -> str:
        """Return the request id that the caller gave, or an empty string."""
        return req.header(REQUEST_ID_HEADER)

    def decode(self, req: InboundRequest) -> CallerRequest:
        """Return the fields decoded from a caller's headers.

        Raises
        ------
        RequestError
            If the request id is missing or the deadline is not a number.
        """
        request_id = req.header(REQUEST_ID_HEADER)
        if not request_id:
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST, f"header {REQUEST_ID_HEADER} is missing"
            )
        counts = _parse_token_counts(req.header(TOKEN_COUNTS_HEADER))
        hop_names = get_connection_options(req.fields)
        return CallerRequest(
            request_id=request_id,
            host=req.header("host"),
            path=req.target.partition("?")[0],
            deadline=_parse_deadline(req.header(DEADLINE_HEADER)),
            key=_parse_api_key(req.header("authorization")),
            prompt=_parse_prompt_parts(req.header(PROMPT_PARTS_HEADER)),
            prompt_tokens=counts[0] if counts else 0,
            output_tokens=counts[1] if counts else 0,
            counts_tokens=counts is not None,
            expected_tokens=_parse_count(req.header(EXPECTED_TOKENS_HEADER)) or 0,
            origin_id=req.header(ORIGIN_HEADER),
            last_event=req.header(LAST_EVENT_HEADER),
            fields=_remove_headers(req.fields, NOT_FORWARDED | hop_names),
        )

    def encode_attempt_headers(self, work: ForwardWork, facts: AttemptFacts) -> Fields:
        """Return the headers that one attempt sends to an endpoint."""
        fields = work.fields
        if facts.last_event:
            fields = _remove_headers(fields, frozenset({LAST_EVENT_HEADER}))
            fields += (("Last-Event-Id", facts.last_event),)
        fields += (
            (EXPECTED_ENDPOINT_HEADER, facts.endpoint_id),
            ("X-Flamingofront-Deadline-Ms", str(max(1, int(facts.time_left * 1000)))),
        )
        if work.workspace:
            fields += ((WORKSPACE_HEADER, work.workspace),)
        if facts.urgency is not Urgency.IN_TIME:
            fields += ((URGENCY_HEADER, str(int(facts.urgency))),)
        return fields

    def shorten_deadline(self, fields: Fields, seconds: float) -> Fields:
        """Return the headers of an attempt with a deadline that is some seconds earlier."""
        return tuple(
            (
                (name, str(max(1, int(value) - math.ceil(seconds * 1000))))
                if name.lower() == DEADLINE_HEADER and COUNT.fullmatch(value)
                else (name, value)
            )
            for name, value in fields
        )

    def is_from_endpoint(self, endpoint_id: str, head: ResponseHead) -> bool:
        """Return True unless a response to a state request names another endpoint."""
        return head.headers.get(ENDPOINT_ID_HEADER, endpoint_id) == endpoint_id

    def probe_target(self, service: ForwardedService | None) -> str:
        """Return the target of a request for the state of an endpoint of a service."""
        if service is None:
            return "/"
        # Engines report without a slot; a health check waits for one.
        return REPORT_PATH if service.is_model else service.health_path

    def decode_response_head(self, request_id: str, head: ResponseHead) -> EndpointResponseHead:
        """Return the facts decoded from the status and headers of an endpoint's response."""
        wrong_endpoint = head.status == STATUS_WRONG_ENDPOINT
        return EndpointResponseHead(
            status=head.status,
            not_run=NOT_RUN_HEADER in head.headers or wrong_endpoint,
            is_mismatched=_is_mismatched(request_id, head),
            wrong_endpoint=wrong_endpoint,
            is_refusal=head.status in NOT_RUN_STATUSES,
            stream=head.headers.get("content-type", "").startswith("text/event-stream"),
            fields=_remove_headers(
                head.fields, HOP_BY_HOP_FIELDS | get_connection_options(head.fields)
            ),
            has_rate_limit_header=RATE_LIMIT_HEADER in head.headers,
            rate_limit=_parse_decimal(head.headers.get(RATE_LIMIT_HEADER, "")),
            max_rejections=_parse_count(head.headers.get(BRITTLE_HEADER, "")),
            leaving=head.headers.get(LEAVING_HEADER, "").strip() == "1",
            backoff_seconds=_parse_backoff(head),
        )

    def render_error(self, exc: RequestError) -> RenderedError:
        """Return status, headers and body of an error response.

        Notes
        -----
        A status that states "not executed" is sent only if that is certain, otherwise 502.
        """
        status = ERROR_RESPONSES[exc.kind].status
        if status in NOT_RUN_STATUSES and exc.ran is not Executed.NO:
            status = STATUS_MAY_HAVE_RUN
        fields: Fields = (("Content-Type", "application/json"),)
        if exc.retry_after is not None and status in NOT_RUN_STATUSES:
            # The platform accepts fractional seconds.
            fields += (("Retry-After", f"{exc.retry_after:.3f}"),)
        return status, fields, encode_error(exc)


def _is_mismatched(request_id: str, head: ResponseHead) -> bool:
    """Return True if a response belongs to another request.

    Notes
    -----
    A second response to a request for the endpoint's state has no id. It may come late, on a
    connection that by then carries another request.
    """
    if REQUEST_ID_HEADER not in head.headers:
        return head.reused
    return head.headers[REQUEST_ID_HEADER] != request_id


def _remove_headers(fields: Fields, names: frozenset[str]) -> Fields:
    return tuple(each for each in fields if each[0].lower() not in names)


def _parse_deadline(text: str) -> float | None:
    """Return the deadline in seconds, or None if the header is absent."""
    if not text:
        return None
    try:
        return max(0.0, float(text) / 1000)
    except ValueError:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST,
            f"{DEADLINE_HEADER} must be milliseconds, got {text[:40]!r}",
        ) from None


def _parse_decimal(text: str) -> float | None:
    """Return a non-negative decimal number, or None if the text is empty or malformed."""
    return float(text) if DECIMAL.fullmatch(text.strip()) else None


def _parse_count(text: str) -> int | None:
    """Return a non-negative whole number, or None if the text is empty or malformed."""
    return int(text) if COUNT.fullmatch(text.strip()) else None


def _parse_backoff(head: ResponseHead) -> float | None:
    """Return the Retry-After seconds of a 503 response, or None if there is no valid time."""
    if head.status != STATUS_UNAVAILABLE:
        return None
    return _parse_decimal(head.headers.get(RETRY_AFTER_HEADER, "")) or None


def _parse_api_key(authorization: str) -> str | None:
    if authorization[: len(BEARER)].lower() != BEARER:
        return None
    return authorization[len(BEARER) :].strip()


def _parse_token_counts(text: str) -> tuple[int, int] | None:
    prompt, comma, output = text.partition(",")
    if not comma or not prompt.strip().isdigit() or not output.strip().isdigit():
        return None
    return int(prompt), int(output)


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the ``ID:TOKENS`` parts of a prompt; empty if malformed, as they are only a hint."""
    parts = []
    for each in text.split(",") if text else ():
        part_id, colon, tokens = each.strip().partition(":")
        if not colon or not tokens.isdigit():
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
