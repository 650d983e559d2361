"""Table client: group commit, priorities, budget, lost responses and outages."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from tamarackshelf.contracts import ABSENT_REVISION, Condition, Transaction, Write
from tamarackshelf.errors import StoreUnavailable
from tamarackshelf.state import AmbiguousWrite, Priority, TableClient, TableLimits
from tests.support.fleet import MemoryFleet
from tests.support.memory import MemoryHttp


def insert(key, value="v"):
    return Transaction((Condition(key, ABSENT_REVISION),), (Write(key, value),))


async def start_client(fleet, limits=None):
    client = TableClient(MemoryHttp(fleet.network), fleet.table_address, limits)
    await client.start()
    return client


def commit(client, key, value="v", priority=Priority.OTHER, timeout_s=5.0):
    return client.commit(
        insert(key, value), priority, timeout_s, lambda row: row.value == value
    )


def test_concurrent_transactions_share_a_request(run):
    async def scenario():
        fleet = MemoryFleet()
        client = await start_client(fleet)
        results = await asyncio.gather(*(commit(client, f"k{i}") for i in range(32)))
        assert all(isinstance(result, Success) for result in results)
        assert fleet.table.requests == 1

    run(scenario())


def test_claims_are_sent_before_slots_when_the_budget_is_exhausted(run):
    async def scenario():
        fleet = MemoryFleet()
        client = await start_client(
            fleet, TableLimits(reads_per_s=1, writes_per_s=1, batch_size=1)
        )
        order = []

        async def write(key, priority):
            await commit(client, key, priority=priority, timeout_s=60)
            order.append(key)

        await asyncio.gather(
            write("slot1", Priority.SLOT),
            write("slot2", Priority.SLOT),
            write("claim", Priority.CLAIM),
        )
        assert order[0] == "claim"

    run(scenario())


def test_client_keeps_to_its_write_budget(run):
    async def scenario():
        fleet = MemoryFleet()
        client = await start_client(fleet, TableLimits(writes_per_s=10, batch_size=4))
        await asyncio.gather(
            *(commit(client, f"k{i}", timeout_s=99) for i in range(60))
        )
        elapsed_s = asyncio.get_running_loop().time()
        # The burst is one second of the budget, which is 10 rows per second.
        assert 60 / 10 - 1.0 - 0.5 <= elapsed_s <= 60 / 10 + 0.5

    run(scenario())


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_own_write_is_recognised_after_a_lost_response(run, lost):
    async def scenario():
        fleet = MemoryFleet()
        fleet.table.faults.lose_answers = lost
        client = await start_client(fleet)
        assert isinstance(await commit(client, "k", "mine"), Success)
        assert fleet.table.rows["k"].revision == 1

    run(scenario())


def test_row_of_another_node_is_a_conflict_after_a_lost_response(run):
    async def scenario():
        fleet = MemoryFleet()
        fleet.table.commit(insert("k", "theirs"))
        fleet.table.faults.lose_answers = 1
        client = await start_client(fleet)
        result = await commit(client, "k", "mine")
        assert result.failure().find("k").value == "theirs"

    run(scenario())


def test_unsent_and_possibly_committed_transactions_raise_different_errors(run):
    async def scenario():
        fleet = MemoryFleet()
        client = await start_client(fleet)
        fleet.network.remove(fleet.table_address)
        with pytest.raises(StoreUnavailable) as refused:
            await commit(client, "k", timeout_s=1.0)
        assert not isinstance(refused.value, AmbiguousWrite)
        fleet.network.add(fleet.table._handle, fleet.table_address)
        fleet.table.faults.lose_answers = 10_000
        with pytest.raises(AmbiguousWrite):
            await commit(client, "k", timeout_s=1.0)

    run(scenario())


def test_ten_minute_outage_causes_few_probes_and_ends_soon(run):
    async def scenario():
        fleet = MemoryFleet()
        client = await start_client(fleet)
        fleet.table.faults.down = True
        writing = asyncio.ensure_future(commit(client, "k", timeout_s=900))
        await asyncio.sleep(600)
        assert not client.is_up
        assert fleet.table.requests <= 600
        fleet.table.faults.down = False
        recovered_at_s = asyncio.get_running_loop().time()
        assert isinstance(await writing, Success)
        assert asyncio.get_running_loop().time() - recovered_at_s <= 2.5

    run(scenario())
