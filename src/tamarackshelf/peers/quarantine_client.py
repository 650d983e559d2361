"""Tells peers of suspects and asks the arbiter for isolated targets."""

from __future__ import annotations

import asyncio
import contextlib

from tamarackshelf.net.rpc import PeerRefused, PeerUnreachable, RpcClient
from tamarackshelf.peers.messages import (
    ISOLATE,
    NOTE_CRASH,
    RELEASE_ISOLATION,
    IsolationRelease,
    IsolationRequest,
)
from tamarackshelf.peers.view import Role
from tamarackshelf.peers.view_watch import ViewWatch
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.world import Address

ANNOUNCE_TIMEOUT_S = 2.0
ISOLATE_TIMEOUT_S = 2.0
ARBITER_KEY = "isolation"


class QuarantineClient:
    """Speaks with the other gateways and runners about suspects."""

    def __init__(self, rpc: RpcClient, watch: ViewWatch) -> None:
        self._rpc = rpc
        self._watch = watch

    async def announce_crash(self, crash: Crash) -> None:
        """Tells all live gateways and runners, and waits a short time."""
        view = self._watch.view
        addresses = [e.gateway_peer for e in view.find_entries(Role.GATEWAY)]
        addresses += [e.runner_peer for e in view.find_entries(Role.RUNNER)]
        await asyncio.gather(*(self._tell(address, crash) for address in addresses))

    async def isolate(self, fingerprint: str, targets: tuple[str, ...]) -> str:
        """Returns a target that no other suspect is on, or an empty name."""
        request = IsolationRequest(fingerprint, targets)
        for address in self._arbiters():
            try:
                answer = await self._rpc.call(
                    address, ISOLATE, request, ISOLATE_TIMEOUT_S
                )
            except (PeerUnreachable, PeerRefused):
                continue
            return str(answer.target)
        return ""

    async def release(self, fingerprint: str, target: str) -> None:
        """Gives an isolated target back; unreleased ones lapse."""
        release = IsolationRelease(fingerprint, target)
        for address in self._arbiters()[:1]:
            with contextlib.suppress(PeerUnreachable, PeerRefused):
                await self._rpc.call(
                    address, RELEASE_ISOLATION, release, ISOLATE_TIMEOUT_S
                )

    def _arbiters(self) -> list[Address]:
        entries = {e.name: e for e in self._watch.view.find_entries(Role.GATEWAY)}
        ranked = rank_owners(entries, ARBITER_KEY)
        return [entries[name].gateway_peer for name in ranked]

    async def _tell(self, address: Address, crash: Crash) -> None:
        with contextlib.suppress(PeerUnreachable, PeerRefused):
            await self._rpc.call(address, NOTE_CRASH, crash, ANNOUNCE_TIMEOUT_S)


__all__ = ["QuarantineClient"]
