"""Gives the engines their orders to load the weights that trainers named."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from tamarackshelf.contracts.rows import RowStoreError
from tamarackshelf.contracts.targets import (
    EngineReport,
    NotRun,
    OrderRefused,
    OutcomeUnknown,
    TargetClient,
    VersionOrder,
)
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.targets import TargetRegistry, TargetState
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.engine_assignment import assign_engines
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.weight_update import (
    EngineView,
    OrderBackoff,
    choose_version,
    plan_wave,
    record_order_outcome,
)
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import StoredLease, acquire_lease, read_lease
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world.job import ModelDemand
from tamarackshelf.world.route import RoutingConfiguration

LEASE_NAME = "weights"
TICK_S = 0.1
LEASE_CHECK_S = 0.5
CALL_TIMEOUT_S = 1.0
# A load takes about as long; reports before that would only cost.
LOAD_S = 0.95
REPORT_GAP_S = 0.2
# An accepted order without effect for as long counts as failed.
GIVE_UP_S = 3.0
# The engines of one model that load at once.
WAVE_SHARE = 0.5
# A wish holds for one load; a job that is still late repeats it.
WISH_HOLDS_S = 1.5
# A new holder waits out the time in which two holders would seem to take turns.
TURN_MARGIN_S = 0.3


class OrderWithoutEffect(Exception):
    """An order was taken, but the engine does not show its effect."""


@dataclass(slots=True)
class _Memory:
    """What the holder of the lease knows of the engines."""

    shares: dict[str, str] = field(default_factory=dict)
    sequences: dict[tuple[str, int], int] = field(default_factory=dict)
    wishes: dict[tuple[str, str], float] = field(default_factory=dict)
    roll: OrderBackoff = field(default_factory=OrderBackoff)
    demand: Mapping[str, ModelDemand] = field(default_factory=dict)
    demand_at_s: float = float("-inf")
    named_at_s: dict[str, float] = field(default_factory=dict)


class WeightCoordinator:
    """Holds the lease of the orders while this node is the one to give them."""

    def __init__(
        self,
        link: FailoverStore,
        fleet: Fleet,
        board: TargetRegistry,
        calls: TargetClient,
        lease_s: float,
        timeline: Timeline,
    ) -> None:
        self.announced_versions: dict[str, int] = {}
        self.get_configuration: Callable[[], RoutingConfiguration | None] = lambda: None
        self.measure_demand: Callable[[], Mapping[str, ModelDemand]] = dict
        self._link = link
        self._fleet = fleet
        self._board = board
        self._calls = calls
        self.lease_s = lease_s
        self._timeline = timeline
        self._lease: StoredLease | None = None
        self._not_before_s = 0.0
        self._checked_s = float("-inf")
        self._memory = _Memory()
        self._sending: dict[str, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to look after the engines."""
        self._task = start_task("weights", self._run)

    async def close(self) -> None:
        """Stops; the lease stays until another node takes it."""
        await stop_tasks(self._task, *self._sending.values())

    def note_announced_version(self, model: str, version: int) -> None:
        """Takes a version that a trainer named."""
        if version > self.announced_versions.get(model, 0):
            self.announced_versions[model] = version
            self._memory.named_at_s[model] = _now_s()
            self._timeline.record(
                "version_named", model, "its trainer", version=version
            )

    def find_assigned_model(self, engine: str) -> str:
        """Returns the model that an engine follows; every node works it out alike."""
        return self._memory.shares.get(engine, "")

    def request_engine(self, model: str, engine: str) -> None:
        """Takes that a job's owner wants a model's weights on an engine too."""
        self._memory.wishes[model, engine] = _now_s() + WISH_HOLDS_S

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self._fleet.is_leaving or not self._find_work():
                continue
            try:
                if await self._hold_lease():
                    self._order_all()
            except RowStoreError as error:
                self._timeline.record("lease_unknown", LEASE_NAME, str(error))
                await asyncio.sleep(LEASE_CHECK_S)

    def _find_work(self) -> bool:
        """Tells whether some engine is behind; without work no lease is read."""
        return any(
            self._is_behind(engine, model)
            for model, engines in self._group().items()
            for engine in engines
        )

    def _is_behind(self, engine: TargetState, model: str) -> bool:
        known = engine.find_version(model)
        return known is not None and known < self._choose_version(model)

    def _group(self) -> dict[str, list[TargetState]]:
        """Returns the engines of each model, shared out among its service's models."""
        configuration = self.get_configuration()
        if configuration is None:
            return {}
        groups: dict[str, list[TargetState]] = {}
        for service in configuration.services.values():
            if not service.models:
                continue
            engines = {
                s.target.name: s for s in self._board.list_available(service.name)
            }
            versions = {n: dict(s.record.versions) for n, s in engines.items()}
            shares = assign_engines(
                list(engines),
                service.models,
                versions,
                self._memory.shares,
                {m: d.expected_tokens for m, d in self._recall_demand().items()},
            )
            self._memory.shares.update(shares)
            for name, model in shares.items():
                groups.setdefault(model, []).append(engines[name])
            for model, name in self._list_wishes():
                group = groups.setdefault(model, [])
                if name in engines and engines[name] not in group:
                    group.append(engines[name])
        return groups

    def _recall_demand(self) -> Mapping[str, ModelDemand]:
        now_s = _now_s()
        memory = self._memory
        if now_s - memory.demand_at_s >= TICK_S:
            memory.demand, memory.demand_at_s = self.measure_demand(), now_s
        return memory.demand

    def _choose_version(self, model: str) -> int:
        """Returns the version that the model's engines should have by now."""
        demand = self._recall_demand().get(model, ModelDemand())
        named_age_s = _now_s() - self._memory.named_at_s.get(model, float("-inf"))
        return choose_version(
            self.announced_versions.get(model, 1), demand, named_age_s
        )

    def _list_wishes(self) -> list[tuple[str, str]]:
        now_s = _now_s()
        wishes = self._memory.wishes
        for key in [key for key, until_s in wishes.items() if until_s < now_s]:
            del wishes[key]
        return list(wishes)

    async def _hold_lease(self) -> bool:
        """Returns whether this node may give orders now."""
        now_s = _now_s()
        if self._lease is not None:
            return now_s >= self._not_before_s
        if now_s - self._checked_s < LEASE_CHECK_S:
            return False
        self._checked_s = now_s
        own = self._fleet.own
        names = [record.vm for record in self._fleet.list_live_nodes()]
        if not names or rank_owners(names, LEASE_NAME)[0] != own.vm:
            return False
        before = await read_lease(self._link, LEASE_NAME)
        holder = before.record
        if (holder.holder, holder.holder_incarnation) == (own.vm, own.incarnation):
            # The store took this node's claim, but its answer was lost.
            return self._begin(before, "it was taken here unheard", is_other=True)
        if holder.holder and not self._fleet.is_gone(
            holder.holder, holder.holder_incarnation
        ):
            return False
        if await self._fleet.check_alive(holder.holder, holder.holder_incarnation):
            self._timeline.record(
                "lease_left", LEASE_NAME, f"{holder.holder} answers, so it keeps it"
            )
            return False
        taken = await acquire_lease(
            self._link, LEASE_NAME, before, own.vm, own.incarnation
        )
        if taken is None:
            return False
        reason = f"{holder.holder} runs no more" if holder.holder else "it was free"
        # A VM that started again is still the same holder to the engines.
        return self._begin(taken, reason, is_other=holder.holder not in ("", own.vm))

    def _begin(self, lease: StoredLease, reason: str, *, is_other: bool) -> bool:
        """Takes the lease as this node's; returns whether it may order at once."""
        self._lease = lease
        wait_s = self.lease_s + TURN_MARGIN_S if is_other else 0.0
        self._not_before_s = _now_s() + wait_s
        self._timeline.record(
            "lease_taken",
            LEASE_NAME,
            reason,
            fencing=lease.record.fencing_number,
            orders_after_s=wait_s,
        )
        return wait_s == 0.0

    def _order_all(self) -> None:
        now_s = _now_s()
        for model, engines in self._group().items():
            version = self._choose_version(model)
            views = [self._to_view(engine, model) for engine in engines]
            wave = plan_wave(views, version, WAVE_SHARE, self._memory.roll, now_s)
            for engine in engines:
                name = engine.target.name
                if name in wave and name not in self._sending:
                    loop = asyncio.get_running_loop()
                    task = loop.create_task(self._order(engine, model, version))
                    self._sending[name] = task
                    task.add_done_callback(partial(self._end_order, name))

    def _end_order(self, name: str, _: asyncio.Task[None]) -> None:
        self._sending.pop(name, None)

    def _to_view(self, engine: TargetState, model: str) -> EngineView:
        name = engine.target.name
        version = engine.find_version(model) or 0
        return EngineView(
            name, version, float(engine.in_flight), swapping=name in self._sending
        )

    async def _order(self, engine: TargetState, model: str, version: int) -> None:
        """Sends one order under the lease's number and waits for its effect."""
        lease = self._lease
        reason, succeeded = "the lease was lost", False
        try:
            if lease is not None:
                await self._order_once(engine, model, version, lease)
                reason, succeeded = "it has the version", True
        except OrderRefused as error:
            reason = str(error)
            if error.is_fenced:
                self._lease = None
        except (NotRun, OutcomeUnknown, OrderWithoutEffect, RowStoreError) as error:
            reason = str(error)
        if not succeeded:
            # Whether the engine counted the order has to be read anew.
            self._memory.sequences.pop(_key(engine), None)
        name = engine.target.name
        record_order_outcome(
            self._memory.roll, name, succeeded=succeeded, now_s=_now_s()
        )
        self._timeline.record(
            "version_ordered",
            name,
            reason,
            model=model,
            version=version,
            fencing=lease.record.fencing_number if lease else 0,
            succeeded=succeeded,
        )

    async def _order_once(
        self, engine: TargetState, model: str, version: int, lease: StoredLease
    ) -> None:
        target = engine.target
        sequence = self._memory.sequences.get(_key(engine))
        if sequence is None:
            report = await self._read_report(engine)
            if report.versions.get(model, 0) >= version:
                return
            sequence = report.orders_accepted
        if not await self._still_holds(lease):
            raise OrderWithoutEffect("another node gives the orders now")
        order = VersionOrder(
            model, version, self._fleet.own.vm, lease.record.fencing_number, sequence
        )
        if await self._calls.order_version(target, order, CALL_TIMEOUT_S):
            sequence += 1
            await asyncio.sleep(LOAD_S)
        self._memory.sequences[_key(engine)] = sequence
        await self._wait_for(engine, model, version)

    async def _wait_for(self, engine: TargetState, model: str, version: int) -> None:
        give_up_s = _now_s() + GIVE_UP_S
        while _now_s() < give_up_s:
            report = await self._read_report(engine)
            if report.versions.get(model, 0) >= version:
                return
            await asyncio.sleep(REPORT_GAP_S)
        raise OrderWithoutEffect(f"{engine.target.name} does not show the version")

    async def _read_report(self, engine: TargetState) -> EngineReport:
        report = await self._calls.read_report(engine.target, CALL_TIMEOUT_S)
        for model, version in report.versions.items():
            self._board.note_version(engine.target.name, model, version)
        return report

    async def _still_holds(self, lease: StoredLease) -> bool:
        current = await read_lease(self._link, LEASE_NAME)
        if current == lease:
            return True
        self._lease = None
        self._timeline.record(
            "lease_lost", LEASE_NAME, f"{current.record.holder} holds it now"
        )
        return False


def _key(engine: TargetState) -> tuple[str, int]:
    return engine.target.name, engine.target.incarnation


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["WeightCoordinator"]
