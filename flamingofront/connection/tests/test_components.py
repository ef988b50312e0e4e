"""Components of circuits: a public method must not become a handler by its name."""

import importlib
import pkgutil

import pytest
from circuits import BaseComponent, Component

import flamingofront


def _components():
    """Return the component classes of the whole package, tests apart."""
    for each in pkgutil.walk_packages(flamingofront.__path__, "flamingofront."):
        if ".tests" not in each.name:
            importlib.import_module(each.name)
    found, waiting = [], [BaseComponent]
    while waiting:
        for each in waiting.pop().__subclasses__():
            waiting.append(each)
            if each.__module__.startswith("flamingofront."):
                found.append(each)
    return found


class TestComponents:
    def test_there_are_some(self):
        assert {each.__name__ for each in _components()} >= {"HTTPServer", "HTTPClient", "Runtime"}

    @pytest.mark.parametrize("component", _components(), ids=lambda each: each.__name__)
    def test_public_methods_are_no_handlers(self, component):
        """A `Component` makes a handler of each public method, for the event of its name."""
        assert not issubclass(component, Component)
        handlers = [
            name
            for name in dir(component)
            if not name.startswith("_") and getattr(getattr(component, name), "handler", False)
        ]
        assert handlers == []
