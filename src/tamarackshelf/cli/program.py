"""Starts a program, waits for SIGTERM and stops it gracefully."""

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
    """What every program of an entry VM can do."""

    async def start(self) -> None:
        """Starts to serve."""

    async def drain(self) -> None:
        """Prepares a planned stop while still serving."""

    async def close(self) -> None:
        """Finishes what is in flight and closes."""


class DeferredCommand:
    """Holds what a command does until its whole command line is read.

    Fire calls whatever can be called while flags are left over, so an action may
    not be returned bare.
    """

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action

    def go(self) -> None:
        """Does it."""
        self._action()


def run_command(command: Any, name: str) -> None:
    """Reads the command line and runs the `Start` that the command returns.

    Exits with status 2 before anything starts when a flag is unknown.
    """
    start = fire.Fire(command, name=name, serialize=lambda _: None)
    if isinstance(start, DeferredCommand):
        start.go()


def start_or_check(
    build: Callable[[], Program], timeline: Timeline, fmt: str, *, only_check: bool
) -> DeferredCommand:
    """Returns the start of a program, or only the word that its settings hold."""
    if only_check:
        return DeferredCommand(lambda: print("settings are valid"))
    return DeferredCommand(lambda: run_program(build, timeline, fmt))


def run_program(build: Callable[[], Program], timeline: Timeline, fmt: str) -> None:
    """Runs a program until SIGTERM or SIGINT."""
    set_up_logs(fmt)
    asyncio.run(_run(build, timeline))


def wall_ms() -> int:
    """Returns the wall clock in milliseconds."""
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
