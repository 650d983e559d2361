"""Failures of the row store: failover, table watch, and rows of jobs and nodes."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from tamarackshelf.contracts.rows import (
    RowConflict,
    RowKey,
    RowQuery,
    RowTransaction,
    RowWrite,
    StoreOutcomeUnknown,
    StoreRefused,
)
from tamarackshelf.observe import Timeline
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import (
    NodeRecord,
    acquire_lease,
    read_lease,
    register_node,
    unregister_node,
)
from tamarackshelf.store.job_store import HeadChanged, JobStore
from tamarackshelf.store.table_watch import TableWatch
from tamarackshelf.world import Address
from tamarackshelf.world.job import ItemResult, Job, JobHead, JobItem, JobState

ROW_BYTES = 65536


def build_timeline():
    return Timeline("n", lambda: 0)


def build_job(job_id="j1", items=3, body=b"x" * 600):
    return Job(
        job_id=job_id,
        host="h",
        path="/r/1",
        model="m",
        step=1,
        min_version=1,
        group_count=1,
        items=tuple(
            JobItem(f"{job_id}-{n}", "/r/1/a", {}, body, "g", 100) for n in range(items)
        ),
    )


def build_head(owner="a", epoch=1):
    return JobHead(owner, 1, epoch, JobState.OPEN, 3, 1, "h", "/r/1", "m")


def test_call_goes_through_a_peer_if_the_store_refuses_this_node(run):
    async def scenario():
        store = MemoryRowStore()
        own, peer = store.connect(), store.connect()
        failover = FailoverStore(own, build_timeline())
        failover.set_peer_source(lambda: [peer])
        own.is_refused = True
        at = RowKey("t", "", "k")
        await failover.commit(RowTransaction((), (RowWrite(at, b"v"),)))
        page = await failover.read(RowQuery("t", ""))
        assert [row.value for row in page.rows] == [b"v"]

    run(scenario())


def test_refused_call_and_unknown_outcome_raise_different_errors(run):
    async def scenario():
        store = MemoryRowStore()
        own, peer = store.connect(), store.connect()
        failover = FailoverStore(own, build_timeline())
        failover.set_peer_source(lambda: [peer])
        at = RowKey("t", "", "k")
        transaction = RowTransaction((), (RowWrite(at, b"v"),))
        own.is_refused = peer.is_refused = True
        with pytest.raises(StoreRefused):
            await failover.commit(transaction)
        own.is_refused, own.lose_answers = False, 1
        with pytest.raises(StoreOutcomeUnknown):
            await failover.commit(transaction)

    run(scenario())


def test_loss_and_return_of_the_store_are_recorded(run):
    async def scenario():
        store = MemoryRowStore()
        timeline = build_timeline()
        failover = FailoverStore(store.connect(), timeline)
        store.is_down = True
        for _ in range(4):
            with pytest.raises(StoreRefused):
                await failover.read(RowQuery("t", ""))
        assert not failover.is_up
        store.is_down = False
        await asyncio.sleep(0.5)
        await failover.read(RowQuery("t", ""))
        kinds = [event.kind for event in timeline.page().events]
        assert kinds == ["dependency_lost", "dependency_regained"]
        assert failover.recovered_at_s > 0

    run(scenario())


def test_watch_rereads_the_table_after_lost_history(run):
    async def scenario():
        store = MemoryRowStore()
        store.put("t", "gone", b"1")
        store.put("t", "kept", b"1")
        watch = TableWatch(store.connect(), "t", build_timeline(), has_parts=False)
        seen = []
        watch.on_change(lambda rows: seen.extend((r.at.key, r.value) for r in rows))
        await watch.start()
        await watch.loaded.wait()
        store.put("t", "gone", None)
        store.put("t", "new", b"2")
        store.truncate_history()
        await asyncio.sleep(3)
        await watch.close()
        assert sorted(at.key for at in watch.rows) == ["kept", "new"]
        assert ("gone", None) in seen

    run(scenario())


# Operators' rows contain API keys, which stayed in memory after decoding.
def test_watch_without_values_passes_them_to_listeners_only(run):
    async def scenario():
        store = MemoryRowStore()
        store.put("t", "a", b"secret-1")
        watch = TableWatch(store.connect(), "t", build_timeline(), has_parts=False)
        seen = []
        watch.on_change(lambda rows: seen.extend(row.value for row in rows))
        await watch.start()
        await watch.loaded.wait()
        watch.discard_values()
        store.put("t", "b", b"secret-2")
        await asyncio.sleep(0.1)
        store.truncate_history()
        await asyncio.sleep(3)
        await watch.close()
        assert seen == [b"secret-1", b"secret-2"]
        assert len(watch.rows) == 2
        assert {row.value for row in watch.rows.values()} == {b""}

    run(scenario())


def test_watch_follows_parts_and_survives_an_outage(run):
    async def scenario():
        store = MemoryRowStore()
        store.put("job", "head", b"1", part="a")
        watch = TableWatch(store.connect(), "job", build_timeline(), has_parts=True)
        await watch.start()
        await watch.loaded.wait()
        store.is_down = True
        await asyncio.sleep(2)
        store.put("job", "head", b"2", part="b")
        store.is_down = False
        await asyncio.sleep(1)
        await watch.close()
        assert {at.part for at in watch.rows} == {"a", "b"}

    run(scenario())


@pytest.mark.parametrize("lost", [0, 1])
def test_repeated_insertion_stores_a_job_once(run, lost):
    async def scenario():
        client = MemoryRowStore().connect()
        jobs = JobStore(client, ROW_BYTES)
        client.lose_answers = lost
        if lost:
            with pytest.raises(StoreOutcomeUnknown):
                await jobs.insert(build_job(), build_head())
        stored = await jobs.insert(build_job(), build_head())
        assert stored.head == build_head()
        with pytest.raises(HeadChanged) as caught:
            await jobs.insert(build_job(), build_head(owner="b"))
        assert caught.value.current.head.owner == "a"
        assert await jobs.read_job("j1") == build_job()

    run(scenario())


def test_job_larger_than_a_transaction_is_stored_completely(run):
    async def scenario():
        jobs = JobStore(MemoryRowStore().connect(), ROW_BYTES)
        job = build_job(items=40, body=b"y" * 40_000)
        await jobs.insert(job, build_head())
        assert await jobs.read_job("j1") == job

    run(scenario())


def test_results_keep_their_positions_if_a_response_is_lost(run):
    async def scenario():
        client = MemoryRowStore().connect()
        jobs = JobStore(client, ROW_BYTES)
        stored = await jobs.insert(build_job(), build_head())
        client.lose_answers = 1
        results = [ItemResult(f"j1-{n}", True, "t" * 90_000) for n in range(3)]
        first = 0
        completed_head = replace(stored.head, state=JobState.COMPLETE)
        while first < len(results):
            count, stored = await jobs.append_results(
                stored, first, results[first:], completed_head
            )
            first += count
        assert stored == await jobs.read_head("j1")
        assert stored.head.state is JobState.COMPLETE
        assert await jobs.read_all_results("j1") == results
        assert (await jobs.read_results("j1", 2))[0] == results[2]

    run(scenario())


def test_former_owner_cannot_append_results(run):
    async def scenario():
        jobs = JobStore(MemoryRowStore().connect(), ROW_BYTES)
        stored = await jobs.insert(build_job(), build_head())
        await jobs.change_head(stored, build_head(owner="b", epoch=2))
        with pytest.raises(HeadChanged) as caught:
            await jobs.append_results(stored, 0, [ItemResult("j1-0", True, "t")])
        assert caught.value.current.head.owner == "b"
        assert await jobs.read_all_results("j1") == []

    run(scenario())


def test_late_write_of_a_former_owner_has_no_effect(run):
    async def scenario():
        store = MemoryRowStore()
        old, new = store.connect(), store.connect()
        jobs = JobStore(old, ROW_BYTES)
        stored = await jobs.insert(build_job(), build_head())
        old.lose_answers, old.late_commit_delay_s = 1, 2.0
        task = asyncio.create_task(
            jobs.append_results(stored, 0, [ItemResult("j1-0", True, "old")])
        )
        await asyncio.sleep(0.01)
        new_owner = JobStore(new, ROW_BYTES)
        claimed = await new_owner.change_head(stored, build_head("b", 2))
        await new_owner.append_results(claimed, 0, [ItemResult("j1-1", True, "new")])
        with pytest.raises(HeadChanged):
            await task
        await asyncio.sleep(5)
        assert [r.text for r in await new_owner.read_all_results("j1")] == ["new"]

    run(scenario())


@pytest.mark.parametrize("count", [1, 44, 45, 68])
def test_results_of_a_lost_answer_do_not_return_the_head_of_the_next_owner(run, count):
    """The former owner took the head of its successor for its own.

    It then listed results under it, at positions that the successor had filled.
    """

    async def scenario():
        store = MemoryRowStore()
        old, new = store.connect(), store.connect()
        jobs, new_owner = JobStore(old, ROW_BYTES), JobStore(new, ROW_BYTES)
        stored = await jobs.insert(build_job(items=100), build_head())
        old.lose_answers = 1
        results = [ItemResult(f"j1-{n}", True, "t") for n in range(count)]
        task = asyncio.create_task(jobs.append_results(stored, 0, results))
        await asyncio.sleep(0.01)
        claimed = await new_owner.change_head(stored, build_head("b", 2))
        with pytest.raises(HeadChanged) as caught:
            await task
        assert caught.value.current == claimed

    run(scenario())


@pytest.mark.parametrize("count", [1, 44, 45, 80])
def test_results_never_replace_those_at_the_same_positions(run, count):
    """A write of 45 results or more had no condition that its positions are free."""

    async def scenario():
        jobs = JobStore(MemoryRowStore().connect(), ROW_BYTES)
        stored = await jobs.insert(build_job(items=100), build_head())
        listed = ItemResult("j1-99", True, "listed")
        await jobs.append_results(stored, 0, [listed])
        results = [ItemResult(f"j1-{n}", True, "other") for n in range(count)]
        with pytest.raises(HeadChanged):
            await jobs.append_results(stored, 0, results)
        assert await jobs.read_all_results("j1") == [listed]

    run(scenario())


def test_incarnation_increases_at_each_registration(run):
    async def scenario():
        client = MemoryRowStore().connect()
        address = Address("10.0.0.1", 1)
        record = NodeRecord("n", 1 << 50, "dc", address, address)
        first = await register_node(client, record)
        client.lose_answers = 1
        with pytest.raises(StoreOutcomeUnknown):
            await register_node(client, NodeRecord("n", 1, "dc", address, address))
        second = await register_node(client, NodeRecord("n", 1, "dc", address, address))
        assert second.incarnation > first.incarnation
        await unregister_node(client, "n", version=1)
        page = await client.read(RowQuery("node", ""))
        assert len(page.rows) == 1

    run(scenario())


def test_only_one_of_two_nodes_acquires_the_lease(run):
    async def scenario():
        client = MemoryRowStore().connect()
        before = await read_lease(client, "w")
        first = await acquire_lease(client, "w", before, "a", 1)
        assert first.record.fencing_number == 1
        assert await acquire_lease(client, "w", before, "b", 1) is None
        again = await acquire_lease(client, "w", first, "b", 1)
        assert again.record.fencing_number == 2

    run(scenario())


def test_conflict_does_not_count_as_loss_of_the_store(run):
    async def scenario():
        store = MemoryRowStore()
        failover = FailoverStore(store.connect(), build_timeline())
        jobs = JobStore(failover, ROW_BYTES)
        stored = await jobs.insert(build_job(), build_head())
        await jobs.change_head(stored, build_head("b", 2))
        with pytest.raises(HeadChanged):
            await jobs.change_head(stored, build_head("c", 2))
        assert failover.is_up
        assert RowConflict(()).rows == ()

    run(scenario())
