"""The configuration file: TOML with one table for each object."""

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


def _text(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(_text(each) for each in value)
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def load_statements(text: str) -> list[str]:
    """Return the ``put`` statements that bring a configuration file into force.

    Raises
    ------
    CommandError
        If the file is not TOML or has a table that is not known.

    Examples
    --------
    >>> load_statements('[routes.demo]\\nservice = "demo"')
    ['put route demo service=demo']
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise CommandError(f"the file is not valid TOML: {exc}") from exc
    statements = []
    for table, objects in data.items():
        if table not in _TABLES or not isinstance(objects, dict):
            raise CommandError(f"no table {table!r}; tables are {', '.join(_TABLES)}")
        for name, values in objects.items():
            if not isinstance(values, dict):
                raise CommandError(f"{table}.{name} must be a table, got {values!r}")
            words = [f"{field}={_text(value)}" for field, value in values.items()]
            quoted = " ".join(shlex.quote(word) for word in words)
            statements.append(f"put {_TABLES[table].value} {shlex.quote(name)} {quoted}".rstrip())
    return statements
