"""Observability of a process: events, logs and metrics."""

from __future__ import annotations

from tamarackshelf.observe.logs import (
    LogSampler,
    set_up_bounded_logs,
    set_up_logs,
)
from tamarackshelf.observe.metrics import Metrics
from tamarackshelf.observe.timeline import Event, EventPage, Timeline, merge_pages

__all__ = [
    "Event",
    "EventPage",
    "LogSampler",
    "Metrics",
    "Timeline",
    "merge_pages",
    "set_up_bounded_logs",
    "set_up_logs",
]
