"""Evaluation of queries as a pipeline of generators over rows."""

import operator
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from flamingofront.errors import CommandError
from flamingofront.version.language import Filter, Query

__all__ = ["run_query"]

TableRow = Mapping[str, Any]
MISSING_TEXT = "-"
_COMPARE: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


def run_query(query: Query, rows: Iterable[TableRow], columns: tuple[str, ...]) -> list[TableRow]:
    """Return the rows that match a query, ordered, limited and reduced to its fields.

    Parameters
    ----------
    columns : tuple of str
        Names of all fields of the query's subject.

    Raises
    ------
    CommandError
        If the query uses a field that the subject does not have.
    """
    used_fields = [each.field for each in query.filters] + list(query.fields)
    used_fields += [query.order] if query.order else []
    for name in used_fields:
        if name not in columns:
            raise CommandError(
                f"{query.subject} has no field {name!r}; fields are {', '.join(columns)}"
            )
    selected = _filter_rows(rows, query.filters)
    ordered = _sort_rows(selected, query.order, query.descending)
    limited = _limit_rows(ordered, query.limit)
    return list(_select_fields(limited, query.fields or columns))


def _filter_rows(rows: Iterable[TableRow], filters: tuple[Filter, ...]) -> Iterator[TableRow]:
    return (
        row for row in rows if all(_matches_filter(row.get(each.field), each) for each in filters)
    )


def _matches_filter(value: Any, condition: Filter) -> bool:
    if value is None:
        return _matches_missing(condition)
    if condition.operator == "~":
        return condition.value in str(value)
    left, right = _convert_operands(value, condition.value)
    return _COMPARE[condition.operator](left, right)


def _matches_missing(condition: Filter) -> bool:
    """Return True if a missing value matches: it equals only ``-`` and no ordering applies."""
    compares_missing = condition.value == MISSING_TEXT
    if condition.operator == "=":
        return compares_missing
    return condition.operator == "!=" and not compares_missing


def _convert_operands(value: Any, text: str) -> tuple[Any, Any]:
    """Return both operands as numbers if both are numeric, as strings otherwise."""
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


def _sort_rows(rows: Iterable[TableRow], name: str, descending: bool) -> Iterable[TableRow]:
    if not name:
        return rows
    present, missing = [], []
    for row in rows:
        (missing if row.get(name) is None else present).append(row)
    present.sort(key=lambda row: _sort_key(row[name]), reverse=descending)
    return present + missing


def _limit_rows(rows: Iterable[TableRow], limit: int | None) -> Iterator[TableRow]:
    for count, row in enumerate(rows):
        if limit is not None and count >= limit:
            return
        yield row


def _select_fields(rows: Iterable[TableRow], names: tuple[str, ...]) -> Iterator[TableRow]:
    for row in rows:
        yield {name: row.get(name) for name in names}
