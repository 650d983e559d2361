"""Decisions from what a node observes, carried out by nodes that share a lease."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from dataclasses import replace

import pytest

from tamarackshelf.contracts.duties import DutyCallFailed, OrderUnavailable
from tamarackshelf.duties.scaling import (
    EMPTY_SETTLE_S,
    SETTLE_S,
    LoadObserver,
    ServiceDecider,
)
from tamarackshelf.duties.worker_orders import WorkerOrderDuty
from tamarackshelf.node.settings import DutySettings
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.policy.worker_plan import WorkerPool
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.store.job_store import StoredHead
from tamarackshelf.world import Address
from tamarackshelf.world.job import JobHead, JobState
from tamarackshelf.world.route import Scaling
from tests.support.node import HOST, FakeFleet, build_configuration, build_target

LEASE_S = 3.0
SCALING = Scaling(1, 40, 4.0, 0.18, {"a": 1.0, "b": 1.2})
NAMES = "uvw"


class Observation:
    """Targets, job heads and configuration of one node, and what is read of them."""

    def __init__(
        self, service="models", scaling=SCALING, settle_s=0.0, empty_settle_s=0.0
    ):
        self.timeline, self.metrics = Timeline("n", lambda: 0), Metrics()
        self.targets = TargetRegistry(
            self.timeline, lambda: -math.inf, random.Random(1)
        )
        self.heads = {}
        self.now_ms = 1_000_000
        configuration = build_configuration()
        scaled = replace(configuration.services[service], scaling=scaling)
        services = {**configuration.services, service: scaled}
        self.configuration = replace(configuration, services=services)
        self.observer = LoadObserver(
            self.targets,
            self.heads,
            lambda: self.configuration,
            lambda: RouteTable(self.configuration),
            lambda: self.now_ms,
            settle_s,
            empty_settle_s,
        )

    def list_workers(self, counts, service="models"):
        """Make the target list name this number of workers of each pool."""
        for target in self.targets.list_all():
            self.targets.remove(target.name)
        listed = [pool for pool, n in sorted(counts.items()) for _ in range(n)]
        for n, pool in enumerate(listed):
            versions = {"m": 1} if service == "models" else None
            record = build_target(f"t{n}", service, 6, versions)
            target = replace(record.target, data_centre=pool.data_centre)
            self.targets.put(
                replace(record, target=target, is_preemptible=pool.is_preemptible)
            )

    def add_job(self, age_s, items=48, tokens=1000, path="/jobs/1"):
        accepted_ms = self.now_ms - round(age_s * 1000)
        head = JobHead(
            "n",
            1,
            1,
            JobState.OPEN,
            items,
            accepted_ms,
            HOST,
            path,
            "m",
            items * tokens,
        )
        job_id = f"j{len(self.heads)}"
        self.heads[job_id] = StoredHead(job_id, head, 1)


def test_workers_and_jobs_become_inputs(run):
    """Guards against inputs that miss a kind of worker, or count jobs of others."""

    async def scenario():
        seen = Observation()
        seen.list_workers({WorkerPool("a"): 2, WorkerPool("b", True): 1})
        seen.targets.record_leaving("t2", 1, "reclaimed")
        for fault in range(3):
            seen.targets.record_fault("t0", "reset")
            await asyncio.sleep(40.0 if fault < 2 else 0.0)
            seen.targets.get("t0").health.ejected_until_s = -math.inf
        seen.add_job(1.0)
        seen.add_job(90.0)
        seen.add_job(1.0, path="/unknown/1")
        inputs = seen.observer.read_inputs("models")
        assert inputs.scaling == SCALING
        assert [w.data_centre for w in inputs.workers] == ["a", "a", "b"]
        assert [w.is_preemptible for w in inputs.workers] == [False, False, True]
        assert [w.is_leaving for w in inputs.workers] == [False, False, True]
        (arrival,) = inputs.load.arrivals
        assert (arrival.age_s, arrival.items, arrival.due_s) == (1.0, 48, 7.5)
        assert arrival.item_s == pytest.approx(0.8)
        assert inputs.list_age_s == 0.0
        seen.targets.is_list_current = lambda: False
        assert seen.observer.read_inputs("models").list_age_s == math.inf
        assert seen.observer.read_inputs("app").scaling is None

    run(scenario())


def test_nothing_is_ordered_while_the_workers_list_themselves(run):
    """Guards against an order of the minimum from an empty or half-filled list.

    An order names a total, so such an order ended 16 of 19 workers of a day.
    """

    async def scenario():
        seen = Observation(settle_s=SETTLE_S, empty_settle_s=EMPTY_SETTLE_S)
        decider = ServiceDecider("models", seen.observer, seen.metrics)
        loop = asyncio.get_running_loop()
        assert decider.decide(loop.time()) == ()
        for count in (2, 5, 9):
            await asyncio.sleep(1.0)
            seen.list_workers({WorkerPool("a"): count, WorkerPool("b"): count})
            assert decider.decide(loop.time()) == ()
        await asyncio.sleep(SETTLE_S)
        orders = decider.decide(loop.time())
        assert all(o.count >= 9 for o in orders if not o.pool.is_preemptible)

    run(scenario())


def test_worker_that_keeps_failing_does_not_count_as_serving(run):
    """Guards against a replacement after one lost connection, and against none."""

    async def scenario():
        seen = Observation()
        seen.list_workers({WorkerPool("a"): 2})
        health = seen.targets.get("t0").health
        failing = []
        for _ in range(3):
            seen.targets.record_fault("t0", "reset")
            workers = seen.observer.read_inputs("models").workers
            failing.append(workers[0].is_failing)
            await asyncio.sleep(
                health.ejected_until_s - asyncio.get_running_loop().time()
            )
        assert failing == [False, False, True]
        assert not workers[1].is_failing

    run(scenario())


def test_requests_at_plain_targets_count_and_refusals_by_all_are_losses(run):
    """Guards against a service that stays full because nobody counts what it lost."""

    async def scenario():
        seen = Observation("app")
        seen.list_workers({WorkerPool("a"): 2}, "app")
        seen.targets.get("t0").in_flight = 4
        load = seen.observer.read_inputs("app").load
        assert (load.running_requests, load.lost_per_s) == (4, 0.0)
        seen.targets.avoid("t0", "busy")
        assert seen.observer.read_inputs("app").load.lost_per_s == 0.0
        seen.targets.avoid("t1", "busy")
        assert seen.observer.read_inputs("app").load.lost_per_s > 0.0

    run(scenario())


def test_late_jobs_at_full_engines_are_losses(run):
    """Guards against a duration of items that is estimated too low."""

    async def scenario():
        seen = Observation()
        seen.list_workers({WorkerPool("a"): 2})
        seen.add_job(9.0)

        def is_losing():
            return seen.observer.read_inputs("models").load.lost_per_s > 0

        assert not is_losing()
        for name in ("t0", "t1"):
            seen.targets.get(name).in_flight = 6
        assert is_losing()
        (stored,) = seen.heads.values()
        whole = replace(stored.head, state=JobState.COMPLETE)
        seen.heads["j0"] = replace(stored, head=whole)
        seen.add_job(7.0)
        assert not is_losing()

    run(scenario())


class Platform:
    """Starts ordered workers after 4 s; the order's number must never fall."""

    def __init__(self, observations):
        self.observations = observations
        # The store as each node reaches it.
        self.clients = {}
        self.error = None
        self.calls = []
        self.standing = Counter()
        self.present = Counter()
        self.highest = 0

    async def order_workers(
        self, service, data_centre, count, stamp, timeout_s, *, is_preemptible
    ):
        assert stamp.fencing_number >= self.highest
        self.highest = stamp.fencing_number
        pool = WorkerPool(data_centre, is_preemptible)
        self.calls.append((_now_s(), stamp.holder, pool, count))
        if self.error is not None:
            raise self.error
        self.standing[pool] = count
        asyncio.get_running_loop().call_later(4.0, self.start_workers, pool, count)

    def start_workers(self, pool, count):
        self.present[pool] = count
        for seen in self.observations.values():
            seen.list_workers(self.present)


def run_nodes(run, scenario):
    """Run a scenario with three nodes that see the same jobs."""

    async def build_and_run():
        store, dead, duties = MemoryRowStore(), set(), {}
        seen = {name: Observation() for name in NAMES}
        platform = Platform(seen)
        address = Address("10.0.0.1", 1)
        records = {n: NodeRecord(n, 1, "a", address, address) for n in NAMES}
        settings = DutySettings(address, 50.0, False, True, True, 5.0, 10.0)
        for name, each in seen.items():
            each.add_job(0.5, items=480)
            platform.clients[name] = store.connect()

            def build_decider(service, each=each):
                return ServiceDecider(service, each.observer, each.metrics)

            duties[name] = WorkerOrderDuty(
                settings,
                FailoverStore(platform.clients[name], each.timeline),
                platform,
                lambda each=each: each.configuration,
                build_decider,
                each.timeline,
                each.metrics,
            )
            fleet = FakeFleet(name, records, dead)
            await duties[name].start(fleet, LEASE_S, lambda: False)
        await scenario(platform, seen, duties, dead)
        for duty in duties.values():
            await duty.close()

    run(build_and_run())


FIRST = rank_owners(NAMES, "workers/models")[0]


def test_one_node_orders_once_and_reports_what_it_wants(run):
    """Guards against orders of several nodes, and a second one while workers start."""

    async def scenario(platform, seen, duties, dead):
        await asyncio.sleep(20.0)
        assert {holder for _, holder, _, _ in platform.calls} == {FIRST}
        assert len({pool for _, _, pool, _ in platform.calls}) == len(platform.calls)
        assert platform.present == platform.standing
        text = seen[FIRST].metrics.render().decode()
        label = '{data_centre="a",kind="regular",service="models"}'
        assert f"tamarackshelf_workers_wanted{label} 1.0" in text
        assert f"tamarackshelf_workers_ordered{label} 1.0" in text

    run_nodes(run, scenario)


def test_successor_orders_the_same_numbers(run):
    """Guards against numbers that depend on what only the last holder knew."""

    async def scenario(platform, seen, duties, dead):
        await asyncio.sleep(3.0)
        assert len(platform.calls) >= 3
        await duties[FIRST].close()
        dead.add(FIRST)
        before = dict(platform.standing)
        # None of the ordered workers ever starts.
        for each in seen.values():
            each.list_workers = lambda counts: None
        await asyncio.sleep(9.0)
        assert platform.calls[-1][1] != FIRST
        after = {pool: n for _, holder, pool, n in platform.calls if holder != FIRST}
        assert after == before

    run_nodes(run, scenario)


@pytest.mark.parametrize(
    "error",
    [
        OrderUnavailable("409"),
        DutyCallFailed("no response", may_execute=True),
        DutyCallFailed("429", is_limited=True),
    ],
)
def test_failed_orders_are_counted_and_repeated_at_a_bounded_rate(run, error):
    """Guards against a flood of calls, and against giving up."""

    async def scenario(platform, seen, duties, dead):
        platform.error = error
        await asyncio.sleep(60.0)
        assert 8 <= len(platform.calls) <= 40
        pool = platform.calls[0][2]
        first_s, second_s = [at_s for at_s, _, p, _ in platform.calls if p == pool][:2]
        # Before an accepted order would have had its effect.
        assert second_s - first_s < SCALING.startup_s
        text = seen[FIRST].metrics.render().decode()
        assert "tamarackshelf_worker_orders_failed_total{" in text

    run_nodes(run, scenario)


def test_nothing_is_sent_while_the_store_refuses_the_holder(run):
    """Guards against orders of a node that cannot know that it is the holder."""

    async def scenario(platform, seen, duties, dead):
        await asyncio.sleep(15.0)
        sent = len(platform.calls)
        platform.clients[FIRST].is_refused = True
        for each in seen.values():
            each.add_job(0.0, items=700)
        await asyncio.sleep(10.0)
        assert len(platform.calls) == sent
        platform.clients[FIRST].is_refused = False
        await asyncio.sleep(40.0)
        assert len(platform.calls) > sent

    run_nodes(run, scenario)


def test_service_that_loses_its_scaling_gets_no_more_orders(run):
    """Guards against orders, and wanted numbers, after the bounds were removed."""

    async def scenario(platform, seen, duties, dead):
        await asyncio.sleep(10.0)
        sent = len(platform.calls)
        for each in seen.values():
            each.configuration = build_configuration(version=2)
            each.add_job(0.0, items=500)
        await asyncio.sleep(20.0)
        assert len(platform.calls) == sent
        lines = seen[FIRST].metrics.render().decode().splitlines()
        wanted = [x for x in lines if x.startswith("tamarackshelf_workers_wanted{")]
        assert wanted
        assert all(line.endswith(" 0.0") for line in wanted)

    run_nodes(run, scenario)


def _now_s():
    return asyncio.get_running_loop().time()
