"""Settings of an entry process, from flags and environment variables.

Each flag ``--some-name`` has a variable ``FLAMINGOFRONT_SOME_NAME``; the flag takes precedence.
"""

import dataclasses
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from flamingofront.errors import SettingsError

__all__ = ["EntrySettings", "Address", "parse_address", "resolve_settings"]

ENVIRONMENT_PREFIX = "FLAMINGOFRONT_"
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_IPV4_PATTERN = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})")
_LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address of the form ``IP:PORT``.

    Raises
    ------
    ValueError
        If the text has another form; host names are not resolved.
    """
    host, colon, port = text.rpartition(":")
    match = _IPV4_PATTERN.fullmatch(host)
    if not colon or not match or any(int(each) > 255 for each in match.groups()):
        raise ValueError("must be IP:PORT")
    if not port.isdigit() or int(port) > 65535:
        raise ValueError("must be IP:PORT with a port from 0 to 65535")
    return Address(host, int(port))


def _parse_address_setting(text: str) -> Address:
    return parse_address(text)


def _parse_address_list(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(each.strip()) for each in text.split(",") if each.strip())


def _parse_name(text: str) -> str:
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError("must be lower-case letters, digits and '-'")
    return text


def _make_seconds_parser(low: float, high: float):
    def parse_seconds(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not low <= value <= high:
            raise ValueError(f"must be seconds from {low:g} to {high:g}")
        return value

    return parse_seconds


def _make_integer_parser(low: int, high: int):
    def parse_integer(text: str) -> int:
        if not text.isdigit() or not low <= int(text) <= high:
            raise ValueError(f"must be a whole number from {low} to {high}")
        return int(text)

    return parse_integer


def _parse_log_level(text: str) -> str:
    if text not in _LOG_LEVELS:
        raise ValueError(f"must be one of {', '.join(_LOG_LEVELS)}")
    return text


def _keep_text(text: str) -> str:
    return text


def _define_setting(parser: Any, default: Any, description: str) -> Any:
    return dataclasses.field(default=default, metadata={"convert": parser, "about": description})


@dataclass(frozen=True)
class EntrySettings:
    """Settings of ``flamingofront-entry``; times are in seconds, sizes in bytes."""

    vm_id: str = _define_setting(_parse_name, "", "the platform's id of this VM")
    zone: str = _define_setting(_parse_name, "", "availability zone of this VM")
    platform: Address = _define_setting(
        _parse_address_setting, None, "IP:PORT of the platform's services"
    )
    caller_bind: Address = _define_setting(
        _parse_address_setting, Address("127.0.0.1", 8080), "address for callers"
    )
    control_bind: Address = _define_setting(
        _parse_address_setting,
        Address("127.0.0.1", 8090),
        "address for peers, operators and metrics",
    )
    advertise: Address = _define_setting(
        _parse_address_setting,
        None,
        "control address told to peers, if not the bind",
    )
    peers: tuple[Address, ...] = _define_setting(
        _parse_address_list, (), "control addresses to ask first"
    )
    control_token: str = _define_setting(_keep_text, "", "token that peers and operators must send")
    gossip_period: float = _define_setting(
        _make_seconds_parser(0.05, 60), 1.0, "between two digest exchanges"
    )
    list_period: float = _define_setting(
        _make_seconds_parser(0.05, 600), 2.0, "between two reads of the VM list"
    )
    load_period: float = _define_setting(
        _make_seconds_parser(0.05, 60), 1.0, "between two load reports"
    )
    platform_timeout: float = _define_setting(
        _make_seconds_parser(0.05, 60), 2.0, "wait for one platform answer"
    )
    lease_duration: float = _define_setting(
        _make_seconds_parser(0.5, 600), 6.0, "duration of a lease"
    )
    drain_timeout: float = _define_setting(
        _make_seconds_parser(0, 3600), 20.0, "graceful shutdown before hand-over"
    )
    reattach_grace: float = _define_setting(
        _make_seconds_parser(0, 600),
        5.0,
        "an event stream goes on without its caller",
    )
    answer_retention: float = _define_setting(
        _make_seconds_parser(1, 86400),
        300.0,
        "a finished answer is kept for re-attachment",
    )
    default_deadline: float = _define_setting(
        _make_seconds_parser(0.1, 86400), 120.0, "if the caller names none"
    )
    max_body: int = _define_setting(
        _make_integer_parser(1024, 1 << 30), 8 << 20, "largest request body"
    )
    log_level: str = _define_setting(_parse_log_level, "info", "debug, info, warning or error")


REQUIRED_SETTINGS = ("vm_id", "zone", "platform")


def _get_flag(name: str) -> str:
    return "--" + name.replace("_", "-")


def _get_variable(name: str) -> str:
    return ENVIRONMENT_PREFIX + name.upper()


def resolve_settings(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> EntrySettings:
    """Return validated settings from flags and environment variables.

    Raises
    ------
    SettingsError
        If a setting is invalid or missing; names the flag or variable, its value and what is valid.
    """
    values: dict[str, Any] = {}
    for each in dataclasses.fields(EntrySettings):
        source, text = _get_flag(each.name), flags.get(each.name)
        if text is None and _get_variable(each.name) in environment:
            source, text = _get_variable(each.name), environment[_get_variable(each.name)]
        if text is None:
            continue
        try:
            values[each.name] = each.metadata["convert"](text)
        except ValueError as exc:
            raise SettingsError(f"{source}: got {text!r}, {exc}") from None
    for name in REQUIRED_SETTINGS:
        if name not in values:
            raise SettingsError(f"{_get_flag(name)}: missing; set it or {_get_variable(name)}")
    return EntrySettings(**values)
