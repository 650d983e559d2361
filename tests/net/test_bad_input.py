"""Bad input over real sockets: typed errors, nothing run, bounded memory."""

from __future__ import annotations

import asyncio
import json

import pytest

from tamarackshelf.errors import NoTarget
from tamarackshelf.net import (
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    HttpServer,
    Response,
    ServerLimits,
    to_json_response,
)
from tamarackshelf.world import Address

ANY_PORT = Address("127.0.0.1", 0)
LIMITS = ServerLimits(head_bytes=2048, body_bytes=4096, request_read_s=0.2, idle_s=5.0)


class Echo:
    """A server that counts the requests it ran."""

    def __init__(self):
        self.ran = 0
        self.server = HttpServer(self.handle, LIMITS)

    async def handle(self, request):
        self.ran += 1
        if request.path == "/refuse":
            raise NoTarget("none; send it later", retry_after_s=2.0)
        if request.path == "/broken":
            raise RuntimeError("a fault of ours")
        if request.path == "/cut":
            return Response(200, self.cut())
        if request.path == "/slow":
            await asyncio.sleep(0.3)
        return to_json_response({"length": len(request.body)})

    async def cut(self):
        yield b"part"
        raise ConnectionError("the engine died")


async def send_raw(address, data, close=False):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    if close:
        writer.write_eof()
    answer = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return answer


def serve(play):
    async def run():
        echo = Echo()
        address = await echo.server.start(ANY_PORT)
        try:
            await play(echo, address)
        finally:
            await echo.server.close(1.0)

    asyncio.run(run())


HEAD = b"POST / HTTP/1.1\r\nhost: x\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(HEAD + b"x: " + b"y" * 4096, 431, id="oversize head"),
        pytest.param(
            HEAD + b"content-length: 9999\r\n\r\n" + b"y" * 9999,
            413,
            id="oversize body",
        ),
        pytest.param(b"nonsense\r\n\r\n", 400, id="not http"),
        pytest.param(HEAD + b"content-length: 9\r\n\r\nabc", 408, id="slow sender"),
    ],
)
def test_a_bad_request_gets_a_typed_error_and_does_not_run(data, status):
    async def play(echo, address):
        answer = await send_raw(address, data)
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 %d" % status)
        error = json.loads(body)
        assert error["not_run"] is True
        assert error["message"]
        assert echo.ran == 0

    serve(play)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(HEAD + b"content-length: 9\r\n\r\nabc", id="truncated body"),
        pytest.param(HEAD, id="truncated head"),
        pytest.param(b"", id="nothing"),
    ],
)
def test_a_caller_that_leaves_early_runs_nothing(data):
    async def play(echo, address):
        await send_raw(address, data, close=True)
        assert echo.ran == 0

    serve(play)


def test_errors_keep_their_kind_and_faults_of_ours_are_not_called_not_run():
    async def play(echo, address):
        http = HttpClient()
        refused = await http.request(address, "POST", "/refuse")
        assert refused.status == 503
        assert refused.headers["retry-after"] == "2"
        assert json.loads(refused.body)["kind"] == "no_target"
        broken = await http.request(address, "POST", "/broken")
        assert broken.status == 500
        assert json.loads(broken.body)["not_run"] is False
        await http.close()

    serve(play)


def test_an_answer_without_its_end_marker_is_lost_not_short():
    async def play(echo, address):
        with pytest.raises(ConnectionLost):
            await HttpClient().request(address, "GET", "/cut")

    serve(play)


def test_connections_are_reused_and_a_stale_one_is_replaced():
    async def play(echo, address):
        http = HttpClient()
        for _ in range(3):
            await http.request(address, "POST", "/", body=b"abc")
        await echo.server.close(1.0)
        echo.server = HttpServer(echo.handle, LIMITS)
        await echo.server.start(address)
        answer = await http.request(address, "POST", "/", body=b"abc")
        assert json.loads(answer.body) == {"length": 3}
        await http.close()

    serve(play)


def test_a_fresh_request_is_never_sent_twice():
    async def play(echo, address):
        http = HttpClient()
        await http.request(address, "POST", "/", body=b"abc")
        await echo.server.abort()
        with pytest.raises((ConnectFailed, ConnectionLost)):
            await http.request(address, "POST", "/", body=b"abc", new_connection=True)
        assert echo.ran == 1

    serve(play)


def test_a_graceful_close_finishes_what_is_in_flight():
    async def play(echo, address):
        slow = asyncio.ensure_future(HttpClient().request(address, "GET", "/slow"))
        await asyncio.sleep(0.1)
        await echo.server.close(10.0)
        assert (await slow).status == 200
        with pytest.raises(ConnectFailed):
            await HttpClient().request(address, "GET", "/")

    serve(play)
