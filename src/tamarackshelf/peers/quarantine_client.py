"""Announcement of crashes to peers and isolation of suspect requests.

A suspect request was in flight when a target crashed. The arbiter, the first gateway
by rank that responds, grants each target to one suspect request at a time.
"""

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
    """Client that announces crashes to peers and asks the arbiter for targets."""

    def __init__(self, rpc: RpcClient, watch: ViewWatch) -> None:
        self._rpc = rpc
        self._watch = watch

    async def announce_crash(self, crash: Crash) -> None:
        """Send a crash to all live gateways and runners in parallel.

        Wait for their responses, but for at most ANNOUNCE_TIMEOUT_S.
        """
        view = self._watch.view
        addresses = [e.gateway_peer for e in view.find_entries(Role.GATEWAY)]
        addresses += [e.runner_peer for e in view.find_entries(Role.RUNNER)]
        await asyncio.gather(
            *(self._announce_to(address, crash) for address in addresses)
        )

    async def isolate(self, fingerprint: str, targets: tuple[str, ...]) -> str:
        """Return one of the targets for a suspect request to run in isolation on.

        Return "" if none is free or no arbiter responds.
        """
        request = IsolationRequest(fingerprint, targets)
        for address in self._rank_arbiters():
            try:
                answer = await self._rpc.call(
                    address, ISOLATE, request, ISOLATE_TIMEOUT_S
                )
            except (PeerUnreachable, PeerRefused):
                continue
            return str(answer.target)
        return ""

    async def release(self, fingerprint: str, target: str) -> None:
        """Release the target at the first arbiter; if that fails, the grant expires."""
        release = IsolationRelease(fingerprint, target)
        for address in self._rank_arbiters()[:1]:
            with contextlib.suppress(PeerUnreachable, PeerRefused):
                await self._rpc.call(
                    address, RELEASE_ISOLATION, release, ISOLATE_TIMEOUT_S
                )

    def _rank_arbiters(self) -> list[Address]:
        entries = {e.name: e for e in self._watch.view.find_entries(Role.GATEWAY)}
        ranked = rank_owners(entries, ARBITER_KEY)
        return [entries[name].gateway_peer for name in ranked]

    async def _announce_to(self, address: Address, crash: Crash) -> None:
        with contextlib.suppress(PeerUnreachable, PeerRefused):
            await self._rpc.call(address, NOTE_CRASH, crash, ANNOUNCE_TIMEOUT_S)


__all__ = ["QuarantineClient"]
