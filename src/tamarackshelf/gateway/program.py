"""The gateway program: callers, trainers and operators come in here."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

from tamarackshelf.dispatch import Dispatcher, PeerActions, TargetPool
from tamarackshelf.gateway.answers import AnswerBook, KeyHome
from tamarackshelf.gateway.api import GatewayApi, Parts
from tamarackshelf.gateway.at_most_once import AtMostOnce
from tamarackshelf.gateway.calls import Calls
from tamarackshelf.gateway.completions import Completions
from tamarackshelf.gateway.key_homes import KeyHomes
from tamarackshelf.gateway.operators import Operators
from tamarackshelf.gateway.peer_api import build_handlers
from tamarackshelf.gateway.trainers import Trainers
from tamarackshelf.net import HttpClient, HttpServer
from tamarackshelf.net.rpc import RpcClient, RpcServer
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.observe.record import Recorder, record_nothing
from tamarackshelf.peers import (
    Report,
    ReportKind,
    Role,
    View,
    ViewWatch,
    name_sharer,
)
from tamarackshelf.peers.suspect_link import SuspectLink
from tamarackshelf.policy.entries import VALID_FOR_S, VALID_MARGIN_S
from tamarackshelf.policy.routing import Router, route
from tamarackshelf.state import TableClient
from tamarackshelf.world import Address

LONGEST_DRAIN_S = 600.0
LINGER_S = 2.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a gateway is told at its start."""

    vm: str
    data_centre: str
    listen: Address
    peer_listen: Address
    controller: Address
    table: Address
    secret: str
    operator_digest: str = ""
    valid_for_s: float = VALID_FOR_S
    seed: int = 0


class Gateway:
    """One gateway; `http` carries the calls to targets and the platform."""

    def __init__(
        self,
        settings: GatewaySettings,
        http: HttpClient,
        timeline: Timeline,
        router: Router = route,
        record: Recorder = record_nothing,
    ) -> None:
        self.timeline = timeline
        self.metrics = Metrics()
        self.address = settings.listen
        self.peer_address = settings.peer_listen
        self._settings = settings
        self._internal = HttpClient(headers={"x-fleet-secret": settings.secret})
        self.watch = ViewWatch(self._internal, settings.controller, Role.GATEWAY)
        self._rpc = RpcClient(settings.secret)
        self._table = TableClient(http, settings.table)
        rng = Random(f"{settings.seed}/{settings.vm}/gateway")
        self.pool = TargetPool(
            name_sharer(settings.vm, Role.GATEWAY), rng, router, record
        )
        link = SuspectLink(self._rpc, self.watch)
        actions = PeerActions(
            link.isolate, link.release, link.announce, self.watch.report
        )
        self.dispatcher = Dispatcher(
            self.pool, http, actions, timeline, self.metrics, rng, record
        )
        book = AnswerBook()
        home = KeyHome()
        homes = KeyHomes(settings.vm, home, self._rpc, self.watch)
        place = settings.data_centre
        self._completions = Completions(self.dispatcher, book, homes, place)
        self._once = AtMostOnce(settings.vm, self.dispatcher, self._table)
        self._trainers = Trainers(self.watch, self._rpc, self._table, timeline)
        operators = Operators(
            self.watch, self._table, timeline, settings.operator_digest
        )
        parts = Parts(
            completions=self._completions,
            calls=Calls(self.dispatcher, self._once, place),
            trainers=self._trainers,
            operators=operators,
            timeline=timeline,
            metrics=self.metrics,
        )
        self._api = GatewayApi(self.watch, parts, settings.valid_for_s)
        self._server = HttpServer(self._api.handle)
        handlers = build_handlers(self.dispatcher, book, home)
        self._rpc_server = RpcServer(handlers, settings.secret)

    async def start(self) -> None:
        """Listens and follows the controller."""
        self.watch.on_change(self._take_view)
        await self._table.start()
        peer_listen = self._settings.peer_listen
        self.peer_address = await self._rpc_server.start(peer_listen)
        self.address = await self._server.start(self._settings.listen)
        await self.watch.start()

    async def drain(self) -> None:
        """Leaves the entry answers, serves until the old ones lapse, refuses.

        Every entry answer that names this gateway has lapsed before the first
        refusal, and a refusal names other entries.
        """
        self.timeline.record("drain_started", self._settings.vm, "planned stop")
        self.watch.stop_announcing()
        await self.watch.report(Report(ReportKind.ROLE_LEAVING, Role.GATEWAY.value))
        await asyncio.sleep(self._settings.valid_for_s + VALID_MARGIN_S)
        self._api.is_refusing = True

    async def close(self) -> None:
        """Finishes what is in flight, then closes."""
        self._api.is_refusing = True
        await self._server.close(LONGEST_DRAIN_S, LINGER_S)
        await self._completions.close()
        await self._once.close()
        await self.dispatcher.close()
        await self._trainers.close()
        await self._close_links(1.0)

    async def abort(self) -> None:
        """Stops at once, as a crash would."""
        await self._server.abort()
        await self._close_links(0.0)

    async def _close_links(self, grace_s: float) -> None:
        await self.watch.close()
        await self._rpc_server.close(grace_s)
        await self._rpc.close()
        await self._table.close()
        await self._internal.close()

    def _take_view(self, view: View) -> None:
        sharers = view.list_sharers()
        self.pool.update(view.targets, sharers, view.compute_limits())
        self._table.set_sharers(len(sharers))


__all__ = ["Gateway", "GatewaySettings"]
