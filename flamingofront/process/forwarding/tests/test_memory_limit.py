"""Size of the memory account of a process on the platform."""

from dataclasses import replace

from flamingofront.process.forwarding.settings import ProcessResources
from flamingofront.process.memory import compute_account_size
from flamingofront.tests.forwarding_world import ready_world


class TestMemoryLimit:
    def test_account_follows_settings_that_change(self):
        node = ready_world().fronts["front-1"]
        max_body = node.configuration.limits.max_body
        default = node.settings.resources.memory
        assert node.memory.size == compute_account_size(default, max_body)
        node.settings = replace(node.settings, resources=ProcessResources(300_000_000, 4100))
        node.apply_memory_limit()
        assert node.memory.size == compute_account_size(300_000_000, max_body) < 107_000_000
