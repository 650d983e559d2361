"""Choice of an extra engine for a job that would be late.

Each engine is assigned to one model, so a model whose engines are lost or slow falls
behind while the engines of other models idle. Loading the weights on one more engine
costs little compared to a late step.
"""

from __future__ import annotations

from collections.abc import Sequence

from tamarackshelf.policy.item_placement import EngineCandidate

# A job counts as late unless it is estimated to end this long before its results are
# due: loading weights takes about one second, and the trainer must read the results.
MARGIN_S = 2.5
# Assumed of an engine with a limit of zero, to keep the estimate finite.
MIN_RUNS_PER_S = 0.01


def choose_extra_engine(
    remaining_events: Sequence[float],
    engines: Sequence[EngineCandidate],
    min_version: int,
    event_s: float,
    left_s: float,
) -> str | None:
    """Return the engine that should also load the job's weights, or None.

    `remaining_events` holds the number of events that each unfinished item still
    needs, `event_s` is the time of one event on the fastest engine, and `left_s` is
    the time until the results are due. Only engines with at least half of their
    capacity free are considered, none that is slower than the job's fastest one, and
    none with a rate limit, where loading would take the place of runs.
    """
    usable: list[EngineCandidate] = []
    others: list[EngineCandidate] = []
    for engine in engines:
        has_version = engine.version is None or engine.version >= min_version
        (usable if has_version else others).append(engine)
    others = [
        engine
        for engine in others
        if engine.free * 2 >= engine.concurrency and engine.limit_per_s is None
    ]
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
    """Return the seconds until the last item would end on these engines."""
    mean_events = sum(remaining_events) / len(remaining_events)
    events_per_s = sum(_rate_engine(e, mean_events, event_s) for e in usable)
    longest_s = max(remaining_events) * event_s * min(e.slowness for e in usable)
    return max(longest_s, sum(remaining_events) / events_per_s)


def _rate_engine(engine: EngineCandidate, mean_events: float, event_s: float) -> float:
    """Return the events per second of an engine, which a limit of its runs bounds."""
    rate_per_s = engine.concurrency / engine.slowness / event_s
    if engine.limit_per_s is None:
        return rate_per_s
    return min(rate_per_s, max(MIN_RUNS_PER_S, engine.limit_per_s) * mean_events)


__all__ = ["choose_extra_engine"]
