"""Log lines of key=value pairs, or JSON on request."""

from __future__ import annotations

import json
import logging
import os
import sys
import time
import traceback
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter

# A node of the target carries 12 requests a second with about four lines each; five
# times as much is written before lines are dropped.
LINES_PER_S = 250
# A minute of ordinary lines, little beside the memory of a process.
BUFFER_BYTES = 512 * 1024
WRITE_BYTES = 64 * 1024
# Enough calls to see where a fault arose, on one line.
TRACE_CALLS = 5


def set_up_logs(log_format: str, level: str = "INFO") -> None:
    """Sends the log to stderr in `text` or `json` form."""
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
    """Sends key=value lines to stdout without ever waiting for its reader."""
    os.set_blocking(sys.stdout.fileno(), False)
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(_KeyValueFormatter())
    root = logging.getLogger("tamarackshelf")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False


class BoundedHandler(logging.Handler):
    """Writes to a non-blocking descriptor; drops and counts what is too much.

    Lines wait in a buffer of at most BUFFER_BYTES while nobody reads. Of lines
    below WARNING at most LINES_PER_S are written a second.
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
        """Writes a record, or counts it as dropped."""
        if record.levelno < logging.WARNING and not self._has_budget():
            self.dropped += 1
            return
        line = f"{self.format(record)}\n".encode()
        if self.dropped:
            line += f"event=log_lines_dropped count={self.dropped}\n".encode()
        if len(self._buffer) + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self.dropped = 0
            self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as the reader takes now."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer[:WRITE_BYTES])
                del self._buffer[:written]
        except BlockingIOError:
            # Nobody reads at the moment; the next record tries again.
            return
        except OSError:
            # The reader is gone for good; there is nowhere left to report it.
            self._buffer.clear()

    def _has_budget(self) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= LINES_PER_S


class _KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs on one line."""

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
    """Returns the innermost calls, the last one first."""
    calls = traceback.extract_tb(error.__traceback__)[-TRACE_CALLS:]
    return " < ".join(f"{call.name}:{call.lineno}" for call in reversed(calls))


def _quote(value: object) -> str:
    text = str(value)
    plain = text.isprintable() and not any(c in text for c in ' "=')
    return text if plain else json.dumps(text)


__all__ = ["BoundedHandler", "set_up_bounded_logs", "set_up_logs"]
