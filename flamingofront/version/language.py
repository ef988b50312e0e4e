"""Parser of the operators' query and command language.

Grammar::

    show WHAT [where FIELD OP VALUE [and ...]] [fields F,F] [order by F [desc]] [limit N]
    create KIND NAME FIELD=VALUE ...      change KIND NAME FIELD=VALUE ...
    put KIND NAME FIELD=VALUE ...         delete KIND NAME
    set share MOVE PERCENT
    drain vm|endpoint|side|zone TARGET    undrain vm|endpoint|side|zone TARGET
    settle OPERATION
    release WORK

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
    "Release",
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
    "paths",
)
OPERATORS = ("=", "!=", "<", "<=", ">", ">=", "~")
_VERBS = (
    "show",
    "create",
    "change",
    "put",
    "delete",
    "set",
    "drain",
    "undrain",
    "settle",
    "release",
)
_CONDITION = re.compile(r"([a-z_]+)(!=|<=|>=|=|<|>|~)(.*)", re.DOTALL)
_TRUE = ("true", "yes", "on")
_FALSE = ("false", "no", "off")


@dataclass(frozen=True)
class Filter:
    """Condition on one field."""

    field: str
    operator: str
    value: str


@dataclass(frozen=True)
class Query:
    """A ``show`` statement."""

    subject: str
    filters: tuple[Filter, ...] = ()
    fields: tuple[str, ...] = ()
    order: str = ""
    descending: bool = False
    limit: int | None = None


@dataclass(frozen=True)
class EditStatement:
    """A statement with edits that are committed atomically."""

    edits: tuple[Edit, ...]


@dataclass(frozen=True)
class Settle:
    """A ``settle`` statement: asks for the outcome of an operation."""

    operation: str


@dataclass(frozen=True)
class Release:
    """A ``release`` statement: runs a quarantined request, or requests with a part, again.

    Parameters
    ----------
    work : str
        Fingerprint of the request, or key of the prompt part.
    """

    work: str


Statement = Query | EditStatement | Settle | Release


class _TokenReader:
    """Reader of the words of a statement, with one word of lookahead."""

    def __init__(self, text: str):
        try:
            self._tokens = shlex.split(text)
        except ValueError as exc:
            raise CommandError(f"cannot read {text!r}: {exc}") from exc
        self._position = 0

    @property
    def has_next(self) -> bool:
        """True if there is another word."""
        return self._position < len(self._tokens)

    def peek(self) -> str:
        """Return the next word without consuming it, an empty string at the end."""
        return self._tokens[self._position] if self.has_next else ""

    def next_word(self, what: str) -> str:
        """Consume and return the next word; `what` describes it in the error if it is missing."""
        if not self.has_next:
            raise CommandError(f"{what} is missing at the end")
        word = self._tokens[self._position]
        self._position += 1
        return word

    def skip_if(self, word: str) -> bool:
        """Consume the next word if it equals `word`; return True if it did."""
        if self.peek() != word:
            return False
        self._position += 1
        return True

    def next_choice(self, what: str, allowed: tuple[str, ...]) -> str:
        """Consume and return the next word, which must be one of `allowed`."""
        word = self.next_word(what)
        if word not in allowed:
            raise CommandError(f"{what} must be one of {', '.join(allowed)}, got {word!r}")
        return word

    def expect_end(self) -> None:
        """Raise a `CommandError` if there is another word."""
        if self.has_next:
            raise CommandError(f"unexpected word {self.peek()!r}")


def parse(text: str) -> Statement:
    """Parse one statement.

    Raises
    ------
    CommandError
        If the statement is malformed; the message says what was expected.

    Examples
    --------
    >>> parse("set share shift 25").edits[0].values
    {'share': 25.0}
    """
    tokens = _TokenReader(text)
    verb = tokens.next_choice("the command", _VERBS)
    statement = _PARSERS[verb](verb, tokens)
    tokens.expect_end()
    return statement


def _parse_show(verb: str, tokens: _TokenReader) -> Query:
    subject = tokens.next_choice("what to show", SUBJECTS)
    filters: tuple[Filter, ...] = ()
    fields: tuple[str, ...] = ()
    order, descending, limit = "", False, None
    while tokens.has_next:
        clause = tokens.next_choice("the clause", ("where", "fields", "order", "limit"))
        if clause == "where":
            filters += _parse_filters(tokens)
        elif clause == "fields":
            fields = tuple(each for each in tokens.next_word("the fields").split(",") if each)
        elif clause == "order":
            order, descending = _parse_order(tokens)
        else:
            limit = _parse_limit(tokens)
    return Query(subject, filters, fields, order, descending, limit)


def _parse_filters(tokens: _TokenReader) -> tuple[Filter, ...]:
    filters = [_parse_filter(tokens)]
    while tokens.skip_if("and"):
        filters.append(_parse_filter(tokens))
    return tuple(filters)


def _parse_filter(tokens: _TokenReader) -> Filter:
    word = tokens.next_word("a condition")
    match = _CONDITION.fullmatch(word)
    if match and match[3]:
        return Filter(match[1], match[2], match[3])
    if match:
        return Filter(match[1], match[2], tokens.next_word("the value"))
    operator = tokens.next_word("the operator")
    match = re.fullmatch(r"(!=|<=|>=|=|<|>|~)(.*)", operator, re.DOTALL)
    if not match:
        raise CommandError(f"operator must be one of {' '.join(OPERATORS)}, got {operator!r}")
    return Filter(word, match[1], match[2] or tokens.next_word("the value"))


def _parse_order(tokens: _TokenReader) -> tuple[str, bool]:
    tokens.next_choice("the word after order", ("by",))
    name = tokens.next_word("the field to order by")
    return name, tokens.skip_if("desc")


def _parse_limit(tokens: _TokenReader) -> int:
    text = tokens.next_word("the limit")
    if not text.isdigit():
        raise CommandError(f"limit must be a whole number, got {text!r}")
    return int(text)


def _parse_edit(verb: str, tokens: _TokenReader) -> EditStatement:
    names = tuple(each.value for each in ObjectKind if each is not ObjectKind.DRAIN)
    kind = ObjectKind(tokens.next_choice("the kind of object", names))
    name = tokens.next_word(f"the name of the {kind.value}")
    values: dict[str, Any] = {}
    while tokens.has_next and verb != "delete":
        field, value = _parse_assignment(kind, tokens.next_word("a field"))
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
        expected = ", ".join(sorted(set(types) - {"name"}))
        raise CommandError(f"{kind.value} has no field {field!r}; fields are {expected}")
    return field, _parse_value(field, types[field], text)


def _parse_value(field: str, field_type: Any, text: str) -> Any:
    if field_type == tuple[str, ...]:
        return [each.strip() for each in text.split(",") if each.strip()]
    if field_type is bool:
        return _parse_bool(field, text)
    if field_type in (int, float):
        return _parse_number(field, field_type, text)
    return text


def _parse_bool(field: str, text: str) -> bool:
    if text.lower() in _TRUE:
        return True
    if text.lower() in _FALSE:
        return False
    raise CommandError(f"{field} must be true or false, got {text!r}")


def _parse_number(field: str, number_type: type, text: str) -> int | float:
    try:
        return number_type(text)
    except ValueError:
        what = "a whole number" if number_type is int else "a number"
        raise CommandError(f"{field} must be {what}, got {text!r}") from None


def _parse_set(verb: str, tokens: _TokenReader) -> EditStatement:
    tokens.next_choice("what to set", ("share",))
    move = tokens.next_word("the move")
    share = _parse_number("share", float, tokens.next_word("the percentage").rstrip("%"))
    return EditStatement((Edit(EditAction.CHANGE, ObjectKind.MOVE, move, {"share": share}),))


def _parse_drain(verb: str, tokens: _TokenReader) -> EditStatement:
    kinds = tuple(each.value for each in DrainKind)
    kind = tokens.next_choice("what to drain", kinds)
    target = tokens.next_word(f"the {kind}")
    name = f"{kind}.{target}"
    if verb == "undrain":
        return EditStatement((Edit(EditAction.DELETE, ObjectKind.DRAIN, name),))
    values = {"kind": kind, "target": target}
    return EditStatement((Edit(EditAction.PUT, ObjectKind.DRAIN, name, values),))


def _parse_settle(verb: str, tokens: _TokenReader) -> Settle:
    return Settle(tokens.next_word("the operation id"))


def _parse_release(verb: str, tokens: _TokenReader) -> Release:
    return Release(tokens.next_word("the work to release, as in show held"))


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
    "release": _parse_release,
}
