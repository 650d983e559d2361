"""Leases shards of engines and brings them to the published weights."""

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
from tamarackshelf.state.leases import LeaseKeeper
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Target

TICK_S = 0.5
ORDER_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class WeightUpdateSettings:
    """How weights are rolled; `wave_share` is the part swapped at once."""

    wave_share: float = 0.5
    tick_s: float = TICK_S


class Reconciler:
    """Holds the leases of this node's shards and repeats what is not so yet."""

    def __init__(
        self,
        vm: str,
        fleet: FleetState,
        leases: LeaseKeeper,
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
        self._memory = OrderBackoff()
        self._engines = EngineWatch(fleet, http, timeline, self._memory, publish)
        self._own: dict[str, Shard] = {}
        self._seen_view: View | None = None
        self._ordering: dict[str, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to reconcile."""
        self._task = start_task("reconciler", self._run)

    async def close(self) -> None:
        """Waits for orders in flight and releases the leases."""
        await stop_tasks(self._task)
        await asyncio.gather(*self._ordering.values(), return_exceptions=True)
        for name in list(self._leases.held):
            try:
                await self._leases.release(name)
            except StoreUnavailable:
                return

    def abort(self) -> None:
        """Stops at once, as a crash would; leases are left to lapse."""
        if self._task is not None:
            self._task.cancel()
        for task in self._ordering.values():
            task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._tick()
            except StoreUnavailable as error:
                # Without the table leases lapse and orders stop; reads go on.
                self._timeline.record("reconcile_paused", self._vm, error.message)
            await asyncio.sleep(self._settings.tick_s)

    async def _tick(self) -> None:
        self._find_own_shards()
        for name in self._leases.held.keys() - self._own.keys():
            await self._leases.release(name)
            self._timeline.record("lease_released", name, "another node owns it now")
        for shard in list(self._own.values()):
            lease = await self._keep_lease(shard.name)
            if lease is not None:
                await self._reconcile(shard, lease)

    def _find_own_shards(self) -> None:
        """Computes the shards of this node once for each view."""
        view = self._fleet.view
        if view is self._seen_view:
            return
        self._seen_view = view
        live = [e.entry.name for e in view.entries if e.status is EntryStatus.LIVE]
        self._own = {
            shard.name: shard
            for shard in build_shards(self._fleet.targets)
            if find_owner(live, shard.name) == self._vm
        }

    async def _keep_lease(self, name: str) -> HeldLease | None:
        now_s = _now_s()
        held = self._leases.held.get(name)
        if held is None:
            return await self._take_lease(name)
        renew_at_s = held.deadline_s - self._times.lease_s + self._times.renew_every_s
        if now_s < renew_at_s:
            return held
        renewed = await self._leases.renew(name, now_s)
        if renewed is None:
            self._timeline.record("lease_lost", name, "another node took it")
        return renewed

    async def _take_lease(self, name: str) -> HeldLease | None:
        row = await self._leases.read_row(name)
        lease = await self._leases.take(name, row, _now_s())
        if lease is not None:
            number = lease.fencing_number
            self._timeline.record("lease_taken", name, "it was free", fencing=number)
        return lease

    async def _reconcile(self, shard: Shard, lease: HeldLease) -> None:
        names = {
            view.target.name
            for view in self._fleet.view.targets
            if view.status in (TargetStatus.LIVE, TargetStatus.OUT_OF_SERVICE)
        }
        engines = [engine for engine in shard.engines if engine.name in names]
        known = await self._engines.read_due(shard, engines, lease)
        for model in self._engines.models_of(shard):
            newest = self._fleet.view.published.get(model, 0)
            self._roll(model, newest, known, lease)

    def _roll(
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
                swapping=state.swapping or engine.name in self._ordering,
                failed_swap=state.failed_swap,
            )
            for engine, state in known
        ]
        wave = self._plan_wave(views, newest)
        for engine, _ in known:
            if f"{engine.name}/{model}" in wave and engine.name not in self._ordering:
                order = Order(
                    OrderKind.LOAD_VERSION, lease.fencing_number, model, newest
                )
                self._start_order(engine, order, lease)

    def _plan_wave(self, views: list[EngineView], newest: int) -> list[str]:
        share, now_s = self._settings.wave_share, _now_s()
        wave = plan_wave(views, newest, share, self._memory, now_s)
        if wave:
            given = {
                "engines": views,
                "newest_version": newest,
                "wave_share": share,
                "memory": self._memory,
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
        task = asyncio.get_running_loop().create_task(self._order(engine, order))
        self._ordering[engine.name] = task
        task.add_done_callback(lambda _: self._ordering.pop(engine.name, None))

    async def _order(self, engine: Target, order: Order) -> None:
        self._timeline.record(
            "order_sent",
            engine.name,
            f"{order.model} version {order.version} is the newest",
            fencing=order.fencing_number,
        )
        succeeded = False
        reason = "the engine did not do it"
        try:
            state = await send_order(self._http, engine.address, order, ORDER_TIMEOUT_S)
            is_there = state.versions.get(order.model) == order.version
            succeeded = is_there and not state.failed_swap
        except OrderFenced as error:
            reason = str(error)
        except CALL_ERRORS as error:
            reason = str(error)
        failures = record_order_outcome(
            self._memory,
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
            self._engines.set_service(engine.name, "out", order.fencing_number, reason)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["Reconciler", "WeightUpdateSettings"]
