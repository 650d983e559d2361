"""Orders to engines to load the weight versions that trainers announced."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence, Set
from dataclasses import dataclass, field
from functools import partial

from tamarackshelf.contracts.rows import RowStoreError
from tamarackshelf.contracts.targets import (
    EngineReport,
    NotRun,
    OrderRefused,
    OutcomeUnknown,
    TargetClient,
    TargetLimited,
    VersionOrder,
)
from tamarackshelf.duties.lease import LEASE_CHECK_S, Lease
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.targets import TargetRegistry, TargetState
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.engine_assignment import assign_engines
from tamarackshelf.policy.weight_update import (
    EngineView,
    OrderBackoff,
    choose_version,
    plan_wave,
    record_order_outcome,
)
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import NodeRecord, StoredLease
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world.job import ModelDemand
from tamarackshelf.world.route import RoutingConfiguration

LEASE_NAME = "weights"
TICK_S = 0.1
CALL_TIMEOUT_S = 1.0
# A load takes about this long; reading reports earlier would only cost calls.
EXPECTED_LOAD_S = 0.95
REPORT_INTERVAL_S = 0.2
# Reports of an engine with a rate limit take the place of its items. Its list entry
# names a new version after this time at most, if no event of an item did before.
LIMITED_REPORT_INTERVAL_S = 2.5
# An accepted order counts as failed when it has had no effect for this long.
EFFECT_TIMEOUT_S = 3.0
# Share of one model's engines that load at the same time.
MAX_LOADING_SHARE = 0.5
# A request for one more engine lasts for one load; a job that is still late repeats it.
ENGINE_REQUEST_TTL_S = 1.5


class OrderWithoutEffect(Exception):
    """An order that had no effect, or was not sent because the lease was lost."""


@dataclass(slots=True)
class _CoordinatorState:
    """Assignments, engine requests and order results that are kept in memory only.

    `order_counts` holds the number of orders accepted by each engine incarnation, and
    `engine_requests` when each request expires, by model and engine. All times are on
    the event loop's clock.
    """

    assignments: dict[str, str] = field(default_factory=dict)
    order_counts: dict[tuple[str, int], int] = field(default_factory=dict)
    engine_requests: dict[tuple[str, str], float] = field(default_factory=dict)
    order_backoff: OrderBackoff = field(default_factory=OrderBackoff)
    demand: Mapping[str, ModelDemand] = field(default_factory=dict)
    demand_at_s: float = float("-inf")
    announced_at_s: dict[str, float] = field(default_factory=dict)


class WeightCoordinator:
    """Updates of engines' weights, ordered by the one node that holds the lease.

    All nodes run a coordinator; those without the lease give no orders.
    """

    def __init__(
        self,
        store: FailoverStore,
        fleet: Fleet,
        targets: TargetRegistry,
        target_client: TargetClient,
        lease_s: float,
        timeline: Timeline,
    ) -> None:
        self.announced_versions: dict[str, int] = {}
        self.get_configuration: Callable[[], RoutingConfiguration | None] = lambda: None
        self.measure_demand: Callable[[], Mapping[str, ModelDemand]] = dict
        # Returns the nodes that reach the engines of these services, or all if none do.
        self.select_reaching: Callable[
            [Sequence[NodeRecord], Set[str]], Sequence[NodeRecord]
        ] = lambda nodes, services: nodes
        self._fleet = fleet
        self._targets = targets
        self._target_client = target_client
        self._timeline = timeline
        self._lease = Lease(LEASE_NAME, store, fleet, lease_s, timeline)
        self._lease.select_nodes = self._select_reaching
        self._state = _CoordinatorState()
        self._orders_in_progress: dict[str, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def lease_s(self) -> float:
        """The duration of the lease in seconds."""
        return self._lease.lease_s

    @lease_s.setter
    def lease_s(self, lease_s: float) -> None:
        self._lease.lease_s = lease_s

    async def start(self) -> None:
        """Start to order updates of outdated engines while this node has the lease."""
        self._task = start_task("weights", self._run)

    async def close(self) -> None:
        """Stop orders; the lease stays with this node until another node takes it."""
        await stop_tasks(self._task, *self._orders_in_progress.values())

    def record_announced_version(self, model: str, version: int) -> None:
        """Record a version that a trainer announced; ignore one that is not newer."""
        if version > self.announced_versions.get(model, 0):
            self.announced_versions[model] = version
            self._state.announced_at_s[model] = _now_s()
            self._timeline.record(
                "version_named",
                model,
                "its trainer announced the version",
                version=version,
            )

    def find_assigned_model(self, engine: str) -> str:
        """Return the model that an engine is assigned to, or "" when it is not known.

        All nodes compute the same assignment.
        """
        return self._state.assignments.get(engine, "")

    def request_engine(self, model: str, engine: str) -> None:
        """Record that the owner of a job needs a model's weights on this engine too.

        The request expires after ENGINE_REQUEST_TTL_S.
        """
        self._state.engine_requests[model, engine] = _now_s() + ENGINE_REQUEST_TTL_S

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            # Other nodes may know of an outdated engine and leave the lease with this
            # node, so its claim is settled in any case.
            if self._fleet.is_leaving or (
                self._lease.is_settled and not self._has_outdated_engine()
            ):
                continue
            held = self._lease.held
            try:
                if held is not None and self._is_cut_off():
                    await self._lease.give_up(
                        held, "this node is cut off from the engines"
                    )
                elif await self._lease.ensure():
                    self._order_outdated_engines()
            except RowStoreError as error:
                self._timeline.record("lease_unknown", LEASE_NAME, str(error))
                await asyncio.sleep(LEASE_CHECK_S)

    def _has_outdated_engine(self) -> bool:
        """Return whether some engine is behind; the lease is read only then."""
        return any(
            self._is_behind(engine, model)
            for model, engines in self._assign_engines().items()
            for engine in engines
        )

    def _is_behind(self, engine: TargetState, model: str) -> bool:
        known = engine.find_version(model)
        return known is not None and known < self._choose_version(model)

    def _assign_engines(self) -> dict[str, list[TargetState]]:
        """Update the assignment and return the engines of each model.

        An engine that was requested for another model is listed under that model too.
        """
        configuration = self.get_configuration()
        if configuration is None:
            return {}
        engines_by_model: dict[str, list[TargetState]] = {}
        for service in configuration.services.values():
            if not service.models:
                continue
            engines = {
                s.target.name: s for s in self._targets.list_available(service.name)
            }
            versions = {n: dict(s.record.versions) for n, s in engines.items()}
            assignments = assign_engines(
                list(engines),
                service.models,
                versions,
                self._state.assignments,
                {m: d.expected_tokens for m, d in self._get_demand().items()},
            )
            self._state.assignments.update(assignments)
            for name, model in assignments.items():
                engines_by_model.setdefault(model, []).append(engines[name])
            for model, name in self._list_engine_requests():
                model_engines = engines_by_model.setdefault(model, [])
                if name in engines and engines[name] not in model_engines:
                    model_engines.append(engines[name])
        return engines_by_model

    def _get_demand(self) -> Mapping[str, ModelDemand]:
        now_s = _now_s()
        state = self._state
        if now_s - state.demand_at_s >= TICK_S:
            state.demand, state.demand_at_s = self.measure_demand(), now_s
        return state.demand

    def _choose_version(self, model: str) -> int:
        """Return the version that the model's engines should have now."""
        demand = self._get_demand().get(model, ModelDemand())
        announced_age_s = _now_s() - self._state.announced_at_s.get(
            model, float("-inf")
        )
        return choose_version(
            self.announced_versions.get(model, 1), demand, announced_age_s
        )

    def _list_engine_requests(self) -> list[tuple[str, str]]:
        now_s = _now_s()
        engine_requests = self._state.engine_requests
        for key in [key for key, until_s in engine_requests.items() if until_s < now_s]:
            del engine_requests[key]
        return list(engine_requests)

    def _is_cut_off(self) -> bool:
        """Return whether other nodes reach the engines and this one does not."""
        own, nodes = self._fleet.own, self._fleet.list_live_nodes()
        return own in nodes and own not in self._select_reaching(nodes)

    def _select_reaching(self, nodes: Sequence[NodeRecord]) -> Sequence[NodeRecord]:
        configuration = self.get_configuration()
        services = configuration.services.values() if configuration else ()
        engines = {service.name for service in services if service.models}
        return self.select_reaching(nodes, engines)

    def _order_outdated_engines(self) -> None:
        now_s = _now_s()
        for model, engines in self._assign_engines().items():
            version = self._choose_version(model)
            views = [self._to_view(engine, model) for engine in engines]
            wave = plan_wave(
                views, version, MAX_LOADING_SHARE, self._state.order_backoff, now_s
            )
            for engine in engines:
                name = engine.target.name
                if name in wave and name not in self._orders_in_progress:
                    loop = asyncio.get_running_loop()
                    task = loop.create_task(self._order(engine, model, version))
                    self._orders_in_progress[name] = task
                    task.add_done_callback(partial(self._forget_order, name))

    def _forget_order(self, name: str, _: asyncio.Task[None]) -> None:
        self._orders_in_progress.pop(name, None)

    def _to_view(self, engine: TargetState, model: str) -> EngineView:
        name = engine.target.name
        version = engine.find_version(model) or 0
        return EngineView(
            name,
            version,
            float(engine.in_flight),
            swapping=name in self._orders_in_progress,
        )

    async def _order(self, engine: TargetState, model: str, version: int) -> None:
        """Send one order with the lease's fencing number and wait for its effect."""
        lease = self._lease.held
        reason, succeeded = "the lease was lost", False
        denied: TargetLimited | None = None
        try:
            if lease is not None:
                await self._send_order(engine, model, version, lease)
                reason, succeeded = "the engine has the version", True
        except TargetLimited as error:
            reason, denied = str(error), error
        except OrderRefused as error:
            reason = str(error)
            if error.is_fenced and lease is not None:
                self._lease.drop(lease)
        except (NotRun, OutcomeUnknown, OrderWithoutEffect, RowStoreError) as error:
            reason = str(error)
        if not succeeded and denied is None:
            # The engine may have counted the order or not, so its count is read again.
            self._state.order_counts.pop(_get_count_key(engine), None)
        name = engine.target.name
        if denied is None:
            record_order_outcome(
                self._state.order_backoff, name, succeeded=succeeded, now_s=_now_s()
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
        if denied is not None:
            await asyncio.sleep(denied.retry_after_s)

    async def _send_order(
        self, engine: TargetState, model: str, version: int, lease: StoredLease
    ) -> None:
        target = engine.target
        order_count = self._state.order_counts.get(_get_count_key(engine))
        if order_count is None:
            report = await self._read_report(engine)
            if report.versions.get(model, 0) >= version:
                return
            order_count = report.orders_accepted
            self._state.order_counts[_get_count_key(engine)] = order_count
        if not await self._lease.verify(lease):
            raise OrderWithoutEffect("another node holds the lease now")
        order = VersionOrder(
            model, version, self._fleet.own.vm, lease.record.fencing_number, order_count
        )
        self._lease.record_act()
        if await self._target_client.order_version(target, order, CALL_TIMEOUT_S):
            order_count += 1
            await asyncio.sleep(EXPECTED_LOAD_S)
        self._state.order_counts[_get_count_key(engine)] = order_count
        await self._wait_for_version(engine, model, version)

    async def _wait_for_version(
        self, engine: TargetState, model: str, version: int
    ) -> None:
        deadline_s = _now_s() + EFFECT_TIMEOUT_S
        if self._targets.is_limited(engine.target.name):
            deadline_s += LIMITED_REPORT_INTERVAL_S
            if await self._observe_version(engine, model, version):
                return
        while _now_s() < deadline_s:
            try:
                report = await self._read_report(engine)
                if report.versions.get(model, 0) >= version:
                    return
            except TargetLimited as error:
                await asyncio.sleep(error.retry_after_s)
                continue
            await asyncio.sleep(REPORT_INTERVAL_S)
        raise OrderWithoutEffect(
            f"{engine.target.name} does not report version {version} of {model}"
        )

    async def _observe_version(
        self, engine: TargetState, model: str, version: int
    ) -> bool:
        """Wait without calls until items or the list name a version; return if so."""
        until_s = _now_s() + LIMITED_REPORT_INTERVAL_S
        while _now_s() < until_s:
            if (engine.find_version(model) or 0) >= version:
                return True
            await asyncio.sleep(REPORT_INTERVAL_S)
        return False

    async def _read_report(self, engine: TargetState) -> EngineReport:
        report = await self._target_client.read_report(engine.target, CALL_TIMEOUT_S)
        for model, version in report.versions.items():
            self._targets.record_version(engine.target.name, model, version)
        return report


def _get_count_key(engine: TargetState) -> tuple[str, int]:
    return engine.target.name, engine.target.incarnation


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["WeightCoordinator"]
