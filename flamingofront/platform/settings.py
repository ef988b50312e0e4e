"""Parser of the platform's settings file: lines ``a.b=value``, lists separated by commas."""

import math
import os
from collections.abc import Mapping

from flamingofront.errors import SettingsError
from flamingofront.process.forwarding.settings import (
    DeploymentSettings,
    ProcessResources,
    SharedRules,
)
from flamingofront.process.settings import Address, parse_address

__all__ = ["SETTINGS_VARIABLE", "parse_settings", "read_settings", "get_settings_path"]

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "FLAMINGOFRONT_BOOT"
BYTES_PER_MEGABYTE = 1_000_000


def get_settings_path(environment: Mapping[str, str] = os.environ) -> str | None:
    """Return the path of the settings file, or None outside the platform."""
    return environment.get(SETTINGS_VARIABLE)


def read_settings(path: str) -> DeploymentSettings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a value is missing or malformed; the text names the key.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return parse_settings(file.read())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"settings file {path}: {exc}") from exc


def parse_settings(text: str) -> DeploymentSettings:
    """Return the settings parsed from the text of a settings file; unknown keys are ignored.

    Raises
    ------
    SettingsError
        If a value is missing or malformed; the text names the key.
    """
    fields = _Fields(dict(_parse_lines(text)))
    return DeploymentSettings(
        vm_id=fields.get_text("node_name"),
        zone=fields.get_text("zone"),
        ip=fields.get_text("ip"),
        caller_bind=fields.get_address("listen.front"),
        ready_bind=fields.get_address("listen.ready"),
        control_bind=fields.get_optional_address("listen.control"),
        peer_port=fields.get_integers("port_range")[0],
        seeds=fields.get_addresses("seeds"),
        # "bootstrap" marks the first start of the whole deployment, not of this process.
        first_start=fields.get_text("bootstrap", "false") == "true",
        store=fields.get_address("platform.address"),
        cloud=fields.get_optional_address("cloud_api.address"),
        duties=fields.get_list("cloud_api.duties"),
        # Seconds between SIGTERM and SIGKILL.
        stop_grace=fields.get_float("bounds.grace_s", 8.0),
        rules=_parse_rules(fields),
        resources=_parse_resources(fields),
    )


def _parse_resources(fields: "_Fields") -> ProcessResources:
    """Return what the process may use."""
    default = ProcessResources()
    megabytes = fields.get_limit("limits.memory_mb", default.memory / BYTES_PER_MEGABYTE)
    descriptors = fields.get_limit("limits.max_fds", default.descriptors)
    return ProcessResources(int(megabytes * BYTES_PER_MEGABYTE), int(descriptors))


def _parse_rules(fields: "_Fields") -> SharedRules:
    """Return the limits that all entry processes enforce together, with times in seconds."""
    return SharedRules(
        retry_ratio=fields.get_float("bounds.retry_budget_ratio", 0.2),
        retry_window=fields.get_float("bounds.budget_window_s", 10.0),
        retry_allowance=fields.get_float("bounds.budget_slack", 0.0),
        lease_seconds=fields.get_float("bounds.lease_ms", 3000.0) / 1000,
        usage_window=fields.get_float("bounds.usage_window_s", 5.0),
        usage_due=fields.get_float("bounds.usage_late_s", 10.0),
        quota_window=fields.get_float("bounds.quota_window_s", 8.0),
        quota_over=fields.get_float("bounds.quota_over", 0.0),
        quota_allowance=fields.get_float("bounds.quota_slack", 0.0),
        drain_seconds=fields.get_float("bounds.drain_ms", 3000.0) / 1000,
        expose_share=fields.get_float("bounds.expose_share", 0.1),
    )


def _parse_lines(text: str):
    """Yield the key and value of each line, without comments and empty lines."""
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:
            raise SettingsError(f"settings line {number}: expected key=value, got {line[:80]!r}")
        yield key.strip(), value.strip()


class _Fields:
    """Typed access to the settings by key; each `SettingsError` names the key."""

    def __init__(self, values: Mapping[str, str]):
        self._values = values

    def get_text(self, key: str, default: str | None = None) -> str:
        value = self._values.get(key) or default
        if value is None:
            raise SettingsError(f"settings: {key} is missing")
        return value

    def get_list(self, key: str) -> tuple[str, ...]:
        return tuple(each for each in self._values.get(key, "").split(",") if each)

    def get_float(self, key: str, default: float) -> float:
        text = self._values.get(key)
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            raise SettingsError(f"settings: {key} must be a number, got {text!r}") from None

    def get_limit(self, key: str, default: float) -> float:
        """Return a limit, the default if it is missing or 0."""
        value = self.get_float(key, default)
        if not 0 <= value < math.inf:
            raise SettingsError(f"settings: {key} must be 0 or more, got {value:g}")
        return value or default

    def get_integers(self, key: str) -> tuple[int, ...]:
        items = self.get_list(key)
        if not items or not all(each.isdigit() for each in items):
            raise SettingsError(f"settings: {key} must be whole numbers, got {','.join(items)!r}")
        return tuple(int(each) for each in items)

    def get_address(self, key: str) -> Address:
        return self._parse_address(key, self.get_text(key))

    def get_optional_address(self, key: str) -> Address | None:
        text = self._values.get(key)
        return self._parse_address(key, text) if text else None

    def get_addresses(self, key: str) -> tuple[Address, ...]:
        return tuple(self._parse_address(key, each) for each in self.get_list(key))

    def _parse_address(self, key: str, text: str) -> Address:
        try:
            return parse_address(text)
        except ValueError as exc:
            raise SettingsError(f"settings: {key}: got {text!r}, {exc}") from None
