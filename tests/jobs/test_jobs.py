"""Jobs under faults of the store, the engines and the nodes."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.contracts.targets import (
    ItemFailed,
    ItemRejected,
    NotRun,
    OutcomeUnknown,
    TargetBusy,
)
from tamarackshelf.errors import NotFound, StoreUnavailable
from tamarackshelf.standin.row_store import MemoryRowStore
from tests.support.node import Cluster, Engines, build_job

DUE_S = 7.5


@pytest.fixture
def play(run):
    """Runs a scenario with three nodes; engines never run one item twice at once."""

    def start(scenario, **options):
        async def whole():
            cluster = Cluster(MemoryRowStore(), Engines(**options))
            await cluster.start()
            await asyncio.sleep(0.1)
            try:
                await asyncio.wait_for(scenario(cluster), 120)
                assert cluster.engines.overlaps == []
            finally:
                await cluster.stop()

        run(whole())

    return start


async def submit(cluster, name="a", job=None):
    job = job or build_job()
    await cluster.nodes[name].desk.submit(
        job, asyncio.get_running_loop().time() + DUE_S
    )
    return job


async def read_whole(cluster, name, job, within_s=20.0):
    """Reads until every result is listed; positions must never change."""
    results = []
    desk = cluster.nodes[name].desk
    async with asyncio.timeout(within_s):
        while len(results) < len(job.items):
            try:
                page = await desk.reader.read(job.job_id, len(results), 1.0)
            except StoreUnavailable:
                await asyncio.sleep(0.2)
                continue
            results += page.results
    return results


def expect_text(result, pieces=10):
    return "\n".join(f"{result.item_id}:{n}" for n in range(pieces))


def check_whole(results, job, pieces=10):
    assert sorted(r.item_id for r in results) == sorted(i.item_id for i in job.items)
    for result in results:
        assert result.is_complete
        assert result.text == expect_text(result, pieces)
        assert result.versions == (1,)
        assert result.score.startswith("score-")


def test_job_is_whole_at_its_owner_and_at_another_node(play):
    async def scenario(cluster):
        job = await submit(cluster)
        check_whole(await read_whole(cluster, "a", job), job)
        assert await read_whole(cluster, "b", job) == await read_whole(
            cluster, "a", job
        )

    play(scenario)


def test_copy_of_a_job_at_another_node_runs_nothing_again(play):
    async def scenario(cluster):
        job = await submit(cluster)
        await submit(cluster, "b", job)
        check_whole(await read_whole(cluster, "c", job), job)
        assert len(cluster.engines.runs) == len(job.items)

    play(scenario)


def test_job_whose_acceptance_lost_its_answer_is_accepted_once(play):
    async def scenario(cluster):
        cluster.nodes["a"].client.lose_answers = 1
        job = await submit(cluster)
        check_whole(await read_whole(cluster, "b", job), job)
        assert len(cluster.engines.runs) == len(job.items)

    play(scenario)


def test_job_is_refused_as_not_stored_while_the_store_is_down(play):
    async def scenario(cluster):
        cluster.store.is_down = True
        with pytest.raises(StoreUnavailable) as caught:
            await submit(cluster)
        assert caught.value.retry_after_s is not None
        cluster.store.is_down = False
        await asyncio.sleep(10)
        assert cluster.engines.runs == []

    play(scenario)


def test_unknown_job_is_not_found(play):
    async def scenario(cluster):
        with pytest.raises(NotFound):
            await cluster.nodes["b"].desk.reader.read("nothing", 0, 0.0)

    play(scenario)


def test_results_wait_for_the_store_and_are_listed_at_its_return(play):
    async def scenario(cluster):
        job = await submit(cluster)
        cluster.store.is_down = True
        await asyncio.sleep(5)
        page = await cluster.nodes["a"].desk.reader.read(job.job_id, 0, 0.0)
        assert page.results == ()
        cluster.store.is_down = False
        check_whole(await read_whole(cluster, "a", job, within_s=2.0), job)

    play(scenario)


@pytest.mark.parametrize(
    "fault",
    [
        NotRun("no connection"),
        TargetBusy("full"),
        OutcomeUnknown("reset"),
        ItemFailed("500"),
        4,
    ],
    ids=["connect", "full", "reset", "failed", "breaks off after four events"],
)
def test_item_goes_on_after_a_fault_of_its_engine(play, fault):
    async def scenario(cluster):
        job = build_job()
        cluster.engines.faults["j1-2"] = fault
        await submit(cluster, job=job)
        check_whole(await read_whole(cluster, "a", job), job)
        runs = [run for run in cluster.engines.runs if run[0] == "j1-2"]
        assert len(runs) == 2
        if fault == 4:
            assert runs[1][2] == 3

    play(scenario)


def test_item_that_can_never_be_done_is_given_up_alone(play):
    async def scenario(cluster):
        job = build_job()
        cluster.engines.faults["j1-1"] = ItemRejected("422")
        await submit(cluster, job=job)
        results = await read_whole(cluster, "a", job)
        given_up = [r.item_id for r in results if not r.is_complete]
        assert given_up == ["j1-1"]

    play(scenario)


def test_score_that_always_fails_gives_its_item_up(play):
    async def scenario(cluster):
        job = build_job(items=1)
        cluster.engines.score_faults = [ItemFailed("500")] * 3
        await submit(cluster, job=job)
        (result,) = await read_whole(cluster, "a", job)
        assert not result.is_complete

    play(scenario)


def test_job_of_a_dead_owner_goes_on_elsewhere(play):
    async def scenario(cluster):
        job = await submit(cluster)
        await asyncio.sleep(0.1)
        await cluster.kill("a")
        check_whole(await read_whole(cluster, "b", job, within_s=5.0), job)

    play(scenario)


def test_long_text_of_a_dead_owner_is_not_made_again_from_the_start(play):
    async def scenario(cluster):
        job = await submit(cluster)
        await asyncio.sleep(3.5)
        await cluster.kill("a")
        results = await read_whole(cluster, "b", job)
        check_whole(results, job, pieces=150)
        resumed = [after for _, _, after in cluster.engines.runs if after >= 0]
        assert resumed

    play(scenario, pieces=150)


@pytest.mark.parametrize("store_is_down", [False, True])
def test_planned_stop_hands_a_running_job_over(play, store_is_down):
    async def scenario(cluster):
        job = await submit(cluster)
        await asyncio.sleep(0.2)
        cluster.store.is_down = store_is_down
        cluster.nodes["a"].fleet.is_leaving = True
        await cluster.nodes["a"].desk.handovers.hand_over_all()
        await asyncio.sleep(0.2)
        await cluster.kill("a")
        await asyncio.sleep(4)
        cluster.store.is_down = False
        check_whole(await read_whole(cluster, "b", job, within_s=2.0), job)
        starts = [run for run in cluster.engines.runs if run[2] < 0]
        assert len(starts) == len(job.items)

    play(scenario)


def test_hand_over_without_an_answer_is_not_made_twice(play):
    """Pattern: the store is away, so no claim would tell two heirs apart."""

    async def scenario(cluster):
        job = await submit(cluster)
        await asyncio.sleep(0.2)
        cluster.store.is_down = True
        cluster.lose_take_answers = 1
        cluster.nodes["a"].fleet.is_leaving = True
        await cluster.nodes["a"].desk.handovers.hand_over_all()
        await cluster.kill("a")
        holders = [n for n in "bc" if job.job_id in cluster.nodes[n].runner.jobs]
        assert len(holders) == 1
        await asyncio.sleep(2)
        cluster.store.is_down = False
        results = await read_whole(cluster, "b", job, within_s=3.0)
        check_whole(results, job, pieces=60)

    play(scenario, pieces=60)


def test_results_that_wait_for_the_store_survive_a_planned_stop(play):
    async def scenario(cluster):
        job = await submit(cluster)
        cluster.store.is_down = True
        await asyncio.sleep(2)
        runs = len(cluster.engines.runs)
        cluster.nodes["a"].fleet.is_leaving = True
        await cluster.nodes["a"].desk.handovers.hand_over_all()
        await cluster.kill("a")
        cluster.store.is_down = False
        check_whole(await read_whole(cluster, "c", job, within_s=2.0), job)
        assert len(cluster.engines.runs) == runs

    play(scenario)


def test_owner_that_stood_still_gives_a_lost_job_up(play):
    async def scenario(cluster):
        job = await submit(cluster)
        await asyncio.sleep(0.1)
        frozen = cluster.nodes["a"]
        await frozen.runner.pause()
        cluster.dead.add("a")
        await asyncio.sleep(1)
        cluster.dead.discard("a")
        await frozen.desk.refresh_heads()
        frozen.runner.resume()
        assert job.job_id not in frozen.runner.jobs
        check_whole(await read_whole(cluster, "b", job), job)

    play(scenario)


def test_ended_job_runs_nothing_more_and_stays_readable(play):
    async def scenario(cluster):
        job = await submit(cluster)
        await asyncio.sleep(0.1)
        await cluster.nodes["c"].desk.end(job.job_id)
        await cluster.nodes["c"].desk.end(job.job_id)
        await asyncio.sleep(0.5)
        runs = len(cluster.engines.runs)
        assert not any(cluster.engines.running.values())
        await asyncio.sleep(3)
        assert len(cluster.engines.runs) == runs
        page = await cluster.nodes["b"].desk.reader.read(job.job_id, 0, 0.0)
        assert page.total == len(job.items)

    play(scenario)


def test_settled_job_leaves_memory_and_stays_readable(play):
    async def scenario(cluster):
        job = await submit(cluster)
        results = await read_whole(cluster, "a", job)
        await asyncio.sleep(30)
        assert cluster.nodes["a"].runner.jobs == {}
        assert await read_whole(cluster, "a", job) == results
        runs = len(cluster.engines.runs)
        await asyncio.sleep(10)
        assert len(cluster.engines.runs) == runs

    play(scenario)


def test_node_that_the_store_refuses_reads_from_the_owner(play):
    async def scenario(cluster):
        job = await submit(cluster)
        expected = await read_whole(cluster, "a", job)
        cluster.nodes["b"].client.is_refused = True
        page = await cluster.nodes["b"].desk.reader.read(job.job_id, 0, 0.0)
        assert list(page.results) == expected
        body = await cluster.nodes["b"].desk.reader.read_body(job.job_id, "j1-0")
        assert body == b"body"

    play(scenario)


def test_load_of_runs_that_wait_at_a_full_engine_goes_elsewhere(play):
    """Pattern: another node's step took all places of an engine a moment before."""

    async def scenario(cluster):
        cluster.engines.queue_s["e2"] = 6.0
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        job = await submit(cluster, job=build_job(items=8))
        check_whole(await read_whole(cluster, "a", job), job)
        assert loop.time() - started_s < 2.0

    play(scenario)


def test_load_of_an_engine_that_falls_silent_goes_on_elsewhere(play):
    """Pattern: an engine is cut off under runs that were streaming."""

    async def scenario(cluster):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        job = await submit(cluster, job=build_job(items=8))
        await asyncio.sleep(0.5)
        cluster.engines.silent.add("e2")
        check_whole(await read_whole(cluster, "a", job), job, pieces=40)
        # All events of an item, the patience, and half a second for scores.
        assert loop.time() - started_s < 40 * 0.036 + 0.5 + 0.5
        resumed = [run for run in cluster.engines.runs if run[2] >= 0]
        assert resumed
        assert all(name == "e1" for _, name, _ in resumed)

    play(scenario, pieces=40)


def test_load_of_a_slow_engine_moves_its_runs(play):
    """Pattern: one of two engines turns slow in the middle of a step."""

    async def scenario(cluster):
        job = build_job(items=8)
        await submit(cluster, job=job)
        await asyncio.sleep(0.8)
        cluster.engines.slowness["e2"] = 4.0
        check_whole(await read_whole(cluster, "a", job), job, pieces=60)
        moved = [run for run in cluster.engines.runs if run[2] >= 0]
        assert moved
        assert all(name == "e1" for _, name, _ in moved)

    play(scenario, pieces=60)
