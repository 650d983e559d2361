"""Hedging: a second attempt at a repeatable request whose first target is slow."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from tamarackshelf.policy.retry import RetryBudget

T = TypeVar("T")

# Share of the route's target latency after which the second attempt starts. Targets
# take about a fifth of the target latency, so most responses have arrived by then, and
# more than half of the target latency is left for the response to the second attempt.
HEDGE_DELAY_SHARE = 0.4
# Hedges that are allowed before requests have earned any: a node handles only a few
# requests per second, so requests earn hedges slowly.
HEDGE_BURST = 6.0

# The result is None if the attempt failed and another one may follow.
Attempt = Coroutine[Any, Any, T | None]


def build_hedge_budget() -> RetryBudget:
    """Return a budget that limits hedges to a small share of a node's requests."""
    return RetryBudget(HEDGE_BURST)


async def race(
    first: Attempt[T], start_second: Callable[[], Attempt[T] | None], delay_s: float
) -> T | None:
    """Run an attempt and, if it takes longer than the delay, a second one.

    `start_second` is called after `delay_s` and may return None to start no second
    attempt. Return the first result that is not None, or None if there is none, and
    cancel the slower attempt. If an attempt raises before there is a result, its
    exception is raised.
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
