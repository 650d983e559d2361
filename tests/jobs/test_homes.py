"""Home nodes: all jobs of a model run at one node of their data centre."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.errors import StoreUnavailable
from tamarackshelf.node.peer_jobs import JobHandover
from tamarackshelf.policy.ownership import rank_weighted
from tamarackshelf.standin.row_store import MemoryRowStore
from tests.jobs.test_jobs import check_results, read_all_results, submit
from tests.support.node import Cluster, SimulatedEngines, build_job

MODEL = "m"
HOME, *OTHERS = rank_weighted(dict.fromkeys("abc", 1.0), MODEL)


@pytest.fixture
def run_scenario(run):
    """Run a scenario with three nodes of one data centre.

    Afterwards, check that no two runs of an item overlapped.
    """

    def run_to_end(scenario, **options):
        async def main():
            engines = SimulatedEngines(**options)
            cluster = Cluster(MemoryRowStore(), engines, data_centre="dc")
            await cluster.start()
            await asyncio.sleep(0.1)
            try:
                await asyncio.wait_for(scenario(cluster), 120)
                assert engines.overlaps == []
            finally:
                await cluster.stop()

        run(main())

    return run_to_end


def find_runners(cluster, job):
    nodes = cluster.nodes
    return [name for name in nodes if job.job_id in nodes[name].runner.jobs]


def test_jobs_accepted_by_any_node_run_at_the_home_node(run_scenario):
    """The jobs of one trainer are accepted by different nodes."""

    async def scenario(cluster):
        for number, name in enumerate("abcab"):
            job = await submit(cluster, name, build_job(f"j{number}"))
            await asyncio.sleep(0.1)
            assert find_runners(cluster, job) == [HOME]
            check_results(await read_all_results(cluster, name, job), job)
            assert cluster.nodes[name].job_manager.heads[job.job_id].head.owner == HOME

    run_scenario(scenario)


def test_home_node_whose_answer_was_lost_keeps_the_job(run_scenario):
    async def scenario(cluster):
        cluster.handover_answers_to_lose = 1
        job = await submit(cluster, OTHERS[0])
        await asyncio.sleep(0.1)
        assert find_runners(cluster, job) == [HOME]
        check_results(await read_all_results(cluster, OTHERS[1], job), job)

    run_scenario(scenario)


def test_accepting_node_runs_the_job_when_the_home_node_is_leaving(run_scenario):
    async def scenario(cluster):
        cluster.nodes[HOME].fleet.is_leaving = True
        job = await submit(cluster, OTHERS[0])
        await asyncio.sleep(0.1)
        assert find_runners(cluster, job) == [OTHERS[0]]
        check_results(await read_all_results(cluster, OTHERS[1], job), job)

    run_scenario(scenario)


def test_job_is_taken_back_from_a_home_node_that_died_before_its_claim(run_scenario):
    """The home node dies during a store outage, right after it accepted a job."""

    async def scenario(cluster):
        job = await submit(cluster, OTHERS[0])
        cluster.store.is_down = True
        await asyncio.sleep(0.05)
        await cluster.kill(HOME)
        await asyncio.sleep(1.0)
        cluster.store.is_down = False
        results = await read_all_results(cluster, OTHERS[1], job, within_s=6.0)
        check_results(results, job, events_per_item=60)

    run_scenario(scenario, events_per_item=60)


def test_job_stays_at_its_home_node_during_a_store_outage(run_scenario):
    async def scenario(cluster):
        job = await submit(cluster, OTHERS[0])
        cluster.store.is_down = True
        await asyncio.sleep(3.0)
        assert find_runners(cluster, job) == [HOME]
        cluster.store.is_down = False
        check_results(
            await read_all_results(cluster, OTHERS[1], job, within_s=3.0), job
        )
        assert len(cluster.engines.runs) == len(job.items)

    run_scenario(scenario)


@pytest.mark.parametrize(
    "is_taken", [False, True], ids=["answer lost", "answer received"]
)
def test_home_node_without_a_stored_claim_never_shows_fewer_results(run, is_taken):
    """A home node that the store refuses must not answer reads from its memory.

    Another node may have taken the job back meanwhile and listed more results, which
    callers have read. Seen in run tannpost hunt-3e87-39.
    """

    async def scenario():
        cluster = Cluster(
            MemoryRowStore(), SimulatedEngines(events_per_item=20), data_centre="dc"
        )
        await cluster.start()
        await asyncio.sleep(0.1)
        home = cluster.nodes[HOME]
        home.client.is_refused = True
        home.failover_store.set_peer_source(list)
        cluster.handover_answers_to_lose = 0 if is_taken else 1
        cluster.unresponsive.add(HOME)
        job = await submit(cluster, OTHERS[0])
        await asyncio.sleep(0.1)
        assert HOME in find_runners(cluster, job)
        results = await read_all_results(cluster, OTHERS[1], job, within_s=8.0)
        check_results(results, job, events_per_item=20)
        for is_refused in (True, False):
            home.client.is_refused = is_refused
            await asyncio.sleep(0.5)
            try:
                page = await home.job_manager.reader.read(job.job_id, 0, 0.0)
            except StoreUnavailable:
                assert is_refused
                continue
            assert list(page.results) == results
        await cluster.stop()

    run(scenario())


def test_new_owner_continues_after_results_listed_before_its_claim(run):
    """The new owner's claim is stored after results that the hand-over lacks."""

    async def scenario():
        cluster = Cluster(
            MemoryRowStore(), SimulatedEngines(events_per_item=20), data_centre="dc"
        )
        await cluster.start()
        await asyncio.sleep(0.1)
        job = await submit(cluster, HOME)
        await asyncio.sleep(1.2)
        previous, successor = cluster.nodes[HOME], cluster.nodes[OTHERS[0]]
        owned = previous.runner.jobs[job.job_id]
        handover = JobHandover(job, owned.stored, (), (), owned.partial_texts())
        assert owned.listed
        await previous.runner.drop(job.job_id, "the test hands the job over")
        assert successor.job_manager.handovers.accept(handover)
        results = await read_all_results(cluster, OTHERS[1], job, within_s=8.0)
        check_results(results, job, events_per_item=20)
        assert results == await read_all_results(cluster, OTHERS[0], job)
        await cluster.stop()

    run(scenario())
