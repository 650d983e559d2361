"""Leases of engine shards, and orders that update engines to published weights."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from tamarackshelf.contracts import EngineState, Order, OrderFenced, OrderKind
from tamarackshelf.contracts.engine import send_order
from tamarackshelf.controller.engine_watch import EngineWatch
from tamarackshelf.controller.fleet_state import FleetState
from tamarackshelf.controller.shards import Shard, build_shards
from tamarackshelf.errors import StoreUnavailable
from tamarackshelf.net import HttpClient
from tamarackshelf.observe import Timeline
from tamarackshelf.observe.decision_trace import Recorder, record_nothing
from tamarackshelf.peers import EntryStatus, TargetStatus, View
from tamarackshelf.peers.view_watch import CALL_ERRORS
from tamarackshelf.policy.lease import (
    HeldLease,
    LeaseTimes,
    may_act,
    may_order_unfenced,
)
from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.policy.weight_update import (
    FAILURES_TO_REPORT,
    EngineView,
    OrderBackoff,
    plan_wave,
    record_order_outcome,
)
from tamarackshelf.state.leases import LeaseManager
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Target

RECONCILE_INTERVAL_S = 0.5
ORDER_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class WeightUpdateSettings:
    """Pace of weight updates; `wave_share` of the engines swap weights at a time."""

    wave_share: float = 0.5
    interval_s: float = RECONCILE_INTERVAL_S


class Reconciler:
    """Loop that keeps the leases of this node's shards and updates their engines.

    Each pass sends orders to some of the engines that lack the newest published
    version of a model.
    """

    def __init__(
        self,
        vm: str,
        fleet: FleetState,
        leases: LeaseManager,
        times: LeaseTimes,
        http: HttpClient,
        timeline: Timeline,
        publish: Callable[[Rumour], None],
        settings: WeightUpdateSettings | None = None,
        record: Recorder = record_nothing,
    ) -> None:
        self._record = record
        self._vm = vm
        self._fleet = fleet
        self._leases = leases
        self._times = times
        self._http = http
        self._timeline = timeline
        self._settings = settings or WeightUpdateSettings()
        self._backoff = OrderBackoff()
        self._engine_watch = EngineWatch(fleet, http, timeline, self._backoff, publish)
        self._owned_shards: dict[str, Shard] = {}
        self._sharded_view: View | None = None
        self._order_tasks: dict[str, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the loop."""
        self._task = start_task("reconciler", self._run)

    async def close(self) -> None:
        """Stop the loop, wait for orders in flight and release the leases.

        Leases that cannot be released because the table is unavailable expire.
        """
        await stop_tasks(self._task)
        await asyncio.gather(*self._order_tasks.values(), return_exceptions=True)
        for name in list(self._leases.held):
            try:
                await self._leases.release(name)
            except StoreUnavailable:
                return

    def abort(self) -> None:
        """Stop at once like a crashed process; the leases expire."""
        if self._task is not None:
            self._task.cancel()
        for task in self._order_tasks.values():
            task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._reconcile_all()
            except StoreUnavailable as error:
                # Without the table no lease is renewed: leases expire and orders stop
                # until a later pass gets an answer.
                self._timeline.record("reconcile_paused", self._vm, error.message)
            await asyncio.sleep(self._settings.interval_s)

    async def _reconcile_all(self) -> None:
        self._update_owned_shards()
        for name in self._leases.held.keys() - self._owned_shards.keys():
            await self._leases.release(name)
            self._timeline.record(
                "lease_released", name, "another node owns the shard now"
            )
        for shard in list(self._owned_shards.values()):
            lease = await self._ensure_lease(shard.name)
            if lease is not None:
                await self._reconcile_shard(shard, lease)

    def _update_owned_shards(self) -> None:
        """Find the shards that this node owns, once for each new view."""
        view = self._fleet.view
        if view is self._sharded_view:
            return
        self._sharded_view = view
        live = [e.entry.name for e in view.entries if e.status is EntryStatus.LIVE]
        self._owned_shards = {
            shard.name: shard
            for shard in build_shards(self._fleet.targets)
            if find_owner(live, shard.name) == self._vm
        }

    async def _ensure_lease(self, name: str) -> HeldLease | None:
        now_s = _now_s()
        held = self._leases.held.get(name)
        if held is None:
            return await self._acquire_lease(name)
        renew_at_s = held.deadline_s - self._times.lease_s + self._times.renew_every_s
        if now_s < renew_at_s:
            return held
        renewed = await self._leases.renew(name, now_s)
        if renewed is None:
            self._timeline.record("lease_lost", name, "another node acquired the lease")
        return renewed

    async def _acquire_lease(self, name: str) -> HeldLease | None:
        row = await self._leases.read_row(name)
        lease = await self._leases.acquire(name, row, _now_s())
        if lease is not None:
            number = lease.fencing_number
            self._timeline.record(
                "lease_taken", name, "the lease was free or had expired", fencing=number
            )
        return lease

    async def _reconcile_shard(self, shard: Shard, lease: HeldLease) -> None:
        names = {
            view.target.name
            for view in self._fleet.view.targets
            if view.status in (TargetStatus.LIVE, TargetStatus.OUT_OF_SERVICE)
        }
        engines = [engine for engine in shard.engines if engine.name in names]
        known = await self._engine_watch.read_states(shard, engines, lease)
        for model in self._engine_watch.list_models(shard):
            newest = self._fleet.view.published.get(model, 0)
            self._order_updates(model, newest, known, lease)

    def _order_updates(
        self,
        model: str,
        newest: int,
        known: list[tuple[Target, EngineState]],
        lease: HeldLease,
    ) -> None:
        views = [
            EngineView(
                name=f"{engine.name}/{model}",
                version=state.versions.get(model, -1),
                load=float(state.load.running + state.load.queued),
                swapping=state.swapping or engine.name in self._order_tasks,
                failed_swap=state.failed_swap,
            )
            for engine, state in known
        ]
        wave = self._plan_wave(views, newest)
        for engine, _ in known:
            if (
                f"{engine.name}/{model}" in wave
                and engine.name not in self._order_tasks
            ):
                order = Order(
                    OrderKind.LOAD_VERSION, lease.fencing_number, model, newest
                )
                self._start_order(engine, order, lease)

    def _plan_wave(self, views: list[EngineView], newest: int) -> list[str]:
        share, now_s = self._settings.wave_share, _now_s()
        wave = plan_wave(views, newest, share, self._backoff, now_s)
        if wave:
            given = {
                "engines": views,
                "newest_version": newest,
                "wave_share": share,
                "memory": self._backoff,
            }
            self._record("wave", now_s, given, wave)
        return wave

    def _start_order(self, engine: Target, order: Order, lease: HeldLease) -> None:
        now_s = _now_s()
        current = self._leases.held.get(lease.name, lease)
        if not may_act(current, now_s, self._times):
            return
        if not engine.checks_fencing and not may_order_unfenced(
            current, now_s, self._times
        ):
            return
        task = asyncio.get_running_loop().create_task(self._send_order(engine, order))
        self._order_tasks[engine.name] = task
        task.add_done_callback(lambda _: self._order_tasks.pop(engine.name, None))

    async def _send_order(self, engine: Target, order: Order) -> None:
        self._timeline.record(
            "order_sent",
            engine.name,
            f"{order.model} version {order.version} is the newest",
            fencing=order.fencing_number,
        )
        succeeded = False
        reason = "the engine did not complete the order"
        try:
            state = await send_order(self._http, engine.address, order, ORDER_TIMEOUT_S)
            has_version = state.versions.get(order.model) == order.version
            succeeded = has_version and not state.failed_swap
        except OrderFenced as error:
            reason = str(error)
        except CALL_ERRORS as error:
            reason = str(error)
        failures = record_order_outcome(
            self._backoff,
            f"{engine.name}/{order.model}",
            succeeded=succeeded,
            now_s=_now_s(),
        )
        if succeeded:
            self._timeline.record(
                "order_done", engine.name, version=order.version, model=order.model
            )
            return
        self._timeline.record("order_failed", engine.name, reason, failures=failures)
        if failures == FAILURES_TO_REPORT:
            self._engine_watch.set_service_state(
                engine.name, "out", order.fencing_number, reason
            )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["Reconciler", "WeightUpdateSettings"]
