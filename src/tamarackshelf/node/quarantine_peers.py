"""QuarantinePeers of a node, which calls the other nodes over HTTP."""

from __future__ import annotations

from typing import Any

import msgspec

from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.net import ClientResponse, ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.observe import Timeline
from tamarackshelf.peers.isolation import (
    IsolationAnswer,
    IsolationRelease,
    IsolationRequest,
)
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.world import Address

CRASH_PATH = "/crashes"
ISOLATE_PATH = "/isolations"
RELEASE_PATH = "/isolations/release"
# A live peer answers within milliseconds. The caller waits for these answers; a peer
# that is frozen or cut off learns of the crash from the store.
PEER_TIMEOUT_S = 0.25


class FleetQuarantinePeers:
    """The live nodes of the fleet; this one may be the arbiter, too."""

    def __init__(self, fleet: Fleet, http: HttpClient, timeline: Timeline) -> None:
        self._fleet = fleet
        self._http = http
        self._timeline = timeline

    def list_announced(self) -> list[Address]:
        """Return the addresses of the other live nodes."""
        return [record.peers for record in self._fleet.peers()]

    def rank_arbiters(self, key: str) -> list[Address]:
        """Return the live nodes, ranked for the key."""
        by_name = {record.vm: record for record in self._fleet.list_live_nodes()}
        return [by_name[name].peers for name in rank_owners(by_name, key)]

    async def note_crash(self, address: Address, crash: Crash) -> None:
        """Send a crash to a node and wait at most PEER_TIMEOUT_S for its answer."""
        await self._post(address, CRASH_PATH, crash)

    async def isolate(
        self, address: Address, request: IsolationRequest
    ) -> IsolationAnswer | None:
        """Ask a node for a target; return None if it gives no answer."""
        answer = await self._post(address, ISOLATE_PATH, request)
        if answer is None:
            return None
        try:
            return decode_msgpack(answer.body, IsolationAnswer)
        except InvalidInput as error:
            self._record_failure(address, ISOLATE_PATH, str(error))
            return None

    async def release(self, address: Address, release: IsolationRelease) -> None:
        """Release a target at a node."""
        await self._post(address, RELEASE_PATH, release)

    async def _post(
        self, address: Address, path: str, message: Any
    ) -> ClientResponse | None:
        try:
            answer = await self._http.request(
                address,
                "POST",
                path,
                body=msgspec.msgpack.encode(message),
                timeout_s=PEER_TIMEOUT_S,
            )
        except (ConnectFailed, ConnectionLost) as error:
            self._record_failure(address, path, str(error))
            return None
        if answer.status != 200:
            self._record_failure(address, path, f"it answered status {answer.status}")
            return None
        return answer

    def _record_failure(self, address: Address, path: str, reason: str) -> None:
        self._timeline.record("peer_call_failed", str(address), reason, path=path)


__all__ = ["CRASH_PATH", "ISOLATE_PATH", "RELEASE_PATH", "FleetQuarantinePeers"]
