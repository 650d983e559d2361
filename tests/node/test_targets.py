"""The choice of targets, and targets that disappear from the list."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from tamarackshelf.contracts.targets import TargetBusy, TargetLoad
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.shared_loads import SharedLoads, build_key
from tests.support.node import build_target

MAX_USE_AFTER_LEAVING_S = 2.0


@pytest.fixture
def run_scenario(run):
    """Run a scenario on three targets, by default with a store that just recovered."""

    def run_with_targets(scenario, recovered=True):
        async def build_and_run():
            now_s = asyncio.get_running_loop().time()
            registry = TargetRegistry(
                Timeline("n", lambda: 0),
                lambda: now_s if recovered else float("-inf"),
                random.Random(1),
            )
            for number in range(1, 4):
                registry.put(build_target(f"t{number}", "app"))
            await scenario(registry)

        run(build_and_run())

    return run_with_targets


def list_available_names(registry):
    return sorted(state.target.name for state in registry.list_available("app"))


def test_single_target_missing_after_store_recovery_gets_no_work(run_scenario):
    """A worker left while a node's connection to the store recovered, and got new work.

    Seen in run kis-barge hunt-ba70-11.
    """

    async def scenario(registry):
        registry.remove("t2")
        assert list_available_names(registry) == ["t1", "t3"]
        registry.put(build_target("t2", "app"))
        assert list_available_names(registry) == ["t1", "t2", "t3"]

    run_scenario(scenario)


def test_all_targets_missing_after_store_recovery_get_work_for_a_while(run_scenario):
    async def scenario(registry):
        for name in ("t1", "t2", "t3"):
            registry.remove(name)
        assert list_available_names(registry) == ["t1", "t2", "t3"]
        await asyncio.sleep(MAX_USE_AFTER_LEAVING_S - 0.4)
        assert list_available_names(registry) == []
        registry.put(build_target("t1", "app"))
        assert list_available_names(registry) == ["t1"]
        await asyncio.sleep(1.0)
        registry.drop_missing()
        assert registry.get("t2") is None

    run_scenario(scenario)


def test_target_missing_without_store_recovery_is_removed_at_once(run_scenario):
    async def scenario(registry):
        registry.remove("t1")
        assert registry.get("t1") is None

    run_scenario(scenario, recovered=False)


def test_leaving_target_gets_no_new_work(run_scenario):
    async def scenario(registry):
        record = build_target("t1", "app")
        registry.put(record.__class__(record.target, is_leaving=True))
        assert list_available_names(registry) == ["t2", "t3"]

    run_scenario(scenario)


def count_choices(registry, requests=200):
    """Return how often each target is chosen, without counting them as in flight."""
    chosen = [registry.choose("app", "dc", frozenset())[0] for _ in range(requests)]
    return Counter(state.target.name for state in chosen)


def build_app_registry():
    timeline = Timeline("n", lambda: 0)
    registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
    for name in ("t1", "t2", "t3", "t4"):
        registry.put(build_target(name, "app", places=6))
    return registry


def test_idle_targets_are_chosen_by_open_connection(run):
    """Many nodes that each send a request every few seconds must reuse connections."""

    async def scenario():
        registry = build_app_registry()
        registry.is_connected = lambda target: target.name == "t2"
        assert count_choices(registry)["t2"] == 200

    run(scenario())


def test_busy_target_is_avoided_although_it_is_connected(run):
    async def scenario():
        registry = build_app_registry()
        registry.is_connected = lambda target: target.name == "t2"
        registry.get("t2").in_flight = 4
        assert count_choices(registry)["t2"] < 20

    run(scenario())


def test_requests_are_spread_evenly_without_connections(run):
    async def scenario():
        counts = count_choices(build_app_registry(), requests=400)
        assert min(counts.values()) > 60

    run(scenario())


def test_target_on_probation_gets_one_request_until_it_succeeds(run):
    """A target that fails and recovers again and again must not get many requests."""

    async def scenario():
        registry = build_app_registry()
        registry.record_fault("t2", "reset")
        assert count_choices(registry)["t2"] == 0
        await asyncio.sleep(0.4)
        assert count_choices(registry)["t2"] > 0
        registry.get("t2").in_flight = 1
        assert count_choices(registry)["t2"] == 0
        registry.record_success("t2")
        for name in ("t1", "t3", "t4"):
            registry.get(name).in_flight = 1
        assert count_choices(registry)["t2"] > 0

    run(scenario())


def build_engine_registry():
    timeline = Timeline("n", lambda: 0)
    registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
    for name in ("t1", "t2", "t3"):
        registry.put(build_target(name, "models", places=6, versions={"m": 1}))
    return registry


def report(registry, name, running, slowdown=None, waiting=0):
    load = TargetLoad(running, waiting, 6, slowdown)
    registry.record_load(registry.get(name).target, load, has_ended=False)


def count_in_use(registry):
    candidates = registry.list_engine_candidates("models", "m")
    return {each.name: each.in_use for each in candidates}


def test_engines_that_another_node_filled_are_not_taken_for_free(run):
    """Owners of jobs each filled the same engines, as reports fade before texts end."""

    async def scenario():
        registry = build_engine_registry()
        for name in ("t1", "t2", "t3"):
            report(registry, name, 0, 1.0)
        other, own = SharedLoads("b", 1), SharedLoads("a", 1)
        registry.estimate_shared = own.estimate
        registry.get("t1").in_flight = 1
        await asyncio.sleep(3.0)
        now_s = asyncio.get_running_loop().time()
        told = {build_key(registry.get("t1").target): 5}
        own.receive(other.build(told, now_s), now_s)
        assert count_in_use(registry) == {"t1": 6, "t2": 0, "t3": 0}
        assert list(registry.list_own_loads().values()) == [1]

    run(scenario())


def test_operator_sees_busy_answers_and_wrong_estimates(run):
    async def scenario():
        registry = build_engine_registry()
        report(registry, "t2", 6, 1.0, waiting=18)
        for name in ("t1", "t2"):
            registry.record_not_run(name, TargetBusy("full"))
        for running in (0, 0, 5, 5):
            report(registry, "t1", running, 1.0)
        page = registry.metrics.render().decode()
        assert "tamarackshelf_engine_calls_not_run_total 2.0" in page
        assert "tamarackshelf_engine_calls_not_run_while_free_total 1.0" in page
        assert "tamarackshelf_load_reports_total 5.0" in page
        assert "tamarackshelf_load_estimates_wrong_total 1.0" in page
        assert "tamarackshelf_load_report_gap_seconds_count 3" in page

    run(scenario())


def test_mean_of_reports_counts_while_other_nodes_tell_nothing(run):
    async def scenario():
        registry = build_engine_registry()
        for _ in range(3):
            report(registry, "t1", 5, 1.0)
            report(registry, "t2", 1, 1.0)
            await asyncio.sleep(1.0)
        await asyncio.sleep(2.0)
        assert count_in_use(registry)["t1"] >= 4 > count_in_use(registry)["t2"]

    run(scenario())


def test_reports_with_three_figures_fade_as_before(run):
    """Deployments whose targets report no slowdown are served as before."""

    async def scenario():
        registry = build_engine_registry()
        report(registry, "t1", 6)
        assert count_in_use(registry)["t1"] == 6
        await asyncio.sleep(1.0)
        assert count_in_use(registry)["t1"] == 3
        await asyncio.sleep(1.0)
        assert count_in_use(registry)["t1"] == 0
        registry.get("t1").in_flight = 4
        assert registry.list_own_loads() == {}

    run(scenario())


def test_target_slowed_by_others_on_its_machine_gets_less_for_a_moment(run):
    async def scenario():
        registry = build_app_registry()
        for name in ("t1", "t2", "t3", "t4"):
            report(registry, name, 1, 1.0)
        report(registry, "t2", 1, 4.0)
        assert count_choices(registry)["t2"] < 20
        await asyncio.sleep(30.0)
        assert count_choices(registry)["t2"] > 30

    run(scenario())


def test_idle_connection_is_used_while_its_target_is_slow_as_all_are(run):
    """Targets without a report looked faster than those with one.

    In the trial a third of the requests then opened a connection, before a seventh.
    """

    async def scenario():
        registry = build_app_registry()
        registry.is_connected = lambda target: target.name == "t2"
        report(registry, "t2", 0, 1.5)
        await asyncio.sleep(1.0)
        assert count_choices(registry)["t2"] == 200

    run(scenario())


@pytest.mark.parametrize("figure", [0, 100_000])
@pytest.mark.parametrize("slowdown", [0.05, 100.0])
def test_odd_report_rules_out_no_target(run, figure, slowdown):
    async def scenario():
        registry = build_app_registry()
        for name in ("t1", "t2", "t3", "t4"):
            report(registry, name, figure, slowdown, waiting=figure)
        assert sum(count_choices(registry, 50).values()) == 50
        report(registry, "t1", None, slowdown, waiting=None)
        assert sum(count_choices(registry, 50).values()) == 50

    run(scenario())


@pytest.mark.parametrize("slowdown", [None, 1.0])
def test_engine_with_an_odd_report_is_free_again_after_a_moment(run, slowdown):
    async def scenario():
        registry = build_engine_registry()
        for _ in range(5):
            for name in ("t1", "t2", "t3"):
                report(registry, name, 100_000, slowdown)
            await asyncio.sleep(1.0)
        await asyncio.sleep(2.0)
        assert max(count_in_use(registry).values()) < 6

    run(scenario())
