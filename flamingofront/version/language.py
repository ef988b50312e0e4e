"""The operators' query and command language: from text to typed statements.

Grammar::

    show WHAT [where FIELD OP VALUE [and ...]] [fields F,F] [order by F [desc]] [limit N]
    create KIND NAME FIELD=VALUE ...      change KIND NAME FIELD=VALUE ...
    put KIND NAME FIELD=VALUE ...         delete KIND NAME
    set share MOVE PERCENT
    drain vm|endpoint|side|zone TARGET    undrain vm|endpoint|side|zone TARGET
    settle OPERATION

``OP`` is one of ``= != < <= > >= ~`` (contains).
"""

import dataclasses
import re
import shlex
from dataclasses import dataclass
from typing import Any

from flamingofront.errors import CommandError
from flamingofront.version.edits import Edit, EditAction
from flamingofront.version.model import OBJECT_TYPES, DrainKind, ObjectKind

__all__ = [
    "SUBJECTS",
    "EditStatement",
    "Filter",
    "Query",
    "Settle",
    "Statement",
    "parse",
]

SUBJECTS = (
    "vms",
    "endpoints",
    "services",
    "routes",
    "moves",
    "workspaces",
    "drains",
    "requests",
    "shares",
    "leases",
    "held",
    "configuration",
    "counters",
)
OPERATORS = ("=", "!=", "<", "<=", ">", ">=", "~")
_VERBS = ("show", "create", "change", "put", "delete", "set", "drain", "undrain", "settle")
_CONDITION = re.compile(r"([a-z_]+)(!=|<=|>=|=|<|>|~)(.*)", re.DOTALL)
_TRUE = ("true", "yes", "on")
_FALSE = ("false", "no", "off")


@dataclass(frozen=True)
class Filter:
    """One condition on a field."""

    field: str
    operator: str
    value: str


@dataclass(frozen=True)
class Query:
    """A question about the state."""

    subject: str
    filters: tuple[Filter, ...] = ()
    fields: tuple[str, ...] = ()
    order: str = ""
    descending: bool = False
    limit: int | None = None


@dataclass(frozen=True)
class EditStatement:
    """Edits that take effect together or not at all."""

    edits: tuple[Edit, ...]


@dataclass(frozen=True)
class Settle:
    """A wish to know what became of an operation."""

    operation: str


Statement = Query | EditStatement | Settle


class _Words:
    """The words of a statement, taken one by one."""

    def __init__(self, text: str):
        try:
            self._words = shlex.split(text)
        except ValueError as exc:
            raise CommandError(f"cannot read {text!r}: {exc}") from exc
        self._next = 0

    @property
    def left(self) -> bool:
        """True if there are words left."""
        return self._next < len(self._words)

    def peek(self) -> str:
        """Return the next word without taking it."""
        return self._words[self._next] if self.left else ""

    def take(self, what: str) -> str:
        """Take the next word; `what` names it in the error if there is none."""
        if not self.left:
            raise CommandError(f"{what} is missing at the end")
        word = self._words[self._next]
        self._next += 1
        return word

    def take_if(self, word: str) -> bool:
        """Take the next word if it is `word`."""
        if self.peek() != word:
            return False
        self._next += 1
        return True

    def take_one_of(self, what: str, allowed: tuple[str, ...]) -> str:
        """Take a word that must be one of `allowed`."""
        word = self.take(what)
        if word not in allowed:
            raise CommandError(f"{what} must be one of {', '.join(allowed)}, got {word!r}")
        return word

    def end(self) -> None:
        """Raise if a word is left over."""
        if self.left:
            raise CommandError(f"unexpected word {self.peek()!r}")


def parse(text: str) -> Statement:
    """Return the statement that `text` says.

    Raises
    ------
    CommandError
        With the word that is wrong and what would be right.

    Examples
    --------
    >>> parse("set share shift 25").edits[0].values
    {'share': 25.0}
    """
    words = _Words(text)
    verb = words.take_one_of("the command", _VERBS)
    statement = _PARSERS[verb](verb, words)
    words.end()
    return statement


def _parse_show(verb: str, words: _Words) -> Query:
    subject = words.take_one_of("what to show", SUBJECTS)
    filters: tuple[Filter, ...] = ()
    fields: tuple[str, ...] = ()
    order, descending, limit = "", False, None
    while words.left:
        clause = words.take_one_of("the clause", ("where", "fields", "order", "limit"))
        if clause == "where":
            filters += _parse_filters(words)
        elif clause == "fields":
            fields = tuple(each for each in words.take("the fields").split(",") if each)
        elif clause == "order":
            order, descending = _parse_order(words)
        else:
            limit = _parse_limit(words)
    return Query(subject, filters, fields, order, descending, limit)


def _parse_filters(words: _Words) -> tuple[Filter, ...]:
    filters = [_parse_filter(words)]
    while words.take_if("and"):
        filters.append(_parse_filter(words))
    return tuple(filters)


def _parse_filter(words: _Words) -> Filter:
    word = words.take("a condition")
    match = _CONDITION.fullmatch(word)
    if match and match[3]:
        return Filter(match[1], match[2], match[3])
    if match:
        return Filter(match[1], match[2], words.take("the value"))
    operator = words.take("the operator")
    match = re.fullmatch(r"(!=|<=|>=|=|<|>|~)(.*)", operator, re.DOTALL)
    if not match:
        raise CommandError(f"operator must be one of {' '.join(OPERATORS)}, got {operator!r}")
    return Filter(word, match[1], match[2] or words.take("the value"))


def _parse_order(words: _Words) -> tuple[str, bool]:
    words.take_one_of("the word after order", ("by",))
    name = words.take("the field to order by")
    return name, words.take_if("desc")


def _parse_limit(words: _Words) -> int:
    text = words.take("the limit")
    if not text.isdigit():
        raise CommandError(f"limit must be a whole number, got {text!r}")
    return int(text)


def _parse_edit(verb: str, words: _Words) -> EditStatement:
    names = tuple(each.value for each in ObjectKind if each is not ObjectKind.DRAIN)
    kind = ObjectKind(words.take_one_of("the kind of object", names))
    name = words.take(f"the name of the {kind.value}")
    values: dict[str, Any] = {}
    while words.left and verb != "delete":
        field, value = _parse_assignment(kind, words.take("a field"))
        if field in values:
            raise CommandError(f"field {field!r} is given twice")
        values[field] = value
    return EditStatement((Edit(EditAction(verb), kind, name, values),))


def _parse_assignment(kind: ObjectKind, word: str) -> tuple[str, Any]:
    field, equals, text = word.partition("=")
    if not equals:
        raise CommandError(f"expected FIELD=VALUE, got {word!r}")
    types = {each.name: each.type for each in dataclasses.fields(OBJECT_TYPES[kind])}
    if field not in types or field == "name":
        known = ", ".join(sorted(set(types) - {"name"}))
        raise CommandError(f"{kind.value} has no field {field!r}; fields are {known}")
    return field, _parse_value(field, types[field], text)


def _parse_value(field: str, wanted: Any, text: str) -> Any:
    if wanted == tuple[str, ...]:
        return [each.strip() for each in text.split(",") if each.strip()]
    if wanted is bool:
        return _parse_bool(field, text)
    if wanted in (int, float):
        return _parse_number(field, wanted, text)
    return text


def _parse_bool(field: str, text: str) -> bool:
    if text.lower() in _TRUE:
        return True
    if text.lower() in _FALSE:
        return False
    raise CommandError(f"{field} must be true or false, got {text!r}")


def _parse_number(field: str, wanted: type, text: str) -> int | float:
    try:
        return wanted(text)
    except ValueError:
        what = "a whole number" if wanted is int else "a number"
        raise CommandError(f"{field} must be {what}, got {text!r}") from None


def _parse_set(verb: str, words: _Words) -> EditStatement:
    words.take_one_of("what to set", ("share",))
    move = words.take("the move")
    share = _parse_number("share", float, words.take("the percentage").rstrip("%"))
    return EditStatement((Edit(EditAction.CHANGE, ObjectKind.MOVE, move, {"share": share}),))


def _parse_drain(verb: str, words: _Words) -> EditStatement:
    kinds = tuple(each.value for each in DrainKind)
    kind = words.take_one_of("what to drain", kinds)
    target = words.take(f"the {kind}")
    name = f"{kind}.{target}"
    if verb == "undrain":
        return EditStatement((Edit(EditAction.DELETE, ObjectKind.DRAIN, name),))
    values = {"kind": kind, "target": target}
    return EditStatement((Edit(EditAction.PUT, ObjectKind.DRAIN, name, values),))


def _parse_settle(verb: str, words: _Words) -> Settle:
    return Settle(words.take("the operation id"))


_PARSERS = {
    "show": _parse_show,
    "create": _parse_edit,
    "change": _parse_edit,
    "put": _parse_edit,
    "delete": _parse_edit,
    "set": _parse_set,
    "drain": _parse_drain,
    "undrain": _parse_drain,
    "settle": _parse_settle,
}
