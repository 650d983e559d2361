"""Notices that this process stood still for a while."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

TICK_S = 0.1
# Longer than the loop is ever busy; shorter than others take to hold a node for dead.
FROZEN_S = 0.7


async def watch_for_freezes(on_thaw: Callable[[float], Awaitable[None]]) -> None:
    """Calls `on_thaw` with the seconds that this process did not run."""
    last_s = _now_s()
    while True:
        await asyncio.sleep(TICK_S)
        now_s = _now_s()
        gap_s = now_s - last_s - TICK_S
        if gap_s >= FROZEN_S:
            await on_thaw(gap_s)
            now_s = _now_s()
        last_s = now_s


def _now_s() -> float:
    # Unlike the monotonic clock, this one counts the time of a suspended VM.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["watch_for_freezes"]
