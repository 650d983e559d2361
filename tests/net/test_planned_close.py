"""What clients get while a server closes as planned, on real sockets."""

from __future__ import annotations

import asyncio

import h11
import pytest

from tamarackshelf.net import HttpServer, Response
from tests.conftest import find_free_address

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
ANSWER_S = 0.15


class Server:
    """A server whose handler takes ANSWER_S, and a client's open connection to it."""

    def __init__(self, answer_s=ANSWER_S, cancel_on_disconnect=True):
        self.handled = 0
        self.cancelled = 0
        self._answer_s = answer_s
        self.server = HttpServer(
            self._handle, cancel_on_disconnect=cancel_on_disconnect
        )

    async def _handle(self, request):
        self.handled += 1
        try:
            await asyncio.sleep(self._answer_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return Response(200, b"done")

    async def connect(self):
        address = find_free_address()
        await self.server.start(address)
        return await asyncio.open_connection(address.host, address.port)


async def read_response(reader):
    """Return the status of a complete response, or 0."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="POST", target="/x", headers=[("host", "h")]))
    http.send(h11.EndOfMessage())
    status = 0
    try:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                return status
            elif not isinstance(event, h11.Data):
                return 0
    except (ConnectionError, h11.RemoteProtocolError):
        return 0


# A request that arrived just before the close was handled, and then cut.
@pytest.mark.parametrize("is_kept", [False, True], ids=["first", "kept connection"])
@pytest.mark.parametrize("turns", range(8))
def test_request_that_meets_the_close_is_answered_if_it_is_handled(turns, is_kept):
    async def main():
        each = Server()
        reader, writer = await each.connect()
        if is_kept:
            writer.write(REQUEST)
            assert await read_response(reader) == 200
            each.handled = 0
        await asyncio.sleep(0.01)
        writer.write(REQUEST)
        # Turns of the event loop by which the request is ahead of the close.
        for _ in range(turns):
            await asyncio.sleep(0)
        closing = asyncio.ensure_future(each.server.close(grace_s=2.0))
        status = await read_response(reader)
        await closing
        writer.close()
        return status, each.handled, each.cancelled

    status, handled, cancelled = asyncio.run(main())
    assert (status == 200) == bool(handled)
    assert not cancelled


# A request that was half received at the close was answered as invalid.
def test_request_that_is_half_received_at_the_close_is_answered():
    async def main():
        each = Server()
        reader, writer = await each.connect()
        writer.write(REQUEST[:20])
        await asyncio.sleep(0.05)
        closing = asyncio.ensure_future(each.server.close(grace_s=2.0))
        await asyncio.sleep(0.05)
        writer.write(REQUEST[20:])
        status = await read_response(reader)
        await closing
        writer.close()
        return status

    assert asyncio.run(main()) == 200


def test_idle_connection_is_closed_at_once():
    async def main():
        each = Server()
        reader, writer = await each.connect()
        await asyncio.sleep(0.05)
        async with asyncio.timeout(1.0):
            await each.server.close(grace_s=5.0)
            rest = await reader.read()
        writer.close()
        return rest

    assert asyncio.run(main()) == b""


# At the end of the grace period a request in flight was cut without an answer.
@pytest.mark.parametrize("cancel_on_disconnect", [False, True])
def test_request_that_outlasts_the_close_is_answered_as_unknown(cancel_on_disconnect):
    async def main():
        each = Server(10.0, cancel_on_disconnect)
        reader, writer = await each.connect()
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        closing = asyncio.ensure_future(each.server.close(grace_s=0.1))
        status = await read_response(reader)
        await closing
        writer.close()
        return status, each.cancelled

    assert asyncio.run(main()) == (504, 1)
