"""Log output as key=value lines or JSON."""

from __future__ import annotations

import json
import logging
import os
import sys
import time
import traceback
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter

# A node is expected to carry 12 requests per second with about four log lines each;
# lines are dropped only beyond about five times that rate.
MAX_LINES_PER_S = 250
# Holds the lines of about a minute at the expected rate of 48 lines per second; small
# compared with the memory of a process.
MAX_BUFFER_BYTES = 512 * 1024
MAX_WRITE_BYTES = 64 * 1024
# Enough stack frames to locate an error; they are logged on one line.
MAX_TRACE_FRAMES = 5


def set_up_logs(log_format: str, level: str = "INFO") -> None:
    """Write the log to stderr, as JSON if `log_format` is `json`, else as key=value."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(message)s"))
    else:
        handler.setFormatter(_KeyValueFormatter())
    root = logging.getLogger("tamarackshelf")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False


def set_up_bounded_logs(level: str = "INFO") -> None:
    """Write the log to stdout as key=value lines and never wait for the reader.

    Set stdout to non-blocking mode.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    handler = BoundedLogHandler(sys.stdout.fileno())
    handler.setFormatter(_KeyValueFormatter())
    root = logging.getLogger("tamarackshelf")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False


class BoundedLogHandler(logging.Handler):
    """Log handler that writes to a non-blocking file descriptor.

    Lines wait in a buffer of at most MAX_BUFFER_BYTES while the reader is slow. Below
    level WARNING, at most MAX_LINES_PER_S lines are written per second. Lines beyond
    these limits are dropped, and a later line reports how many.
    """

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = bytearray()
        self._second = 0
        self._lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record, or count it as dropped."""
        if record.levelno < logging.WARNING and not self._has_budget():
            self.dropped += 1
            return
        line = f"{self.format(record)}\n".encode()
        if self.dropped:
            line += f"event=log_lines_dropped count={self.dropped}\n".encode()
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self.dropped += 1
        else:
            self.dropped = 0
            self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer[:MAX_WRITE_BYTES])
                del self._buffer[:written]
        except BlockingIOError:
            # The reader is slow; the next record flushes again.
            return
        except OSError:
            # The reader has closed the descriptor; the error cannot be logged anywhere.
            self._buffer.clear()

    def _has_budget(self) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_S


class LogSampler:
    """Choice of which of many similar events are logged.

    `kinds` must be few, as a count of each is kept.
    """

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        # The second, the lines in it and the lines left out, for each kind.
        self._counts: dict[str, tuple[int, int, int]] = {}

    def begin(self, kind: str, now_s: float) -> int | None:
        """Return None if an event shall not be logged.

        Otherwise return how many of its kind were left out since the last one logged.
        """
        second, lines, unlogged = self._counts.get(kind, (0, 0, 0))
        if second != int(now_s):
            second, lines = int(now_s), 0
        if lines >= self._lines_per_s:
            self._counts[kind] = (second, lines, unlogged + 1)
            return None
        self._counts[kind] = (second, lines + 1, 0)
        return unlogged


class _KeyValueFormatter(logging.Formatter):
    """Formatter that writes a record as key=value pairs on one line."""

    def format(self, record: logging.LogRecord) -> str:
        pairs = {
            "at": self.formatTime(record),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        pairs.update(getattr(record, "event", {}))
        if record.exc_info and record.exc_info[1] is not None:
            pairs["error"] = repr(record.exc_info[1])
            pairs["trace"] = _format_trace(record.exc_info[1])
        return " ".join(f"{k}={_quote(v)}" for k, v in pairs.items() if v != "")


def _format_trace(error: BaseException) -> str:
    """Return the innermost stack frames, innermost first, as `function:line`."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_TRACE_FRAMES:]
    return " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))


def _quote(value: object) -> str:
    text = str(value)
    plain = text.isprintable() and not any(c in text for c in ' "=')
    return text if plain else json.dumps(text)


__all__ = ["BoundedLogHandler", "LogSampler", "set_up_bounded_logs", "set_up_logs"]
