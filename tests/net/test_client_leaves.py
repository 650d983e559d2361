"""Clients that leave while their response is awaited or being sent."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from tamarackshelf.net import HttpServer, Response
from tests.conftest import find_free_address

# A caller's leaving ends its work within this time.
LIMIT_S = 0.5
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
OLD_REQUEST = b"GET / HTTP/1.0\r\nhost: a\r\n\r\n"
PIECE_BYTES = 64 * 1024


class Work:
    """What a handler does for one request, and whether it has ended."""

    def __init__(self, pieces, pause_s):
        self.pieces = pieces
        self.pause_s = pause_s
        self.ended = asyncio.Event()
        self.began = 0

    async def stream(self, request):
        """Answer with pieces, and after them with nothing more for a long time."""
        self.began += 1

        async def produce():
            try:
                yield b""
                for piece in self.pieces:
                    yield piece
                await asyncio.sleep(self.pause_s)
            finally:
                self.ended.set()

        body = produce()
        await anext(body)
        return Response(200, body)

    async def wait(self, request):
        """Answer after a long time."""
        self.began += 1
        try:
            await asyncio.sleep(self.pause_s)
        finally:
            self.ended.set()
        return Response(200)


def reset(writer):
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    writer.transport.abort()


def close(writer):
    writer.close()


def close_after_more(writer):
    """Send a further request and close."""
    writer.write(REQUEST)
    writer.close()


async def leave(handler, how, work, request=REQUEST, *, read_bytes=0):
    """Send a request, leave, and wait until its work has ended."""
    server = HttpServer(handler, cancel_on_disconnect=True)
    address = await server.start(find_free_address())
    reader, writer = await asyncio.open_connection(
        address.host, address.port, limit=1024
    )
    try:
        writer.write(request)
        await reader.readexactly(read_bytes)
        await asyncio.sleep(0.1)
        assert not work.ended.is_set()
        how(writer)
        async with asyncio.timeout(LIMIT_S):
            await work.ended.wait()
        await asyncio.sleep(0.05)
        assert server.count_connections() == 0
    finally:
        await server.abort()


@pytest.mark.parametrize("request_bytes", [REQUEST, OLD_REQUEST], ids=["1.1", "1.0"])
@pytest.mark.parametrize("how", [close, reset, close_after_more])
@pytest.mark.parametrize(
    "pieces", [[], [b"data: 1\n\n"], [b"a"] * 3], ids=["none", "one", "three"]
)
async def test_stream_ends_when_its_client_leaves(pieces, how, request_bytes):
    """The server looked at the connection only when it wrote the next event.

    A stream whose target was silent went on at other targets after its caller had left.
    """
    work = Work(pieces, 30.0)
    await leave(work.stream, how, work, request_bytes, read_bytes=10)
    assert work.began == 1


@pytest.mark.parametrize("how", [close, reset])
async def test_stream_that_its_client_does_not_read_ends_when_the_client_leaves(how):
    work = Work([b"a" * PIECE_BYTES] * 64, 30.0)
    await leave(work.stream, how, work)


@pytest.mark.parametrize("how", [close, reset, close_after_more])
async def test_request_ends_when_its_client_leaves(how):
    """A further request behind it hid that the client had closed its connection."""
    work = Work([], 30.0)
    await leave(work.wait, how, work)
    assert work.began == 1


@pytest.mark.parametrize("turns", range(6))
async def test_client_that_leaves_as_its_stream_begins_ends_it(turns):
    """The end came after the handler's return and before the stream's first wait."""
    work = Work([], 30.0)

    def leave_after(turns, reader):
        if turns:
            asyncio.get_running_loop().call_soon(leave_after, turns - 1, reader)
        else:
            reader.feed_eof()

    async def handle(request):
        connection = next(iter(server._connections.values()))
        leave_after(turns, connection._reader)
        return await work.stream(request)

    server = HttpServer(handle, cancel_on_disconnect=True)
    address = await server.start(find_free_address())
    _, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(REQUEST)
    async with asyncio.timeout(LIMIT_S):
        await work.ended.wait()
    writer.close()
    await server.abort()


async def test_stream_of_a_server_that_does_not_watch_its_clients_goes_on():
    work = Work([b"a"], 0.3)
    server = HttpServer(work.stream, cancel_on_disconnect=lambda request: False)
    address = await server.start(find_free_address())
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(REQUEST)
    await reader.readexactly(10)
    writer.write_eof()
    rest = await reader.read()
    assert rest.endswith(b"0\r\n\r\n")
    writer.close()
    await server.abort()


async def test_stream_that_waits_costs_one_task():
    work = Work([b"a"], 30.0)
    server = HttpServer(work.stream, cancel_on_disconnect=True)
    address = await server.start(find_free_address())
    before = asyncio.all_tasks()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(REQUEST)
    await reader.readexactly(10)
    await asyncio.sleep(0.1)
    assert len(asyncio.all_tasks() - before) == 1
    writer.close()
    await work.ended.wait()
    await server.abort()
