"""The node process of one VM, from its start to its planned stop."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tamarackshelf.contracts.duties import DutyPlatform
from tamarackshelf.contracts.rows import RowChange, RowStore, RowStoreError
from tamarackshelf.contracts.targets import ForwardedRequest, TargetClient
from tamarackshelf.duties.program import UsageDuty
from tamarackshelf.duties.scaling import LoadObserver, ServiceDecider
from tamarackshelf.duties.worker_orders import WorkerOrderDuty
from tamarackshelf.entry.forwarder import Forwarder
from tamarackshelf.entry.planned_stop import PlannedStop
from tamarackshelf.entry.streamer import Streamer
from tamarackshelf.gossip.task import GossipTask
from tamarackshelf.jobs.manager import JobManager
from tamarackshelf.jobs.retention import JobRetention
from tamarackshelf.jobs.runner import JobRunner
from tamarackshelf.jobs.scorer import Scorer
from tamarackshelf.net import (
    HttpClient,
    HttpServer,
    Request,
    Response,
    ServerLimits,
)
from tamarackshelf.node.configuration_follower import (
    CONFIGURATION_PATH,
    ConfigurationFollower,
)
from tamarackshelf.node.configuration_view import ConfigurationView
from tamarackshelf.node.connection_groups import build_connection_groups
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.freeze import watch_for_freezes
from tamarackshelf.node.leaving_targets import LeavingTargets
from tamarackshelf.node.load_sharing import share_loads
from tamarackshelf.node.peer_api import PeerApi, is_target_call
from tamarackshelf.node.peer_store import PeerStore
from tamarackshelf.node.quarantine import RequestQuarantine
from tamarackshelf.node.quarantine_peers import FleetQuarantinePeers
from tamarackshelf.node.settings import NodeSettings
from tamarackshelf.node.stream_origins import StreamOrigins
from tamarackshelf.node.target_limits import TargetLimits
from tamarackshelf.node.target_paths import TargetPaths
from tamarackshelf.node.target_relay import TargetRelay
from tamarackshelf.node.targets import RECOVERY_GRACE_S, TargetRegistry
from tamarackshelf.node.weights import WeightCoordinator
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.entries import EntryAnswer, choose_entries
from tamarackshelf.policy.periods import fit_period_s
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.store.crash_rows import CRASH_TABLE
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import (
    NODE_TABLE,
    NodeRecord,
    register_node,
    unregister_node,
)
from tamarackshelf.store.job_store import HEAD_TABLE, JobStore
from tamarackshelf.store.table_watch import (
    FEED_WAIT_S,
    MAX_FEED_WAIT_S,
    TableWatch,
    notify_of_rows,
)
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import EntryVm

REGISTER_RETRY_S = 0.2
# Callers cache a directory answer for this long, some of them three times as long.
ENTRIES_VALID_S = 2.0
CACHE_LIFETIME_FACTOR = 3
ENGINE_REQUEST_PREFIX = "wish:"
# Engine requests that are older are ignored, such as those that a node learns by gossip
# when it starts. The clocks of the VMs differ by less than this.
ENGINE_REQUEST_TTL_MS = 5_000
FEED_PACING_INTERVAL_S = 1.0
FORGET_TARGETS_INTERVAL_S = 10.0
# Share of the store's reads per second that feed polls without changes may use; the
# rest is for jobs.
FEED_READ_SHARE = 0.25
# Part of the grace period that is kept for the last answers and the end of all tasks.
CLOSE_GRACE_S = 0.8

# Larger than a job with all its texts.
MAX_PEER_BODY_BYTES = 32 * 1024 * 1024

SyncHandler = Callable[[Request], Response]
RowListener = Callable[[tuple[RowChange, ...]], None]


@dataclass(frozen=True, slots=True)
class PlatformTables:
    """The platform's tables and builders of the listeners that decode their rows."""

    operator_table: str
    targets_table: str
    build_operator_listener: Callable[
        [ConfigurationView, WeightCoordinator], RowListener
    ]
    build_target_listener: Callable[[TargetRegistry], RowListener]


@dataclass(frozen=True, slots=True)
class HandlerFactories:
    """Builders of the request handlers that implement the platform's protocol."""

    callers: Callable[
        [ConfigurationView, Forwarder, Streamer, JobManager], CallerHandler
    ]
    directory: Callable[[Callable[[str, str], EntryAnswer]], SyncHandler]
    ready: Callable[[Callable[[], bool]], SyncHandler]


CallerHandler = Callable[[Request], Awaitable[Response]]


class NodeProgram:
    """All servers, tasks and state of one node process."""

    def __init__(
        self,
        settings: NodeSettings,
        direct_store: RowStore,
        target_client: TargetClient,
        paths: TargetPaths,
        limits: TargetLimits,
        tables: PlatformTables,
        factories: HandlerFactories,
        clients: tuple[HttpClient, ...],
        timeline: Timeline,
        metrics: Metrics,
        duty_platform: DutyPlatform | None = None,
    ) -> None:
        """Take over the HTTP clients, the first of which is for calls to peers.

        They are closed by `close`.
        """
        self._settings = settings
        self._tables = tables
        self._clients = clients
        self._http = clients[0]
        self._timeline = timeline
        self._metrics = metrics
        self._target_client = target_client
        self.fleet: Fleet | None = None
        self.weights: WeightCoordinator | None = None
        self.row_store = FailoverStore(direct_store, timeline)
        self.configuration_view = ConfigurationView(
            timeline, settings.min_body_bytes_per_s
        )
        self.targets = TargetRegistry(
            timeline, lambda: self.row_store.recovered_at_s, random.Random()
        )
        self.targets.node = settings.vm
        self.targets.metrics = metrics
        self.targets.is_connected = target_client.is_connected
        self.targets.is_list_current = self._is_target_list_current
        self.targets.set_limits(limits)
        self.limits = limits
        self.paths = paths
        self.relay = TargetRelay(
            self.targets,
            paths.open_direct,
            paths.verify_cut_off,
            paths.judge,
            target_client.observe_response,
            timeline,
            metrics,
        )
        self.leaving_targets = LeavingTargets(self.targets)
        target_client.on_leaving = self.leaving_targets.record
        target_client.on_load = self.targets.record_load
        scorer = Scorer(
            self.targets,
            target_client,
            self.configuration_view.get_route_table,
            settings.data_centre,
            timeline,
        )
        store = JobStore(self.row_store, settings.store_budget.row_bytes)
        self.runner = JobRunner(
            store,
            self.targets,
            target_client,
            scorer,
            self.configuration_view.get_route_table,
            timeline,
            metrics,
        )
        self._watches = {
            name: TableWatch(
                self.row_store,
                name,
                timeline,
                has_parts=name in (HEAD_TABLE, CRASH_TABLE),
            )
            for name in (
                tables.operator_table,
                tables.targets_table,
                NODE_TABLE,
                HEAD_TABLE,
                CRASH_TABLE,
            )
        }
        self.jobs = JobManager(
            self.row_store,
            store,
            self._watches[HEAD_TABLE],
            self.runner,
            self._http,
            self.configuration_view.get_route_table,
            timeline,
        )
        self.retention = JobRetention(
            self.row_store, store, self.jobs.heads, settings.results_kept_s, timeline
        )
        self.planned_stop = PlannedStop()
        self.jobs.reader.compute_left_s = self.planned_stop.compute_left_s
        self.quarantine = RequestQuarantine(
            settings.vm, self.targets, target_client, timeline, metrics, time.time
        )
        forwarder = Forwarder(
            self.targets,
            target_client,
            self.quarantine,
            settings.data_centre,
            timeline,
            metrics,
            self.planned_stop,
        )
        self.origins = StreamOrigins(
            self.targets, self._http, timeline, metrics, time.time
        )
        streamer = Streamer(
            self.targets,
            target_client,
            self.quarantine,
            self.origins,
            settings.data_centre,
            timeline,
            metrics,
            self.planned_stop,
        )
        self.usage = self._build_usage_duty(duty_platform)
        self.worker_orders = self._build_worker_orders(duty_platform)
        forwarder.record_run = streamer.record_run = self._record_run
        slots = build_connection_groups(settings, metrics.count)
        self._caller_server = HttpServer(
            factories.callers(self.configuration_view, forwarder, streamer, self.jobs),
            self.configuration_view.limits,
            cancel_on_disconnect=True,
            slots=slots.callers,
        )
        self._directory_server = HttpServer(
            _to_async(factories.directory(self._choose_entries)), slots=slots.callers
        )
        self._ready_server = HttpServer(
            _to_async(factories.ready(self.is_ready)), slots=slots.readiness
        )
        peer_limits = ServerLimits(body_bytes=MAX_PEER_BODY_BYTES)
        peer_api = PeerApi(
            self.row_store,
            self.jobs,
            limits,
            self.quarantine,
            self.origins,
            self.relay,
            self._get_gossip,
        )
        self.configuration_follower = ConfigurationFollower(
            self.configuration_view, self._http, timeline, metrics
        )
        peer_api.add_handlers({CONFIGURATION_PATH: self.configuration_follower.answer})
        if self.usage is not None:
            peer_api.add_handlers(self.usage.handlers)
        self._peer_server = HttpServer(
            peer_api.handle,
            peer_limits,
            cancel_on_disconnect=is_target_call,
            slots=slots.peers,
        )
        self._seed_server = HttpServer(peer_api.handle, peer_limits, slots=slots.peers)
        self._metrics_server = HttpServer(self._answer_metrics, slots=slots.metrics)
        self._tasks: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Return whether callers should be sent to this node."""
        return (
            self.fleet is not None
            and not self.fleet.is_leaving
            and self.configuration_view.route_table is not None
            and self._watches[self._tables.targets_table].loaded.is_set()
        )

    async def start(self) -> None:
        """Listen at once, and report ready once the configuration and targets are read.

        Return when this node is registered in the store and its tasks run.
        """
        self._timeline.record("process_started", self._settings.vm, "")
        await self._caller_server.start(self._settings.callers_address)
        await self._directory_server.start(self._settings.directory_address)
        await self._ready_server.start(self._settings.ready_address)
        await self._peer_server.start(self._settings.peer_address)
        if self._settings.seed_address is not None:
            await self._seed_server.start(self._settings.seed_address)
        if self._settings.metrics_address is not None:
            await self._metrics_server.start(self._settings.metrics_address)
        self.row_store.set_peer_source(self._seed_stores)
        for watch in self._watches.values():
            await watch.start()
        own = await self._register()
        fleet = Fleet(
            self._settings,
            own,
            self._watches[NODE_TABLE],
            self._http,
            self._timeline,
            _wall_ms,
        )
        self.row_store.set_peer_source(fleet.peer_stores)
        self.weights = WeightCoordinator(
            self.row_store,
            fleet,
            self.targets,
            self._target_client,
            self._settings.lease_s,
            self._timeline,
        )
        self.weights.get_configuration = lambda: self.configuration_view.configuration
        self.weights.measure_demand = self.jobs.measure_demand
        self.weights.select_reaching = self.paths.select_reaching
        self.targets.find_assigned_model = self.weights.find_assigned_model
        self._subscribe_to_platform_rows(self.weights)
        self.limits.connect(fleet)
        self.paths.connect(fleet, self.targets)
        self.leaving_targets.connect(fleet)
        share_loads(fleet, self.targets, _wall_ms())
        self._connect_engine_requests(fleet, self.weights)
        await self._watches[NODE_TABLE].loaded.wait()
        await self.quarantine.start(
            fleet,
            FleetQuarantinePeers(fleet, self._http, self._timeline),
            self.row_store,
            self._watches[CRASH_TABLE],
        )
        await self.origins.start(fleet, self.row_store)
        await fleet.start()
        # It publishes at once, for which the gossip socket has to be bound.
        await self.configuration_follower.start(fleet)
        self.fleet = fleet
        await self.runner.start()
        await self.jobs.start(fleet)
        await self.weights.start()
        if self.usage is not None:
            await self.usage.start(fleet, self._settings.lease_s)
        if self.worker_orders is not None:
            await self.worker_orders.start(
                fleet, self._settings.lease_s, lambda: fleet.is_leaving
            )
        await self.retention.start(fleet)
        self._tasks = [
            start_task(
                "freeze_watch", lambda: watch_for_freezes(self._verify_after_freeze)
            ),
            start_task("feed_pace", self._pace_feeds),
            start_task("target_upkeep", self._forget_old_targets),
        ]

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply the settings that may change while the node runs."""
        self._settings = settings
        self.retention.retention_s = settings.results_kept_s
        if self.weights is not None:
            self.weights.lease_s = settings.lease_s
        if self.usage is not None:
            self.usage.set_lease_s(settings.lease_s)
        if self.worker_orders is not None:
            self.worker_orders.lease_s = settings.lease_s

    async def stop(self) -> None:
        """Stop as planned, within the grace period.

        Tell the other nodes, hand over the jobs, serve callers until their cached
        directory answers have expired and what they sent is answered, and close
        everything.
        """
        started_s = _now_s()
        serving_s = self._settings.grace_s - CLOSE_GRACE_S
        self.planned_stop.begin(serving_s)
        self._timeline.record(
            "process_stops", self._settings.vm, "a planned stop was requested"
        )
        fleet = self.fleet
        self.relay.is_stopping = True
        if fleet is not None:
            version = fleet.find_own_row_version()
            await fleet.leave()
            self._caller_server.announce_close()
            await self.jobs.handovers.hand_over_all()
            if version is not None:
                try:
                    await unregister_node(self.row_store, self._settings.vm, version)
                except RowStoreError as error:
                    self._timeline.record("row_not_deleted", NODE_TABLE, str(error))
            wanted_s = CACHE_LIFETIME_FACTOR * self._compute_valid_for_s()
            left_s = min(wanted_s, serving_s) - (_now_s() - started_s)
            await asyncio.sleep(max(0.0, left_s))
        await self._caller_server.close(grace_s=self.planned_stop.compute_left_s())
        await self.close()
        self._timeline.record("process_stopped", self._settings.vm, "")

    async def close(self) -> None:
        """Close everything at once, without handing over jobs."""
        await stop_tasks(*self._tasks)
        await self.configuration_follower.close()
        await self.paths.close()
        await self.quarantine.close()
        await self.origins.close()
        await self.retention.close()
        await self.jobs.close()
        await self.runner.close()
        if self.weights is not None:
            await self.weights.close()
        if self.usage is not None:
            await self.usage.close()
        if self.worker_orders is not None:
            await self.worker_orders.close()
        if self.fleet is not None:
            await self.fleet.close()
        for watch in self._watches.values():
            await watch.close()
        servers = (
            self._caller_server,
            self._directory_server,
            self._ready_server,
            self._peer_server,
        )
        for server in (*servers, self._seed_server, self._metrics_server):
            await server.abort()
        for client in self._clients:
            await client.close()

    def _build_usage_duty(self, platform: DutyPlatform | None) -> UsageDuty | None:
        """Return the duty of counting and reporting requests, if it is enabled."""
        duties = self._settings.duties
        if duties is None or platform is None or not duties.reports_usage:
            return None
        return UsageDuty(
            duties,
            self.row_store,
            self._http,
            platform,
            lambda: self.configuration_view.configuration,
            self._timeline,
            self._metrics,
        )

    def _build_worker_orders(
        self, platform: DutyPlatform | None
    ) -> WorkerOrderDuty | None:
        """Return the duty of ordering workers, if it is enabled."""
        duties = self._settings.duties
        if duties is None or platform is None or not duties.orders_workers:
            return None
        observer = LoadObserver(
            self.targets,
            self.jobs.heads,
            lambda: self.configuration_view.configuration,
            self.configuration_view.get_route_table,
            self.row_store.now_store_ms,
        )
        return WorkerOrderDuty(
            duties,
            self.row_store,
            platform,
            lambda: self.configuration_view.configuration,
            lambda service: ServiceDecider(service, observer, self._metrics),
            self._timeline,
            self._metrics,
        )

    def _record_run(self, request: ForwardedRequest, started_s: float) -> None:
        if self.usage is not None:
            self.usage.recorder.record_run(request.organisation, started_s)

    def _connect_engine_requests(
        self, fleet: Fleet, weights: WeightCoordinator
    ) -> None:
        """Send the requests for one more engine by gossip to all nodes.

        The node that holds the lease for weight orders acts on them.
        """

        def publish(model: str, engine: str) -> None:
            fleet.gossip.publish(
                Rumour(f"{ENGINE_REQUEST_PREFIX}{model}", _wall_ms(), engine)
            )

        def receive(rumour: Rumour) -> None:
            if _wall_ms() - rumour.version < ENGINE_REQUEST_TTL_MS:
                weights.request_engine(
                    rumour.subject.removeprefix(ENGINE_REQUEST_PREFIX), rumour.value
                )

        self.runner.stragglers.on_engine_request = publish
        fleet.gossip.on_rumour(ENGINE_REQUEST_PREFIX, receive)

    def _subscribe_to_platform_rows(self, weights: WeightCoordinator) -> None:
        """Pass the platform's rows, and later changes of them, to their listeners."""
        tables = self._tables
        listeners = {
            tables.operator_table: tables.build_operator_listener(
                self.configuration_view, weights
            ),
            tables.targets_table: tables.build_target_listener(self.targets),
        }
        for name, listener in listeners.items():
            watch = self._watches[name]
            rows = tuple(
                RowChange(row.at, row.value, row.version) for row in watch.rows.values()
            )
            watch.on_change(listener)
            if rows:
                notify_of_rows(listener, rows)
        # They contain API keys, of which the decoded configuration has digests only.
        self._watches[tables.operator_table].discard_values()

    def _get_gossip(self) -> GossipTask | None:
        return None if self.fleet is None else self.fleet.gossip

    def _seed_stores(self) -> list[PeerStore]:
        """Return row stores whose calls the seeds relay, while no peer is known yet."""
        own = self._settings.seed_address
        others = [seed for seed in self._settings.seeds if seed != own]
        return [PeerStore(self._http, seed) for seed in others]

    async def _register(self) -> NodeRecord:
        settings = self._settings
        record = NodeRecord(
            vm=settings.vm,
            incarnation=1,
            data_centre=settings.data_centre,
            callers=settings.callers_address,
            peers=settings.peer_address,
            cores=settings.cores,
        )
        while True:
            try:
                return await register_node(self.row_store, record)
            except RowStoreError as error:
                self._timeline.record("not_registered", settings.vm, str(error))
                await asyncio.sleep(REGISTER_RETRY_S)

    async def _pace_feeds(self) -> None:
        """Adapt the wait of feed polls so that all nodes keep to FEED_READ_SHARE."""
        while True:
            if self.fleet is not None:
                wait_s = fit_period_s(
                    FEED_WAIT_S,
                    pollers=len(self.fleet.list_live_nodes()) * len(self._watches),
                    calls_per_s=FEED_READ_SHARE
                    * self._settings.store_budget.reads_per_s,
                    longest_s=MAX_FEED_WAIT_S,
                )
                for watch in self._watches.values():
                    watch.wait_s = wait_s
            await asyncio.sleep(FEED_PACING_INTERVAL_S)

    async def _forget_old_targets(self) -> None:
        """Forget what was known of targets that are no longer listed."""
        while True:
            await asyncio.sleep(FORGET_TARGETS_INTERVAL_S)
            self.limits.retain(self.targets.list_all())
            self.leaving_targets.discard_old()

    async def _verify_after_freeze(self, gap_s: float) -> None:
        """Pause all runs after a freeze until the ownership of the jobs is verified."""
        self._timeline.record(
            "process_thawed",
            self._settings.vm,
            "the process was frozen for a while",
            gap_ms=round(gap_s * 1000),
        )
        try:
            await self.runner.pause()
            await self.jobs.refresh_heads()
        finally:
            self.runner.resume()

    def _is_target_list_current(self) -> bool:
        recovered_at_s = self.row_store.recovered_at_s
        return self.row_store.is_up and _now_s() - recovered_at_s > RECOVERY_GRACE_S

    def _compute_valid_for_s(self) -> float:
        return min(ENTRIES_VALID_S, self._settings.entries_valid_max_s)

    def _choose_entries(self, caller: str, data_centre: str) -> EntryAnswer:
        if self.fleet is None:
            return EntryAnswer((), 0.0)
        live = tuple(
            EntryVm(r.vm, r.data_centre, r.callers, r.peers, r.peers, r.peers, r.peers)
            for r in self.paths.select_entries(self.fleet.list_live_nodes())
        )
        return choose_entries(live, caller, data_centre, self._compute_valid_for_s())

    async def _answer_metrics(self, request: Request) -> Response:
        return Response(200, self._metrics.render(), content_type="text/plain")


def _to_async(handler: SyncHandler) -> CallerHandler:
    async def answer(request: Request) -> Response:
        return handler(request)

    return answer


def _wall_ms() -> int:
    return int(time.time() * 1000)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = [
    "MAX_PEER_BODY_BYTES",
    "HandlerFactories",
    "NodeProgram",
    "PlatformTables",
]
