"""Jobs of one model run at one node of their data centre, whoever accepts them."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.errors import StoreUnavailable
from tamarackshelf.node.peer_jobs import JobHandover
from tamarackshelf.policy.ownership import rank_weighted
from tamarackshelf.standin.row_store import MemoryRowStore
from tests.jobs.test_jobs import check_whole, read_whole, submit
from tests.support.node import Cluster, Engines, build_job

MODEL = "m"
HOME, *OTHERS = rank_weighted(dict.fromkeys("abc", 1.0), MODEL)


@pytest.fixture
def play(run):
    """Runs a scenario with three nodes of one data centre; no item runs twice."""

    def start(scenario, **options):
        async def whole():
            engines = Engines(**options)
            cluster = Cluster(MemoryRowStore(), engines, data_centre="dc")
            await cluster.start()
            await asyncio.sleep(0.1)
            try:
                await asyncio.wait_for(scenario(cluster), 120)
                assert engines.overlaps == []
            finally:
                await cluster.stop()

        run(whole())

    return start


def find_runners(cluster, job):
    nodes = cluster.nodes
    return [name for name in nodes if job.job_id in nodes[name].runner.jobs]


def test_steps_accepted_anywhere_run_at_one_node(play):
    """Pattern: a trainer's steps reach another node each time."""

    async def scenario(cluster):
        for number, name in enumerate("abcab"):
            job = await submit(cluster, name, build_job(f"j{number}"))
            await asyncio.sleep(0.1)
            assert find_runners(cluster, job) == [HOME]
            check_whole(await read_whole(cluster, name, job), job)
            assert cluster.nodes[name].desk.heads[job.job_id].head.owner == HOME

    play(scenario)


def test_home_that_lost_its_answer_keeps_the_job(play):
    async def scenario(cluster):
        cluster.lose_take_answers = 1
        job = await submit(cluster, OTHERS[0])
        await asyncio.sleep(0.1)
        assert find_runners(cluster, job) == [HOME]
        check_whole(await read_whole(cluster, OTHERS[1], job), job)

    play(scenario)


def test_node_that_accepts_runs_the_job_when_its_home_stops(play):
    async def scenario(cluster):
        cluster.nodes[HOME].fleet.is_leaving = True
        job = await submit(cluster, OTHERS[0])
        await asyncio.sleep(0.1)
        assert find_runners(cluster, job) == [OTHERS[0]]
        check_whole(await read_whole(cluster, OTHERS[1], job), job)

    play(scenario)


def test_job_is_taken_back_from_a_home_that_died_before_its_claim(play):
    """Pattern: the home dies while the store is away, right after it took a job."""

    async def scenario(cluster):
        job = await submit(cluster, OTHERS[0])
        cluster.store.is_down = True
        await asyncio.sleep(0.05)
        await cluster.kill(HOME)
        await asyncio.sleep(1.0)
        cluster.store.is_down = False
        results = await read_whole(cluster, OTHERS[1], job, within_s=6.0)
        check_whole(results, job, pieces=60)

    play(scenario, pieces=60)


def test_job_stays_at_its_home_while_the_store_is_away(play):
    async def scenario(cluster):
        job = await submit(cluster, OTHERS[0])
        cluster.store.is_down = True
        await asyncio.sleep(3.0)
        assert find_runners(cluster, job) == [HOME]
        cluster.store.is_down = False
        check_whole(await read_whole(cluster, OTHERS[1], job, within_s=3.0), job)
        assert len(cluster.engines.runs) == len(job.items)

    play(scenario)


@pytest.mark.parametrize("is_taken", [False, True], ids=["unheard", "given"])
def test_home_that_wakes_late_never_shows_less_than_was_read(run, is_taken):
    """tannpost hunt-3e87-39: a home that the store refused listed from its memory."""

    async def scenario():
        cluster = Cluster(MemoryRowStore(), Engines(pieces=20), data_centre="dc")
        await cluster.start()
        await asyncio.sleep(0.1)
        home = cluster.nodes[HOME]
        home.client.is_refused = True
        home.link.set_peers(list)
        cluster.lose_take_answers = 0 if is_taken else 1
        cluster.mute.add(HOME)
        job = await submit(cluster, OTHERS[0])
        await asyncio.sleep(0.1)
        assert HOME in find_runners(cluster, job)
        results = await read_whole(cluster, OTHERS[1], job, within_s=8.0)
        check_whole(results, job, pieces=20)
        for is_refused in (True, False):
            home.client.is_refused = is_refused
            await asyncio.sleep(0.5)
            try:
                page = await home.desk.reader.read(job.job_id, 0, 0.0)
            except StoreUnavailable:
                assert is_refused
                continue
            assert list(page.results) == results
        await cluster.stop()

    run(scenario())


def test_heir_goes_on_after_results_that_were_listed_meanwhile(run):
    """Pattern: the claim of an heir is stored after results of the owner before."""

    async def scenario():
        cluster = Cluster(MemoryRowStore(), Engines(pieces=20), data_centre="dc")
        await cluster.start()
        await asyncio.sleep(0.1)
        job = await submit(cluster, HOME)
        await asyncio.sleep(1.2)
        giver, heir = cluster.nodes[HOME], cluster.nodes[OTHERS[0]]
        owned = giver.runner.jobs[job.job_id]
        handover = JobHandover(job, owned.stored, (), (), owned.partial_texts())
        assert owned.listed
        await giver.runner.drop(job.job_id, "the test gives it away")
        assert heir.desk.handovers.accept(handover)
        results = await read_whole(cluster, OTHERS[1], job, within_s=8.0)
        check_whole(results, job, pieces=20)
        assert results == await read_whole(cluster, OTHERS[0], job)
        await cluster.stop()

    run(scenario())
