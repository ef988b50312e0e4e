"""Tests of the table of origins and of their lookup within one process."""

import pytest

from flamingofront.decisions.stream_origin import StreamOrigin
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.request import stream_origins
from flamingofront.request.stream_origins import (
    RESUME_SECONDS,
    Evidence,
    LocalOrigins,
    OriginQuery,
    compute_origin_key,
)

V1 = StreamOrigin("v1", "engines", "e-1")
V2 = StreamOrigin("v2", "engines", "e-2", attempt=2)
QUERY = OriginQuery("key", ("engines",), 4.0)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def origins(clock):
    found = LocalOrigins(TimerService(clock))
    found.versions.record("e-1", "engines", "v1")
    return found


def look_up(origins: LocalOrigins, query: OriginQuery = QUERY):
    found = []
    origins.look_up(query, found.append)
    return found[0]


class TestKeys:
    def test_keys_differ_by_workspace_and_route(self):
        # A caller named the stream of another workspace or route.
        keys = {
            compute_origin_key(workspace, route, "r-1")
            for workspace in ("desk", "other", "")
            for route in ("again", "more", "")
        }
        assert len(keys) == 9

    def test_long_ids_have_short_keys(self):
        assert len(compute_origin_key("desk", "again", "x" * 10_000)) == 24


class TestLookup:
    def test_own_record(self, origins, clock):
        origins.record("key", V1, 4.0)
        clock.time += 1.0
        found = look_up(origins)
        assert (found.origin, found.evidence, found.age) == (V1, Evidence.OWN, 1.0)

    def test_origin_whose_endpoint_changed_its_version_is_not_certain(self, origins, clock):
        origins.record("key", V1, 4.0)
        clock.time += 1.0
        origins.versions.record("e-1", "engines", "v2")
        assert look_up(origins).origin is None

    def test_record_is_forgotten(self, origins, clock):
        origins.record("key", V1, 4.0)
        clock.time += 4.0 + RESUME_SECONDS + 0.1
        origins.record("other", V1, 4.0)
        assert origins.table.get("key") is None and len(origins.table) == 1

    def test_later_attempt_replaces_an_earlier_one_in_any_order(self, origins):
        # Announcements overtake one another.
        origins.record("key", V2, 4.0)
        origins.record("key", V1, 4.0)
        assert look_up(origins).origin == V2

    def test_flood_of_short_streams_is_bounded(self, origins, monkeypatch):
        monkeypatch.setattr(stream_origins, "MAX_RECORDS", 100)
        for number in range(1000):
            origins.record(f"key-{number}", V1, 4.0)
        assert len(origins.table) == 100 and origins.table.get("key-999") is not None

    def test_sole_version_needs_a_long_history(self, origins, clock):
        # A process that had just started took the version that it saw for the only one.
        assert look_up(origins).evidence is Evidence.NONE
        clock.time += QUERY.memory_seconds
        found = look_up(origins)
        assert (found.origin, found.evidence) == (
            StreamOrigin("v1", "engines"),
            Evidence.SOLE_VERSION,
        )

    def test_two_services_are_not_one_version(self, origins, clock):
        clock.time += QUERY.memory_seconds
        origins.versions.record("e-9", "others", "v1")
        query = OriginQuery("key", ("engines", "others"), 4.0)
        assert look_up(origins, query).origin is None

    def test_sole_version_needs_current_endpoints(self, clock):
        # A process that is cut off does not know which versions have appeared.
        origins = LocalOrigins(TimerService(clock), is_current=lambda: False)
        origins.versions.record("e-1", "engines", "v1")
        clock.time += QUERY.memory_seconds
        assert look_up(origins).origin is None
