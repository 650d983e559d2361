"""Orders of workers by the node that holds the lease of a service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from tamarackshelf.contracts.duties import (
    DutyCallFailed,
    DutyPlatform,
    DutyStamp,
    OrderUnavailable,
)
from tamarackshelf.contracts.rows import RowStoreError
from tamarackshelf.duties.lease import (
    LATE_CALL_S,
    LEASE_MARGIN_S,
    Lease,
    LeaseFleet,
    LeaseWaits,
)
from tamarackshelf.node.settings import DutySettings
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.scaling import OrderOutcome, WorkerOrder
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import StoredLease
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world.route import RoutingConfiguration

# Name of the lease of a service, before the service's name.
SUBJECT_PREFIX = "workers/"
TICK_S = 0.5
CALL_TIMEOUT_S = 1.5
# Share of the platform's rate that one node uses for the orders of a service.
RATE_SHARE = 0.1


class OrderDecider(Protocol):
    """Decides on the workers of one service; times are of one monotonic clock."""

    def decide(self, now_s: float) -> Sequence[WorkerOrder]:
        """Return the orders to send now, one after the other."""

    def record_outcome(
        self, order: WorkerOrder, outcome: OrderOutcome, now_s: float
    ) -> None:
        """Record the outcome of an order; one that was not sent counts as refused."""

    def close(self) -> None:
        """End the decisions, as this node no longer holds the lease."""


@dataclass(slots=True)
class _ServiceState:
    """The lease of a service, and the decider of the term that this node holds it."""

    lease: Lease
    decided_under: StoredLease | None = None
    decider: OrderDecider | None = None


class WorkerOrderDuty:
    """Orders the workers of each service whose lease this node holds.

    One lease covers all data centres of a service, as the decision divides the workers
    among them. A new holder starts with a new decider, which orders the same numbers
    for the same workers and load.
    """

    def __init__(
        self,
        settings: DutySettings,
        store: FailoverStore,
        platform: DutyPlatform,
        get_configuration: Callable[[], RoutingConfiguration | None],
        build_decider: Callable[[str], OrderDecider],
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._store = store
        self._platform = platform
        self._get_configuration = get_configuration
        self._build_decider = build_decider
        self._timeline = timeline
        self._metrics = metrics
        self._services: dict[str, _ServiceState] = {}
        self._fleet: LeaseFleet | None = None
        self._is_leaving: Callable[[], bool] = lambda: False
        self.lease_s = 0.0
        self._task: asyncio.Task[None] | None = None

    async def start(
        self, fleet: LeaseFleet, lease_s: float, is_leaving: Callable[[], bool]
    ) -> None:
        """Start to order workers whenever this node holds the lease of a service."""
        self._fleet, self.lease_s, self._is_leaving = fleet, lease_s, is_leaving
        self._task = start_task("worker_orders", self._run)

    async def close(self) -> None:
        """Stop ordering; the leases are left as they are."""
        await stop_tasks(self._task)

    def list_held(self) -> list[str]:
        """Return the services whose lease this node holds."""
        return sorted(
            name for name, state in self._services.items() if state.lease.held
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self._is_leaving():
                continue
            scaled = self._list_scaled()
            for name in self._services.keys() - scaled:
                decider = self._services.pop(name).decider
                if decider is not None:
                    decider.close()
            for name in scaled:
                try:
                    await self._order(name)
                except RowStoreError as error:
                    self._timeline.record(
                        "lease_unknown", f"{SUBJECT_PREFIX}{name}", str(error)
                    )

    def _list_scaled(self) -> list[str]:
        configuration = self._get_configuration()
        services = configuration.services.values() if configuration else ()
        return sorted(each.name for each in services if each.scaling is not None)

    async def _order(self, service: str) -> None:
        """Send the orders that are due if this node holds the service's lease."""
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState(self._build_lease(service))
        state.lease.lease_s = self.lease_s
        if not await state.lease.ensure() or state.lease.held is None:
            if state.decider is not None:
                state.decider.close()
            state.decider = None
            return
        held = state.lease.held
        if state.decider is None or state.decided_under != held:
            state.decider, state.decided_under = self._build_decider(service), held
        for order in state.decider.decide(_now_s()):
            outcome = OrderOutcome.REFUSED
            if await self._may_send(state.lease, held):
                outcome = await self._send(service, order, state.lease, held)
            state.decider.record_outcome(order, outcome, _now_s())

    async def _may_send(self, lease: Lease, held: StoredLease) -> bool:
        try:
            return lease.held == held and await lease.confirm(held)
        except RowStoreError as error:
            self._timeline.record("lease_unknown", SUBJECT_PREFIX, str(error))
            return False

    async def _send(
        self, service: str, order: WorkerOrder, lease: Lease, held: StoredLease
    ) -> OrderOutcome:
        assert self._fleet is not None
        pool = order.pool
        stamp = DutyStamp(self._fleet.own.vm, held.record.fencing_number)
        outcome, reason = OrderOutcome.ACCEPTED, order.reason
        lease.record_act()
        try:
            await self._platform.order_workers(
                service,
                pool.data_centre,
                order.count,
                stamp,
                CALL_TIMEOUT_S,
                is_preemptible=pool.is_preemptible,
            )
        except OrderUnavailable as error:
            outcome, reason = OrderOutcome.REFUSED, str(error)
        except DutyCallFailed as error:
            outcome, reason = OrderOutcome.REFUSED, str(error)
            if error.may_execute:
                outcome = OrderOutcome.UNANSWERED
        self._metrics.count("worker_orders", outcome=outcome.value)
        self._timeline.record(
            "workers_ordered",
            service,
            reason,
            data_centre=pool.data_centre,
            preemptible=pool.is_preemptible,
            count=order.count,
            outcome=outcome.value,
            fencing=held.record.fencing_number,
        )
        await asyncio.sleep(1.0 / (RATE_SHARE * self._settings.calls_per_s))
        return outcome

    def _build_lease(self, service: str) -> Lease:
        """Return the lease of a service.

        Where the platform checks no numbers, a new holder waits until no call of the
        earlier one can be executed any more.
        """
        assert self._fleet is not None
        late_s = 0.0 if self._settings.checks_fencing else LATE_CALL_S
        return Lease(
            f"{SUBJECT_PREFIX}{service}",
            self._store,
            self._fleet,
            self.lease_s,
            self._timeline,
            LeaseWaits(LEASE_MARGIN_S + late_s, late_s),
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["OrderDecider", "WorkerOrderDuty"]
