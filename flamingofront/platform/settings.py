"""The platform's settings file: lines ``a.b=value``, lists joined by commas."""

import os
from collections.abc import Mapping

from flamingofront.errors import SettingsError
from flamingofront.process.forwarding.settings import DeploymentSettings, SharedRules
from flamingofront.process.settings import Address, parse_address

__all__ = ["SETTINGS_VARIABLE", "parse_settings", "read_settings", "get_settings_path"]

# Name of the environment variable with the path of the settings file.
SETTINGS_VARIABLE = "FLAMINGOFRONT_BOOT"


def get_settings_path(environment: Mapping[str, str] = os.environ) -> str | None:
    """Return the path of the settings file, None if the process does not run on the platform."""
    return environment.get(SETTINGS_VARIABLE)


def read_settings(path: str) -> DeploymentSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If it cannot be read, or a value is missing or malformed; names the key.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return parse_settings(file.read())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"settings file {path}: {exc}") from exc


def parse_settings(text: str) -> DeploymentSettings:
    """Return the settings in the text of a settings file; unknown keys are ignored."""
    fields = _Fields(dict(_pairs(text)))
    return DeploymentSettings(
        vm_id=fields.text("node_name"),
        zone=fields.text("zone"),
        ip=fields.text("ip"),
        caller_bind=fields.address("listen.front"),
        ready_bind=fields.address("listen.ready"),
        control_bind=fields.optional_address("listen.control"),
        peer_port=fields.numbers("port_range")[0],
        seeds=fields.addresses("seeds"),
        # First start of the whole system, not of this process.
        first_start=fields.text("bootstrap", "false") == "true",
        store=fields.address("platform.address"),
        cloud=fields.optional_address("cloud_api.address"),
        duties=fields.words("cloud_api.duties"),
        # Seconds that a stopped process has before it is killed.
        stop_grace=fields.number("bounds.grace_s", 8.0),
        rules=_rules(fields),
    )


def _rules(fields: "_Fields") -> SharedRules:
    """Return the figures that all entry processes keep together; times come in milliseconds."""
    return SharedRules(
        retry_ratio=fields.number("bounds.retry_budget_ratio", 0.2),
        retry_window=fields.number("bounds.budget_window_s", 10.0),
        retry_allowance=fields.number("bounds.budget_slack", 0.0),
        lease_seconds=fields.number("bounds.lease_ms", 3000.0) / 1000,
        usage_window=fields.number("bounds.usage_window_s", 5.0),
        usage_due=fields.number("bounds.usage_late_s", 10.0),
        quota_window=fields.number("bounds.quota_window_s", 8.0),
        quota_over=fields.number("bounds.quota_over", 0.0),
        quota_allowance=fields.number("bounds.quota_slack", 0.0),
        expose_share=fields.number("bounds.expose_share", 0.1),
    )


def _pairs(text: str):
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:
            raise SettingsError(f"settings line {number}: expected key=value, got {line[:80]!r}")
        yield key.strip(), value.strip()


class _Fields:
    """Typed access to the lines; each error names the key."""

    def __init__(self, values: Mapping[str, str]):
        self._values = values

    def text(self, key: str, default: str | None = None) -> str:
        value = self._values.get(key) or default
        if value is None:
            raise SettingsError(f"settings: {key} is missing")
        return value

    def words(self, key: str) -> tuple[str, ...]:
        return tuple(each for each in self._values.get(key, "").split(",") if each)

    def number(self, key: str, default: float) -> float:
        text = self._values.get(key)
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            raise SettingsError(f"settings: {key} must be a number, got {text!r}") from None

    def numbers(self, key: str) -> tuple[int, ...]:
        words = self.words(key)
        if not words or not all(each.isdigit() for each in words):
            raise SettingsError(f"settings: {key} must be whole numbers, got {','.join(words)!r}")
        return tuple(int(each) for each in words)

    def address(self, key: str) -> Address:
        return self._parse(key, self.text(key))

    def optional_address(self, key: str) -> Address | None:
        text = self._values.get(key)
        return self._parse(key, text) if text else None

    def addresses(self, key: str) -> tuple[Address, ...]:
        return tuple(self._parse(key, each) for each in self.words(key))

    def _parse(self, key: str, text: str) -> Address:
        try:
            return parse_address(text)
        except ValueError as exc:
            raise SettingsError(f"settings: {key}: got {text!r}, {exc}") from None
