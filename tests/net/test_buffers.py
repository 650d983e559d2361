"""The bound of a whole process for bytes that others make it keep."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.net import ConnectionLost, HttpClient, HttpServer, Response
from tamarackshelf.net.buffers import (
    BUDGET,
    BufferBudget,
    BuffersFull,
    hold_for_request,
)
from tamarackshelf.net.http_client import collect
from tests.conftest import find_free_address


@pytest.fixture
def budget(monkeypatch):
    """Bound the bytes of this process to 100,000."""
    monkeypatch.setattr(BUDGET, "limit_bytes", 100_000)
    return BUDGET


def test_holder_of_most_gives_way_and_no_other():
    budget = BufferBudget(100)
    small, large, last = budget.open(), budget.open(), budget.open()
    small.add(10)
    large.add(60)
    last.add(40)
    assert [each.is_evicted for each in (small, large, last)] == [False, True, False]
    with pytest.raises(BuffersFull):
        large.add(1)
    assert budget.held_bytes == 50
    for each in (small, large, last):
        each.close()
    assert budget.held_bytes == 0


def test_bytes_that_were_released_count_no_more():
    budget = BufferBudget(100)
    buffer = budget.open()
    for _ in range(10):
        buffer.add(80)
        buffer.release(80)
    assert not buffer.is_evicted
    assert budget.held_bytes == 0


async def yield_without_end(size_bytes, pause_s):
    while True:
        yield b"a" * size_bytes
        await asyncio.sleep(pause_s)


def test_call_that_waits_for_more_bytes_gives_way_at_once(run, budget):
    """A slow sender kept its bytes until the deadline, however full the memory was."""

    async def scenario():
        slow = asyncio.create_task(collect(yield_without_end(60_000, 3600.0)))
        await asyncio.sleep(0.1)
        with hold_for_request() as other:
            other.add(50_000)
            with pytest.raises(ConnectionLost):
                await asyncio.wait_for(slow, 1.0)

    run(scenario())
    assert budget.held_bytes == 0


def test_bodies_that_one_request_collects_count_together(run, budget):
    async def scenario():
        with hold_for_request() as own:
            for _ in range(2):
                with pytest.raises(ConnectionLost):
                    await collect(yield_without_end(30_000, 0.0))
            assert own.is_evicted

    run(scenario())
    assert budget.held_bytes == 0


def test_request_that_waits_with_most_bytes_is_answered_as_unknown(budget):
    """A handler that waits for its target must not keep the memory others need."""
    statuses = {}

    async def handle(request):
        if request.path == "/wait":
            await asyncio.sleep(3600)
        return Response(200, b"a" * 10)

    async def scenario():
        server, http = HttpServer(handle), HttpClient()
        address = await server.start(find_free_address())

        async def post(path, size_bytes):
            answer = await http.request(address, "POST", path, body=b"a" * size_bytes)
            statuses[path] = answer.status

        async with asyncio.timeout(10):
            waiting = asyncio.create_task(post("/wait", 60_000))
            await asyncio.sleep(0.2)
            await post("/other", 50_000)
            await waiting
        await http.close()
        await server.abort()

    asyncio.run(scenario())
    assert statuses == {"/wait": 504, "/other": 200}
    assert budget.held_bytes == 0
