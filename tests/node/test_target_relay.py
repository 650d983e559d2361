"""Relayed calls over real sockets: streams, broken responses and hang-ups."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec
import pytest

from tamarackshelf.contracts.rows import (
    RowTransaction,
    StoreOutcomeUnknown,
    StoreRefused,
)
from tamarackshelf.contracts.targets import CallKind, TargetCall, TargetRecord
from tamarackshelf.net import (
    ConnectionLost,
    HttpClient,
    HttpServer,
    Request,
    Response,
)
from tamarackshelf.node.peer_api import is_target_call
from tamarackshelf.node.peer_jobs import HandoverOutcome, JobHandover, hand_over_job
from tamarackshelf.node.peer_store import PeerStore
from tamarackshelf.node.target_relay import (
    OUTCOME_HEADER,
    TARGET_CALL_PATH,
    PeerDeclined,
    RelayedCall,
    TargetNotReached,
    TargetRelay,
    open_relayed,
)
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.store.job_store import StoredHead
from tamarackshelf.tasks import begin
from tamarackshelf.world import Target, TargetKind
from tamarackshelf.world.job import JobHead, JobState
from tests.conftest import find_free_address
from tests.support.node import build_job, build_paths

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


@contextlib.asynccontextmanager
async def answer_as_peer(status, headers):
    """Run a peer that answers each call so; yield a client and the peer's address."""

    async def answer(request):
        return Response(status, b"x", headers=headers)

    peer, http = HttpServer(answer), HttpClient()
    address = await peer.start(find_free_address())
    try:
        yield http, address
    finally:
        await http.close()
        await peer.abort()


@pytest.mark.parametrize(
    ("status", "headers", "error"),
    [
        (404, {}, PeerDeclined),
        (413, {}, PeerDeclined),
        (503, {}, PeerDeclined),
        (503, {OUTCOME_HEADER: "declined"}, PeerDeclined),
        (503, {OUTCOME_HEADER: "cut_off"}, PeerDeclined),
        (200, {}, ConnectionLost),
        (500, {}, ConnectionLost),
        (502, {}, ConnectionLost),
        (504, {}, ConnectionLost),
        (503, {OUTCOME_HEADER: "of a later release"}, ConnectionLost),
    ],
)
async def test_relayed_call_counts_as_unsent_only_if_the_peer_says_so(
    status, headers, error
):
    """A peer gave a call up for its memory and answered 504; the call ran twice."""
    target = Target("i-1", "app", TargetKind.PLAIN, "dc", find_free_address(), 1, 8)
    async with answer_as_peer(status, headers) as (http, peer):
        with pytest.raises(error):
            async with open_relayed(http, peer, target, CALL):
                pass


@pytest.mark.parametrize("status", [404, 413, 429, 503])
async def test_commit_through_a_peer_is_refused_if_the_peer_says_so(status):
    async with answer_as_peer(status, {}) as (http, peer):
        with pytest.raises(StoreRefused):
            await PeerStore(http, peer).commit(RowTransaction((), ()))


@pytest.mark.parametrize("status", [201, 409, 500, 502, 504])
async def test_commit_through_a_peer_may_be_done_if_the_peer_gives_it_up(status):
    """A commit that a peer gave up for its memory counted as not carried out."""
    async with answer_as_peer(status, {}) as (http, peer):
        with pytest.raises(StoreOutcomeUnknown):
            await PeerStore(http, peer).commit(RowTransaction((), ()))


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, HandoverOutcome.TAKEN),
        (409, HandoverOutcome.REFUSED),
        (413, HandoverOutcome.REFUSED),
        (503, HandoverOutcome.REFUSED),
        (500, HandoverOutcome.UNCERTAIN),
        (504, HandoverOutcome.UNCERTAIN),
    ],
)
async def test_job_that_a_peer_may_have_taken_is_not_offered_again(status, outcome):
    """A job was offered to another peer after a status that promises nothing."""
    job = build_job()
    head = JobHead("a", 1, 1, JobState.OPEN, 4, 1, job.host, job.path, job.model)
    handover = JobHandover(job, StoredHead(job.job_id, head, 1), (), (), ())
    async with answer_as_peer(status, {}) as (http, peer):
        assert await hand_over_job(http, peer, handover) is outcome


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
