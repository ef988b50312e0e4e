"""`flamingofront`: the operators' command line."""

import getpass
import http.client
import os
import secrets
import shlex
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Any

import defopt
import orjson

from flamingofront.errors import CommandError
from flamingofront.logview import select_lines
from flamingofront.version.files import load_statements

__all__ = ["ExitCode", "OperatorClient", "main"]

DEFAULT_ENTRY = "127.0.0.1:8090"
CALL_TIMEOUT_SECONDS = 15.0
POLL_SECONDS = 0.25
IN_FORCE_SECONDS = 8.0


class ExitCode(IntEnum):
    """What the exit code of the command line says."""

    OK = 0
    BAD_COMMAND = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNAVAILABLE = 6
    TIMED_OUT = 7


_CODE_OF_STATE = {
    "accepted": ExitCode.OK,
    "conflict": ExitCode.CONFLICT,
    "refused": ExitCode.REFUSED,
    "abandoned": ExitCode.REFUSED,
    "unavailable": ExitCode.UNAVAILABLE,
    "unknown": ExitCode.UNKNOWN,
}


@dataclass(frozen=True)
class Reply:
    """Answer of an entry VM; status 0 if none answered.

    Parameters
    ----------
    sent : bool
        True if the call may have reached an entry VM.
    """

    status: int
    data: dict[str, Any]
    sent: bool = True


class OperatorClient:
    """Sends statements to the entry VMs, one address after the other until one answers.

    Parameters
    ----------
    entries : list of str
        Control addresses, ``IP:PORT``.
    """

    def __init__(self, entries: list[str], operator: str, token: str = ""):
        self._entries = entries
        self._operator = operator
        self._token = token

    def send(
        self, statements: list[str], operation: str | None = None, base: int | None = None
    ) -> Reply:
        """Send statements and return the first answer.

        Notes
        -----
        A change carries its operation id, so sending it to a second entry VM after the first did
        not answer cannot apply it twice.
        """
        body = {
            "statements": statements,
            "operator": self._operator,
            "operation": operation,
            "base": base,
        }
        sent = False
        detail = "no entry VM could be reached"
        for address in self._entries:
            try:
                return self._post(address, orjson.dumps(body))
            except ConnectionRefusedError as exc:
                detail = f"{address}: {exc}"
            except (OSError, http.client.HTTPException) as exc:
                sent = True
                detail = f"{address}: {exc or type(exc).__name__}"
        return Reply(0, {"detail": detail}, sent)

    def _post(self, address: str, body: bytes) -> Reply:
        conn = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
        headers = {"Content-Type": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        try:
            conn.request("POST", "/operate", body, headers)
            res = conn.getresponse()
            return Reply(res.status, orjson.loads(res.read()))
        finally:
            conn.close()


@dataclass(frozen=True)
class _Options:
    entry: str
    operator: str
    token: str
    json: bool

    def client(self) -> OperatorClient:
        """Return a client for these options."""
        entries = [each.strip() for each in self.entry.split(",") if each.strip()]
        return OperatorClient(entries, self.operator, self.token)


def _options(entry: str, operator: str, token: str, json: bool) -> _Options:
    return _Options(
        entry or os.environ.get("FLAMINGOFRONT_ENTRY", DEFAULT_ENTRY),
        operator or os.environ.get("FLAMINGOFRONT_OPERATOR", "") or getpass.getuser(),
        token or os.environ.get("FLAMINGOFRONT_CONTROL_TOKEN", ""),
        json,
    )


def _say(text: str) -> None:
    print(text, file=sys.stderr)


def _print_json(data: Any) -> None:
    print(orjson.dumps(data, option=orjson.OPT_INDENT_2).decode())


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return str(value) if value != "" else "-"


def format_table(columns: list[str], rows: list[dict[str, Any]]) -> str:
    """Return rows as a table with aligned columns."""
    cells = [[_cell(row[name]) for name in columns] for row in rows]
    widths = [
        max([len(name), *(len(line[index]) for line in cells)])
        for index, name in enumerate(columns)
    ]
    lines = [columns, *cells]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def _fail_on_error(reply: Reply) -> None:
    """End the program if a call was not understood or not answered."""
    if reply.status == 0:
        _say(f"error: {reply.data['detail']}")
        sys.exit(ExitCode.UNAVAILABLE)
    error = reply.data.get("error")
    if error is not None:
        _say(f"error: {error['message']}")
        bad = reply.status in (400, 401, 404)
        sys.exit(ExitCode.BAD_COMMAND if bad else ExitCode.UNAVAILABLE)


def _query(options: _Options, statement: str) -> None:
    reply = options.client().send([statement])
    _fail_on_error(reply)
    if options.json:
        _print_json(reply.data)
    else:
        print(format_table(reply.data["columns"], reply.data["rows"]))
    if reply.data["missing"]:
        _say(f"not heard: {', '.join(reply.data['missing'])}")


def _change(options: _Options, statements: list[str], base: int, no_wait: bool) -> None:
    operation = f"op-{secrets.token_hex(8)}"
    client = options.client()
    reply = client.send(statements, operation, base if base >= 0 else None)
    if reply.status == 0:
        _report_unanswered(reply, operation)
    _fail_on_error(reply)
    outcome = reply.data
    if outcome["state"] == "accepted" and not no_wait:
        outcome["in_force"] = _wait_in_force(client, outcome["revision"])
    if options.json:
        _print_json(outcome)
    else:
        print(_outcome_text(outcome))
    sys.exit(_CODE_OF_STATE[outcome["state"]])


def _report_unanswered(reply: Reply, operation: str) -> None:
    if not reply.sent:
        _say(f"unavailable: nothing was changed: {reply.data['detail']}")
        sys.exit(ExitCode.UNAVAILABLE)
    _say(f"unknown: {reply.data['detail']}; find out with: flamingofront settle {operation}")
    sys.exit(ExitCode.UNKNOWN)


def _outcome_text(outcome: dict[str, Any]) -> str:
    state, operation = outcome["state"], outcome["operation"]
    if state == "accepted":
        zones = outcome.get("in_force")
        where = "" if zones is None else f", in force in {_zones_text(zones)}"
        return f"accepted: revision {outcome['revision']}{where} (operation {operation})"
    if state == "conflict":
        what = ", ".join(outcome["faults"])
        by = outcome["operator"]
        return f"conflict: revision {outcome['revision']} by {by} changed {what} first"
    if state == "unknown":
        return f"unknown: find out with: flamingofront settle {operation}"
    if state == "abandoned":
        return f"abandoned: operation {operation} did not take effect and never will"
    return f"{state}: nothing was changed: " + "; ".join(outcome["faults"])


def _zones_text(zones: dict[str, bool]) -> str:
    in_force = [zone for zone, reached in zones.items() if reached]
    waiting = [zone for zone, reached in zones.items() if not reached]
    text = ", ".join(in_force) or "no zone yet"
    return f"{text}; not confirmed in {', '.join(waiting)}" if waiting else text


def _wait_in_force(client: OperatorClient, revision: int) -> dict[str, bool]:
    """Wait until all processes that are heard have a revision; return the zones."""
    zones: dict[str, bool] = {}

    def reached() -> bool:
        reply = client.send(["show configuration"])
        if reply.status != 200:
            return False
        zones.clear()
        for row in reply.data["rows"]:
            zones[row["zone"]] = zones.get(row["zone"], True) and row["revision"] >= revision
        return all(zones.values())

    _poll(reached, IN_FORCE_SECONDS, lambda: f"waiting for revision {revision} in all zones")
    return dict(sorted(zones.items()))


def _poll(is_done: Callable[[], bool], seconds: float, about: Callable[[], str]) -> bool:
    """Ask until something is done; show progress on a terminal."""
    end = time.monotonic() + seconds
    shown = False
    while not is_done():
        if time.monotonic() >= end:
            return False
        if sys.stderr.isatty():
            print(f"\r\x1b[K{about()}", end="", file=sys.stderr, flush=True)
            shown = True
        time.sleep(POLL_SECONDS)
    if shown:
        print("\r\x1b[K", end="", file=sys.stderr, flush=True)
    return True


def show(
    *words: str, entry: str = "", operator: str = "", token: str = "", json: bool = False
) -> None:
    """Ask what is running and where.

    Subjects: vms, endpoints, services, routes, moves, workspaces, drains, requests, shares, leases,
    held, configuration, counters. Clauses: where FIELD OP VALUE [and ...], fields F,F,
    order by F [desc], limit N. Examples:
    "flamingofront show requests where workspace=demo order by age desc limit 5",
    "flamingofront show counters where counter=refusals_total".

    :param words: the rest of the statement
    :param entry: control IP:PORT[,IP:PORT] of entry VMs; FLAMINGOFRONT_ENTRY
    :param operator: your name; FLAMINGOFRONT_OPERATOR
    :param token: control token; FLAMINGOFRONT_CONTROL_TOKEN
    :param json: print JSON instead of a table
    """
    _query(_options(entry, operator, token, json), _statement("show", words))


def _statement(verb: str, words: tuple[str, ...]) -> str:
    return " ".join([verb, *(shlex.quote(word) for word in words)])


def _changing(verb: str, about: str) -> Callable[..., None]:
    """Return the command for a verb that changes the configuration."""

    def command(
        *words: str,
        entry: str = "",
        operator: str = "",
        token: str = "",
        json: bool = False,
        base: int = -1,
        no_wait: bool = False,
    ) -> None:
        options = _options(entry, operator, token, json)
        _change(options, [_statement(verb, words)], base, no_wait)

    command.__name__ = verb
    command.__doc__ = f"""{about}

    :param words: the rest of the statement
    :param entry: control IP:PORT[,IP:PORT] of entry VMs; FLAMINGOFRONT_ENTRY
    :param operator: your name; FLAMINGOFRONT_OPERATOR
    :param token: control token; FLAMINGOFRONT_CONTROL_TOKEN
    :param json: print JSON instead of text
    :param base: revision that you saw; a later change of the same object is a conflict
    :param no_wait: do not wait until the change is in force in all zones
    """
    return command


create = _changing(
    "create",
    "Create an object. Example: flamingofront create route chat service=demo",
)
change = _changing(
    "change",
    "Change fields of an object. Example: flamingofront change workspace desk max_in_flight=40",
)
put = _changing(
    "put", "Create or replace an object. Example: flamingofront put workspace desk weight=2"
)
delete = _changing("delete", "Delete an object. Example: flamingofront delete route chat")
set_ = _changing("set", "Set the share of a move. Example: flamingofront set share shift 25")
drain = _changing(
    "drain",
    "Give no new work to a vm, endpoint, side or zone. Example: flamingofront drain side north",
)
undrain = _changing(
    "undrain", "Give new work again. Example: flamingofront undrain endpoint engine-a1"
)
settle = _changing(
    "settle",
    "Find out, and make final, what became of a change whose outcome is unknown. "
    "Example: flamingofront settle op-0123456789abcdef",
)


def apply(
    file: Path,
    *,
    entry: str = "",
    operator: str = "",
    token: str = "",
    json: bool = False,
    base: int = -1,
    no_wait: bool = False,
) -> None:
    """Put all objects of a TOML file in force, together or not at all.

    Example: flamingofront apply examples/demo.toml

    :param file: configuration file
    :param entry: control IP:PORT[,IP:PORT] of entry VMs; FLAMINGOFRONT_ENTRY
    :param operator: your name; FLAMINGOFRONT_OPERATOR
    :param token: control token; FLAMINGOFRONT_CONTROL_TOKEN
    :param json: print JSON instead of text
    :param base: revision that you saw; a later change of the same object is a conflict
    :param no_wait: do not wait until the change is in force in all zones
    """
    try:
        statements = load_statements(file.read_text())
    except (OSError, CommandError) as exc:
        _say(f"error: {file}: {exc}")
        sys.exit(ExitCode.BAD_COMMAND)
    _change(_options(entry, operator, token, json), statements, base, no_wait)


def wait(
    kind: str,
    target: str,
    *,
    timeout: float = 600.0,
    entry: str = "",
    operator: str = "",
    token: str = "",
) -> None:
    """Wait until a drain has no request left. Example: flamingofront wait side north

    :param kind: vm, endpoint, side or zone
    :param target: what is being drained
    :param timeout: seconds to wait
    :param entry: control IP:PORT[,IP:PORT] of entry VMs; FLAMINGOFRONT_ENTRY
    :param operator: your name; FLAMINGOFRONT_OPERATOR
    :param token: control token; FLAMINGOFRONT_CONTROL_TOKEN
    """
    client = _options(entry, operator, token, False).client()
    left = {"requests": -1}

    def is_drained() -> bool:
        name = shlex.quote(f"{kind}.{target}")
        reply = client.send([f"show drains where name = {name}"])
        _fail_on_error(reply)
        if not reply.data["rows"]:
            _say(f"error: {kind} {target} is not being drained")
            sys.exit(ExitCode.BAD_COMMAND)
        left["requests"] = reply.data["rows"][0]["requests"]
        return left["requests"] == 0 and not reply.data["missing"]

    if not _poll(is_drained, timeout, lambda: f"{kind} {target}: {left['requests']} requests left"):
        _say(f"timed out: {kind} {target} has {left['requests']} requests left")
        sys.exit(ExitCode.TIMED_OUT)
    print(f"drained: {kind} {target}")


def logs(*files: str, request: str = "", event: str = "", since: str = "", work: str = "") -> None:
    """Print log lines of entry processes in order of time.

    :param files: log files of JSON lines; standard input if none is given
    :param request: only lines of the request with this id
    :param event: only lines of this event
    :param since: only lines from this time on, for example 2026-01-31T12:00:00
    :param work: only lines on this piece of work: a digest that all repeats of a request have
    """
    try:
        lines = [line for name in files for line in Path(name).read_text().splitlines()]
    except OSError as exc:
        _say(f"{exc.filename}: {exc.strerror}")
        sys.exit(ExitCode.BAD_COMMAND)
    if not files:
        lines = sys.stdin.read().splitlines()
    try:
        for text in select_lines(lines, request, event, since, work):
            print(text)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, for example `head`, has seen enough; the interpreter must not flush again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def main() -> None:
    """Run the command line."""
    commands = {
        "show": show,
        "create": create,
        "change": change,
        "put": put,
        "delete": delete,
        "set": set_,
        "drain": drain,
        "undrain": undrain,
        "settle": settle,
        "apply": apply,
        "wait": wait,
        "logs": logs,
    }
    defopt.run(commands)


if __name__ == "__main__":
    main()
