"""Which engines are ordered to a new weight version now."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from tamarackshelf.world.job import ModelDemand

FIRST_BACKOFF_S = 0.5
LONGEST_BACKOFF_S = 8.0
FAILURES_TO_REPORT = 3
# Items of a job have found their first places by then; the next step is seconds off.
RUSH_S = 0.8
# A trainer hands its step in right after it named a version.
NAMED_HOLD_S = 0.1


@dataclass(frozen=True, slots=True)
class EngineView:
    """What the holder of the engine's lease knows of it."""

    name: str
    version: int
    load: float = 0.0
    swapping: bool = False
    failed_swap: bool = False


@dataclass(slots=True)
class OrderBackoff:
    """Failed tries per engine and when the next one may be made."""

    failures: dict[str, int] = field(default_factory=dict)
    retry_at_s: dict[str, float] = field(default_factory=dict)


def plan_wave(
    engines: list[EngineView],
    newest_version: int,
    wave_share: float,
    memory: OrderBackoff,
    now_s: float,
) -> list[str]:
    """Returns the engines to order now, the least loaded first.

    Orders name the newest version only, so overtaken versions are skipped.
    """
    busy = sum(engine.swapping for engine in engines)
    wave = max(1, math.ceil(len(engines) * wave_share)) - busy
    behind = [
        engine
        for engine in engines
        if (engine.version < newest_version or engine.failed_swap)
        and not engine.swapping
        and memory.retry_at_s.get(engine.name, 0.0) <= now_s
    ]
    behind.sort(key=lambda e: (not e.failed_swap, e.load, e.name))
    return [engine.name for engine in behind[: max(0, wave)]]


def choose_version(named: int, demand: ModelDemand, named_age_s: float) -> int:
    """Returns the version to order; not yet the named one while a step begins.

    An engine takes no new run while it loads. Right after a job came its items look
    for places, so engines that suit all open jobs load only once they have started.
    """
    is_rush = demand.newest_job_age_s < RUSH_S or named_age_s < NAMED_HOLD_S
    return min(named, demand.needed_version) if is_rush else named


def record_order_outcome(
    memory: OrderBackoff, name: str, *, succeeded: bool, now_s: float
) -> int:
    """Remembers an order's outcome; returns the failures in a row."""
    if succeeded:
        memory.failures.pop(name, None)
        memory.retry_at_s.pop(name, None)
        return 0
    failures = memory.failures.get(name, 0) + 1
    memory.failures[name] = failures
    pause_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (failures - 1))
    memory.retry_at_s[name] = now_s + pause_s
    return failures


__all__ = [
    "FAILURES_TO_REPORT",
    "EngineView",
    "OrderBackoff",
    "choose_version",
    "record_order_outcome",
    "plan_wave",
]
