"""Background tasks that outlive an unexpected fault."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

RESTART_PAUSE_S = 1.0

log = logging.getLogger("tamarackshelf")


def start_task(name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Starts a task that is run again after a fault, until it is cancelled."""
    return asyncio.get_running_loop().create_task(_run_forever(name, run), name=name)


async def stop_tasks(*tasks: asyncio.Task[None] | None) -> None:
    """Cancels tasks and waits for their end."""
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)


async def _run_forever(name: str, run: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await run()
        except Exception:
            log.exception("task_failed", extra={"event": {"task": name}})
            await asyncio.sleep(RESTART_PAUSE_S)


__all__ = ["start_task", "stop_tasks"]
