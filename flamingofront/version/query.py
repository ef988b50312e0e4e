"""Answer queries: a pipeline of generators over rows."""

import operator
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from flamingofront.errors import CommandError
from flamingofront.version.language import Filter, Query

__all__ = ["run_query"]

TableRow = Mapping[str, Any]
UNKNOWN_TEXT = "-"
_COMPARE: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


def run_query(query: Query, rows: Iterable[TableRow], columns: tuple[str, ...]) -> list[TableRow]:
    """Return the rows that a query asks for.

    Parameters
    ----------
    columns : tuple of str
        Fields that the rows of this subject have.

    Raises
    ------
    CommandError
        If the query names a field that the subject lacks.
    """
    used = [each.field for each in query.filters] + list(query.fields)
    used += [query.order] if query.order else []
    for name in used:
        if name not in columns:
            raise CommandError(
                f"{query.subject} has no field {name!r}; fields are {', '.join(columns)}"
            )
    selected = _where(rows, query.filters)
    ordered = _order(selected, query.order, query.descending)
    limited = _limit(ordered, query.limit)
    return list(_project(limited, query.fields or columns))


def _where(rows: Iterable[TableRow], filters: tuple[Filter, ...]) -> Iterator[TableRow]:
    return (row for row in rows if all(_holds(row.get(each.field), each) for each in filters))


def _holds(value: Any, condition: Filter) -> bool:
    if value is None:
        return _holds_unknown(condition)
    if condition.operator == "~":
        return condition.value in str(value)
    left, right = _comparable(value, condition.value)
    return _COMPARE[condition.operator](left, right)


def _holds_unknown(condition: Filter) -> bool:
    """Judge a value that is not known: it equals only ``-`` and has no place in an order."""
    is_unknown = condition.value == UNKNOWN_TEXT
    if condition.operator == "=":
        return is_unknown
    return condition.operator == "!=" and not is_unknown


def _comparable(value: Any, text: str) -> tuple[Any, Any]:
    """Compare as numbers where both sides are numbers, as texts elsewhere."""
    if isinstance(value, bool):
        return str(value).lower(), text.lower()
    if isinstance(value, int | float):
        try:
            return float(value), float(text)
        except ValueError:
            pass
    return str(value), text


def _sort_key(value: Any) -> tuple[int, float, str]:
    if isinstance(value, int | float):
        return 0, float(value), ""
    return 1, 0.0, str(value)


def _order(rows: Iterable[TableRow], name: str, descending: bool) -> Iterable[TableRow]:
    if not name:
        return rows
    known, unknown = [], []
    for row in rows:
        (unknown if row.get(name) is None else known).append(row)
    known.sort(key=lambda row: _sort_key(row[name]), reverse=descending)
    return known + unknown


def _limit(rows: Iterable[TableRow], limit: int | None) -> Iterator[TableRow]:
    for count, row in enumerate(rows):
        if limit is not None and count >= limit:
            return
        yield row


def _project(rows: Iterable[TableRow], names: tuple[str, ...]) -> Iterator[TableRow]:
    for row in rows:
        yield {name: row.get(name) for name in names}
