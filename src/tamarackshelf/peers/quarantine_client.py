"""Announcement of crashes to peers and isolation of suspect requests.

A suspect request was in flight when a target crashed. The arbiter, the first process by
rank that responds, grants each target to one suspect request at a time.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from tamarackshelf.peers.isolation import (
    IsolationAnswer,
    IsolationRelease,
    IsolationRequest,
)
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.world import Address

ARBITER_KEY = "isolation"


class QuarantinePeers(Protocol):
    """Calls to the other processes; a peer that gives no answer is no error."""

    def list_announced(self) -> list[Address]:
        """Return the processes that are told of crashes."""

    def rank_arbiters(self, key: str) -> list[Address]:
        """Return the processes that may be the arbiter, the first one by rank first."""

    async def note_crash(self, address: Address, crash: Crash) -> None:
        """Tell a process of a crash and wait for its answer, but not for long."""

    async def isolate(
        self, address: Address, request: IsolationRequest
    ) -> IsolationAnswer | None:
        """Ask an arbiter for a target; return None if it gives no answer."""

    async def release(self, address: Address, release: IsolationRelease) -> None:
        """Tell an arbiter that a target is no longer in use."""


class QuarantineClient:
    """Client that announces crashes to peers and asks the arbiter for targets."""

    def __init__(self, peers: QuarantinePeers) -> None:
        self._peers = peers

    async def announce_crash(self, crash: Crash) -> None:
        """Send a crash to all processes that must know of it, in parallel.

        Wait for their responses, but not longer than `note_crash` does.
        """
        await asyncio.gather(
            *(
                self._peers.note_crash(address, crash)
                for address in self._peers.list_announced()
            )
        )

    async def isolate(self, fingerprint: str, targets: tuple[str, ...]) -> str:
        """Return one of the targets for a suspect request to run in isolation on.

        Return "" if none is free or no arbiter responds.
        """
        request = IsolationRequest(fingerprint, targets)
        for address in self._peers.rank_arbiters(ARBITER_KEY):
            answer = await self._peers.isolate(address, request)
            if answer is not None:
                return answer.target
        return ""

    async def release(self, fingerprint: str, target: str) -> None:
        """Release the target at the first arbiter; if that fails, the grant expires."""
        release = IsolationRelease(fingerprint, target)
        for address in self._peers.rank_arbiters(ARBITER_KEY)[:1]:
            await self._peers.release(address, release)


__all__ = ["QuarantineClient", "QuarantinePeers"]
