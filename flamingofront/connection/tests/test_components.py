"""Test that no public method of a circuits component is a handler because of its name."""

import importlib
import pkgutil

import pytest
from circuits import BaseComponent, Component

import flamingofront


def _find_components():
    """Return all component classes of the package except those of tests."""
    for each in pkgutil.walk_packages(flamingofront.__path__, "flamingofront."):
        if ".tests" not in each.name:
            importlib.import_module(each.name)
    found, pending = [], [BaseComponent]
    while pending:
        for each in pending.pop().__subclasses__():
            pending.append(each)
            if each.__module__.startswith("flamingofront."):
                found.append(each)
    return found


class TestComponents:
    def test_components_are_found(self):
        assert {each.__name__ for each in _find_components()} >= {
            "HTTPServer",
            "HTTPClient",
            "Runtime",
        }

    @pytest.mark.parametrize("component", _find_components(), ids=lambda each: each.__name__)
    def test_public_methods_are_not_handlers(self, component):
        """A `Component` would turn each public method into a handler of the event with its name."""
        assert not issubclass(component, Component)
        handlers = [
            name
            for name in dir(component)
            if not name.startswith("_") and getattr(getattr(component, name), "handler", False)
        ]
        assert handlers == []
