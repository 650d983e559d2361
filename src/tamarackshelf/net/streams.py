"""Stream protocol that keeps few bytes for each connection."""

from __future__ import annotations

import asyncio

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


def create_reader() -> asyncio.StreamReader:
    """Return a reader that holds about READ_SIZE_BYTES at most."""
    return asyncio.StreamReader(limit=READER_LIMIT_BYTES)


_READ_BUFFER = memoryview(bytearray(READ_SIZE_BYTES))

__all__ = ["READ_SIZE_BYTES", "BoundedStreamProtocol", "create_reader"]
