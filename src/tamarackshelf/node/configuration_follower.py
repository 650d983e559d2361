"""Learning a newer configuration from peers while the store does not deliver it.

Nodes tell each other the version that they have by gossip. A node that hears of a newer
one and does not get it from the store's feed asks peers for it. They answer from
memory, so that this costs no calls to the store, and without any API key: decoded
configurations have digests only. Only changes from or to a configuration with
organisations are published, so that deployments without them send nothing more.
"""

from __future__ import annotations

import asyncio
import random

import msgspec

from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.net import (
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    Request,
    Response,
)
from tamarackshelf.node.configuration_view import ConfigurationView
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world.route import RoutingConfiguration

CONFIGURATION_PATH = "/configuration"
# The value of the rumour is the node that published it first.
VERSION_SUBJECT = "configuration"
# A node that follows the store's feed has a new version within this time; only the
# others ask peers. They begin at different times, so that the later ones find the
# version at any peer and do not all ask its publisher.
FEED_LEAD_S = 0.6
MAX_JITTER_S = 1.0
# Peers asked in a round, one after another, before the node that published the version.
# It alone has it if all other nodes are refused, and need not serve all of them if not.
RANDOM_PEERS = 4
# Pauses between rounds; they double, as a version that no reachable peer has may not
# come soon.
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0
# A peer answers from memory within milliseconds; a configuration with 10,000 keys takes
# 0.3 s on a link of 30 Mbit/s.
ANSWER_TIMEOUT_S = 1.0


class ConfigurationFollower:
    """Publishes this node's version, and asks peers if it stays behind theirs."""

    def __init__(
        self,
        view: ConfigurationView,
        http: HttpClient,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._http = http
        self._timeline = timeline
        self._metrics = metrics
        self._fleet: Fleet | None = None
        self._has_organisations = False
        self._newest = Rumour(VERSION_SUBJECT, -1)
        self._is_behind = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self, fleet: Fleet) -> None:
        """Publish this node's versions from now on, and follow those of others.

        A version is published only if its configuration, or the one before it on this
        node, has organisations.
        """
        self._fleet = fleet
        fleet.gossip.on_rumour(VERSION_SUBJECT, self._receive)
        self._view.on_update = self._publish
        if self._view.configuration is not None:
            self._publish(self._view.configuration)
        self._task = start_task("configuration_follower", self._run)

    async def close(self) -> None:
        """Stop asking peers."""
        await stop_tasks(self._task)

    async def answer(self, request: Request) -> Response:
        """Answer a peer with the configuration, or with 404 if it has no lower one."""
        version = decode_msgpack(request.body, int)
        configuration = self._view.configuration
        if configuration is None or configuration.version <= version:
            return Response(404)
        return Response(200, msgspec.msgpack.encode(configuration))

    @property
    def _version(self) -> int:
        configuration = self._view.configuration
        return -1 if configuration is None else configuration.version

    def _publish(self, configuration: RoutingConfiguration) -> None:
        assert self._fleet is not None
        had_organisations = self._has_organisations
        self._has_organisations = configuration.organisations is not None
        if not (had_organisations or self._has_organisations):
            return
        self._fleet.gossip.publish(
            Rumour(VERSION_SUBJECT, configuration.version, self._fleet.own.vm)
        )

    def _receive(self, rumour: Rumour) -> None:
        if rumour.subject == VERSION_SUBJECT and rumour.version > self._newest.version:
            self._newest = rumour
        if self._newest.version > self._version:
            self._is_behind.set()

    async def _run(self) -> None:
        while True:
            await self._is_behind.wait()
            await asyncio.sleep(FEED_LEAD_S + random.uniform(0.0, MAX_JITTER_S))
            pause_s = MIN_PAUSE_S
            while self._newest.version > self._version:
                newest = self._newest
                await self._ask_peers()
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_PAUSE_S, pause_s * 2)
                if self._newest is not newest:
                    pause_s = MIN_PAUSE_S
            self._is_behind.clear()

    async def _ask_peers(self) -> None:
        """Ask some peers, and then the publisher of the version, until one has it."""
        assert self._fleet is not None
        peers = self._fleet.peers()[:RANDOM_PEERS]
        publisher = self._fleet.find(self._newest.value)
        if publisher is not None and publisher.vm != self._fleet.own.vm:
            peers.append(publisher)
        for peer in peers:
            if self._newest.version <= self._version:
                return
            configuration = await self._ask(peer)
            if configuration is not None and configuration.version > self._version:
                self._metrics.count("configurations_from_peers")
                self._view.update(configuration, f"read from {peer.vm}")

    async def _ask(self, peer: NodeRecord) -> RoutingConfiguration | None:
        try:
            answer = await self._http.request(
                peer.peers,
                "POST",
                CONFIGURATION_PATH,
                body=msgspec.msgpack.encode(self._version),
                timeout_s=ANSWER_TIMEOUT_S,
                new_connection=True,
            )
            if answer.status != 200:
                return None
            return decode_msgpack(answer.body, RoutingConfiguration)
        except (ConnectFailed, ConnectionLost, InvalidInput) as error:
            self._timeline.record(
                "peer_call_failed", peer.vm, str(error), path=CONFIGURATION_PATH
            )
            return None


__all__ = ["CONFIGURATION_PATH", "ConfigurationFollower"]
