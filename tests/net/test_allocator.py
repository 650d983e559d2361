"""Memory that large blocks leave behind in the heap after they were freed."""

from __future__ import annotations

import ctypes
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Blocks of 1 MB are freed while small blocks after them stay: the state of a node after
# it gave up bodies that it collected beside ordinary requests. The last figure is what
# the process holds afterwards, in KB.
SCRIPT = """
import sys
from pathlib import Path
from tamarackshelf.net.allocator import return_large_blocks_to_system
if sys.argv[1] == "set":
    assert return_large_blocks_to_system()
def read_kb():
    text = Path("/proc/self/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0])
# Raises the threshold of glibc, unless it is fixed.
del [bytearray(4 << 20)][:]
before_kb = read_kb()
large, small = [], []
for _ in range(60):
    large.append(b"a" * (1 << 20))
    small.append(bytearray(4096))
large.clear()
print(read_kb() - before_kb)
"""


def measure_kept_kb(mode):
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT, mode],
        env={"PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        check=True,
    )
    return int(done.stdout)


@pytest.mark.skipif(
    not hasattr(ctypes.CDLL(None), "mallopt"),
    reason="the C library has no mallopt",
)
def test_freed_large_blocks_return_to_the_system():
    kept_kb, default_kb = measure_kept_kb("set"), measure_kept_kb("default")
    print(f"kept {kept_kb} KB; with the defaults {default_kb} KB")
    assert kept_kb < 4 * 1024
