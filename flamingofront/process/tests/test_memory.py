"""Tests of the shares of a process's resources that callers may use."""

import pytest

from flamingofront.decisions.memory_account import MemoryAccount, MemoryKind
from flamingofront.process.logs import Log
from flamingofront.process.memory import (
    FILE_DESCRIPTORS,
    LoggedMemory,
    compute_account_size,
    compute_connection_limits,
    set_memory_gauges,
)
from flamingofront.process.metrics import Metrics

MEGABYTE = 1_000_000


class TestShares:
    def test_account_is_a_part_of_what_the_process_does_not_need_at_rest(self):
        assert compute_account_size(300 * MEGABYTE, 4 * MEGABYTE) == pytest.approx(106.2e6)

    def test_account_holds_the_largest_bodies_in_any_case(self):
        assert compute_account_size(50 * MEGABYTE, 4 * MEGABYTE) == 8 * MEGABYTE

    @pytest.mark.parametrize("descriptors", [440, 1024, 4100])
    def test_connections_leave_descriptors_for_files_and_endpoints(self, descriptors):
        limits = compute_connection_limits(descriptors)
        accepted = limits.callers + limits.spliced + limits.control + 2 * limits.probes
        used = accepted + 2 * limits.handed_over
        assert used <= 0.7 * (descriptors - FILE_DESCRIPTORS)
        assert limits.callers > limits.control > limits.probes > 0


class TestLoggedMemory:
    def test_log_and_metrics_show_that_the_account_is_full(self, log_lines):
        metrics = Metrics()
        memory = MemoryAccount(1000, LoggedMemory(metrics, Log("test")))
        first, second = (memory.open(lambda: None) for _ in range(2))
        assert first.reserve(MemoryKind.RECEIVING, 900, 0.0)
        for _ in range(3):
            assert not second.reserve(MemoryKind.RECEIVING, 200, 0.0)
        set_memory_gauges(memory, metrics)
        first.close()
        assert metrics.value("memory_refusals_total", kind="receiving") == 3
        body = metrics.render()[0].decode()
        assert 'flamingofront_memory_held_bytes{kind="receiving"} 900' in body
        full, room = log_lines
        assert full[0] == "memory for callers is full"
        assert full[1]["held_bytes"] == full[1]["receiving_bytes"] == 900
        assert room[0] == "memory for callers has room"
        assert room[1]["refused_count"] == 3

    @pytest.fixture
    def log_lines(self, log_watch):
        found = []
        emit = log_watch.emit

        def keep(record):
            found.append((record.message, dict(record.kwargs)))
            emit(record)

        log_watch.emit = keep
        return found
