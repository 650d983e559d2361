"""QuarantinePeers of the gateways and runners, which call each other over gRPC."""

from __future__ import annotations

import contextlib

from tamarackshelf.net.rpc import PeerRefused, PeerUnreachable, RpcClient
from tamarackshelf.peers.isolation import (
    IsolationAnswer,
    IsolationRelease,
    IsolationRequest,
)
from tamarackshelf.peers.messages import ISOLATE, NOTE_CRASH, RELEASE_ISOLATION
from tamarackshelf.peers.view import Role
from tamarackshelf.peers.view_watch import ViewWatch
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.world import Address

ANNOUNCE_TIMEOUT_S = 2.0
ISOLATE_TIMEOUT_S = 2.0


class RpcQuarantinePeers:
    """The live gateways, which are the arbiters, and the live runners."""

    def __init__(self, rpc: RpcClient, watch: ViewWatch) -> None:
        self._rpc = rpc
        self._watch = watch

    def list_announced(self) -> list[Address]:
        """Return the addresses of all live gateways and runners."""
        view = self._watch.view
        addresses = [e.gateway_peer for e in view.find_entries(Role.GATEWAY)]
        addresses += [e.runner_peer for e in view.find_entries(Role.RUNNER)]
        return addresses

    def rank_arbiters(self, key: str) -> list[Address]:
        """Return the live gateways, ranked for the key."""
        entries = {e.name: e for e in self._watch.view.find_entries(Role.GATEWAY)}
        ranked = rank_owners(entries, key)
        return [entries[name].gateway_peer for name in ranked]

    async def note_crash(self, address: Address, crash: Crash) -> None:
        """Send a crash to a process and wait at most ANNOUNCE_TIMEOUT_S."""
        with contextlib.suppress(PeerUnreachable, PeerRefused):
            await self._rpc.call(address, NOTE_CRASH, crash, ANNOUNCE_TIMEOUT_S)

    async def isolate(
        self, address: Address, request: IsolationRequest
    ) -> IsolationAnswer | None:
        """Ask a gateway for a target; return None if it gives no answer."""
        try:
            answer: IsolationAnswer = await self._rpc.call(
                address, ISOLATE, request, ISOLATE_TIMEOUT_S
            )
        except (PeerUnreachable, PeerRefused):
            return None
        return answer

    async def release(self, address: Address, release: IsolationRelease) -> None:
        """Release a target at a gateway."""
        with contextlib.suppress(PeerUnreachable, PeerRefused):
            await self._rpc.call(address, RELEASE_ISOLATION, release, ISOLATE_TIMEOUT_S)


__all__ = ["RpcQuarantinePeers"]
