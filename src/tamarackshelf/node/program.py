"""The composed process of one VM, from start to planned stop."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tamarackshelf.contracts.rows import RowChange, RowStore, RowStoreError
from tamarackshelf.contracts.targets import TargetClient
from tamarackshelf.entry.forwarder import Forwarder
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
from tamarackshelf.node.configuration_view import ConfigurationView
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.freeze import watch_for_freezes
from tamarackshelf.node.peer_api import PeerApi
from tamarackshelf.node.peer_store import PeerStore
from tamarackshelf.node.settings import NodeSettings
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.node.weights import WeightCoordinator
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.entries import EntryAnswer, choose_entries
from tamarackshelf.policy.periods import fit_period_s
from tamarackshelf.policy.rumours import Rumour
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
)
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import EntryVm

RETRY_GAP_S = 0.2
# Callers keep an answer as long, some of them three times as long.
ENTRIES_VALID_S = 2.0
KEEPS_ANSWER_TIMES = 3
WISH = "wish:"
# Rumours that reach a node later, as at its start, are no wishes any more. Clocks
# of VMs differ by less.
WISH_OLD_MS = 5_000
FLEET_SIZE_EVERY_S = 1.0
# Part of the store's reads a second that empty feeds may take; the rest is for jobs.
FEED_SHARE = 0.25
# Left of the grace time for closing connections at the end.
CLOSING_S = 0.7

# A job with all its texts, with room to spare.
PEER_BODY_BYTES = 32 * 1024 * 1024

SyncHandler = Callable[[Request], Response]
RowListener = Callable[[tuple[RowChange, ...]], None]


@dataclass(frozen=True, slots=True)
class PlatformTables:
    """The platform's tables and what decodes their rows."""

    operator_table: str
    targets_table: str
    build_operator_listener: Callable[
        [ConfigurationView, WeightCoordinator], RowListener
    ]
    build_target_listener: Callable[[TargetRegistry], RowListener]


@dataclass(frozen=True, slots=True)
class HandlerFactories:
    """Builds the handlers that speak the platform's protocol."""

    callers: Callable[
        [ConfigurationView, Forwarder, Streamer, JobManager], CallerHandler
    ]
    directory: Callable[[Callable[[str, str], EntryAnswer]], SyncHandler]
    ready: Callable[[Callable[[], bool]], SyncHandler]


CallerHandler = Callable[[Request], Awaitable[Response]]


class NodeProgram:
    """Owns everything that runs on one VM."""

    def __init__(
        self,
        settings: NodeSettings,
        rows: RowStore,
        calls: TargetClient,
        tables: PlatformTables,
        servers: HandlerFactories,
        clients: tuple[HttpClient, ...],
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        """Takes the HTTP clients to close at the end; the first one is for peers."""
        self._settings = settings
        self._tables = tables
        self._clients = clients
        self._http = clients[0]
        self._timeline = timeline
        self._metrics = metrics
        self._calls = calls
        self.fleet: Fleet | None = None
        self.weights: WeightCoordinator | None = None
        self.link = FailoverStore(rows, timeline)
        self.view = ConfigurationView(timeline)
        self.board = TargetRegistry(
            timeline, lambda: self.link.recovered_at_s, random.Random()
        )
        self.board.is_connected = calls.is_connected
        scorer = Scorer(
            self.board, calls, self.view.get_route_table, settings.data_centre, timeline
        )
        store = JobStore(self.link, settings.store_budget.row_bytes)
        self.runner = JobRunner(
            store,
            self.board,
            calls,
            scorer,
            self.view.get_route_table,
            timeline,
            metrics,
        )
        self._watches = {
            name: TableWatch(self.link, name, timeline, has_parts=name == HEAD_TABLE)
            for name in (
                tables.operator_table,
                tables.targets_table,
                NODE_TABLE,
                HEAD_TABLE,
            )
        }
        self.desk = JobManager(
            self.link,
            store,
            self._watches[HEAD_TABLE],
            self.runner,
            self._http,
            self.view.get_route_table,
            timeline,
        )
        self.retention = JobRetention(
            self.link, store, self.desk.heads, settings.results_kept_s, timeline
        )
        forwarder = Forwarder(
            self.board, calls, settings.data_centre, timeline, metrics
        )
        streamer = Streamer(self.board, calls, settings.data_centre, timeline, metrics)
        self._callers = HttpServer(
            servers.callers(self.view, forwarder, streamer, self.desk),
            self.view.limits,
            cancel_on_disconnect=True,
        )
        self._directory = HttpServer(_to_async(servers.directory(self._choose)))
        self._ready = HttpServer(_to_async(servers.ready(self.is_ready)))
        peer_limits = ServerLimits(body_bytes=PEER_BODY_BYTES)
        peer_api = PeerApi(self.link, self.desk, self._find_gossip)
        self._peers = HttpServer(peer_api.handle, peer_limits)
        self._seed = HttpServer(peer_api.handle, peer_limits)
        self._metrics_page = HttpServer(self._answer_metrics)
        self._tasks: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Tells whether callers should be sent here."""
        return (
            self.fleet is not None
            and not self.fleet.is_leaving
            and self.view.route_table is not None
            and self._watches[self._tables.targets_table].loaded.is_set()
        )

    async def start(self) -> None:
        """Listens at once and serves as soon as the store has told enough."""
        self._timeline.record("process_started", self._settings.vm, "")
        await self._callers.start(self._settings.callers_address)
        await self._directory.start(self._settings.directory_address)
        await self._ready.start(self._settings.ready_address)
        await self._peers.start(self._settings.peer_address)
        if self._settings.seed_address is not None:
            await self._seed.start(self._settings.seed_address)
        if self._settings.metrics_address is not None:
            await self._metrics_page.start(self._settings.metrics_address)
        self.link.set_peer_source(self._seed_stores)
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
        self.link.set_peer_source(fleet.peer_stores)
        self.weights = WeightCoordinator(
            self.link,
            fleet,
            self.board,
            self._calls,
            self._settings.lease_s,
            self._timeline,
        )
        self.weights.get_configuration = lambda: self.view.configuration
        self.weights.measure_demand = self.desk.measure_demand
        self.board.find_assigned_model = self.weights.find_assigned_model
        self._follow(self.weights)
        self._connect_wishes(fleet, self.weights)
        await self._watches[NODE_TABLE].loaded.wait()
        await fleet.start()
        self.fleet = fleet
        await self.runner.start()
        await self.desk.start(fleet)
        await self.weights.start()
        await self.retention.start(fleet)
        self._tasks = [
            start_task("freeze_watch", lambda: watch_for_freezes(self._thaw)),
            start_task("feed_pace", self._pace_feeds),
        ]

    def apply_settings(self, settings: NodeSettings) -> None:
        """Takes the bounds that may change while the node runs."""
        self._settings = settings
        self.retention.retention_s = settings.results_kept_s
        if self.weights is not None:
            self.weights.lease_s = settings.lease_s

    async def stop(self) -> None:
        """Stops as planned: tells everyone, serves on, hands over, closes."""
        started_s = _now_s()
        self._timeline.record("process_stops", self._settings.vm, "it was told to")
        fleet = self.fleet
        if fleet is not None:
            version = fleet.find_own_row_version()
            await fleet.leave()
            self._callers.announce_close()
            await self.desk.handovers.hand_over_all()
            if version is not None:
                try:
                    await unregister_node(self.link, self._settings.vm, version)
                except RowStoreError as error:
                    self._timeline.record("row_not_deleted", NODE_TABLE, str(error))
            wanted_s = KEEPS_ANSWER_TIMES * self._valid_for_s()
            longest_s = self._settings.grace_s - CLOSING_S - 0.5
            left_s = min(wanted_s, longest_s) - (_now_s() - started_s)
            await asyncio.sleep(max(0.0, left_s))
        await self._callers.close(grace_s=CLOSING_S)
        await self.close()
        self._timeline.record("process_stopped", self._settings.vm, "")

    async def close(self) -> None:
        """Closes everything at once."""
        await stop_tasks(*self._tasks)
        await self.retention.close()
        await self.desk.close()
        await self.runner.close()
        if self.weights is not None:
            await self.weights.close()
        if self.fleet is not None:
            await self.fleet.close()
        for watch in self._watches.values():
            await watch.close()
        servers = (self._callers, self._directory, self._ready, self._peers)
        for server in (*servers, self._seed, self._metrics_page):
            await server.abort()
        for client in self._clients:
            await client.close()

    def _connect_wishes(self, fleet: Fleet, weights: WeightCoordinator) -> None:
        """Spreads wishes for engines by gossip to whoever gives the orders."""

        def spread(model: str, engine: str) -> None:
            fleet.gossip.publish(Rumour(f"{WISH}{model}", _wall_ms(), engine))

        def take(rumour: Rumour) -> None:
            if _wall_ms() - rumour.version < WISH_OLD_MS:
                weights.request_engine(rumour.subject.removeprefix(WISH), rumour.value)

        self.runner.stragglers.on_engine_request = spread
        fleet.gossip.on_rumour(WISH, take)

    def _follow(self, weights: WeightCoordinator) -> None:
        """Hands rows of the platform to whoever they are for."""
        tables = self._tables
        takers = {
            tables.operator_table: tables.build_operator_listener(self.view, weights),
            tables.targets_table: tables.build_target_listener(self.board),
        }
        for name, take in takers.items():
            watch = self._watches[name]
            rows = tuple(
                RowChange(row.at, row.value, row.version) for row in watch.rows.values()
            )
            watch.on_change(take)
            take(rows)

    def _find_gossip(self) -> GossipTask | None:
        return None if self.fleet is None else self.fleet.gossip

    def _seed_stores(self) -> list[PeerStore]:
        """Returns the store as reached through seeds, for a node without peers yet."""
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
                return await register_node(self.link, record)
            except RowStoreError as error:
                self._timeline.record("not_registered", settings.vm, str(error))
                await asyncio.sleep(RETRY_GAP_S)

    async def _pace_feeds(self) -> None:
        """Keeps the reads of all nodes' feeds within their part of the store's rate."""
        while True:
            if self.fleet is not None:
                wait_s = fit_period_s(
                    FEED_WAIT_S,
                    callers=len(self.fleet.list_live_nodes()) * len(self._watches),
                    calls_per_s=FEED_SHARE * self._settings.store_budget.reads_per_s,
                    longest_s=MAX_FEED_WAIT_S,
                )
                for watch in self._watches.values():
                    watch.wait_s = wait_s
            await asyncio.sleep(FLEET_SIZE_EVERY_S)

    async def _thaw(self, gap_s: float) -> None:
        """Lets nothing go on after a standstill before it is verified."""
        self._timeline.record(
            "process_thawed",
            self._settings.vm,
            "its clock jumped",
            gap_ms=round(gap_s * 1000),
        )
        await self.runner.pause()
        await self.desk.refresh_heads()
        self.runner.resume()

    def _valid_for_s(self) -> float:
        return min(ENTRIES_VALID_S, self._settings.entries_valid_max_s)

    def _choose(self, caller: str, data_centre: str) -> EntryAnswer:
        if self.fleet is None:
            return EntryAnswer((), 0.0)
        live = tuple(
            EntryVm(r.vm, r.data_centre, r.callers, r.peers, r.peers, r.peers, r.peers)
            for r in self.fleet.list_live_nodes()
        )
        return choose_entries(live, caller, data_centre, self._valid_for_s())

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


__all__ = ["NodeProgram", "PlatformTables", "HandlerFactories"]
