"""One bound for all bytes that others can make this process keep.

Callers, targets and peers decide how much they send. What is kept of it counts in one
budget; when it is used up, the holder of most gives way, so that none pays for another.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextvars import ContextVar

# Share of the machine's memory for these bytes. They may exist twice for a moment, and
# the rest of the process needs memory, too.
MEMORY_SHARE = 0.1
# Share of the machine's memory that one request of permitted size may use alone. The
# smallest VM has 200 MB, and a request with its answer needs up to 41 MB.
SINGLE_MEMORY_SHARE = 0.25
# One request may exceed the limit while all others hold no more than this share of it.
CALM_SHARE = 0.25
# Evictions are logged no more often, as untrusted clients can cause any number.
EVICTION_LOG_INTERVAL_S = 1.0

log = logging.getLogger("tamarackshelf")


FULL = "this process keeps too many bytes, and most of them for this call"


class BuffersFull(Exception):
    """The holder had to give its bytes up; send less at a time, or send it again."""


class BufferBudget:
    """The bytes that may be kept in all buffers of a process together."""

    def __init__(self, limit_bytes: int, single_limit_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.single_limit_bytes = single_limit_bytes
        # Called with the name of a counter.
        self.count_event: Callable[[str], None] = lambda name: None
        self._held_bytes = 0
        # All buffers that hold bytes and need not give way.
        self._buffers: set[Buffer] = set()
        # The buffer that exceeds the limit alone, if any.
        self._single: Buffer | None = None
        self._logged_s = float("-inf")
        self._unlogged = 0

    @property
    def held_bytes(self) -> int:
        """The bytes held by all buffers that need not give way."""
        return self._held_bytes

    def set_memory(self, memory_bytes: int, limit_bytes: int | None = None) -> None:
        """Set the limits to their shares of the memory that the process may use.

        `limit_bytes` replaces the share for all buffers together.
        """
        self.limit_bytes = limit_bytes or int(memory_bytes * MEMORY_SHARE)
        self.single_limit_bytes = int(memory_bytes * SINGLE_MEMORY_SHARE)

    def open(self, allowance_bytes: int = 0) -> Buffer:
        """Return a new buffer, which must be closed.

        A buffer of up to `allowance_bytes` may exceed the limit alone, while the others
        hold little.
        """
        return Buffer(self, allowance_bytes)

    def add(self, buffer: Buffer, size_bytes: int) -> None:
        """Count bytes of a buffer, and evict the largest until the rest fits."""
        if buffer not in self._buffers:
            self._buffers.add(buffer)
        self._held_bytes += size_bytes
        while self._held_bytes > self.limit_bytes and self._buffers:
            if self._is_single(self._single):
                return
            largest = max(self._buffers, key=lambda each: each.size_bytes)
            if self._is_single(largest):
                self._single = largest
                return
            self._log_eviction(largest)
            self.count_event("buffers_evicted")
            self.remove(largest)
            largest.evict()

    def remove(self, buffer: Buffer) -> None:
        """Count a buffer no longer; do nothing if it holds nothing."""
        if buffer in self._buffers:
            self._buffers.remove(buffer)
            self._held_bytes -= buffer.size_bytes
        if self._single is buffer:
            self._single = None

    def _is_single(self, buffer: Buffer | None) -> bool:
        """Return whether a buffer may exceed the limit alone."""
        if buffer is None:
            return False
        rest_bytes = self._held_bytes - buffer.size_bytes
        allowed_bytes = min(buffer.allowance_bytes, self.single_limit_bytes)
        return (
            buffer.size_bytes <= allowed_bytes
            and rest_bytes <= self.limit_bytes * CALM_SHARE
        )

    def _log_eviction(self, buffer: Buffer) -> None:
        now_s = time.monotonic()
        if now_s - self._logged_s < EVICTION_LOG_INTERVAL_S:
            self._unlogged += 1
            return
        event = {
            "reason": "the buffers of this process are full, and this one is largest",
            "bytes": buffer.size_bytes,
            "held_bytes": self._held_bytes,
            "limit_bytes": self.limit_bytes,
            "buffers": len(self._buffers),
            "unlogged": self._unlogged,
        }
        self._logged_s, self._unlogged = now_s, 0
        log.warning("buffer_evicted", extra={"event": event})


class Buffer:
    """The bytes kept for one request, call or text."""

    __slots__ = (
        "_budget",
        "_is_closed",
        "_waits",
        "allowance_bytes",
        "is_evicted",
        "size_bytes",
    )

    def __init__(self, budget: BufferBudget, allowance_bytes: int = 0) -> None:
        self.size_bytes = 0
        self.allowance_bytes = allowance_bytes
        self.is_evicted = False
        self._budget = budget
        self._is_closed = False
        self._waits: list[asyncio.Timeout] = []

    @property
    def is_open(self) -> bool:
        """Whether bytes may be added."""
        return not (self._is_closed or self.is_evicted)

    def release(self, size_bytes: int) -> None:
        """Count fewer bytes."""
        self.count(-size_bytes)

    def count(self, size_bytes: int) -> None:
        """Count more bytes, or fewer if negative; do nothing if evicted."""
        if self.is_open:
            self.size_bytes += size_bytes
            self._budget.add(self, size_bytes)

    def add(self, size_bytes: int) -> None:
        """Count more bytes, or fewer if negative; raise BuffersFull if evicted."""
        self.count(size_bytes)
        if self.is_evicted:
            raise BuffersFull(FULL)

    def evict(self) -> None:
        """Refuse further bytes and end the innermost block of `until_evicted`."""
        self._budget.remove(self)
        self.is_evicted = True
        if self._waits:
            self._waits[-1].reschedule(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Count the bytes no longer."""
        self._budget.remove(self)
        self._is_closed = True

    @contextlib.contextmanager
    def end_when_evicted(self, wait: asyncio.Timeout) -> Iterator[None]:
        """Let a timeout that was entered expire once the buffer must give way."""
        self._waits.append(wait)
        try:
            yield
        finally:
            self._waits.remove(wait)

    @contextlib.asynccontextmanager
    async def until_evicted(
        self, timeout_s: float | None = None
    ) -> AsyncIterator[asyncio.Timeout]:
        """Run a block, and raise BuffersFull in it once the buffer must give way.

        Raise TimeoutError after `timeout_s`; the block may reschedule the timeout that
        it gets.
        """
        if self.is_evicted:
            raise BuffersFull(FULL)
        wait = asyncio.timeout(timeout_s)
        try:
            async with wait:
                self._waits.append(wait)
                yield wait
        except TimeoutError:
            if wait.expired() and self.is_evicted:
                raise BuffersFull(FULL) from None
            raise
        finally:
            self._waits.remove(wait)


def _read_memory_bytes() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


BUDGET = BufferBudget(
    int(_read_memory_bytes() * MEMORY_SHARE),
    int(_read_memory_bytes() * SINGLE_MEMORY_SHARE),
)
_request_buffer: ContextVar[Buffer | None] = ContextVar("request_buffer", default=None)


@contextlib.contextmanager
def hold_for_request(allowance_bytes: int = 0) -> Iterator[Buffer]:
    """Open the buffer of a caller's request, for all that is collected to answer it."""
    buffer = BUDGET.open(allowance_bytes)
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
