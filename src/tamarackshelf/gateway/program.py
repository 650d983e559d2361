"""The gateway program, which callers, trainers and operators connect to."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tamarackshelf.dispatch.runtime import DispatchRuntime, DispatchSettings
from tamarackshelf.gateway.answers import AnswerCache, KeyRegistry
from tamarackshelf.gateway.api import ApiComponents, GatewayApi
from tamarackshelf.gateway.at_most_once import AtMostOnceExecutor
from tamarackshelf.gateway.calls import CallApi
from tamarackshelf.gateway.completions import CompletionApi, is_unkeyed_completion
from tamarackshelf.gateway.key_registry_client import KeyRegistryClient
from tamarackshelf.gateway.operators import OperatorApi
from tamarackshelf.gateway.peer_api import build_handlers
from tamarackshelf.gateway.trainers import TrainerApi
from tamarackshelf.net import HttpClient, HttpServer
from tamarackshelf.net.rpc import RpcServer
from tamarackshelf.observe import Timeline
from tamarackshelf.observe.decision_trace import Recorder, record_nothing
from tamarackshelf.peers import Role
from tamarackshelf.policy.entries import VALID_FOR_S, VALID_MARGIN_S
from tamarackshelf.policy.routing import Router, route
from tamarackshelf.world import Address

MAX_DRAIN_S = 600.0
LINGER_S = 2.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a gateway, fixed for the life of the process."""

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
    """One gateway; `http` is the client for calls to targets and the platform."""

    def __init__(
        self,
        settings: GatewaySettings,
        http: HttpClient,
        timeline: Timeline,
        router: Router = route,
        record: Recorder = record_nothing,
    ) -> None:
        self.timeline = timeline
        self.address = settings.listen
        self.peer_address = settings.peer_listen
        self._settings = settings
        dispatch_settings = DispatchSettings(
            vm=settings.vm,
            role=Role.GATEWAY,
            controller=settings.controller,
            table=settings.table,
            secret=settings.secret,
            seed=settings.seed,
        )
        self._runtime = DispatchRuntime(
            dispatch_settings, http, timeline, router, record
        )
        self.watch = self._runtime.watch
        cache = AnswerCache()
        registry = KeyRegistry()
        registry_client = KeyRegistryClient(
            settings.vm, registry, self._runtime.rpc, self.watch
        )
        data_centre = settings.data_centre
        self._completions = CompletionApi(
            self._runtime.dispatcher, cache, registry_client, data_centre
        )
        self._at_most_once = AtMostOnceExecutor(
            settings.vm, self._runtime.dispatcher, self._runtime.table
        )
        self._trainers = TrainerApi(
            self.watch, self._runtime.rpc, self._runtime.table, timeline
        )
        operators = OperatorApi(
            self.watch, self._runtime.table, timeline, settings.operator_digest
        )
        components = ApiComponents(
            completions=self._completions,
            calls=CallApi(self._runtime.dispatcher, self._at_most_once, data_centre),
            trainers=self._trainers,
            operators=operators,
            timeline=timeline,
            metrics=self._runtime.metrics,
        )
        self._api = GatewayApi(self.watch, components, settings.valid_for_s)
        self._server = HttpServer(
            self._api.handle, cancel_on_disconnect=is_unkeyed_completion
        )
        handlers = build_handlers(self._runtime.dispatcher, cache, registry)
        self._rpc_server = RpcServer(handlers, settings.secret)

    async def start(self) -> None:
        """Start listening for peers and callers and start following the controller."""
        peer_listen = self._settings.peer_listen
        self.peer_address = await self._rpc_server.start(peer_listen)
        self.address = await self._server.start(self._settings.listen)
        await self._runtime.start()

    async def drain(self) -> None:
        """Announce that this gateway is leaving; reject requests once callers know.

        The gateway keeps serving until every entry list that names it has expired at
        the callers. A rejection lists other gateways for the caller to use.
        """
        await self._runtime.announce_leaving()
        await asyncio.sleep(self._settings.valid_for_s + VALID_MARGIN_S)
        self._api.is_rejecting = True

    async def close(self) -> None:
        """Reject new requests, finish those in flight and close all connections."""
        self._api.is_rejecting = True
        await self._server.close(MAX_DRAIN_S, LINGER_S)
        await self._completions.close()
        await self._at_most_once.close()
        await self._runtime.dispatcher.close()
        await self._trainers.close()
        await self._rpc_server.close(1.0)
        await self._runtime.close()

    async def abort(self) -> None:
        """Stop at once like a crashed process, without finishing requests."""
        await self._server.abort()
        await self._rpc_server.close(0.0)
        await self._runtime.close()


__all__ = ["Gateway", "GatewaySettings"]
