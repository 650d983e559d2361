"""Each entry of KNOWN-RED.txt has a test id, a command, an observation and an issue."""

from __future__ import annotations

import pytest

from tests.known_red import KNOWN_RED, read_known_red

ENTRY = "tests/a.py::test_b[4] | pytest tests/a.py, seed 4 | it ended | 11"


def test_entry_is_read():
    known_failures = read_known_red(f"# a comment\n\n{ENTRY}\n")
    assert known_failures["tests/a.py::test_b[4]"].issue == "11"


@pytest.mark.parametrize(
    "line", ["tests/a.py::test_b", ENTRY + " | more", "a | | c | d"]
)
def test_incomplete_entry_is_refused(line):
    with pytest.raises(ValueError, match="lacks one of"):
        read_known_red(line)


def test_known_red_file_of_this_checkout_is_valid():
    read_known_red(KNOWN_RED.read_text())
