"""Loopback TCP proxy that injects faults into the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tamarackshelf.world import Address

READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.02
EXTRA_BYTES = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno"


@dataclass(slots=True)
class LinkFaults:
    """Faults of a link.

    A cut of the direction to the server (up) or to the client (down) holds its bytes
    back and delivers them when the cut ends, as TCP does by resending segments.
    `refuses` resets new connections, and `adds_bytes` appends an HTTP response that no
    request belongs to.
    """

    delay_s: float = 0.0
    is_cut_up: bool = False
    is_cut_down: bool = False
    refuses: bool = False
    adds_bytes: bool = False


class Proxy:
    """Proxy that forwards connections from one address to another."""

    def __init__(self, address: Address, server: Address) -> None:
        self.address = address
        self.faults = LinkFaults()
        self._server_address = server
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._is_closed = False

    async def start(self) -> None:
        """Start listening."""
        self._is_closed = False
        self._listener = await asyncio.start_server(
            self._accept, self.address.host, self.address.port
        )

    async def close(self) -> None:
        """Stop listening and reset the open connections."""
        self._is_closed = True
        if self._listener is not None:
            self._listener.close()
        self.reset_all()
        for task in self._tasks:
            task.cancel()
        # Connections that were accepted in this turn have not begun to be served.
        await asyncio.gather(*self._tasks, asyncio.sleep(0), return_exceptions=True)

    def stop_listening(self) -> None:
        """Refuse new connections; those that are open live on."""
        if self._listener is not None:
            self._listener.close()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    def silence_all(self) -> None:
        """Forward nothing more on the open connections, but keep them open."""
        self._silenced |= self._writers

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._relay(reader, writer)
        except (OSError, TimeoutError, asyncio.CancelledError):
            # Either side may close at any time; a reset informs the client.
            _reset(writer)
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            self._silenced.discard(writer)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuses or self._is_closed:
            _reset(writer)
            return
        address = self._server_address
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            up_reader, up_writer = await asyncio.open_connection(
                address.host, address.port
            )
        self._writers.add(up_writer)
        up = asyncio.create_task(
            self._forward(reader, up_writer, writer, to_server=True)
        )
        down = asyncio.create_task(
            self._forward(up_reader, writer, writer, to_server=False)
        )
        try:
            await asyncio.wait([up, down], return_when=asyncio.FIRST_COMPLETED)
            # After a half-close, the other direction may still carry data for a while.
            await asyncio.wait([up, down], timeout=0.5)
        finally:
            for each in (up, down):
                each.cancel()
            await asyncio.gather(up, down, return_exceptions=True)
            self._writers.discard(up_writer)
            for each_writer in (up_writer, writer):
                with contextlib.suppress(OSError, RuntimeError):
                    each_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client_writer: asyncio.StreamWriter,
        *,
        to_server: bool,
    ) -> None:
        while True:
            data = await reader.read(READ_BYTES)
            if self.faults.delay_s:
                await asyncio.sleep(self.faults.delay_s)
            while client_writer in self._silenced or self._is_cut(to_server):
                await asyncio.sleep(POLL_INTERVAL_S)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            if self.faults.adds_bytes and not to_server:
                data += EXTRA_BYTES
            writer.write(data)
            await writer.drain()

    def _is_cut(self, to_server: bool) -> bool:
        return self.faults.is_cut_up if to_server else self.faults.is_cut_down


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


__all__ = ["LinkFaults", "Proxy"]
