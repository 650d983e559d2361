"""Engine client against the stand-in engine: streams, KV caches, orders, events."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.contracts import (
    GenerateRequest,
    Order,
    OrderFenced,
    OrderKind,
    RefusedByTarget,
)
from tamarackshelf.contracts.engine import (
    export_kv,
    generate,
    import_kv,
    read_cache_events,
    read_state,
    send_order,
)
from tamarackshelf.net import ConnectionLost
from tests.support.fleet import MODEL, MemoryFleet
from tests.support.memory import MemoryHttp


@pytest.fixture
def fleet():
    return MemoryFleet()


def build_request(name, **options):
    return GenerateRequest(name, MODEL, "a letter", 1, 640, **options)


async def collect(http, engine, request):
    tokens = []
    async for line in generate(http, engine.target.address, request, 30.0):
        tokens += line.chunk.tokens if line.chunk else ()
    return tokens


def test_another_engine_continues_from_an_exported_kv_cache(run, fleet):
    async def scenario():
        source, destination = fleet.add_engine("e1"), fleet.add_engine("e2")
        http = MemoryHttp(fleet.network)
        all_tokens = await collect(http, source, build_request("r0"))
        moving = asyncio.ensure_future(collect(http, source, build_request("r1")))
        await asyncio.sleep(0.025)
        handle = await export_kv(http, source.target.address, "r1")
        with pytest.raises(ConnectionLost):
            await moving
        await import_kv(http, destination.target.address, handle)
        request = build_request("r2", kv_handle=handle.handle)
        remaining = await collect(http, destination, request)
        assert 0 < len(handle.tokens) < len(all_tokens)
        assert [*handle.tokens, *remaining] == all_tokens

    run(scenario())


@pytest.mark.parametrize(
    ("order", "field", "value"),
    [
        (Order(OrderKind.LOAD_VERSION, 1, MODEL, 4), "versions", {MODEL: 4}),
        (Order(OrderKind.LOAD_ADAPTER, 1, adapter="a"), "adapters", ("a",)),
        (Order(OrderKind.CHANGE_ROLE, 1, role="decode"), "role", "decode"),
    ],
)
def test_order_is_idempotent_and_shows_in_the_state(run, fleet, order, field, value):
    async def scenario():
        engine = fleet.add_engine("e1")
        http = MemoryHttp(fleet.network)
        for _ in range(2):
            await send_order(http, engine.target.address, order, 5.0)
        state = await read_state(http, engine.target.address)
        assert getattr(state, field) == value

    run(scenario())


def test_order_with_a_lower_fencing_number_is_refused(run, fleet):
    async def scenario():
        engine = fleet.add_engine("e1")
        http = MemoryHttp(fleet.network)
        address = engine.target.address
        await send_order(http, address, Order(OrderKind.CHANGE_ROLE, 2), 5.0)
        with pytest.raises(OrderFenced):
            await send_order(http, address, Order(OrderKind.CHANGE_ROLE, 1), 5.0)

    run(scenario())


@pytest.mark.parametrize("gaps", [False, True])
def test_cache_events_are_numbered_and_may_have_gaps(run, fleet, gaps):
    async def scenario():
        engine = fleet.add_engine("e1")
        engine.faults.cache_event_gaps = gaps
        http = MemoryHttp(fleet.network)
        for i in range(3):
            request = GenerateRequest(f"r{i}", MODEL, f"prompt {i}", 1, 64)
            await collect(http, engine, request)
        events = await read_cache_events(http, engine.target.address, 0)
        numbers = [event.sequence for event in events]
        steps = {b - a for a, b in zip(numbers, numbers[1:], strict=False)}
        assert steps == ({2} if gaps else {1})
        later = await read_cache_events(http, engine.target.address, numbers[0])
        assert [event.sequence for event in later] == numbers[1:]

    run(scenario())


def test_refusal_of_a_leaving_engine_names_its_kind(run, fleet):
    async def scenario():
        engine = fleet.add_engine("e1")
        engine.faults.leaving = True
        with pytest.raises(RefusedByTarget) as refused:
            await collect(MemoryHttp(fleet.network), engine, build_request("r1"))
        assert refused.value.kind == "leaving"

    run(scenario())
