"""Tests of how the HTTP server ends connections.

Keep-alive probes end a connection to a dead peer with ETIMEDOUT, which Python raises as
TimeoutError. The server must not take it for an expired wait and read again.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno

import pytest

from tamarackshelf.net import (
    ConnectionLost,
    HttpClient,
    HttpServer,
    Response,
    ResponseOverdue,
    ServerLimits,
)
from tamarackshelf.net.http_client import _Connection
from tamarackshelf.net.streams import BoundedStreamProtocol
from tests.conftest import find_free_address

MAX_READS = 50


class DeadReader:
    """Reader that fails like a socket whose keep-alive probes got no answer."""

    def __init__(self):
        self.reads = 0

    async def read(self, size):
        self.reads += 1
        if self.reads > MAX_READS:
            raise AssertionError("the server reads a dead connection repeatedly")
        raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")


class Writer:
    def __init__(self):
        self.closed = False
        self.transport = self

    def get_extra_info(self, name):
        return None

    def set_write_buffer_limits(self, high):
        pass

    def close(self):
        self.closed = True


async def respond(request):
    return Response(200)


@pytest.mark.parametrize("cancel_on_disconnect", [False, True])
def test_server_closes_a_connection_that_timed_out(run, cancel_on_disconnect):
    async def scenario():
        server = HttpServer(respond, cancel_on_disconnect=cancel_on_disconnect)
        reader, writer = DeadReader(), Writer()
        await server._accept(reader, writer)
        assert writer.closed
        assert reader.reads == 1

    run(scenario())


def test_raised_idle_limit_applies_to_the_current_wait(run_on_new_loop):
    async def scenario():
        limits = [ServerLimits(idle_s=1.0)]
        server = HttpServer(respond, lambda: limits[0])
        reader, writer = asyncio.StreamReader(), Writer()
        task = asyncio.create_task(server._accept(reader, writer))
        await asyncio.sleep(0.5)
        limits[0] = ServerLimits(idle_s=5.0)
        await asyncio.sleep(2.0)
        still_open = not task.done()
        await asyncio.sleep(3.0)
        return still_open, task.done(), writer.closed

    assert run_on_new_loop(scenario()) == (True, True, True)


def test_handler_is_cancelled_when_its_client_disconnects():
    async def scenario():
        cancelled = asyncio.Event()

        async def slow(request):
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                cancelled.set()
                raise
            return Response(200)

        server = HttpServer(slow, cancel_on_disconnect=True)
        address = await server.start(find_free_address())
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 5)
        await server.abort()

    asyncio.run(scenario())


# An unreachable network is no ConnectionError in Python, and escaped the client.
@pytest.mark.parametrize(
    "error",
    [
        OSError(errno.EHOSTUNREACH, "No route to host"),
        ConnectionResetError(errno.ECONNRESET, "Connection reset by peer"),
    ],
    ids=["unreachable", "reset"],
)
def test_client_reports_a_connection_that_fails_as_lost(run, error):
    async def scenario():
        reader = asyncio.StreamReader()
        reader.set_exception(error)
        connection = _Connection(BoundedStreamProtocol(reader), reader, Writer())
        with pytest.raises(ConnectionLost):
            await connection.next_event(asyncio.get_running_loop().time() + 1.0)

    run(scenario())


async def hold_open(reader, writer):
    """Read nothing, as a stopped process does."""
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(3600)
    writer.transport.abort()


def test_long_request_to_a_peer_that_reads_nothing_ends_at_its_deadline():
    """A caller's long request had no answer until the kernel gave the connection up."""

    async def scenario():
        address, http = find_free_address(), HttpClient()
        server = await asyncio.start_server(
            hold_open, address.host, address.port, limit=1024
        )
        request = http.request(
            address, "POST", "/", body=b"a" * 2**25, timeout_s=0.3, new_connection=True
        )
        with pytest.raises(ResponseOverdue):
            # Less than the kernel's own time-out for unacknowledged data.
            await asyncio.wait_for(request, 2.0)
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_stream", [False, True], ids=["whole", "stream"])
def test_response_to_a_client_that_reads_nothing_is_broken_off(is_stream):
    """A client that stopped reading kept its connection and its response for ever."""
    piece = b"a" * 2**20

    async def yield_pieces():
        while True:
            yield piece

    async def handle(request):
        return Response(200, yield_pieces() if is_stream else piece * 32)

    async def scenario():
        server = HttpServer(handle, ServerLimits(idle_s=0.3))
        address = await server.start(find_free_address())
        reader, writer = await asyncio.open_connection(
            address.host, address.port, limit=1024
        )
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        async with asyncio.timeout(3.0):
            while not server.count_connections():
                await asyncio.sleep(0.05)
            while server.count_connections():
                await asyncio.sleep(0.05)
        writer.close()
        await server.abort()

    asyncio.run(scenario())
