"""Configuration files: TOML with one table for each object."""

import shlex
import tomllib
from typing import Any

from flamingofront.errors import CommandError
from flamingofront.version.model import ObjectKind

__all__ = ["load_statements"]

_TABLES = {
    "services": ObjectKind.SERVICE,
    "workspaces": ObjectKind.WORKSPACE,
    "routes": ObjectKind.ROUTE,
    "moves": ObjectKind.MOVE,
}


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(_format_value(each) for each in value)
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def load_statements(text: str) -> list[str]:
    """Return the ``put`` statements that apply the text of a configuration file.

    Raises
    ------
    CommandError
        If the text is not valid TOML or has unexpected keys or tables.

    Examples
    --------
    >>> load_statements('[routes.demo]\\nservice = "demo"')
    ['put route demo service=demo']
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise CommandError(f"configuration file is not valid TOML: {exc}") from exc
    statements = []
    for table, objects in data.items():
        if table not in _TABLES or not isinstance(objects, dict):
            raise CommandError(f"unknown table {table!r}; expected one of {', '.join(_TABLES)}")
        for name, values in objects.items():
            if not isinstance(values, dict):
                raise CommandError(f"{table}.{name} must be a table, got {values!r}")
            assignments = [f"{field}={_format_value(value)}" for field, value in values.items()]
            quoted = " ".join(shlex.quote(each) for each in assignments)
            statements.append(f"put {_TABLES[table].value} {shlex.quote(name)} {quoted}".rstrip())
    return statements
