"""Decisions on counting requests by time window and on reporting the counts."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

# Number of nodes, those that rank first, that collect the counts of all nodes.
COLLECTORS = 3
# Time after which a node sends counts that have changed, unless there are many nodes.
SEND_INTERVAL_S = 0.3
# Messages per second at each collector up to which that interval holds. A message
# costs a collector less than a millisecond of CPU time.
COLLECTOR_MESSAGES_PER_S = 200.0
# Time from a window's end until its counts are decided. Counts of nodes that were cut
# off for a moment still arrive by then, and more than six seconds are left for calls.
DECIDE_DELAY_S = 3.5

# A process: its VM and incarnation.
ProcessKey = tuple[str, int]


def find_window(time_s: float, window_s: float) -> int:
    """Return the number of the window that contains a Unix time."""
    return math.floor(time_s / window_s)


def list_decidable(now_s: float, window_s: float, late_s: float) -> list[int]:
    """Return the windows, oldest first, to decide now and still in time to report.

    A report is due `late_s` after the end of its window.
    """
    newest = find_window(now_s - DECIDE_DELAY_S, window_s) - 1
    oldest = find_window(now_s - late_s, window_s)
    return list(range(oldest, newest + 1))


def find_end_s(window: int, window_s: float) -> float:
    """Return the Unix time at which a window ends."""
    return (window + 1) * window_s


def merge_counts(
    tables: Iterable[Mapping[ProcessKey, Mapping[str, int]]],
) -> dict[str, int]:
    """Return the requests by organisation in one window.

    The tables hold the cumulative counts of each process that several collectors got;
    the highest count of a process is its newest one.
    """
    highest: dict[tuple[ProcessKey, str], int] = {}
    for table in tables:
        for process, counts in table.items():
            for organisation, count in counts.items():
                key = (process, organisation)
                highest[key] = max(highest.get(key, 0), count)
    merged: dict[str, int] = {}
    for (_, organisation), count in highest.items():
        merged[organisation] = merged.get(organisation, 0) + count
    return {name: count for name, count in sorted(merged.items()) if count > 0}


def compute_send_interval_s(nodes: int) -> float:
    """Return the time between two messages of a node to its collectors."""
    return max(SEND_INTERVAL_S, nodes / COLLECTOR_MESSAGES_PER_S)


__all__ = [
    "COLLECTORS",
    "DECIDE_DELAY_S",
    "SEND_INTERVAL_S",
    "ProcessKey",
    "compute_send_interval_s",
    "find_end_s",
    "find_window",
    "list_decidable",
    "merge_counts",
]
