"""Detection of periods in which this process did not run."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

TICK_S = 0.1
# Longer than the event loop is ever busy, and shorter than the time after which other
# nodes consider a node dead.
MIN_FREEZE_S = 0.7


async def watch_for_freezes(on_resume: Callable[[float], Awaitable[None]]) -> None:
    """Call `on_resume` after each freeze of the process, with its length in seconds."""
    last_s = _now_s()
    while True:
        await asyncio.sleep(TICK_S)
        now_s = _now_s()
        gap_s = now_s - last_s - TICK_S
        if gap_s >= MIN_FREEZE_S:
            await on_resume(gap_s)
            now_s = _now_s()
        last_s = now_s


def _now_s() -> float:
    # Unlike the monotonic clock, this clock also runs while the VM is suspended.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["watch_for_freezes"]
