"""A request as it is given to another entry VM or kept in the table service."""

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
    """What a model engine is asked for."""

    model: str
    prompt: tuple[str, ...]
    max_tokens: int
    chat: bool
    stream: bool = False


@dataclass(frozen=True)
class PlainWork:
    """What a plain service is asked for."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class RequestRecord:
    """Everything another process needs to go on with a request.

    Parameters
    ----------
    service : Service
        The service as it was when the request was accepted; a later change doesn't touch it.
    side : str or None
        Side of a move that the request takes.
    tokens : tuple of str
        Text so far.
    epoch : int
        Number of hand-overs; a record with a lower one is out of date.
    deadline_left : float
        Seconds that are left of the request's time.
    job : bool
        True if the request is kept in the table service.
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
        """Tell whether the work may run a second time."""
        work = self.work
        if isinstance(work, ForwardWork):
            return work.repeatable
        return isinstance(work, ModelWork) or self.service.can_repeat(work.method, work.path)

    @property
    def max_attempts(self) -> int | None:
        """Return how many endpoints the request may be sent to; None if there is no limit."""
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
        """Return the record that `to_json` was called on."""
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
