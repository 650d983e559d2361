"""Polling periods that keep a growing fleet within the table's read budget."""

from __future__ import annotations

NODES_AT_BASE = 24


def scale_period_s(base_s: float, nodes: int, longest_s: float) -> float:
    """Returns the period of one node's polls when `nodes` of them poll."""
    return min(longest_s, base_s * max(1.0, nodes / NODES_AT_BASE))


def fit_period_s(
    base_s: float, *, callers: int, calls_per_s: float, longest_s: float
) -> float:
    """Returns the shortest period from `base_s` on that keeps all callers in a rate."""
    return min(longest_s, max(base_s, callers / max(calls_per_s, 1.0)))


__all__ = ["fit_period_s", "scale_period_s"]
