"""Which engines are ordered to a new weight version now."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

FIRST_BACKOFF_S = 0.5
LONGEST_BACKOFF_S = 8.0
FAILURES_TO_REPORT = 3


@dataclass(frozen=True, slots=True)
class EngineView:
    """What the holder of the engine's lease knows of it."""

    name: str
    version: int
    load: float = 0.0
    swapping: bool = False
    failed_swap: bool = False


@dataclass(slots=True)
class RollMemory:
    """Failed tries per engine and when the next one may be made."""

    failures: dict[str, int] = field(default_factory=dict)
    retry_at_s: dict[str, float] = field(default_factory=dict)


def plan_wave(
    engines: list[EngineView],
    newest_version: int,
    wave_share: float,
    memory: RollMemory,
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


def note_order(memory: RollMemory, name: str, *, succeeded: bool, now_s: float) -> int:
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
    "RollMemory",
    "note_order",
    "plan_wave",
]
