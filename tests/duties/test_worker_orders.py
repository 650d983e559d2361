"""Worker orders: one holder per service sends them, with its number and its outcome."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.contracts.duties import DutyCallFailed, OrderUnavailable
from tamarackshelf.duties.lease import LATE_CALL_S
from tamarackshelf.duties.worker_orders import WorkerOrderDuty
from tamarackshelf.node.settings import DutySettings
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.scaling import OrderOutcome, WorkerOrder
from tamarackshelf.policy.worker_plan import WorkerPool
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.world import Address
from tamarackshelf.world.route import RoutingConfiguration, Scaling, Service
from tests.support.duties import LEASE_S, sleep_until
from tests.support.node import FakeFleet

FIRST, SECOND = rank_owners("ab", "workers/models")
POOL = WorkerPool("dc-1", is_preemptible=True)


class FakeDecider:
    """Wants one more worker every second, and keeps the outcomes."""

    def __init__(self):
        self.outcomes = []
        self.next_s = 0.0

    def decide(self, now_s):
        if now_s < self.next_s:
            return ()
        self.next_s = now_s + 1.0
        return (WorkerOrder(POOL, 3 + len(self.outcomes), "test"),)

    def record_outcome(self, order, outcome, now_s):
        self.outcomes.append(outcome)

    def close(self):
        self.is_closed = True


class Environment:
    """Nodes with the duty, and a platform that keeps the calls."""

    def __init__(self, checks_fencing):
        self.store = MemoryRowStore()
        self.dead = set()
        self.calls = []
        self.errors = []
        self.deciders = {}
        self.duties = {}
        address = Address("10.0.0.1", 1)
        self.records = {n: NodeRecord(n, 1, "dc", address, address) for n in "ab"}
        scaling = Scaling(1, 9, 3.0)
        services = {
            "models": Service("models", 9, scaling=scaling),
            "other": Service("other", 9),
        }
        self.configuration = RoutingConfiguration(1, (), services)
        self.settings = DutySettings(
            address,
            50.0,
            reports_usage=False,
            orders_workers=True,
            checks_fencing=checks_fencing,
            report_window_s=5.0,
            report_late_s=10.0,
        )

    async def order_workers(
        self, service, data_centre, count, stamp, timeout_s, *, is_preemptible
    ):
        now_s = asyncio.get_running_loop().time()
        call = (service, data_centre, count, is_preemptible)
        self.calls.append((now_s, stamp.holder, stamp.fencing_number, call))
        if self.errors:
            raise self.errors.pop(0)

    async def start(self, name):
        timeline = Timeline(name, lambda: 0)

        def build_decider(service):
            self.deciders.setdefault(name, []).append(FakeDecider())
            return self.deciders[name][-1]

        duty = WorkerOrderDuty(
            self.settings,
            FailoverStore(self.store.connect(), timeline),
            self,
            lambda: self.configuration,
            build_decider,
            timeline,
            Metrics(),
        )
        fleet = FakeFleet(name, self.records, self.dead)
        await duty.start(fleet, LEASE_S, lambda: False)
        self.duties[name] = duty


def run_environment(run, scenario, *, checks_fencing=True):
    async def build_and_run():
        environment = Environment(checks_fencing)
        for name in "ab":
            await environment.start(name)
        await scenario(environment)
        for duty in environment.duties.values():
            await duty.close()

    run(build_and_run())


def test_orders_name_the_service_data_centre_kind_and_holder(run):
    async def scenario(environment):
        await sleep_until(3.0)
        assert environment.calls[0][1:] == (FIRST, 1, ("models", "dc-1", 3, True))
        assert {holder for _, holder, _, _ in environment.calls} == {FIRST}
        assert environment.duties[FIRST].list_held() == ["models"]

    run_environment(run, scenario)


# A decider that takes a lost call for a refused one would order the workers again.
def test_outcomes_of_orders_are_recorded(run):
    async def scenario(environment):
        environment.errors = [
            OrderUnavailable("409"),
            DutyCallFailed("lost", may_execute=True),
            DutyCallFailed("503"),
        ]
        await sleep_until(6.0)
        assert environment.deciders[FIRST][0].outcomes[:4] == [
            OrderOutcome.REFUSED,
            OrderOutcome.UNANSWERED,
            OrderOutcome.REFUSED,
            OrderOutcome.ACCEPTED,
        ]

    run_environment(run, scenario)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_successor_orders_after_the_lease_and_late_calls_of_the_holder(
    run, checks_fencing
):
    async def scenario(environment):
        await sleep_until(3.0)
        await environment.duties[FIRST].close()
        environment.dead.add(FIRST)
        last_s = environment.calls[-1][0]
        await sleep_until(16.0)
        first_s, _, number, _ = next(c for c in environment.calls if c[1] == SECOND)
        wait_s = LEASE_S if checks_fencing else LEASE_S + LATE_CALL_S
        assert first_s - last_s >= wait_s
        assert number == 2

    run_environment(run, scenario, checks_fencing=checks_fencing)


def test_nothing_is_ordered_for_services_without_scaling(run):
    async def scenario(environment):
        environment.configuration = RoutingConfiguration(
            1, (), {"other": Service("other", 9)}
        )
        await sleep_until(4.0)
        assert not environment.calls
        assert not environment.store.rows

    run_environment(run, scenario)
