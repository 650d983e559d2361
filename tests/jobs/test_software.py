"""Texts of items are continued only by engines with the software that began them."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.contracts.targets import OutcomeUnknown
from tamarackshelf.jobs.continuation import MAX_CONTINUE_WAIT_S
from tamarackshelf.jobs.item_state import ItemState
from tamarackshelf.jobs.runner import NEXT_EVENT_TIMEOUT_S
from tamarackshelf.policy.item_placement import (
    EngineCandidate,
    RunningItem,
    choose_moves,
)
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.world.job import ItemProgress, TextOrigin
from tests.jobs.test_jobs import check_results, read_all_results, submit
from tests.support.node import Cluster, SimulatedEngines, build_job, build_target

EVENTS = 40


class VersionedEngines(SimulatedEngines):
    """Engines that record which software wrote each event of a text.

    `texts` maps an item to the software versions in its present text; `mixed` lists the
    items whose text was ever from more than one.
    """

    def __init__(self):
        super().__init__(EVENTS)
        self.texts = {}
        self.mixed = set()

    async def run_item(self, target, run):
        item_id = run.item.item_id
        if run.after_event_id < 0:
            self.texts[item_id] = set()
        events = super().run_item(target, run)
        while True:
            try:
                event = await asyncio.wait_for(anext(events), run.next_event_timeout_s)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise OutcomeUnknown("no event in time") from None
            self.texts[item_id].add(target.software)
            if len(self.texts[item_id]) > 1:
                self.mixed.add(item_id)
            yield event


@pytest.fixture
def run_scenario(run):
    """Run a scenario with nodes that list the engines e1 of software a and e2 of b."""

    def run_to_end(scenario, **software):
        async def main():
            cluster = Cluster(MemoryRowStore(), VersionedEngines())
            await cluster.start()
            for name, version in {"e1": "a", "e2": "b", **software}.items():
                list_engine(cluster, name, version)
            await asyncio.sleep(0.1)
            try:
                await asyncio.wait_for(scenario(cluster), 120)
                assert cluster.engines.mixed == set()
            finally:
                await cluster.stop()

        run(main())

    return run_to_end


def list_engine(cluster, name, software, incarnation=1, places=8):
    for node in cluster.nodes.values():
        record = build_target(
            name, "models", places, {"m": 1}, incarnation=incarnation, software=software
        )
        node.target_registry.put(record)


def find_software(cluster, item_id):
    """Return the software of the engine that runs an item, and the engine's name."""
    for node in cluster.nodes.values():
        for job in node.runner.jobs.values():
            run = job.items[item_id].run
            if run is not None:
                state = node.target_registry.get(run.engine)
                return state.target.software, run.engine
    raise AssertionError(f"{item_id} does not run")


# A run that broke off went on at an engine with other software.
@pytest.mark.parametrize("seed", range(4))
def test_broken_runs_go_on_at_the_same_software(run_scenario, seed):
    async def scenario(cluster):
        job = build_job(items=6)
        for number, item in enumerate(job.items):
            cluster.engines.faults[item.item_id] = [5 + number + seed, 20 + seed]
        await submit(cluster, job=job)
        check_results(await read_all_results(cluster, "a", job), job, EVENTS)
        continued = [run for run in cluster.engines.runs if run[2] >= 0]
        assert continued

    run_scenario(scenario, e3="a", e4="b")


# With no engine of its software left, a text was continued by another one.
def test_text_starts_again_if_no_engine_with_its_software_is_left(run_scenario):
    async def scenario(cluster):
        job = await submit(cluster, job=build_job(items=1))
        item_id = job.items[0].item_id
        await asyncio.sleep(0.5)
        _, engine = find_software(cluster, item_id)
        cluster.engines.silent.add(engine)
        for node in cluster.nodes.values():
            node.target_registry.remove(engine)
        check_results(await read_all_results(cluster, "a", job), job, EVENTS)
        last = cluster.engines.runs[-1]
        assert last[1] != engine
        assert last[2] == -1

    run_scenario(scenario)


def test_text_waits_for_its_software_only_for_a_short_time(run_scenario):
    """An engine falls silent, and the other one with its software stays full."""

    async def scenario(cluster):
        job = await submit(cluster, job=build_job(items=1))
        item_id = job.items[0].item_id
        await asyncio.sleep(0.8)
        software, engine = find_software(cluster, item_id)
        list_engine(cluster, "e5", software)
        for node in cluster.nodes.values():
            node.target_registry.get("e5").in_flight = 8
        loop = asyncio.get_running_loop()
        silent_s = loop.time()
        cluster.engines.silent.add(engine)
        while cluster.engines.runs[-1][1] == engine:
            await asyncio.sleep(0.01)
        assert (
            loop.time() - silent_s <= NEXT_EVENT_TIMEOUT_S + MAX_CONTINUE_WAIT_S + 0.3
        )
        assert cluster.engines.runs[-1][2] == -1
        check_results(await read_all_results(cluster, "a", job), job, EVENTS)

    run_scenario(scenario)


# The stored text did not say which software wrote it.
def test_node_that_takes_a_job_over_keeps_to_the_software(run_scenario):
    async def scenario(cluster):
        job = await submit(cluster, job=build_job(items=6))
        await asyncio.sleep(1.3)
        before = {i.item_id: find_software(cluster, i.item_id)[0] for i in job.items}
        for state in cluster.nodes["a"].runner.jobs[job.job_id].items.values():
            assert state.pieces
        await cluster.nodes["a"].runner.save_progress(
            cluster.nodes["a"].runner.jobs[job.job_id]
        )
        await cluster.kill("a")
        for node in cluster.nodes.values():
            node.target_registry.remove("e1")
        check_results(await read_all_results(cluster, "b", job), job, EVENTS)
        continued = {run[0]: run[1] for run in cluster.engines.runs if run[2] >= 0}
        assert continued
        software = {"e1": "a", "e2": "b", "e3": "a", "e4": "b"}
        for item_id, engine in continued.items():
            assert software[engine] == before[item_id]

    run_scenario(scenario, e3="a", e4="b")


# An engine restarted under its name with other software, and the list did not show it.
def test_text_is_not_continued_by_an_engine_that_restarted_unnoticed(run_scenario):
    async def scenario(cluster):
        job = build_job(items=1)
        item_id = job.items[0].item_id
        cluster.engines.faults[item_id] = 10
        cluster.engines.restarted |= {"e1", "e2"}
        await submit(cluster, job=job)
        check_results(await read_all_results(cluster, "a", job), job, EVENTS)
        assert [run[2] for run in cluster.engines.runs] == [-1, 9, -1]

    run_scenario(scenario)


# Items ran in vain while the store was away and the engines gave no reports.
def test_unverified_first_run_is_kept_but_its_text_is_not_continued(run_scenario):
    async def scenario(cluster):
        for node in cluster.nodes.values():
            node.target_registry.is_list_current = lambda: False
        job = build_job(items=2)
        broken = job.items[0].item_id
        cluster.engines.faults[broken] = 10
        cluster.engines.restarted |= {"e1", "e2"}
        await submit(cluster, job=job)
        check_results(await read_all_results(cluster, "a", job), job, EVENTS)
        runs = [run[2] for run in cluster.engines.runs if run[0] == broken]
        assert runs == [-1, -1]
        assert len(cluster.engines.runs) == 3

    run_scenario(scenario)


def test_text_of_an_engine_that_restarted_with_other_software_is_discarded(
    run_scenario,
):
    """The engine may have had the other software when it wrote the text."""

    async def scenario(cluster):
        job = await submit(cluster, job=build_job(items=1))
        item_id = job.items[0].item_id
        await asyncio.sleep(0.5)
        software, engine = find_software(cluster, item_id)
        list_engine(cluster, engine, "c", incarnation=2)
        list_engine(cluster, "e5", software)
        cluster.nodes["a"].runner.jobs[job.job_id].stop_run(item_id)
        check_results(await read_all_results(cluster, "a", job), job, EVENTS)
        assert cluster.engines.runs[-1][2] == -1

    run_scenario(scenario)


def test_stored_text_without_an_origin_is_not_continued():
    state = ItemState(build_job(items=1).items[0])
    state.restore(ItemProgress("i", ("x", "y"), 1, (1,)))
    assert not state.has_text
    state.restore(
        ItemProgress("i", ("x", "y"), 1, (1,), origin=TextOrigin("models", "e", 1, "a"))
    )
    assert (state.has_text, state.software) == (True, "a")


@pytest.mark.parametrize(("software", "moves"), [("a", 0), ("b", 1), (None, 1)])
def test_run_is_moved_to_a_faster_engine_with_its_software_only(software, moves):
    engines = [
        EngineCandidate("slow", 8, 4, 1, slowness=4.0, software="a"),
        EngineCandidate("fast", 8, 0, 1, software="b"),
    ]
    item = RunningItem("j", "i", "slow", 1, 900, software)
    assert len(choose_moves([item], engines)) == moves
