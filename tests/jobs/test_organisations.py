"""Jobs of organisations: who may read, repeat and end them, at which node, and when."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import replace

import msgspec
import pytest

from tamarackshelf.contracts.rows import StoreRefused
from tamarackshelf.errors import NotFound
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.job_store import BODY_TABLE, HEAD_TABLE, JobStore, decode_head
from tamarackshelf.world.job import Job, JobState
from tests.jobs.test_jobs import check_results, submit
from tests.store.test_rows import ROW_BYTES, build_head
from tests.store.test_rows import build_job as build_stored_job
from tests.support.node import Cluster, SimulatedEngines, build_job


@pytest.fixture
def run_scenario(run):
    """Run a scenario with three nodes."""

    def run_to_end(scenario):
        async def main():
            cluster = Cluster(MemoryRowStore(), SimulatedEngines())
            await cluster.start()
            await asyncio.sleep(0.1)
            try:
                await asyncio.wait_for(scenario(cluster), 120)
            finally:
                await cluster.stop()

        run(main())

    return run_to_end


def build_owned(organisation="north", job_id="j1", **options):
    return replace(build_job(job_id, **options), organisation=organisation)


async def read_all(cluster, name, job, organisation):
    results = []
    reader = cluster.nodes[name].job_manager.reader
    async with asyncio.timeout(20):
        while len(results) < len(job.items):
            page = await reader.read(job.job_id, len(results), 1.0, organisation)
            results += page.results
    return results


async def check_hidden(cluster, job_id, organisation, names="abc"):
    """Check that the job does not exist for an organisation at any of the nodes."""
    for name in names:
        manager = cluster.nodes[name].job_manager
        for call in (
            lambda m=manager: m.reader.read(job_id, 0, 0.0, organisation),
            lambda m=manager: m.reader.read_body(job_id, f"{job_id}-0", organisation),
            lambda m=manager: m.end(job_id, organisation),
        ):
            with pytest.raises(NotFound) as caught:
                await call()
            assert caught.value.message == f"there is no job {job_id}; check the id"


def read_heads(cluster):
    rows = cluster.store.rows.items()
    return [decode_head(r.value) for at, r in rows if at.table == HEAD_TABLE]


def test_job_is_served_to_its_organisation_only_at_every_node(run_scenario):
    async def scenario(cluster):
        job = await submit(cluster, job=build_owned())
        await check_hidden(cluster, "j1", "south")
        for name in "abc":
            check_results(await read_all(cluster, name, job, "north"), job)
            reader = cluster.nodes[name].job_manager.reader
            assert await reader.read_body("j1", "j1-0", "north") == b"body"
        await check_hidden(cluster, "j1", "south")
        await check_hidden(cluster, "unknown", "south")

    run_scenario(scenario)


# A node that the feed has not told of the job reads its head from the store.
def test_job_is_hidden_at_a_node_that_does_not_know_its_head(run_scenario):
    async def scenario(cluster):
        await submit(cluster, job=build_owned())
        for node in cluster.nodes.values():
            node.job_manager.heads.pop("j1", None)
        await check_hidden(cluster, "j1", "south")
        page = await cluster.nodes["c"].job_manager.reader.read("j1", 0, 0.0, "north")
        assert page.total == 4

    run_scenario(scenario)


def test_other_organisation_neither_ends_nor_overwrites_a_job(run_scenario):
    async def scenario(cluster):
        job = await submit(cluster, job=build_owned())
        await asyncio.sleep(0.1)
        await check_hidden(cluster, "j1", "south")
        assert [head.state for head in read_heads(cluster)] == [JobState.OPEN]
        # The same answer as for an id that is not in use: the id reveals nothing.
        theirs = await submit(cluster, "b", build_owned("south", items=2))
        check_results(await read_all(cluster, "c", job, "north"), job)
        check_results(await read_all(cluster, "c", theirs, "south"), theirs)
        await submit(cluster, "c", theirs)
        assert sorted(head.organisation for head in read_heads(cluster)) == [
            "north",
            "south",
        ]
        await cluster.nodes["c"].job_manager.end("j1", "south")
        page = await cluster.nodes["a"].job_manager.reader.read("j1", 0, 0.0, "north")
        assert page.total == 4
        states = {head.organisation: head.state for head in read_heads(cluster)}
        assert states == {"north": JobState.COMPLETE, "south": JobState.ENDED}

    run_scenario(scenario)


def test_two_organisations_use_one_id_at_the_same_moment(run_scenario):
    async def scenario(cluster):
        names = {"north": 4, "south": 3, "east": 2}
        jobs = {n: build_owned(n, items=count) for n, count in names.items()}
        await asyncio.gather(
            *(
                submit(cluster, node, job)
                for node, job in zip("aab", jobs.values(), strict=True)
            )
        )
        for name, job in jobs.items():
            check_results(await read_all(cluster, "c", job, name), job)
        await check_hidden(cluster, "j1", "west")

    run_scenario(scenario)


def test_job_keeps_its_organisation_after_its_node_was_killed(run_scenario):
    async def scenario(cluster):
        seen = []
        run_item = cluster.engines.run_item

        def record(target, item_run):
            seen.append(item_run.organisation)
            return run_item(target, item_run)

        cluster.engines.run_item = record
        job = await submit(cluster, job=build_owned())
        await asyncio.sleep(0.1)
        await cluster.kill("a")
        check_results(await read_all(cluster, "b", job, "north"), job)
        await check_hidden(cluster, "j1", "south", "bc")
        assert len(seen) > len(job.items)
        assert set(seen) == {"north"}

    run_scenario(scenario)


@pytest.mark.parametrize("is_of_earlier_release", [False, True])
def test_job_keeps_its_organisation_after_a_hand_over(
    run_scenario, is_of_earlier_release
):
    async def scenario(cluster):
        job = await submit(cluster, job=build_owned())
        await asyncio.sleep(0.1)
        if is_of_earlier_release:
            # It does not know the fields, so its hand-over and its head lack them.
            owned = cluster.nodes["a"].runner.jobs["j1"]
            owned.job = replace(job, organisation="")
            head = replace(owned.stored.head, organisation="")
            owned.stored = replace(owned.stored, head=head)
        cluster.nodes["a"].fleet.is_leaving = True
        await cluster.nodes["a"].job_manager.handovers.hand_over_all()
        await cluster.kill("a")
        check_results(await read_all(cluster, "b", job, "north"), job)
        await check_hidden(cluster, "j1", "south", "bc")

    run_scenario(scenario)


def test_head_that_an_earlier_release_writes_opens_the_job_to_nobody(run_scenario):
    async def scenario(cluster):
        await submit(cluster, job=build_owned())
        await asyncio.sleep(0.1)
        (head,) = read_heads(cluster)
        row = msgspec.msgpack.encode(replace(head, epoch=2, owner="b", organisation=""))
        cluster.store.put(HEAD_TABLE, "head", row, part="j1")
        await asyncio.sleep(0.1)
        await check_hidden(cluster, "j1", "south")
        page = await cluster.nodes["c"].job_manager.reader.read("j1", 0, 0.0, "north")
        assert page.total == 4

    run_scenario(scenario)


# Jobs stored before organisations existed have no name, and their trainers must not
# lose them.
def test_job_without_an_organisation_is_served_to_every_key(run_scenario):
    async def scenario(cluster):
        job = await submit(cluster)
        for organisation in ("north", "south", ""):
            check_results(await read_all(cluster, "b", job, organisation), job)
        await submit(cluster, "c", replace(job, organisation="north"))
        assert len(read_heads(cluster)) == 1
        await cluster.nodes["b"].job_manager.end("j1", "south")

    run_scenario(scenario)


def test_rows_of_the_previous_release_have_no_organisation():
    job, head = (
        msgspec.msgpack.decode(msgspec.msgpack.encode(value))
        for value in (build_stored_job(), build_head())
    )
    del job["organisation"], head["organisation"]
    assert decode_head(msgspec.msgpack.encode(head)).organisation == ""
    row = msgspec.msgpack.encode(job)
    assert msgspec.msgpack.decode(row, type=Job).organisation == ""


# The early chunks of a large job were written without a condition: a submission that
# was refused had replaced the body of the job that has the id.
def test_refused_submission_leaves_a_large_body_unchanged(run):
    async def scenario():
        store = MemoryRowStore()
        jobs = JobStore(store.connect(), ROW_BYTES)
        first = build_stored_job(items=40, body=b"x" * 50_000)
        await jobs.insert(first, build_head())
        other = replace(
            build_stored_job(items=40, body=b"y" * 50_000), organisation="south"
        )
        with pytest.raises(Exception, match="head has changed"):
            await jobs.insert(other, replace(build_head(), organisation="south"))
        assert await jobs.read_job("j1") == first

    run(scenario())


@pytest.mark.parametrize("item_count", [1, 12, 39, 41])
def test_body_is_read_without_the_chunks_of_an_unfinished_submission(run, item_count):
    async def scenario():
        store = MemoryRowStore()
        client = store.connect()
        jobs = JobStore(client, ROW_BYTES)
        commit, commits = client.commit, itertools.count()

        async def end_at_last(transaction):
            if next(commits) == 3:
                raise StoreRefused("the node died")
            return await commit(transaction)

        client.commit = end_at_last
        unfinished = build_stored_job(items=40, body=b"x" * 50_000)
        with pytest.raises(StoreRefused):
            await jobs.insert(unfinished, build_head())
        client.commit = commit
        job = build_stored_job(items=item_count, body=b"y" * 50_000)
        await jobs.insert(job, build_head())
        assert await jobs.read_job("j1") == job

    run(scenario())


@pytest.mark.parametrize("lag_s", [0.0, 0.002, 0.006, 0.01, 0.014])
def test_concurrent_submissions_of_large_bodies_are_never_mixed(run, lag_s):
    async def scenario():
        store = MemoryRowStore()
        bodies = {
            name: replace(
                build_stored_job(items=40, body=name[:1].encode() * size),
                organisation=name,
            )
            for name, size in (("north", 50_000), ("south", 49_000))
        }

        async def insert(name, after_s):
            await asyncio.sleep(after_s)
            head = replace(build_head(), organisation=name)
            jobs = JobStore(store.connect(), ROW_BYTES)
            return await jobs.insert(bodies[name], head)

        outcomes = await asyncio.gather(
            insert("north", 0.0), insert("south", lag_s), return_exceptions=True
        )
        assert sum(isinstance(each, Exception) for each in outcomes) == 1
        reader = JobStore(store.connect(), ROW_BYTES)
        stored = await reader.read_head("j1")
        assert await reader.read_job("j1") == bodies[stored.head.organisation]
        count = sum(at.table == BODY_TABLE for at in store.rows)
        assert count >= 20

    run(scenario())
