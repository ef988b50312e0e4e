"""Mutations name texts that are in the code: one whose text has moved shows nothing."""

from pathlib import Path

import pytest

from bench.mutations import ALL_MUTATIONS

PACKAGE = Path(__file__).resolve().parents[1]


class TestMutations:
    @pytest.mark.parametrize("mutation", ALL_MUTATIONS, ids=lambda each: each.point)
    def test_text_to_replace_is_there_once(self, mutation):
        """Four were left behind when code was moved, and nobody saw it."""
        assert (PACKAGE / mutation.file).read_text().count(mutation.old) == 1

    @pytest.mark.parametrize("mutation", ALL_MUTATIONS, ids=lambda each: each.point)
    def test_its_tests_are_there(self, mutation):
        """A file, and where they are given the class and the test in it."""
        name, *parts = mutation.tests.split("::")
        text = (PACKAGE / name).read_text()
        for part in parts:
            assert f"class {part}" in text or f"def {part}(" in text
