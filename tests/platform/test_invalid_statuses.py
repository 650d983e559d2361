"""Workers, stores and peers whose responses have a status that HTTP does not know."""

from __future__ import annotations

import asyncio
import base64
import contextlib

import msgspec
import pytest

from tamarackshelf.contracts.rows import RowQuery, StoreOutcomeUnknown
from tamarackshelf.contracts.targets import (
    CallKind,
    ForwardedRequest,
    ItemRun,
    NotRun,
    OutcomeUnknown,
    TargetCall,
    VersionOrder,
)
from tamarackshelf.net import ConnectionLost, HttpClient, HttpServer, Request, Response
from tamarackshelf.node.target_relay import HEAD_HEADER, OUTCOME_HEADER, open_relayed
from tamarackshelf.platform.rows import PlatformRowStore
from tamarackshelf.platform.target_client import PlatformTargetClient
from tamarackshelf.world import Target, TargetKind
from tamarackshelf.world.job import JobItem, ScoreCall
from tests.conftest import find_free_address
from tests.platform.test_target_client import FakeGate
from tests.support.node import build_paths

CALL_S = 0.5
REQUEST = ForwardedRequest("r1", "h", Request("POST", "/a", body=b"z"))
ITEM = JobItem("r1", "/i/1", {"X-Model": "m"}, b"body", "g", 100)
BODY = b"id: 0\ndata: x\n\n"
STATUSES = (
    *("000", "001", "099", "100", "101", "199", "600", "700", "999"),
    *("0", "20", "2000", "-01", "2 0", "abc"),
)


async def forward(calls, target):
    return await calls.forward(target, REQUEST, CALL_S, at_most_once=False)


async def stream(calls, target):
    events = calls.stream(
        target, REQUEST, CALL_S, after_event_id=None, at_most_once=True
    )
    return [event async for event in events]


async def run_item(calls, target):
    run = ItemRun(ITEM, "h", -1, CALL_S, CALL_S)
    return [event async for event in calls.run_item(target, run)]


async def score(calls, target):
    return await calls.score(target, ScoreCall("r1", "h", "/s", b""), CALL_S)


async def order(calls, target):
    return await calls.order_version(target, VersionOrder("m", 2, "n", 1, 0), CALL_S)


async def read_report(calls, target):
    return await calls.read_report(target, CALL_S)


@contextlib.asynccontextmanager
async def serve_status(status, headers=""):
    """Run a server that answers with a status; yield a client and the server."""
    address, http = find_free_address(), HttpClient()

    async def answer(reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                lines = f"HTTP/1.1 {status} X\r\ncontent-length: {len(BODY)}\r\n"
                writer.write(f"{lines}{headers}\r\n".encode() + BODY)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(answer, address.host, address.port)
    try:
        yield http, Target("i-1", "app", TargetKind.PLAIN, "dc", address, 1, 8)
    finally:
        await http.close()
        server.close()


@pytest.mark.parametrize("headers", ["", "x-not-run: 1\r\n"], ids=["run", "not run"])
@pytest.mark.parametrize("status", STATUSES)
async def test_worker_that_returns_no_status_of_http_has_not_answered(status, headers):
    """Callers got 600, 700 and 999 of a worker in trouble as their answer."""
    headers = f"x-server-stamp: s\r\ncontent-type: text/event-stream\r\n{headers}"
    async with serve_status(status, headers) as (http, target):
        calls = PlatformTargetClient(build_paths(http), FakeGate())
        uses = (forward, stream, run_item, score, order, read_report)
        results = await asyncio.gather(
            *(use(calls, target) for use in uses), return_exceptions=True
        )
        for use, result in zip(uses, results, strict=True):
            # What is no answer does not show either that the request has not run.
            assert isinstance(result, OutcomeUnknown), (use.__name__, result)
            assert not isinstance(result, NotRun), use.__name__


@pytest.mark.parametrize("status", ["600", "999"])
async def test_connection_of_a_response_with_an_invalid_status_is_closed(status):
    async with serve_status(status) as (http, target):
        with pytest.raises(ConnectionLost):
            await http.request(target.address, "GET", "/", timeout_s=CALL_S)
        assert not http.has_idle_connection(target.address)


async def test_request_with_an_invalid_status_is_not_sent_again():
    """A pooled connection may have been closed by the peer, but this one answered."""
    statuses, received = ["200", "600", "200"], []
    address, http = find_free_address(), HttpClient()

    async def answer(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                received.append(await reader.readuntil(b"\r\n\r\n"))
                status = statuses.pop(0)
                line = f"HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n"
                writer.write(line.encode())
        writer.close()

    server = await asyncio.start_server(answer, address.host, address.port)
    assert (await http.request(address, "GET", "/")).status == 200
    with pytest.raises(ConnectionLost):
        await http.request(address, "GET", "/")
    assert len(received) == 2
    await http.close()
    server.close()


@pytest.mark.parametrize("status", ["000", "600", "999"])
async def test_store_that_returns_no_status_of_http_has_not_answered(status):
    async with serve_status(status) as (http, target):
        with pytest.raises(StoreOutcomeUnknown):
            await PlatformRowStore(http, target.address).read(RowQuery("t", ""))


@pytest.mark.parametrize("status", [0, -1, 99, 100, 199, 600, 1000, True, "200", 2.5])
async def test_peer_that_relays_no_status_of_http_has_not_answered(status):
    head = base64.b64encode(msgspec.msgpack.encode((status, {}))).decode()
    headers = {OUTCOME_HEADER: "answered", HEAD_HEADER: head}

    async def answer(request):
        return Response(200, b"x", headers=headers)

    peer, http = HttpServer(answer), HttpClient()
    address = await peer.start(find_free_address())
    target = Target("i-1", "app", TargetKind.PLAIN, "dc", address, 1, 8)
    call = TargetCall(CallKind.REQUEST, "POST", "/x", {}, b"b", CALL_S, "r")
    with pytest.raises(ConnectionLost):
        async with open_relayed(http, address, target, call):
            raise AssertionError("the response was taken for an answer")
    await http.close()
    await peer.abort()
