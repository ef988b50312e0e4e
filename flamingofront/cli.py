"""`flamingofront`: the command line for operators."""

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
from flamingofront.log_summary import format_summary, summarize_requests
from flamingofront.logview import select_lines
from flamingofront.version.files import load_statements

__all__ = ["ExitCode", "OperatorClient", "main"]

DEFAULT_ENTRY = "127.0.0.1:8090"
CALL_TIMEOUT_SECONDS = 15.0
POLL_SECONDS = 0.25
ACTIVATION_TIMEOUT_SECONDS = 8.0


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    BAD_COMMAND = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNAVAILABLE = 6
    TIMED_OUT = 7


_EXIT_CODES = {
    "accepted": ExitCode.OK,
    "conflict": ExitCode.CONFLICT,
    "refused": ExitCode.REFUSED,
    "abandoned": ExitCode.REFUSED,
    "unavailable": ExitCode.UNAVAILABLE,
    "unknown": ExitCode.UNKNOWN,
}


@dataclass(frozen=True)
class Reply:
    """Response of an entry VM to a call.

    Parameters
    ----------
    status : int
        HTTP status code; 0 if no entry VM responded.
    data : dict
        Decoded JSON body; only ``detail`` if no entry VM responded.
    sent : bool
        False only if it is certain that the call reached no entry VM.
    """

    status: int
    data: dict[str, Any]
    sent: bool = True


class OperatorClient:
    """Sends statements to the entry VMs, trying one address after another until one responds.

    Parameters
    ----------
    entries : list of str
        Control addresses, ``IP:PORT``.
    operator : str
        Name of the operator, recorded with each change.
    token : str
        Control token; empty for none.
    """

    def __init__(self, entries: list[str], operator: str, token: str = ""):
        self._entries = entries
        self._operator = operator
        self._token = token

    def send(
        self, statements: list[str], operation: str | None = None, base: int | None = None
    ) -> Reply:
        """Send statements and return the first response.

        Parameters
        ----------
        operation : str, optional
            Id of a change, which makes it idempotent: it can be sent to a second entry VM after
            the first did not respond.
        base : int, optional
            Revision that the change is based on.
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
            except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as exc:
                # http.client takes the end of the connection for the end of a response head.
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

    def make_client(self) -> OperatorClient:
        """Return a client for these options."""
        entries = [each.strip() for each in self.entry.split(",") if each.strip()]
        return OperatorClient(entries, self.operator, self.token)


def _resolve_options(entry: str, operator: str, token: str, json: bool) -> _Options:
    """Return the options, with defaults from the environment for empty flags."""
    return _Options(
        entry or os.environ.get("FLAMINGOFRONT_ENTRY", DEFAULT_ENTRY),
        operator or os.environ.get("FLAMINGOFRONT_OPERATOR", "") or getpass.getuser(),
        token or os.environ.get("FLAMINGOFRONT_CONTROL_TOKEN", ""),
        json,
    )


def _print_error(text: str) -> None:
    print(text, file=sys.stderr)


def _print_json(data: Any) -> None:
    print(orjson.dumps(data, option=orjson.OPT_INDENT_2).decode())


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return str(value) if value != "" else "-"


def format_table(columns: list[str], rows: list[dict[str, Any]]) -> str:
    """Return rows formatted as a text table with a header line and aligned columns."""
    cells = [[_format_cell(row[name]) for name in columns] for row in rows]
    widths = [
        max([len(name), *(len(line[index]) for line in cells)])
        for index, name in enumerate(columns)
    ]
    lines = [columns, *cells]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def _exit_on_error(reply: Reply) -> None:
    """Print the error and exit if a call was rejected or got no response."""
    if reply.status == 0:
        _print_error(f"error: {reply.data['detail']}")
        sys.exit(ExitCode.UNAVAILABLE)
    error = reply.data.get("error")
    if error is not None:
        _print_error(f"error: {error['message']}")
        is_bad_command = reply.status in (400, 401, 404)
        sys.exit(ExitCode.BAD_COMMAND if is_bad_command else ExitCode.UNAVAILABLE)


def _run_query(options: _Options, statement: str) -> None:
    reply = options.make_client().send([statement])
    _exit_on_error(reply)
    if options.json:
        _print_json(reply.data)
    else:
        print(format_table(reply.data["columns"], reply.data["rows"]))
    if reply.data["missing"]:
        _print_error(f"no response from: {', '.join(reply.data['missing'])}")


def _run_change(options: _Options, statements: list[str], base: int, no_wait: bool) -> None:
    operation = f"op-{secrets.token_hex(8)}"
    client = options.make_client()
    reply = client.send(statements, operation, base if base >= 0 else None)
    if reply.status == 0:
        _exit_without_response(reply, operation)
    _exit_on_error(reply)
    outcome = reply.data
    if outcome["state"] == "accepted" and not no_wait:
        outcome["in_force"] = _wait_until_active(client, outcome["revision"])
    if options.json:
        _print_json(outcome)
    else:
        print(_format_outcome(outcome))
    sys.exit(_EXIT_CODES[outcome["state"]])


def _exit_without_response(reply: Reply, operation: str) -> None:
    if not reply.sent:
        _print_error(f"unavailable: nothing was changed: {reply.data['detail']}")
        sys.exit(ExitCode.UNAVAILABLE)
    _print_error(
        f"unknown: {reply.data['detail']}; find out with: flamingofront settle {operation}"
    )
    sys.exit(ExitCode.UNKNOWN)


def _format_outcome(outcome: dict[str, Any]) -> str:
    state, operation = outcome["state"], outcome["operation"]
    if state == "accepted":
        zones = outcome.get("in_force")
        suffix = "" if zones is None else f", in force in {_format_zones(zones)}"
        return f"accepted: revision {outcome['revision']}{suffix} (operation {operation})"
    if state == "conflict":
        objects = ", ".join(outcome["faults"])
        operator = outcome["operator"]
        return f"conflict: revision {outcome['revision']} by {operator} changed {objects} first"
    if state == "unknown":
        return f"unknown: find out with: flamingofront settle {operation}"
    if state == "abandoned":
        return f"abandoned: operation {operation} did not take effect and never will"
    return f"{state}: nothing was changed: " + "; ".join(outcome["faults"])


def _format_zones(zones: dict[str, bool]) -> str:
    active = [zone for zone, is_active in zones.items() if is_active]
    waiting = [zone for zone, is_active in zones.items() if not is_active]
    text = ", ".join(active) or "no zone yet"
    return f"{text}; not confirmed in {', '.join(waiting)}" if waiting else text


def _wait_until_active(client: OperatorClient, revision: int) -> dict[str, bool]:
    """Wait until all reachable processes have a revision or later.

    Returns
    -------
    dict of str to bool
        For each zone, True if all its reachable processes have the revision.
    """
    zones: dict[str, bool] = {}

    def is_active() -> bool:
        reply = client.send(["show configuration"])
        if reply.status != 200:
            return False
        zones.clear()
        for row in reply.data["rows"]:
            zones[row["zone"]] = zones.get(row["zone"], True) and row["revision"] >= revision
        return all(zones.values())

    _poll_until(
        is_active,
        ACTIVATION_TIMEOUT_SECONDS,
        lambda: f"waiting for revision {revision} in all zones",
    )
    return dict(sorted(zones.items()))


def _poll_until(is_done: Callable[[], bool], timeout: float, progress: Callable[[], str]) -> bool:
    """Poll a condition until it is true; return False after `timeout` seconds.

    Shows the progress text if standard error is a terminal.
    """
    deadline = time.monotonic() + timeout
    is_progress_shown = False
    while not is_done():
        if time.monotonic() >= deadline:
            return False
        if sys.stderr.isatty():
            print(f"\r\x1b[K{progress()}", end="", file=sys.stderr, flush=True)
            is_progress_shown = True
        time.sleep(POLL_SECONDS)
    if is_progress_shown:
        print("\r\x1b[K", end="", file=sys.stderr, flush=True)
    return True


def show(
    *words: str, entry: str = "", operator: str = "", token: str = "", json: bool = False
) -> None:
    """Show the state of the system as a table.

    Subjects: vms, endpoints, services, routes, moves, workspaces, drains, requests, shares, leases,
    held, configuration, counters, paths. Clauses: where FIELD OP VALUE [and ...], fields F,F,
    order by F [desc], limit N. Examples:
    "flamingofront show requests where workspace=demo order by age desc limit 5",
    "flamingofront show counters where counter=refusals_total".

    :param words: remaining words of the statement
    :param entry: control IP:PORT[,IP:PORT] of entry VMs; FLAMINGOFRONT_ENTRY
    :param operator: your name; FLAMINGOFRONT_OPERATOR
    :param token: control token; FLAMINGOFRONT_CONTROL_TOKEN
    :param json: print JSON instead of a table
    """
    _run_query(_resolve_options(entry, operator, token, json), _make_statement("show", words))


def _make_statement(verb: str, words: tuple[str, ...]) -> str:
    return " ".join([verb, *(shlex.quote(word) for word in words)])


def _make_change_command(verb: str, summary: str) -> Callable[..., None]:
    """Return the command for a verb that changes the configuration; `summary` is its help text."""

    def command(
        *words: str,
        entry: str = "",
        operator: str = "",
        token: str = "",
        json: bool = False,
        base: int = -1,
        no_wait: bool = False,
    ) -> None:
        options = _resolve_options(entry, operator, token, json)
        _run_change(options, [_make_statement(verb, words)], base, no_wait)

    command.__name__ = verb
    command.__doc__ = f"""{summary}

    :param words: remaining words of the statement
    :param entry: control IP:PORT[,IP:PORT] of entry VMs; FLAMINGOFRONT_ENTRY
    :param operator: your name; FLAMINGOFRONT_OPERATOR
    :param token: control token; FLAMINGOFRONT_CONTROL_TOKEN
    :param json: print JSON instead of text
    :param base: revision that the change is based on; a later change of the same object conflicts
    :param no_wait: do not wait until the change is active in all zones
    """
    return command


create = _make_change_command(
    "create",
    "Create an object. Example: flamingofront create route chat service=demo",
)
change = _make_change_command(
    "change",
    "Change fields of an object. Example: flamingofront change workspace desk max_in_flight=40",
)
put = _make_change_command(
    "put", "Create or replace an object. Example: flamingofront put workspace desk weight=2"
)
delete = _make_change_command(
    "delete", "Delete an object. Example: flamingofront delete route chat"
)
set_ = _make_change_command(
    "set", "Set the share of a move. Example: flamingofront set share shift 25"
)
drain = _make_change_command(
    "drain",
    "Send no new requests to a vm, endpoint, side or zone. "
    "Example: flamingofront drain side north",
)
undrain = _make_change_command(
    "undrain", "Cancel a drain. Example: flamingofront undrain endpoint engine-a1"
)
settle = _make_change_command(
    "settle",
    "Determine the outcome of a change that is unknown, and make it final. "
    "Example: flamingofront settle op-0123456789abcdef",
)


def release(
    work: str, *, entry: str = "", operator: str = "", token: str = "", json: bool = False
) -> None:
    """Run a quarantined request, or requests with a quarantined prompt part, again.

    Example: flamingofront release part/5c1e07a2

    :param work: the work as in show held
    :param entry: control IP:PORT[,IP:PORT] of entry VMs; FLAMINGOFRONT_ENTRY
    :param operator: your name; FLAMINGOFRONT_OPERATOR
    :param token: control token; FLAMINGOFRONT_CONTROL_TOKEN
    :param json: print JSON instead of text
    """
    options = _resolve_options(entry, operator, token, json)
    _run_query(options, _make_statement("release", (work,)))


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
    """Apply all objects of a TOML file atomically.

    Example: flamingofront apply examples/demo.toml

    :param file: configuration file
    :param entry: control IP:PORT[,IP:PORT] of entry VMs; FLAMINGOFRONT_ENTRY
    :param operator: your name; FLAMINGOFRONT_OPERATOR
    :param token: control token; FLAMINGOFRONT_CONTROL_TOKEN
    :param json: print JSON instead of text
    :param base: revision that the change is based on; a later change of the same object conflicts
    :param no_wait: do not wait until the change is active in all zones
    """
    try:
        statements = load_statements(file.read_text())
    except (OSError, CommandError) as exc:
        _print_error(f"error: {file}: {exc}")
        sys.exit(ExitCode.BAD_COMMAND)
    _run_change(_resolve_options(entry, operator, token, json), statements, base, no_wait)


def wait(
    kind: str,
    target: str,
    *,
    timeout: float = 600.0,
    entry: str = "",
    operator: str = "",
    token: str = "",
) -> None:
    """Wait until a drain has no requests left. Example: flamingofront wait side north

    :param kind: kind of the drained object: vm, endpoint, side or zone
    :param target: name of the drained object
    :param timeout: seconds to wait
    :param entry: control IP:PORT[,IP:PORT] of entry VMs; FLAMINGOFRONT_ENTRY
    :param operator: your name; FLAMINGOFRONT_OPERATOR
    :param token: control token; FLAMINGOFRONT_CONTROL_TOKEN
    """
    client = _resolve_options(entry, operator, token, False).make_client()
    remaining = {"requests": -1}

    def is_drained() -> bool:
        name = shlex.quote(f"{kind}.{target}")
        reply = client.send([f"show drains where name = {name}"])
        _exit_on_error(reply)
        if not reply.data["rows"]:
            _print_error(f"error: {kind} {target} is not being drained")
            sys.exit(ExitCode.BAD_COMMAND)
        remaining["requests"] = reply.data["rows"][0]["requests"]
        return remaining["requests"] == 0 and not reply.data["missing"]

    if not _poll_until(
        is_drained, timeout, lambda: f"{kind} {target}: {remaining['requests']} requests left"
    ):
        _print_error(f"timed out: {kind} {target} has {remaining['requests']} requests left")
        sys.exit(ExitCode.TIMED_OUT)
    print(f"drained: {kind} {target}")


def logs(
    *files: str,
    request: str = "",
    event: str = "",
    since: str = "",
    work: str = "",
    summary: float = 0.0,
) -> None:
    """Print matching log lines of entry processes, sorted by time.

    :param files: log files of JSON lines; standard input if none is given
    :param request: only lines of the request with this id
    :param event: only lines of this event
    :param since: only lines from this time on, for example 2026-01-31T12:00:00
    :param work: only lines with this digest of the request content, equal for all its repeats
    :param summary: in place of the lines, the outcomes of requests by zone in windows of so many
        seconds; the filters do not apply
    """
    if summary < 0:
        _print_error("--summary: the length of the windows must be positive")
        sys.exit(ExitCode.BAD_COMMAND)
    try:
        lines = [line for name in files for line in Path(name).read_text().splitlines()]
    except OSError as exc:
        _print_error(f"{exc.filename}: {exc.strerror}")
        sys.exit(ExitCode.BAD_COMMAND)
    if not files:
        lines = sys.stdin.read().splitlines()
    try:
        found = (
            map(format_summary, summarize_requests(lines, summary))
            if summary
            else select_lines(lines, request, event, since, work)
        )
        for text in found:
            print(text)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, for example `head`, closed the pipe. Standard output is redirected so that the
        # flush at interpreter exit does not fail again.
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
        "release": release,
        "apply": apply,
        "wait": wait,
        "logs": logs,
    }
    defopt.run(commands)


if __name__ == "__main__":
    main()
