"""Settings from flags and environment variables."""

import pytest

from flamingofront.errors import SettingsError
from flamingofront.process.settings import Address, resolve_settings

REQUIRED_FLAGS = {"vm_id": "a", "zone": "z", "platform": "127.0.0.1:1"}


class TestSettings:
    def test_flag_overrides_environment_variable(self):
        environment = {"FLAMINGOFRONT_ZONE": "other", "FLAMINGOFRONT_DRAIN_TIMEOUT": "7"}
        settings = resolve_settings(REQUIRED_FLAGS, environment)
        assert (settings.zone, settings.drain_timeout) == ("z", 7.0)
        assert settings.platform == Address("127.0.0.1", 1)

    @pytest.mark.parametrize(
        ("flags", "environment", "message"),
        [
            ({}, {}, "--vm-id: missing; set it or FLAMINGOFRONT_VM_ID"),
            ({"platform": "host:1"}, {}, "--platform: got 'host:1', must be IP:PORT"),
            ({"platform": "127.0.0.1:99999"}, {}, "port from 0 to 65535"),
            ({"platform": "127.0.0.999:1"}, {}, "must be IP:PORT"),
            ({"max_body": "big"}, {}, "--max-body: got 'big', must be a whole number from 1024"),
            ({}, {"FLAMINGOFRONT_LIST_PERIOD": "0"}, "FLAMINGOFRONT_LIST_PERIOD: got '0'"),
            ({"log_level": "loud"}, {}, "must be one of debug, info, warning, error"),
            ({"peers": "127.0.0.1:1,x"}, {}, "--peers"),
        ],
    )
    def test_error_names_the_invalid_value(self, flags, environment, message):
        base = REQUIRED_FLAGS if flags or environment else {}
        with pytest.raises(SettingsError) as caught:
            resolve_settings({**base, **flags}, environment)
        assert message in str(caught.value)
