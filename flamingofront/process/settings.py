"""Settings of an entry process, from flags and environment variables.

Each flag ``--some-name`` has a variable ``FLAMINGOFRONT_SOME_NAME``; the flag goes first.
"""

import dataclasses
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from flamingofront.errors import SettingsError

__all__ = ["EntrySettings", "Address", "parse_address", "resolve_settings"]

ENVIRONMENT_PREFIX = "FLAMINGOFRONT_"
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_IPV4 = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})")
_LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address in ``IP:PORT``.

    Raises
    ------
    ValueError
        If the text is something else; host names are not looked up.
    """
    host, colon, port = text.rpartition(":")
    match = _IPV4.fullmatch(host)
    if not colon or not match or any(int(each) > 255 for each in match.groups()):
        raise ValueError("must be IP:PORT")
    if not port.isdigit() or int(port) > 65535:
        raise ValueError("must be IP:PORT with a port from 0 to 65535")
    return Address(host, int(port))


def _address(text: str) -> Address:
    return parse_address(text)


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(each.strip()) for each in text.split(",") if each.strip())


def _name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError("must be lower-case letters, digits and '-'")
    return text


def _seconds(low: float, high: float):
    def convert(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not low <= value <= high:
            raise ValueError(f"must be seconds from {low:g} to {high:g}")
        return value

    return convert


def _whole(low: int, high: int):
    def convert(text: str) -> int:
        if not text.isdigit() or not low <= int(text) <= high:
            raise ValueError(f"must be a whole number from {low} to {high}")
        return int(text)

    return convert


def _level(text: str) -> str:
    if text not in _LOG_LEVELS:
        raise ValueError(f"must be one of {', '.join(_LOG_LEVELS)}")
    return text


def _text(text: str) -> str:
    return text


def _setting(convert: Any, default: Any, about: str) -> Any:
    return dataclasses.field(default=default, metadata={"convert": convert, "about": about})


@dataclass(frozen=True)
class EntrySettings:
    """Settings of `flamingofront-entry`; times are in seconds, sizes in bytes."""

    vm_id: str = _setting(_name, "", "the platform's id of this VM")
    zone: str = _setting(_name, "", "availability zone of this VM")
    platform: Address = _setting(_address, None, "IP:PORT of the platform's services")
    caller_bind: Address = _setting(_address, Address("127.0.0.1", 8080), "address for callers")
    control_bind: Address = _setting(
        _address, Address("127.0.0.1", 8090), "address for peers, operators and metrics"
    )
    advertise: Address = _setting(_address, None, "control address told to peers, if not the bind")
    peers: tuple[Address, ...] = _setting(_addresses, (), "control addresses to ask first")
    control_token: str = _setting(_text, "", "token that peers and operators must send")
    gossip_period: float = _setting(_seconds(0.05, 60), 1.0, "between two digest exchanges")
    list_period: float = _setting(_seconds(0.05, 600), 2.0, "between two reads of the VM list")
    load_period: float = _setting(_seconds(0.05, 60), 1.0, "between two load reports")
    platform_timeout: float = _setting(_seconds(0.05, 60), 2.0, "wait for one platform answer")
    lease_duration: float = _setting(_seconds(0.5, 600), 6.0, "duration of a lease")
    drain_timeout: float = _setting(_seconds(0, 3600), 20.0, "graceful shutdown before hand-over")
    reattach_grace: float = _setting(
        _seconds(0, 600), 5.0, "an event stream goes on without its caller"
    )
    answer_retention: float = _setting(
        _seconds(1, 86400), 300.0, "a finished answer is kept for re-attachment"
    )
    default_deadline: float = _setting(_seconds(0.1, 86400), 120.0, "if the caller names none")
    max_body: int = _setting(_whole(1024, 1 << 30), 8 << 20, "largest request body")
    log_level: str = _setting(_level, "info", "debug, info, warning or error")


REQUIRED = ("vm_id", "zone", "platform")


def _flag_of(name: str) -> str:
    return "--" + name.replace("_", "-")


def _variable_of(name: str) -> str:
    return ENVIRONMENT_PREFIX + name.upper()


def resolve_settings(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> EntrySettings:
    """Return checked settings.

    Raises
    ------
    SettingsError
        One line naming the flag or variable, the value and what is allowed.
    """
    values: dict[str, Any] = {}
    for each in dataclasses.fields(EntrySettings):
        source, text = _flag_of(each.name), flags.get(each.name)
        if text is None and _variable_of(each.name) in environment:
            source, text = _variable_of(each.name), environment[_variable_of(each.name)]
        if text is None:
            continue
        try:
            values[each.name] = each.metadata["convert"](text)
        except ValueError as exc:
            raise SettingsError(f"{source}: got {text!r}, {exc}") from None
    for name in REQUIRED:
        if name not in values:
            raise SettingsError(f"{_flag_of(name)}: missing; set it or {_variable_of(name)}")
    return EntrySettings(**values)
