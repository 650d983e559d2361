"""Polling periods that keep a growing fleet within a read budget."""

from __future__ import annotations

NODES_AT_BASE_PERIOD = 24


def scale_period_s(base_s: float, nodes: int, longest_s: float) -> float:
    """Return the polling period of one node when `nodes` nodes poll.

    It grows from `base_s` in proportion to the nodes, up to `longest_s`.
    """
    return min(longest_s, base_s * max(1.0, nodes / NODES_AT_BASE_PERIOD))


def fit_period_s(
    base_s: float, *, pollers: int, calls_per_s: float, longest_s: float
) -> float:
    """Return the shortest polling period that keeps all pollers within `calls_per_s`.

    It is at least `base_s` and at most `longest_s`, even if the rate is then exceeded.
    """
    return min(longest_s, max(base_s, pollers / max(calls_per_s, 1.0)))


__all__ = ["fit_period_s", "scale_period_s"]
