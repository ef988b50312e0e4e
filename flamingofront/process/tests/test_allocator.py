"""Whether the memory of freed blocks goes back to the system, in a process of its own."""

import subprocess
import sys

import pytest

from flamingofront.process.allocator import return_large_blocks

PROGRAM = """
import sys
from flamingofront.process.allocator import return_large_blocks
def read_resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096
if sys.argv[1] == "set":
    return_large_blocks()
bytes(4_000_000)  # a large block that was freed
before, blocks, kept = read_resident(), [], []
for _ in range(25):
    blocks.append(b"x" * 3_000_000)
    kept.append(b"y" * 50_000)
blocks.clear()
print(read_resident() - before)
"""


def measure_growth(mode):
    words = [sys.executable, "-c", PROGRAM, mode]
    return int(subprocess.run(words, capture_output=True, check=True, text=True).stdout)


class TestLargeBlocks:
    def test_freed_blocks_go_back_though_others_stay(self):
        """A process kept the memory of bodies that it had dropped."""
        if not return_large_blocks():
            pytest.skip("the C library has no such setting")
        assert measure_growth("set") < 10_000_000
