"""Finds the gateway that runs a keyed request through the key's home."""

from __future__ import annotations

import asyncio

from tamarackshelf.gateway.answers import KeyRegistry, build_key_conflict
from tamarackshelf.net.rpc import PeerRefused, PeerUnreachable, RpcClient, RpcMethod
from tamarackshelf.peers import Role, ViewWatch
from tamarackshelf.peers.messages import (
    ATTACH,
    REGISTER,
    STORE_ANSWER,
    AttachRequest,
    RegisterAnswer,
    RegisterRequest,
    StoreAnswerRequest,
)
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.world import EntryVm

HOME_TIMEOUT_S = 0.5
HOMES_TRIED = 2


class KeyRegistryClient:
    """Asks the homes of keys; the home of some keys is this gateway."""

    def __init__(
        self, vm: str, home: KeyRegistry, rpc: RpcClient, watch: ViewWatch
    ) -> None:
        self._vm = vm
        self._home = home
        self._rpc = rpc
        self._watch = watch

    async def find_or_register(
        self, key: str, body_digest: str, deadline_s: float
    ) -> bytes | None:
        """Returns the whole answer, or None when it is to be run here.

        Raises KeyConflict when the key was used with another body.
        """
        replaces = ""
        while True:
            request = RegisterRequest(key, body_digest, self._vm, replaces)
            found = await self._register(request)
            if found is None or found.gateway == self._vm:
                return None
            if found.body_digest != body_digest:
                raise build_key_conflict()
            if found.answer:
                return found.answer
            answer = await self._attach(key, found.gateway, deadline_s)
            if answer is not None:
                return answer
            if replaces == found.gateway:
                return None
            replaces = found.gateway

    async def store(self, key: str, answer: bytes) -> None:
        """Leaves a whole answer at the key's home."""
        request = StoreAnswerRequest(key, answer)
        for entry in self._homes_of(key):
            if entry.name == self._vm:
                self._home.store(key, answer)
                return
            if await self._call(entry, STORE_ANSWER, request) is not None:
                return

    async def _register(self, request: RegisterRequest) -> RegisterAnswer | None:
        for entry in self._homes_of(request.key):
            if entry.name == self._vm:
                return self._home.register(request)
            answer = await self._call(entry, REGISTER, request)
            if isinstance(answer, RegisterAnswer):
                return answer
        return None

    async def _attach(self, key: str, vm: str, deadline_s: float) -> bytes | None:
        entries = {view.entry.name: view.entry for view in self._watch.view.entries}
        entry = entries.get(vm)
        if entry is None:
            return None
        remaining_s = deadline_s - asyncio.get_running_loop().time()
        request = AttachRequest(key, remaining_s)
        try:
            answer = await self._rpc.call(
                entry.gateway_peer, ATTACH, request, remaining_s
            )
        except (PeerUnreachable, PeerRefused):
            return None
        return bytes(answer.answer) if answer.is_known else None

    async def _call(self, entry: EntryVm, method: RpcMethod, request: object) -> object:
        try:
            return await self._rpc.call(
                entry.gateway_peer, method, request, HOME_TIMEOUT_S
            )
        except (PeerUnreachable, PeerRefused):
            return None

    def _homes_of(self, key: str) -> list[EntryVm]:
        entries = {e.name: e for e in self._watch.view.find_entries(Role.GATEWAY)}
        ranked = rank_owners(entries, key)[:HOMES_TRIED]
        return [entries[name] for name in ranked]


__all__ = ["KeyRegistryClient"]
