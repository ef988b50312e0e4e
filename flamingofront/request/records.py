"""Serializable records of requests, for hand-overs and for storage in the table service."""

import base64
import dataclasses
from dataclasses import dataclass
from typing import Any

from flamingofront.errors import Executed
from flamingofront.request.forward_work import ForwardWork
from flamingofront.version.model import ObjectKind, Service, make_object

__all__ = ["ModelWork", "PlainWork", "RequestRecord"]


@dataclass(frozen=True)
class ModelWork:
    """Parameters of a completion by a model engine."""

    model: str
    prompt: tuple[str, ...]
    max_tokens: int
    chat: bool
    stream: bool = False


@dataclass(frozen=True)
class PlainWork:
    """HTTP request to a plain service."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class RequestRecord:
    """Everything that another process needs to resume a request.

    Parameters
    ----------
    service : Service
        The service at the time of acceptance; later changes do not affect the request.
    side : str or None
        Side of a move to which the request is routed.
    tokens : tuple of str
        Tokens generated so far.
    ran : Ran
        Whether the request was executed.
    epoch : int
        Number of hand-overs; a record with a lower number is outdated.
    deadline_left : float
        Seconds until the request's deadline.
    job : bool
        True if the request is stored in the table service.
    key : str
        Idempotency key; empty if there is none.
    """

    request_id: str
    workspace: str
    route: str
    service: Service
    work: ModelWork | PlainWork | ForwardWork
    side: str | None = None
    tokens: tuple[str, ...] = ()
    ran: Executed = Executed.NO
    epoch: int = 0
    deadline_left: float = 60.0
    job: bool = False
    key: str = ""

    @property
    def may_repeat(self) -> bool:
        """True if the request may run more than once."""
        work = self.work
        if isinstance(work, ForwardWork):
            return work.repeatable
        return isinstance(work, ModelWork) or self.service.can_repeat(work.method, work.path)

    @property
    def max_attempts(self) -> int | None:
        """Maximum number of attempts; None if there is no limit."""
        return self.work.max_attempts if isinstance(self.work, ForwardWork) else None

    def to_json(self) -> dict[str, Any]:
        """Return the record as JSON values."""
        data = {each.name: getattr(self, each.name) for each in dataclasses.fields(self)}
        data["service"] = dataclasses.asdict(self.service)
        data["work"] = _work_to_json(self.work)
        data["tokens"] = list(self.tokens)
        data["ran"] = self.ran.value
        return data

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "RequestRecord":
        """Return the record from the values that `to_json` returned."""
        values = dict(data)
        values["service"] = make_object(ObjectKind.SERVICE, data["service"])
        values["work"] = _work_from_json(data["work"])
        values["tokens"] = tuple(data["tokens"])
        values["ran"] = Executed(data["ran"])
        return cls(**values)


def _work_to_json(work: ModelWork | PlainWork) -> dict[str, Any]:
    data = dataclasses.asdict(work)
    if isinstance(work, PlainWork):
        data["body"] = base64.b64encode(work.body).decode()
        data["kind"] = "plain"
    else:
        data["kind"] = "model"
    return data


def _work_from_json(data: dict[str, Any]) -> ModelWork | PlainWork:
    values = dict(data)
    if values.pop("kind") == "model":
        values["prompt"] = tuple(values["prompt"])
        return ModelWork(**values)
    values["headers"] = tuple((name, value) for name, value in values["headers"])
    values["body"] = base64.b64decode(values["body"])
    return PlainWork(**values)
