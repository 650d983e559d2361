"""Background tasks that are restarted after an unexpected exception."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import TypeVar

RESTART_DELAY_S = 1.0

T = TypeVar("T")

log = logging.getLogger("tamarackshelf")


def start_task(name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start a task that calls `run` again each time it ends, until it is cancelled.

    An exception is logged, and the next call follows after RESTART_DELAY_S.
    """
    return asyncio.get_running_loop().create_task(_run_forever(name, run), name=name)


async def stop_tasks(*tasks: asyncio.Task[None] | None) -> None:
    """Cancel the tasks and wait until they have ended; None is skipped."""
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)


async def begin(generator: AsyncGenerator[T, None]) -> AsyncGenerator[T, None]:
    """Run a generator up to its first yield, discard that value and return it.

    Closing it then runs its `finally` blocks, which a generator that has not begun
    leaves out.
    """
    await anext(generator)
    return generator


async def _run_forever(name: str, run: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await run()
        except Exception:
            log.exception("task_failed", extra={"event": {"task": name}})
            await asyncio.sleep(RESTART_DELAY_S)


__all__ = ["begin", "start_task", "stop_tasks"]
