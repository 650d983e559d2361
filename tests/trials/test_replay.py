"""Replays of recorded fault cases reproduce the recorded decisions."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from tamarackshelf.observe.decision_trace import TraceLine, build_recorder, read_trace
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.trials.replay import replay_trace

TRACES = sorted((Path(__file__).parent.parent / "traces").glob("*.jsonl"))


def test_at_least_six_fault_cases_are_recorded():
    assert len(TRACES) >= 6


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_recorded_decisions_are_reproduced(path):
    lines = read_trace(path.read_bytes())
    assert lines
    assert replay_trace(lines) == []


def test_different_decision_is_reported():
    path = next(path for path in TRACES if path.stem == "crash")
    lines = read_trace(path.read_bytes())
    index = next(i for i, line in enumerate(lines) if line.kind == "wave")
    line = lines[index]
    lines[index] = TraceLine(
        line.process, line.at_s, line.kind, line.given, msgspec.Raw(b'["other"]')
    )
    found = replay_trace(lines)
    assert [mismatch.line for mismatch in found] == [index + 1]


def test_state_is_kept_for_each_process():
    written = []
    first, second = (build_recorder(name, written.append) for name in "ab")
    crash = Crash("f", "t1", 1)
    first("note_crash", 1.0, crash, True)
    first("judge", 2.0, "f", "suspect")
    second("judge", 2.0, "f", "clear")
    assert replay_trace(read_trace(b"".join(written))) == []
