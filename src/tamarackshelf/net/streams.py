"""Stream protocol that keeps few bytes for each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# Each read takes at most this much from the system.
READ_SIZE_BYTES = 16 * 1024
# A reader pauses its transport when it holds more than twice this much, so that it
# holds no more than about one read that nobody has taken yet.
READER_LIMIT_BYTES = 4 * 1024


class BoundedStreamProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Protocol of a stream that counts the bytes received, read or not.

    It reads into one buffer for all connections; the event loop would allocate 256 KB
    for each read.
    """

    received_bytes = 0

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Count the bytes read and hand them to the reader."""
        self.received_bytes += nbytes
        self.data_received(bytes(_READ_BUFFER[:nbytes]))


class WatchedReader(asyncio.StreamReader):
    """Reader that holds about READ_SIZE_BYTES at most and reports what arrives.

    `on_data` is called with the size of data, `on_end` when no more will arrive, and
    `has_ended` is set then, also while data waits to be read. The server thereby learns
    of a disconnect without reading further requests.
    """

    def __init__(self) -> None:
        super().__init__(limit=READER_LIMIT_BYTES)
        self.on_data: Callable[[int], None] | None = None
        self.on_end: Callable[[], None] | None = None
        self.has_ended = False

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]
        """Add data, and report its size."""
        super().feed_data(data)
        if self.on_data is not None:
            self.on_data(len(data))

    def feed_eof(self) -> None:
        """Note and report the end of the data."""
        super().feed_eof()
        self._report_end()

    def set_exception(self, exc: Exception) -> None:
        """Note and report that the connection is lost."""
        super().set_exception(exc)
        self._report_end()

    def _report_end(self) -> None:
        self.has_ended = True
        if self.on_end is not None:
            self.on_end()


_READ_BUFFER = memoryview(bytearray(READ_SIZE_BYTES))

__all__ = [
    "READER_LIMIT_BYTES",
    "READ_SIZE_BYTES",
    "BoundedStreamProtocol",
    "WatchedReader",
]
