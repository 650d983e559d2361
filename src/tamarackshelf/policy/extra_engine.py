"""When a job needs one more engine with its weights, and which.

Engines are shared out among models, so a model whose engines are lost or slow falls
behind while others idle. A load costs little against a step that comes late.
"""

from __future__ import annotations

from collections.abc import Sequence

from tamarackshelf.policy.item_placement import EngineCandidate

# A load takes about a second and the trainer has to read the results in time.
MARGIN_S = 2.5


def choose_extra_engine(
    remaining_events: Sequence[float],
    engines: Sequence[EngineCandidate],
    min_version: int,
    event_s: float,
    left_s: float,
) -> str | None:
    """Returns the engine that should load the job's version, or None.

    `remaining_events` holds the events that each unfinished item still needs,
    `event_s` is the time of one on the fastest engine, `left_s` the time until the
    results are due.
    """
    usable: list[EngineCandidate] = []
    others: list[EngineCandidate] = []
    for engine in engines:
        has_version = engine.version is None or engine.version >= min_version
        (usable if has_version else others).append(engine)
    others = [engine for engine in others if engine.free * 2 >= engine.concurrency]
    if not remaining_events or not others:
        return None
    if usable and _estimate_s(remaining_events, usable, event_s) + MARGIN_S <= left_s:
        return None
    best = min(others, key=lambda e: (e.slowness, -e.free, e.name))
    if usable and best.slowness > min(engine.slowness for engine in usable):
        return None
    return best.name


def _estimate_s(
    remaining_events: Sequence[float], usable: Sequence[EngineCandidate], event_s: float
) -> float:
    """Returns when the last item would end on these engines, from now."""
    events_per_s = sum(e.concurrency / e.slowness for e in usable) / event_s
    longest_s = max(remaining_events) * event_s * min(e.slowness for e in usable)
    return max(longest_s, sum(remaining_events) / events_per_s)


__all__ = ["choose_extra_engine"]
