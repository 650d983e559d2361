"""Tests of log output: it never blocks on a slow reader and its memory is bounded."""

from __future__ import annotations

import logging
import os

import pytest

from tamarackshelf.observe.logs import (
    MAX_BUFFER_BYTES,
    MAX_LINES_PER_S,
    BoundedLogHandler,
    LogSampler,
    _KeyValueFormatter,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def build_record(text, level=logging.INFO, exc_info=None):
    return logging.LogRecord("t", level, "f.py", 1, text, (), exc_info)


def test_handler_drops_lines_instead_of_blocking_when_nobody_reads(pipe):
    reader, writer = pipe
    handler = BoundedLogHandler(writer)
    for _ in range(3 * MAX_BUFFER_BYTES // 1000):
        handler.emit(build_record("x" * 1000, logging.WARNING))
    assert handler.dropped > 0
    assert len(handler._buffer) <= MAX_BUFFER_BYTES


def test_dropped_lines_are_reported_by_the_next_written_line(pipe):
    reader, writer = pipe
    now_s = [0.0]
    handler = BoundedLogHandler(writer, lambda: now_s[0])
    for number in range(MAX_LINES_PER_S + 7):
        handler.emit(build_record(f"line {number}"))
    assert handler.dropped == 7
    now_s[0] = 1.0
    handler.emit(build_record("next second"))
    assert handler.dropped == 0
    assert b"event=log_lines_dropped count=7" in os.read(reader, 1 << 20)


def test_warnings_are_exempt_from_the_line_rate_limit(pipe):
    reader, writer = pipe
    handler = BoundedLogHandler(writer, lambda: 0.0)
    for number in range(MAX_LINES_PER_S + 1):
        handler.emit(build_record(f"line {number}"))
    handler.emit(build_record("a warning", logging.WARNING))
    assert b"a warning" in os.read(reader, 1 << 20)


def test_exception_is_logged_with_its_trace_on_one_line():
    try:
        raise KeyError("missing")
    except KeyError as error:
        record = build_record(
            "task_failed", logging.ERROR, (KeyError, error, error.__traceback__)
        )
    line = _KeyValueFormatter().format(record)
    assert "KeyError" in line
    assert "test_exception_is_logged_with_its_trace_on_one_line" in line
    assert "\n" not in line


def test_sampler_logs_some_of_each_kind_and_counts_the_others():
    """Refusals of untrusted clients filled the log beside those of other kinds."""
    sampler = LogSampler(2)
    assert [sampler.begin("a", 1.5) for _ in range(4)] == [0, 0, None, None]
    assert sampler.begin("b", 1.5) == 0
    assert [sampler.begin("a", 2.0) for _ in range(3)] == [2, 0, None]
