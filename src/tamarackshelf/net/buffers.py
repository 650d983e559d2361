"""One bound for all bytes that others can make this process keep.

Callers, targets and peers decide how much they send. What is kept of it counts in one
budget; when it is used up, the holder of most gives way, so that none pays for another.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
from collections.abc import AsyncIterator, Iterator
from contextvars import ContextVar

# Share of the machine's memory for these bytes. They may exist twice for a moment, and
# the rest of the process needs memory, too.
MEMORY_SHARE = 0.1

log = logging.getLogger("tamarackshelf")


FULL = "this process keeps too many bytes, and most of them for this call"


class BuffersFull(Exception):
    """The holder had to give its bytes up; send less at a time, or send it again."""


class BufferBudget:
    """The bytes that may be kept in all buffers of a process together."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._held_bytes = 0
        self._buffers: set[Buffer] = set()

    @property
    def held_bytes(self) -> int:
        """The bytes held by all buffers that need not give way."""
        return self._held_bytes

    def set_memory(self, memory_bytes: int) -> None:
        """Set the limit to its share of the memory that the process may use."""
        self.limit_bytes = int(memory_bytes * MEMORY_SHARE)

    def open(self) -> Buffer:
        """Return a new buffer, which must be closed."""
        buffer = Buffer(self)
        self._buffers.add(buffer)
        return buffer

    def add(self, size_bytes: int) -> None:
        """Count bytes, and evict the largest buffers until the rest fits."""
        self._held_bytes += size_bytes
        while self._held_bytes > self.limit_bytes and self._buffers:
            largest = max(self._buffers, key=lambda each: each.size_bytes)
            self._log_eviction(largest)
            self.remove(largest)
            largest.evict()

    def remove(self, buffer: Buffer) -> None:
        """Count a buffer no longer; do nothing if it was removed before."""
        if buffer in self._buffers:
            self._buffers.remove(buffer)
            self._held_bytes -= buffer.size_bytes

    def holds(self, buffer: Buffer) -> bool:
        """Return whether a buffer is open and need not give way."""
        return buffer in self._buffers

    def _log_eviction(self, buffer: Buffer) -> None:
        event = {
            "reason": "the buffers of this process are full, and this one is largest",
            "bytes": buffer.size_bytes,
            "held_bytes": self._held_bytes,
            "limit_bytes": self.limit_bytes,
            "buffers": len(self._buffers),
        }
        log.warning("buffer_evicted", extra={"event": event})


class Buffer:
    """The bytes kept for one request, call or text."""

    def __init__(self, budget: BufferBudget) -> None:
        self.size_bytes = 0
        self.is_evicted = False
        self._budget = budget
        self._waits: list[asyncio.Timeout] = []

    @property
    def is_open(self) -> bool:
        """Whether bytes may be added."""
        return self._budget.holds(self)

    def release(self, size_bytes: int) -> None:
        """Count fewer bytes."""
        if self.is_open:
            self.size_bytes -= size_bytes
            self._budget.add(-size_bytes)

    def add(self, size_bytes: int) -> None:
        """Count more bytes, or fewer if negative; raise BuffersFull if evicted."""
        if self.is_open:
            self.size_bytes += size_bytes
            self._budget.add(size_bytes)
        if self.is_evicted:
            raise BuffersFull(FULL)

    def evict(self) -> None:
        """Refuse further bytes and end the innermost block of `until_evicted`."""
        self.is_evicted = True
        if self._waits:
            self._waits[-1].reschedule(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Count the bytes no longer."""
        self._budget.remove(self)

    @contextlib.asynccontextmanager
    async def until_evicted(self) -> AsyncIterator[None]:
        """Run a block, and raise BuffersFull in it once the buffer must give way."""
        if self.is_evicted:
            raise BuffersFull(FULL)
        wait = asyncio.timeout(None)
        try:
            async with wait:
                self._waits.append(wait)
                yield
        except TimeoutError:
            if wait.expired() and self.is_evicted:
                raise BuffersFull(FULL) from None
            raise
        finally:
            self._waits.remove(wait)


def _read_memory_bytes() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


BUDGET = BufferBudget(int(_read_memory_bytes() * MEMORY_SHARE))
_request_buffer: ContextVar[Buffer | None] = ContextVar("request_buffer", default=None)


@contextlib.contextmanager
def hold_for_request() -> Iterator[Buffer]:
    """Open the buffer of a caller's request, for all that is collected to answer it."""
    buffer = BUDGET.open()
    token = _request_buffer.set(buffer)
    try:
        yield buffer
    finally:
        _request_buffer.reset(token)
        buffer.close()


@contextlib.contextmanager
def hold() -> Iterator[Buffer]:
    """Yield the buffer of the request in progress, or else open one for the block."""
    outer = _request_buffer.get()
    if outer is not None and (outer.is_open or outer.is_evicted):
        yield outer
        return
    buffer = BUDGET.open()
    try:
        yield buffer
    finally:
        buffer.close()


__all__ = [
    "BUDGET",
    "Buffer",
    "BufferBudget",
    "BuffersFull",
    "hold",
    "hold_for_request",
]
