"""Tests of the HTTP client and server over real sockets.

Invalid requests must get a typed error without reaching the handler, and incomplete
responses and lost connections must be reported as such.
"""

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


class CountingServer:
    """Server that counts the requests that its handler ran."""

    def __init__(self):
        self.ran = 0
        self.http_server = HttpServer(self.handle, LIMITS)

    async def handle(self, request):
        self.ran += 1
        if request.path == "/refuse":
            raise NoTarget("no target is known; send it later", retry_after_s=2.0)
        if request.path == "/broken":
            raise RuntimeError("handler bug")
        if request.path == "/cut":
            return Response(200, self.fail_midway())
        if request.path == "/slow":
            await asyncio.sleep(0.3)
        return to_json_response({"length": len(request.body)})

    async def fail_midway(self):
        yield b"part"
        raise ConnectionError("the engine died")


async def send_raw(address, data, close=False):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    if close:
        writer.write_eof()
    response = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return response


def serve(scenario):
    async def run():
        server = CountingServer()
        address = await server.http_server.start(ANY_PORT)
        try:
            await scenario(server, address)
        finally:
            await server.http_server.close(1.0)

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
def test_invalid_request_gets_a_typed_error_and_does_not_run(data, status):
    async def scenario(server, address):
        response = await send_raw(address, data)
        head, _, body = response.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 %d" % status)
        error = json.loads(body)
        assert error["not_run"] is True
        assert error["message"]
        assert server.ran == 0

    serve(scenario)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(HEAD + b"content-length: 9\r\n\r\nabc", id="truncated body"),
        pytest.param(HEAD, id="truncated head"),
        pytest.param(b"", id="nothing"),
    ],
)
def test_incomplete_request_does_not_run(data):
    async def scenario(server, address):
        await send_raw(address, data, close=True)
        assert server.ran == 0

    serve(scenario)


def test_typed_error_keeps_its_kind_and_handler_bug_does_not_claim_not_run():
    async def scenario(server, address):
        http = HttpClient()
        refused = await http.request(address, "POST", "/refuse")
        assert refused.status == 503
        assert refused.headers["retry-after"] == "2"
        assert json.loads(refused.body)["kind"] == "no_target"
        broken = await http.request(address, "POST", "/broken")
        assert broken.status == 500
        assert json.loads(broken.body)["not_run"] is False
        await http.close()

    serve(scenario)


def test_response_without_its_end_marker_raises_connection_lost():
    async def scenario(server, address):
        with pytest.raises(ConnectionLost):
            await HttpClient().request(address, "GET", "/cut")

    serve(scenario)


def test_stale_pooled_connection_is_replaced():
    async def scenario(server, address):
        http = HttpClient()
        for _ in range(3):
            await http.request(address, "POST", "/", body=b"abc")
        await server.http_server.close(1.0)
        server.http_server = HttpServer(server.handle, LIMITS)
        await server.http_server.start(address)
        response = await http.request(address, "POST", "/", body=b"abc")
        assert json.loads(response.body) == {"length": 3}
        await http.close()

    serve(scenario)


def test_request_on_a_new_connection_is_never_sent_twice():
    async def scenario(server, address):
        http = HttpClient()
        await http.request(address, "POST", "/", body=b"abc")
        await server.http_server.abort()
        with pytest.raises((ConnectFailed, ConnectionLost)):
            await http.request(address, "POST", "/", body=b"abc", new_connection=True)
        assert server.ran == 1

    serve(scenario)


def test_graceful_close_finishes_requests_in_flight():
    async def scenario(server, address):
        slow = asyncio.ensure_future(HttpClient().request(address, "GET", "/slow"))
        await asyncio.sleep(0.1)
        await server.http_server.close(10.0)
        assert (await slow).status == 200
        with pytest.raises(ConnectFailed):
            await HttpClient().request(address, "GET", "/")

    serve(scenario)


def test_resend_that_cannot_connect_does_not_count_as_unsent():
    """A target closed a pooled connection with the request on it, then was gone.

    The call reported that no byte was sent, although the target may have run it.
    """

    async def scenario():
        requests = []

        async def serve(reader, writer):
            while await reader.readuntil(b"\r\n\r\n"):
                requests.append("first" if not requests else "second")
                if len(requests) == 2:
                    server.close()
                    writer.close()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        http = HttpClient()
        await http.request(address, "GET", "/")
        with pytest.raises(ConnectionLost):
            await http.request(address, "GET", "/")
        await http.close()
        assert requests == ["first", "second"]

    asyncio.run(scenario())


@pytest.mark.parametrize("is_stream", [False, True], ids=["whole", "stream"])
def test_header_values_beyond_ascii_pass_both_ways(is_stream):
    """A caller or worker with one such header got a closed connection or a 500."""
    seen = []

    async def yield_body():
        yield b"body"

    async def handle(request):
        seen.append(request.headers["x-note"])
        body = yield_body() if is_stream else b"body"
        return Response(200, body, headers={"x-note": request.headers["x-note"]})

    async def scenario():
        server, http = HttpServer(handle), HttpClient()
        address = await server.start(ANY_PORT)
        sent = {"x-note": "caf\xe9 \xc3\xa9"}
        answer = await http.request(address, "GET", "/", headers=sent, timeout_s=2.0)
        await http.close()
        await server.abort()
        return answer

    answer = asyncio.run(scenario())
    assert (answer.status, answer.body) == (200, b"body")
    assert seen == ["caf\xe9 \xc3\xa9"] == [answer.headers["x-note"]]


# h11's error contains the invalid line, which may be an API key.
@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nhost: a\r\nx-credential : secret-key\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: a\r\nx-credential: secret-key\x00\r\n\r\n",
        b"GET /\x00secret-key HTTP/1.1\r\nhost: a\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: secret-key\r\n\r\n",
    ],
)
def test_answer_to_invalid_http_repeats_no_byte_of_the_request(data):
    async def scenario(server, address):
        answer = await send_raw(address, data)
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert b"secret-key" not in answer
        assert b"not valid HTTP" in answer

    serve(scenario)
