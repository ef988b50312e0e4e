"""Tests of the query and command language and of configuration files."""

import pytest

from flamingofront.errors import CommandError, ConfigurationError
from flamingofront.version.edits import Edit, EditAction, apply_edits
from flamingofront.version.files import load_statements
from flamingofront.version.language import Filter, Query, Release, Settle, parse
from flamingofront.version.model import Configuration, ObjectKind
from flamingofront.version.query import run_query

ROWS = [
    {"name": "a", "age": 3, "zone": "north"},
    {"name": "b", "age": 12, "zone": "south"},
    {"name": "c", "age": None, "zone": "north"},
]
COLUMNS = ("name", "age", "zone")


def query_names(text):
    return [row["name"] for row in run_query(parse(text), ROWS, COLUMNS)]


class TestQueries:
    def test_parses_all_clauses(self):
        query = parse("show requests where age > 2 and zone=north fields name order by age desc")
        assert query == Query(
            "requests",
            (Filter("age", ">", "2"), Filter("zone", "=", "north")),
            ("name",),
            "age",
            True,
        )

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("show vms", ["a", "b", "c"]),
            ("show vms where age >= 3", ["a", "b"]),
            ("show vms where age<10", ["a"]),
            ("show vms where zone = north and name != a", ["c"]),
            ("show vms where zone ~ out", ["b"]),
            ("show vms where age = -", ["c"]),
            ("show vms where age != 3", ["b", "c"]),
            ("show vms order by age desc", ["b", "a", "c"]),
            ("show vms order by age limit 2", ["a", "b"]),
        ],
    )
    def test_query_selects_rows(self, text, expected):
        assert query_names(text) == expected

    def test_unknown_field_is_rejected_with_its_name(self):
        with pytest.raises(CommandError, match="no field 'size'; fields are name, age, zone"):
            query_names("show vms where size = 1")


class TestCommands:
    def test_values_are_converted_to_field_types(self):
        (edit,) = parse(
            "create service s kind=plain fencing=yes slots=4 non_repeatable='A /b'"
        ).edits
        assert edit == Edit(
            EditAction.CREATE,
            ObjectKind.SERVICE,
            "s",
            {"kind": "plain", "fencing": True, "slots": 4, "non_repeatable": ["A /b"]},
        )

    def test_parses_settle(self):
        assert parse("settle op-1") == Settle("op-1")

    def test_release_names_the_work(self):
        assert parse("release part/5c1e07a2") == Release("part/5c1e07a2")
        with pytest.raises(CommandError, match="the work to release"):
            parse("release")

    @pytest.mark.parametrize(
        ("text", "message"),
        [
            ("", "the command is missing"),
            ("remove x", "must be one of show, create"),
            ("show cats", "what to show must be one of"),
            ("show vms where", "a condition is missing"),
            ("show vms limit many", "limit must be a whole number, got 'many'"),
            ("create route r serv=x", "route has no field 'serv'"),
            ("change workspace w weight=heavy", "weight must be a number, got 'heavy'"),
            ("set share m lots", "share must be a number, got 'lots'"),
            ("drain planet earth", "must be one of vm, endpoint, side, zone"),
            ("settle a b", "unexpected word 'b'"),
            ("show 'vms", "cannot read"),
            ("change workspace w weight=1 weight=2", "given twice"),
        ],
    )
    def test_malformed_statement_is_rejected_with_reason(self, text, message):
        with pytest.raises(CommandError, match=message):
            parse(text)


class TestValidation:
    @pytest.mark.parametrize(
        ("text", "message"),
        [
            ("create service S kind=plain", "name must be lower-case"),
            ("create service s kind=fish", "kind must be one of model, plain, got 'fish'"),
            ("create service s", "a model service needs model=NAME"),
            ("create service s model=m slots=0", "slots must be from 1 to 4096, got 0"),
            ("create service s kind=plain non_repeatable=certs", "needs 'METHOD /path'"),
            ("create workspace w credential=secret", "must be a SHA-256 hex digest"),
            ("create move m service=s old_side=a new_side=a", "both sides are 'a'"),
            ("create move m service=s old_side=a new_side=b share=101", "share must be from 0"),
            ("create route r", "service is missing"),
            ("change route r service=s", "route r does not exist"),
        ],
    )
    def test_error_contains_field_and_value(self, text, message):
        with pytest.raises(ConfigurationError, match=message):
            apply_edits(Configuration(), parse(text).edits, "ops", "op")

    def test_all_errors_are_reported_at_once(self):
        text = "create service s model=m slots=0 retry_ratio=-1"
        with pytest.raises(ConfigurationError) as caught:
            apply_edits(Configuration(), parse(text).edits, "ops", "op")
        assert len(caught.value.faults) == 2


class TestConfigurationFile:
    def test_statements_can_be_parsed(self):
        text = '[services.s]\nkind = "plain"\nnon_repeatable = ["POST /a b"]\nfencing = true\n'
        (statement,) = load_statements(text)
        (edit,) = parse(statement).edits
        assert edit.values["non_repeatable"] == ["POST /a b"]
        assert edit.values["fencing"] is True

    @pytest.mark.parametrize("text", ["[cats.a]\nb = 1", "services = 1", "[services]\na = 1", "["])
    def test_malformed_file_is_rejected(self, text):
        with pytest.raises(CommandError):
            load_statements(text)
