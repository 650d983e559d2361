"""A caller that reconnects with its key gets the same whole answer anywhere."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from tamarackshelf.errors import KeyConflict, ShelfError
from tamarackshelf.gateway.answers import AnswerCache, KeyRegistry
from tamarackshelf.gateway.caller import Caller
from tamarackshelf.gateway.completions import CompletionApi, CompletionReply
from tamarackshelf.gateway.key_registry_client import KeyRegistryClient
from tamarackshelf.gateway.peer_api import build_handlers
from tamarackshelf.net import Request
from tamarackshelf.policy.ownership import rank_owners
from tests.support.fleet import MODEL, FakeViewWatch, MemoryFleet
from tests.support.memory import MemoryRpc

KEY = "k1"
HOME_KEY = f"org/{KEY}"
BODY = {"model": MODEL, "prompt": "a letter", "max_tokens": 640}


class GatewayUnderTest:
    """The completions of one gateway and its part of the key homes."""

    def __init__(self, fleet, name, watch, handlers):
        self.entry = fleet.entries[name]
        self.handlers = handlers
        self.parameters = fleet.parameters
        dispatcher = fleet.build_dispatcher(name)
        book, home = AnswerCache(), KeyRegistry()
        homes = KeyRegistryClient(name, home, MemoryRpc(handlers), watch)
        self.completions = CompletionApi(dispatcher, book, homes, "a")
        handlers[self.entry.gateway_peer] = build_handlers(dispatcher, book, home)

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

    def die(self):
        self.handlers.pop(self.entry.gateway_peer)


def build(count=4):
    fleet = MemoryFleet()
    engine = fleet.add_engine("e1")
    engine.faults.delay_s = 0.05
    for i in range(count):
        fleet.add_entry(f"g{i}")
    watch, handlers = FakeViewWatch(fleet.build_view()), {}
    names = rank_owners(fleet.entries, HOME_KEY)
    gateways = [GatewayUnderTest(fleet, name, watch, handlers) for name in names]
    # The first gateway is the key's home, the others are not.
    return fleet, engine, gateways


@pytest.mark.parametrize("wait_s", [0.1, 20.0], ids=["in progress", "done"])
@pytest.mark.parametrize("first", [0, 1], ids=["at its home", "elsewhere"])
def test_a_reconnect_at_another_gateway_gets_the_same_answer(run, wait_s, first):
    async def play():
        _, engine, gateways = build()
        running = asyncio.ensure_future(gateways[first].complete())
        await asyncio.sleep(wait_s)
        again = await gateways[3].complete()
        assert (await running).tokens == again.tokens
        assert engine.requests_seen == 1

    run(play())


def test_a_caller_that_leaves_does_not_end_a_keyed_run(run):
    async def play():
        _, engine, gateways = build()
        leaving = asyncio.ensure_future(gateways[1].complete())
        await asyncio.sleep(0.1)
        leaving.cancel()
        answer = await gateways[2].complete()
        assert answer.length == len(answer.tokens) > 0
        assert engine.requests_seen == 1

    run(play())


def test_an_answer_survives_the_gateway_that_ran_it(run):
    async def play():
        _, engine, gateways = build()
        first = await gateways[1].complete()
        await asyncio.sleep(1.0)
        gateways[1].die()
        assert (await gateways[2].complete()).tokens == first.tokens
        assert engine.requests_seen == 1

    run(play())


def test_a_run_is_started_again_when_its_gateway_died(run):
    async def play():
        _, engine, gateways = build()
        running = asyncio.ensure_future(gateways[1].complete())
        await asyncio.sleep(0.1)
        gateways[1].die()
        running.cancel()
        answer = await gateways[2].complete()
        assert answer.length > 0
        assert engine.requests_seen == 2

    run(play())


@pytest.mark.parametrize("second", [1, 3], ids=["same gateway", "another"])
def test_the_same_key_with_another_body_is_a_conflict(run, second):
    async def play():
        _, _, gateways = build()
        await gateways[1].complete()
        with pytest.raises(KeyConflict):
            await gateways[second].complete(prompt="another letter")

    run(play())


def test_without_a_key_the_run_ends_with_its_caller(run):
    async def play():
        _, engine, gateways = build()
        response = await gateways[1].serve(key="", stream=True)
        assert await anext(response.body)
        await response.body.aclose()
        await asyncio.sleep(0.2)
        assert engine.read_state().load.running == 0

    run(play())


def test_a_stream_ends_with_its_length(run):
    async def play():
        _, _, gateways = build()
        response = await gateways[1].serve(stream=True)
        events = [event async for event in response.body]
        assert events[-1].startswith(b"event: end\n")
        assert all(event.startswith(b"event: chunk\n") for event in events[:-1])

    run(play())


def test_a_fault_of_ours_ends_the_run_for_all_who_follow(run):
    async def play():
        _, _, gateways = build()

        def fail(organisation):
            raise KeyError("a fault of ours")

        gateways[1].completions._dispatcher.record_request = fail
        with pytest.raises(ShelfError) as failed:
            await asyncio.wait_for(gateways[1].complete(), 5.0)
        assert not failed.value.not_run

    run(play())
