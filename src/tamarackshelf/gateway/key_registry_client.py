"""Client of the key registries, which record the gateway that runs each key."""

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

REGISTRY_TIMEOUT_S = 0.5
MAX_REGISTRIES_TRIED = 2


class KeyRegistryClient:
    """Finds the gateway that runs a keyed request, or registers this gateway for it.

    Rendezvous hashing ranks the gateways for each key. The registry of the first one
    is responsible for the key; if it does not answer, that of the second one is used.
    For some keys that is this gateway's own registry, `registry`.
    """

    def __init__(
        self, vm: str, registry: KeyRegistry, rpc: RpcClient, watch: ViewWatch
    ) -> None:
        self._vm = vm
        self._registry = registry
        self._rpc = rpc
        self._watch = watch

    async def find_or_register(
        self, key: str, body_digest: str, deadline_s: float
    ) -> bytes | None:
        """Return the complete answer, or None if this gateway must run the request.

        If another gateway runs it, wait for its answer; if it gives none, register this
        gateway in its place. The request also runs here if no registry answers. Raise
        KeyConflict if the key was used with a different body.
        """
        replaces = ""
        while True:
            request = RegisterRequest(key, body_digest, self._vm, replaces)
            registered = await self._register(request)
            if registered is None or registered.gateway == self._vm:
                return None
            if registered.body_digest != body_digest:
                raise build_key_conflict()
            if registered.answer:
                return registered.answer
            answer = await self._attach(key, registered.gateway, deadline_s)
            if answer is not None:
                return answer
            if replaces == registered.gateway:
                return None
            replaces = registered.gateway

    async def store(self, key: str, answer: bytes) -> None:
        """Store a complete answer in the first registry for the key that answers."""
        request = StoreAnswerRequest(key, answer)
        for entry in self._rank_registries(key):
            if entry.name == self._vm:
                self._registry.store(key, answer)
                return
            if await self._call(entry, STORE_ANSWER, request) is not None:
                return

    async def _register(self, request: RegisterRequest) -> RegisterAnswer | None:
        for entry in self._rank_registries(request.key):
            if entry.name == self._vm:
                return self._registry.register(request)
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
                entry.gateway_peer, method, request, REGISTRY_TIMEOUT_S
            )
        except (PeerUnreachable, PeerRefused):
            return None

    def _rank_registries(self, key: str) -> list[EntryVm]:
        entries = {e.name: e for e in self._watch.view.find_entries(Role.GATEWAY)}
        ranked = rank_owners(entries, key)[:MAX_REGISTRIES_TRIED]
        return [entries[name] for name in ranked]


__all__ = ["KeyRegistryClient"]
