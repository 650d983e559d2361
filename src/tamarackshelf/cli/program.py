"""Life cycle of a program: start, wait for SIGTERM or SIGINT, stop gracefully."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import Any, Protocol

import fire

from tamarackshelf.observe import Timeline, set_up_logs

EXIT_FORCED = 3
EXIT_CANNOT_START = 4


class Program(Protocol):
    """Interface of the programs of an entry VM."""

    async def start(self) -> None:
        """Start to serve requests."""

    async def drain(self) -> None:
        """Prepare a planned stop while still serving requests."""

    async def close(self) -> None:
        """Finish the requests in progress and close all connections."""


class DeferredCommand:
    """A command's action, deferred until the whole command line is parsed.

    Fire calls any callable that a command returns while flags are left over, so a
    command returns its action wrapped in this class, which is not callable.
    """

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action

    def go(self) -> None:
        """Run the action."""
        self._action()


def run_command(command: Any, name: str) -> None:
    """Parse the command line and run the DeferredCommand that the command returns.

    Exit with status 2 before anything starts if a flag is unknown.
    """
    start = fire.Fire(command, name=name, serialize=lambda _: None)
    if isinstance(start, DeferredCommand):
        start.go()


def start_or_check(
    build: Callable[[], Program], timeline: Timeline, fmt: str, *, only_check: bool
) -> DeferredCommand:
    """Return a command that runs the program or, with `only_check`, does not start it.

    The settings have been validated by then, so the check only reports success.
    """
    if only_check:
        return DeferredCommand(lambda: print("settings are valid"))
    return DeferredCommand(lambda: run_program(build, timeline, fmt))


def run_program(build: Callable[[], Program], timeline: Timeline, fmt: str) -> None:
    """Run a program until SIGTERM or SIGINT, then stop it gracefully.

    A second signal ends the process at once with EXIT_FORCED. If the program cannot
    listen on an address, exit with EXIT_CANNOT_START.
    """
    set_up_logs(fmt)
    asyncio.run(_run(build, timeline))


def wall_ms() -> int:
    """Return the wall clock time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


async def _run(build: Callable[[], Program], timeline: Timeline) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _stop_or_exit, stop)
    program = build()
    try:
        await program.start()
    except OSError as error:
        print(f"cannot listen: {error}; choose a free address", file=sys.stderr)
        sys.exit(EXIT_CANNOT_START)
    timeline.record("program_started", str(os.getpid()))
    await stop.wait()
    await program.drain()
    await program.close()
    timeline.record("program_stopped", str(os.getpid()), "planned stop")


def _stop_or_exit(stop: asyncio.Event) -> None:
    if stop.is_set():
        os._exit(EXIT_FORCED)
    stop.set()


__all__ = [
    "Program",
    "DeferredCommand",
    "run_command",
    "run_program",
    "start_or_check",
    "wall_ms",
]
