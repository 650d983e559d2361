"""Relayed calls over real sockets: streams, broken responses and hang-ups."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec
import pytest

from tamarackshelf.contracts.targets import CallKind, TargetCall, TargetRecord
from tamarackshelf.net import (
    ConnectionLost,
    HttpClient,
    HttpServer,
    Request,
    Response,
)
from tamarackshelf.node.peer_api import is_target_call
from tamarackshelf.node.target_relay import (
    TARGET_CALL_PATH,
    PeerDeclined,
    RelayedCall,
    TargetNotReached,
    TargetRelay,
    open_relayed,
)
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.tasks import begin
from tamarackshelf.world import Target, TargetKind
from tests.conftest import find_free_address
from tests.support.node import build_paths

HEAD = b"HTTP/1.1 200 OK\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n"
CALL = TargetCall(CallKind.REQUEST, "POST", "/x", {"x-request-id": "r"}, b"b", 2.0, "r")
# A hang-up must reach the target within this time.
HANG_UP_LIMIT_S = 0.5


async def start_closing_server(serve, address):
    """Start a server that closes each connection when its handler has ended."""

    async def serve_and_close(reader, writer):
        try:
            await serve(reader, writer)
        finally:
            writer.close()

    return await asyncio.start_server(serve_and_close, address.host, address.port)


def build_relay(http, listed, *, is_cut_off=False):
    """Return the relay of a node that knows one target."""
    timeline = Timeline("p", lambda: 0)
    registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(1))
    registry.put(TargetRecord(listed))

    async def verify(_):
        return is_cut_off

    paths = build_paths(http, timeline)
    return TargetRelay(
        registry,
        paths.open_direct,
        verify,
        paths.judge,
        lambda target, status, headers: None,
        timeline,
        Metrics(),
    )


@contextlib.asynccontextmanager
async def run_relay(serve, *, is_cut_off=False, restarted=False):
    """Run a target and a peer that relays; yield a client, the peer and the target."""
    address, peer = find_free_address(), find_free_address()
    server = await start_closing_server(serve, address)
    http, client = HttpClient(), HttpClient()
    target = Target("i-1", "app", TargetKind.PLAIN, "dc", address, 1, 8)
    listed = Target("i-1", "app", TargetKind.PLAIN, "dc", address, 1 + restarted, 8)
    relay = build_relay(http, listed, is_cut_off=is_cut_off)
    peer_server = HttpServer(relay.answer, cancel_on_disconnect=is_target_call)
    await peer_server.start(peer)
    try:
        yield client, peer, target, server
    finally:
        await peer_server.abort()
        await http.close()
        await client.close()
        server.close()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def test_stream_is_relayed_piece_by_piece():
    first_read = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + chunk(b"one"))
        await first_read.wait()
        writer.write(chunk(b"two") + chunk(b""))
        await writer.drain()

    async with (
        run_relay(serve) as (http, peer, target, _),
        open_relayed(http, peer, target, CALL) as response,
    ):
        assert (response.status, response.headers["x-stamp"]) == (200, "s")
        pieces = []
        async for piece in response.chunks():
            pieces.append(piece)
            first_read.set()
        assert pieces == [b"one", b"two"]


async def test_relayed_response_that_is_closed_unread_ends_the_call():
    """A peer that hung up just before its answer left its call counted for good."""
    ended = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + chunk(b"one"))
        await reader.read()
        ended.set()

    async with run_relay(serve) as (http, _, target, _):
        relay = build_relay(http, target)
        call = msgspec.msgpack.encode(RelayedCall(target.name, 1, CALL))
        response = await relay.answer(Request("POST", TARGET_CALL_PATH, body=call))
        await response.body.aclose()
        await asyncio.wait_for(ended.wait(), HANG_UP_LIMIT_S)


async def test_response_that_the_target_breaks_off_is_not_complete():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + chunk(b"one"))
        await writer.drain()
        writer.close()

    async with run_relay(serve) as (http, peer, target, _):
        with pytest.raises(ConnectionLost):
            async with open_relayed(http, peer, target, CALL) as response:
                assert [piece async for piece in response.chunks()] == []


async def test_request_that_the_target_reset_is_not_called_unsent():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()

    async with run_relay(serve) as (http, peer, target, _):
        with pytest.raises(ConnectionLost):
            async with open_relayed(http, peer, target, CALL):
                pass


# The target of a caller that hangs up must not work on for the relaying node.
async def test_hang_up_reaches_the_target_before_it_responds():
    begun, ended = asyncio.Event(), asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        begun.set()
        with contextlib.suppress(ConnectionError):
            while await reader.read(100):
                pass
        ended.set()

    async with run_relay(serve) as (http, peer, target, _):

        async def call():
            async with open_relayed(http, peer, target, CALL):
                pass

        task = asyncio.create_task(call())
        await begun.wait()
        task.cancel()
        async with asyncio.timeout(HANG_UP_LIMIT_S):
            await ended.wait()


async def test_caller_that_leaves_a_relayed_stream_ends_it_at_the_target():
    """A peer noticed that its caller had left only when the target sent more."""
    ended = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + chunk(b"one"))
        with contextlib.suppress(ConnectionError):
            await reader.read()
        ended.set()

    async with run_relay(serve) as (http, peer, target, _):

        async def answer(request):
            async def relay():
                async with open_relayed(http, peer, target, CALL) as response:
                    yield b""
                    async for piece in response.chunks():
                        yield piece

            return Response(200, await begin(relay()))

        entry = HttpServer(answer, cancel_on_disconnect=True)
        address = await entry.start(find_free_address())
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        await reader.readuntil(b"one")
        writer.close()
        async with asyncio.timeout(HANG_UP_LIMIT_S):
            await ended.wait()
        await entry.abort()


@pytest.mark.parametrize(
    ("options", "error"),
    [
        ({"is_cut_off": True}, PeerDeclined),
        ({}, TargetNotReached),
        ({"restarted": True}, PeerDeclined),
    ],
    ids=["peer cut off", "target down", "another start of the target"],
)
async def test_call_that_was_not_sent_says_why(options, error):
    async def serve(reader, writer):
        raise AssertionError("a connection was accepted")

    async with run_relay(serve, **options) as (http, peer, target, server):
        server.close()
        await server.wait_closed()
        with pytest.raises(error):
            async with open_relayed(http, peer, target, CALL):
                pass
