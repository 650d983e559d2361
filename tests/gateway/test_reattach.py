"""A caller that resends a completion with the same key gets the same answer.

That holds at any gateway, also after a disconnect or a crash of the first gateway.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from tamarackshelf.errors import KeyConflict, ShelfError
from tamarackshelf.gateway.answers import AnswerCache, KeyRegistry
from tamarackshelf.gateway.caller import Caller
from tamarackshelf.gateway.completions import (
    CompletionApi,
    CompletionReply,
    is_unkeyed_completion,
)
from tamarackshelf.gateway.key_registry_client import KeyRegistryClient
from tamarackshelf.gateway.peer_api import build_handlers
from tamarackshelf.net import HttpServer, Request
from tamarackshelf.policy.ownership import rank_owners
from tests.conftest import find_free_address
from tests.support.fleet import MODEL, FakeViewWatch, MemoryFleet
from tests.support.memory import MemoryRpc

KEY = "k1"
REGISTRY_KEY = f"org/{KEY}"
BODY = {"model": MODEL, "prompt": "a letter", "max_tokens": 640}


class GatewayUnderTest:
    """The completion interface and the key registry of one gateway."""

    def __init__(self, fleet, name, watch, handlers):
        self.entry = fleet.entries[name]
        self.handlers = handlers
        self.parameters = fleet.parameters
        dispatcher = fleet.build_dispatcher(name)
        cache, registry = AnswerCache(), KeyRegistry()
        registry_client = KeyRegistryClient(name, registry, MemoryRpc(handlers), watch)
        self.completions = CompletionApi(dispatcher, cache, registry_client, "a")
        handlers[self.entry.gateway_peer] = build_handlers(dispatcher, cache, registry)

    async def serve(self, key=KEY, **changes):
        loop = asyncio.get_running_loop()
        caller = Caller(self.parameters, "1a", key, loop.time() + 30)
        body = msgspec.json.encode({**BODY, **changes})
        return await self.completions.serve(
            "models", caller, Request("POST", "/", body=body)
        )

    async def complete(self, key=KEY, **changes):
        response = await self.serve(key, **changes)
        return msgspec.json.decode(response.body, type=CompletionReply)

    def crash(self):
        self.handlers.pop(self.entry.gateway_peer)


def build_gateways(count=4):
    fleet = MemoryFleet()
    engine = fleet.add_engine("e1")
    engine.faults.delay_s = 0.05
    for i in range(count):
        fleet.add_entry(f"g{i}")
    watch, handlers = FakeViewWatch(fleet.build_view()), {}
    names = rank_owners(fleet.entries, REGISTRY_KEY)
    gateways = [GatewayUnderTest(fleet, name, watch, handlers) for name in names]
    # The registry of the first gateway is responsible for the key.
    return fleet, engine, gateways


@pytest.mark.parametrize("wait_s", [0.1, 20.0], ids=["in progress", "done"])
@pytest.mark.parametrize(
    "first", [0, 1], ids=["at the responsible gateway", "elsewhere"]
)
def test_resend_to_another_gateway_gets_the_same_answer(run, wait_s, first):
    async def scenario():
        _, engine, gateways = build_gateways()
        first_reply = asyncio.ensure_future(gateways[first].complete())
        await asyncio.sleep(wait_s)
        resent_reply = await gateways[3].complete()
        assert (await first_reply).tokens == resent_reply.tokens
        assert engine.requests_seen == 1

    run(scenario())


def test_disconnect_does_not_stop_a_keyed_request(run):
    async def scenario():
        _, engine, gateways = build_gateways()
        disconnecting = asyncio.ensure_future(gateways[1].complete())
        await asyncio.sleep(0.1)
        disconnecting.cancel()
        answer = await gateways[2].complete()
        assert answer.length == len(answer.tokens) > 0
        assert engine.requests_seen == 1

    run(scenario())


def test_answer_survives_the_crash_of_its_gateway(run):
    async def scenario():
        _, engine, gateways = build_gateways()
        first = await gateways[1].complete()
        await asyncio.sleep(1.0)
        gateways[1].crash()
        assert (await gateways[2].complete()).tokens == first.tokens
        assert engine.requests_seen == 1

    run(scenario())


def test_request_runs_again_after_its_gateway_crashed(run):
    async def scenario():
        _, engine, gateways = build_gateways()
        running = asyncio.ensure_future(gateways[1].complete())
        await asyncio.sleep(0.1)
        gateways[1].crash()
        running.cancel()
        answer = await gateways[2].complete()
        assert answer.length > 0
        assert engine.requests_seen == 2

    run(scenario())


@pytest.mark.parametrize("second", [1, 3], ids=["same gateway", "another"])
def test_same_key_with_a_different_body_raises_key_conflict(run, second):
    async def scenario():
        _, _, gateways = build_gateways()
        await gateways[1].complete()
        with pytest.raises(KeyConflict):
            await gateways[second].complete(prompt="another letter")

    run(scenario())


def test_closing_the_stream_stops_a_request_without_a_key(run):
    async def scenario():
        _, engine, gateways = build_gateways()
        response = await gateways[1].serve(key="", stream=True)
        assert await anext(response.body)
        await response.body.aclose()
        await asyncio.sleep(0.2)
        assert engine.read_state().load.running == 0

    run(scenario())


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("key", ["", KEY])
async def test_caller_that_leaves_ends_only_a_request_without_a_key(is_stream, key):
    """The gateway noticed that a caller had left only when it wrote to it."""
    _, engine, gateways = build_gateways()
    engine.faults.delay_s = 30.0

    async def handle(request):
        return await gateways[1].serve(key, stream=is_stream)

    server = HttpServer(handle, cancel_on_disconnect=is_unkeyed_completion)
    address = await server.start(find_free_address())
    _, writer = await asyncio.open_connection(address.host, address.port)
    head = "POST /v1/services/models/completions HTTP/1.1\r\nhost: a\r\n"
    writer.write(f"{head}idempotency-key: {key}\r\n\r\n".encode())
    await asyncio.sleep(0.2)
    assert len(gateways[1].completions._tasks) == 1
    writer.close()
    await asyncio.sleep(0.4)
    assert len(gateways[1].completions._tasks) == (1 if key else 0)
    await server.abort()


def test_stream_ends_with_an_end_event(run):
    async def scenario():
        _, _, gateways = build_gateways()
        response = await gateways[1].serve(stream=True)
        events = [event async for event in response.body]
        assert events[-1].startswith(b"event: end\n")
        assert all(event.startswith(b"event: chunk\n") for event in events[:-1])

    run(scenario())


def test_internal_error_ends_the_answer_for_its_readers(run):
    async def scenario():
        _, _, gateways = build_gateways()

        def fail(organisation):
            raise KeyError("simulated internal error")

        gateways[1].completions._dispatcher.record_request = fail
        with pytest.raises(ShelfError) as failed:
            await asyncio.wait_for(gateways[1].complete(), 5.0)
        assert not failed.value.not_run

    run(scenario())
