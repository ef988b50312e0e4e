"""Headers of forwarded requests and answers."""

import re

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

__all__ = ["PlatformProtocol"]

PREFIX = "x-flamingofront-"
REQUEST_ID = PREFIX + "request-id"
DEADLINE = PREFIX + "deadline-ms"
# Two numbers: tokens of the prompt, and the most tokens of the answer.
TOKEN_COUNTS = PREFIX + "token-counts"
PROMPT_PARTS = PREFIX + "prompt-prefix"
# Id of the endpoint's present start; any other endpoint refuses the request.
EXPECTED_ENDPOINT = "X-Flamingofront-Expect-Instance"
WORKSPACE = "X-Flamingofront-Tenant"
# A digit, 0 first and 5 where there is none.
URGENCY = "X-Flamingofront-Request-Urgency"
NOT_RUN = PREFIX + "not-executed"
LAST_EVENT = "last-event-id"
# Requests a second that an endpoint takes from all callers together, with or without a fraction.
RATE_LIMIT = "server-limit"
DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
# "1" once the endpoint leaves.
LEAVING = "server-leaving"
# Seconds, with or without a fraction; a date is none.
RETRY_AFTER = "retry-after"
STATUS_WRONG_ENDPOINT = 421
STATUS_UNAVAILABLE = 503
# These statuses tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
STATUS_MAY_HAVE_RUN = 502

HOP_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers that only this system may set; callers forge them.
SYSTEM_FIELDS = frozenset(
    {
        EXPECTED_ENDPOINT.lower(),
        WORKSPACE.lower(),
        DEADLINE,
        NOT_RUN,
        PREFIX + "expect-version",
        URGENCY.lower(),
        PREFIX + "hold",
        PREFIX + "pin-ms",
        PREFIX + "kv-backup",
        PREFIX + "kv-fetch",
        PREFIX + "kv-from",
        PREFIX + "duty-holder",
        PREFIX + "fencing-token",
        PREFIX + "instance-id",
        "kv-fetch",
        "kv-from",
    }
)
NOT_FORWARDED = HOP_FIELDS | SYSTEM_FIELDS | {"host", "authorization"}
BEARER = "bearer "


class PlatformProtocol(ForwardProtocol):
    """The platform's header names."""

    def request_id(self, req: InboundRequest) -> str:
        """Return the caller's id of a request."""
        return req.header(REQUEST_ID)

    def decode(self, req: InboundRequest) -> CallerRequest:
        """Return what a caller's headers say."""
        request_id = req.header(REQUEST_ID)
        if not request_id:
            raise RequestError(ErrorKind.MALFORMED_REQUEST, f"header {REQUEST_ID} is missing")
        counts = _token_counts(req.header(TOKEN_COUNTS))
        named = _connection_options(req.fields)
        return CallerRequest(
            request_id=request_id,
            host=req.header("host"),
            path=req.target.partition("?")[0],
            deadline=_milliseconds(req.header(DEADLINE)),
            key=_key(req.header("authorization")),
            prompt=_prompt(req.header(PROMPT_PARTS)),
            prompt_tokens=counts[0] if counts else 0,
            output_tokens=counts[1] if counts else 0,
            counts_tokens=counts is not None,
            fields=_without(req.fields, NOT_FORWARDED | named),
        )

    def encode_attempt_headers(self, work: ForwardWork, facts: AttemptFacts) -> Fields:
        """Return the headers of an attempt."""
        fields = work.fields
        if facts.last_event:
            fields = _without(fields, frozenset({LAST_EVENT}))
            fields += (("Last-Event-Id", facts.last_event),)
        fields += (
            (EXPECTED_ENDPOINT, facts.endpoint_id),
            ("X-Flamingofront-Deadline-Ms", str(max(1, int(facts.time_left * 1000)))),
        )
        if work.workspace:
            fields += ((WORKSPACE, work.workspace),)
        if facts.urgency is not Urgency.IN_TIME:
            fields += ((URGENCY, str(int(facts.urgency))),)
        return fields

    def decode_response_head(self, request_id: str, head: ResponseHead) -> EndpointResponseHead:
        """Return what the head of an endpoint's answer says."""
        wrong_endpoint = head.status == STATUS_WRONG_ENDPOINT
        return EndpointResponseHead(
            status=head.status,
            not_run=NOT_RUN in head.headers or wrong_endpoint,
            is_mismatched=head.headers.get(REQUEST_ID, request_id) != request_id,
            wrong_endpoint=wrong_endpoint,
            stream=head.headers.get("content-type", "").startswith("text/event-stream"),
            fields=_without(head.fields, HOP_FIELDS | _connection_options(head.fields)),
            has_rate_limit_header=RATE_LIMIT in head.headers,
            rate_limit=_decimal(head.headers.get(RATE_LIMIT, "")),
            leaving=head.headers.get(LEAVING, "").strip() == "1",
            backoff_seconds=_pause(head),
        )

    def render_error(self, exc: RequestError) -> RenderedError:
        """Return an error answer; a status that says "not run" is only given with evidence."""
        status = ERROR_RESPONSES[exc.kind].status
        if status in NOT_RUN_STATUSES and exc.ran is not Executed.NO:
            status = STATUS_MAY_HAVE_RUN
        fields: Fields = (("Content-Type", "application/json"),)
        if exc.retry_after is not None and status in NOT_RUN_STATUSES:
            # Seconds, which may have a fraction here.
            fields += (("Retry-After", f"{exc.retry_after:.3f}"),)
        return status, fields, encode_error(exc)


def _without(fields: Fields, names: frozenset[str]) -> Fields:
    return tuple(each for each in fields if each[0].lower() not in names)


def _connection_options(fields: Fields) -> frozenset[str]:
    """Return the header names that a ``Connection`` header declares as of this hop only."""
    values = (value for name, value in fields if name.lower() == "connection")
    return frozenset(each.strip().lower() for value in values for each in value.split(","))


def _milliseconds(text: str) -> float | None:
    """Return seconds, None where the header is absent."""
    if not text:
        return None
    try:
        return max(0.0, float(text) / 1000)
    except ValueError:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST, f"{DEADLINE} must be milliseconds, got {text[:40]!r}"
        ) from None


def _decimal(text: str) -> float | None:
    """Return a decimal number that is not negative; None if it is absent or something else."""
    return float(text) if DECIMAL.fullmatch(text.strip()) else None


def _pause(head: ResponseHead) -> float | None:
    """Return the seconds for which a refusal wants no requests; None if it names no such time."""
    if head.status != STATUS_UNAVAILABLE:
        return None
    return _decimal(head.headers.get(RETRY_AFTER, "")) or None


def _key(authorization: str) -> str | None:
    if authorization[: len(BEARER)].lower() != BEARER:
        return None
    return authorization[len(BEARER) :].strip()


def _token_counts(text: str) -> tuple[int, int] | None:
    prompt, comma, output = text.partition(",")
    if not comma or not prompt.strip().isdigit() or not output.strip().isdigit():
        return None
    return int(prompt), int(output)


def _prompt(text: str) -> tuple[PromptPart, ...]:
    """Return the parts ``ID:TOKENS`` of a prompt; a malformed list is only a lost hint."""
    parts = []
    for each in text.split(",") if text else ():
        part_id, colon, tokens = each.strip().partition(":")
        if not colon or not tokens.isdigit():
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
