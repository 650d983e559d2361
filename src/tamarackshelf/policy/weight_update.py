"""Planning of the orders that update engines to a new weight version."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from tamarackshelf.world.job import ModelDemand

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
FAILURES_TO_REPORT = 3
# A step counts as starting for this long after its job was accepted. By then its items
# have started on engines, and the next step is seconds away.
STEP_START_S = 0.8
# A trainer submits its next step right after it has announced a version, so orders for
# the version wait this long for the step.
ANNOUNCEMENT_HOLD_S = 0.1


@dataclass(frozen=True, slots=True)
class EngineView:
    """State of an engine as known to the holder of its lease."""

    name: str
    version: int
    load: float = 0.0
    swapping: bool = False
    failed_swap: bool = False


@dataclass(slots=True)
class OrderBackoff:
    """Consecutive failed orders of each engine and when the next may be sent."""

    failures: dict[str, int] = field(default_factory=dict)
    retry_at_s: dict[str, float] = field(default_factory=dict)


def plan_wave(
    engines: list[EngineView],
    newest_version: int,
    wave_share: float,
    backoff: OrderBackoff,
    now_s: float,
) -> list[str]:
    """Return the engines to order now, the least loaded first.

    Of all engines, the share `wave_share` may load at the same time. Orders name the
    newest version only, so superseded versions are skipped.
    """
    loading_count = sum(engine.swapping for engine in engines)
    wave_size = max(1, math.ceil(len(engines) * wave_share)) - loading_count
    behind = [
        engine
        for engine in engines
        if (engine.version < newest_version or engine.failed_swap)
        and not engine.swapping
        and backoff.retry_at_s.get(engine.name, 0.0) <= now_s
    ]
    behind.sort(key=lambda e: (not e.failed_swap, e.load, e.name))
    return [engine.name for engine in behind[: max(0, wave_size)]]


def choose_version(announced: int, demand: ModelDemand, announced_age_s: float) -> int:
    """Return the version to order; while a step starts, at most the needed one.

    An engine takes no new run while it loads, and right after a job is accepted its
    items need engines. So engines whose version suits all open jobs load the announced
    version only once the items have started.
    """
    is_step_starting = (
        demand.newest_job_age_s < STEP_START_S or announced_age_s < ANNOUNCEMENT_HOLD_S
    )
    return min(announced, demand.needed_version) if is_step_starting else announced


def record_order_outcome(
    backoff: OrderBackoff, name: str, *, succeeded: bool, now_s: float
) -> int:
    """Record the outcome of an order; return the number of consecutive failures.

    The engine gets no order until a pause that doubles with each failure is over.
    """
    if succeeded:
        backoff.failures.pop(name, None)
        backoff.retry_at_s.pop(name, None)
        return 0
    failures = backoff.failures.get(name, 0) + 1
    backoff.failures[name] = failures
    pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (failures - 1))
    backoff.retry_at_s[name] = now_s + pause_s
    return failures


__all__ = [
    "FAILURES_TO_REPORT",
    "EngineView",
    "OrderBackoff",
    "choose_version",
    "plan_wave",
    "record_order_outcome",
]
