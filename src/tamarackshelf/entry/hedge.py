"""Sends a request that may be repeated a second time when its first target is slow."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from tamarackshelf.policy.retry import RetryBudget

T = TypeVar("T")

# A second answer has to come within the time in which it is worth most: targets take
# a fifth of that time, so most answers are here before it and half of it is left.
HEDGE_DELAY_SHARE = 0.4
# A node sees few requests a second; it may hedge some before it has earned any.
HEDGE_BURST = 6.0

# Returns None when the attempt failed and another one may follow.
Attempt = Coroutine[Any, Any, T | None]


def build_hedge_budget() -> RetryBudget:
    """Returns a budget that keeps hedges a small share of a node's requests."""
    return RetryBudget(HEDGE_BURST)


async def race(
    first: Attempt[T], start_second: Callable[[], Attempt[T] | None], delay_s: float
) -> T | None:
    """Returns the first result of an attempt, or of one more sent after the delay.

    The attempt that lost is stopped. Raises what the attempts raise.
    """
    loop = asyncio.get_running_loop()
    running = {loop.create_task(first)}
    try:
        await asyncio.wait(running, timeout=delay_s)
        if not any(task.done() for task in running):
            second = start_second()
            if second is not None:
                running.add(loop.create_task(second))
        while running:
            done, running = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                result = task.result()
                if result is not None:
                    return result
        return None
    finally:
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


__all__ = ["HEDGE_DELAY_SHARE", "Attempt", "build_hedge_budget", "race"]
