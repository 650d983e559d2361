"""RPC interface of the gateway for other gateways and runners."""

from __future__ import annotations

import asyncio

import msgspec

from tamarackshelf.dispatch import Dispatcher
from tamarackshelf.errors import ShelfError
from tamarackshelf.gateway.answers import AnswerCache, KeyRegistry
from tamarackshelf.net.rpc import RpcHandler, RpcMethod
from tamarackshelf.peers.messages import (
    ATTACH,
    ISOLATE,
    NOTE_CRASH,
    REGISTER,
    RELEASE_ISOLATION,
    STORE_ANSWER,
    Acknowledged,
    AttachAnswer,
    AttachRequest,
    IsolationAnswer,
    IsolationRelease,
    IsolationRequest,
    RegisterAnswer,
    RegisterRequest,
    StoreAnswerRequest,
)
from tamarackshelf.policy.quarantine import Crash, IsolationTable


def build_handlers(
    dispatcher: Dispatcher, cache: AnswerCache, registry: KeyRegistry
) -> dict[RpcMethod, RpcHandler]:
    """Return the RPC handlers of this gateway by method.

    They share a table of the targets that this gateway grants as arbiter.
    """
    isolation = IsolationTable()

    async def record_crash(crash: Crash) -> Acknowledged:
        dispatcher.record_crash(
            crash, "a peer reported it in flight when the target crashed"
        )
        return Acknowledged()

    async def isolate(request: IsolationRequest) -> IsolationAnswer:
        now_s = asyncio.get_running_loop().time()
        target = isolation.grant(request.fingerprint, request.targets, now_s)
        return IsolationAnswer(target or "")

    async def release(request: IsolationRelease) -> Acknowledged:
        isolation.release(request.fingerprint, request.target)
        return Acknowledged()

    async def register(request: RegisterRequest) -> RegisterAnswer:
        return registry.register(request)

    async def store_answer(request: StoreAnswerRequest) -> Acknowledged:
        registry.store(request.key, request.answer)
        return Acknowledged()

    async def attach(request: AttachRequest) -> AttachAnswer:
        stream = cache.find(request.key)
        if stream is None:
            return AttachAnswer(is_known=False)
        try:
            async with asyncio.timeout(request.wait_s):
                answer = await stream.wait_complete()
        except (TimeoutError, ShelfError):
            return AttachAnswer(is_known=False)
        return AttachAnswer(is_known=True, answer=msgspec.msgpack.encode(answer))

    return {
        NOTE_CRASH: record_crash,
        ISOLATE: isolate,
        RELEASE_ISOLATION: release,
        REGISTER: register,
        STORE_ANSWER: store_answer,
        ATTACH: attach,
    }


__all__ = ["build_handlers"]
