"""Log lines of key=value pairs, or JSON on request."""

from __future__ import annotations

import json
import logging
import sys
import traceback
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

# Enough calls to see where a fault arose, on one line.
TRACE_CALLS = 5


def set_up_logs(
    log_format: str, level: str = "INFO", stream: TextIO = sys.stderr
) -> None:
    """Sends the log to the stream in `text` or `json` form."""
    handler = logging.StreamHandler(stream)
    if log_format == "json":
        handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(message)s"))
    else:
        handler.setFormatter(_KeyValueFormatter())
    root = logging.getLogger("tamarackshelf")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False


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


__all__ = ["set_up_logs"]
