"""Stand-in for a model engine; its tokens show which weights produced them."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, replace

import msgspec
import xxhash

from tamarackshelf.contracts import (
    CacheEvent,
    Chunk,
    EngineState,
    GenerateRequest,
    KvHandle,
    Load,
    Order,
    OrderKind,
    StreamEnd,
    StreamLine,
    WeightEntry,
)
from tamarackshelf.errors import BadRequest, NotFound, Overloaded, ShelfError
from tamarackshelf.net import HttpServer, Request, Response, to_json_response
from tamarackshelf.standin.faults import FaultChange, TargetFaults, apply_fault_change
from tamarackshelf.world import Address, Target

CHUNK_TOKENS = 8
CACHE_EVENTS_KEPT = 256


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Durations of an engine's operations and its maximum number of queued requests."""

    chunk_s: float = 0.01
    prefill_s: float = 0.005
    swap_s: float = 0.05
    queue_limit: int = 64


class Fenced(ShelfError):
    """The order's fencing number is lower than one seen before."""

    kind = "fenced"
    status = 409
    not_run = True


class TargetLeaving(ShelfError):
    """The target refuses requests because it is leaving."""

    kind = "leaving"
    status = 503
    not_run = True


def produce_token(model: str, version: int, prompt: str, seed: int, index: int) -> str:
    """Return the token that this weight version produces at this index."""
    text = f"{model}/{version}/{seed}/{index}/{prompt}"
    return f"{xxhash.xxh32_intdigest(text.encode()) & 0xFFFF:04x}"


def compute_answer_length(
    prompt: str, seed: int, max_tokens: int, straggler_share: float
) -> int:
    """Return the length of the answer to a request in tokens.

    It is 1/16 to 1/8 of `max_tokens`. A share of `straggler_share` of the answers is
    eight times as long, but no longer than `max_tokens`.
    """
    draw = xxhash.xxh64_intdigest(f"{seed}/{prompt}".encode())
    base = max(1, max_tokens // 16)
    length = base + draw % max(1, base)
    if (draw >> 32) % 1000 < straggler_share * 1000:
        length *= 8
    return int(min(length, max_tokens))


class EngineStandin:
    """One engine process that can crash and restart; faults can be injected."""

    def __init__(
        self,
        target: Target,
        versions: dict[str, int],
        speed: EngineSpeed | None = None,
        fetch_weights: Callable[[WeightEntry], Awaitable[None]] | None = None,
        straggler_share: float = 0.02,
    ) -> None:
        self.target = target
        self.faults = TargetFaults()
        self.state = EngineState(target.incarnation, versions=dict(versions))
        self.requests_seen = 0
        self.prefix_hits = 0
        self.crashed = asyncio.Event()
        self._speed = speed or EngineSpeed()
        self._fetch_weights = fetch_weights
        self._straggler_share = straggler_share
        self._slots = asyncio.Semaphore(target.concurrency)
        self._running = 0
        self._queued = 0
        self._exported: dict[str, tuple[str, ...]] = {}
        self._progress: dict[str, list[str]] = {}
        self._cancelled: set[str] = set()
        self._cache: deque[CacheEvent] = deque(maxlen=CACHE_EVENTS_KEPT)
        self._sequence = itertools.count(1)
        self._chunk_counter = itertools.count()
        self._crash: asyncio.Task[None] | None = None
        self._server = HttpServer(self._handle)

    async def start(self) -> Address:
        """Start to listen and return the bound address."""
        address = await self._server.start(self.target.address)
        self.target = replace(self.target, address=address)
        return address

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close(0.1)

    def set_speed(self, speed: EngineSpeed, concurrency: int) -> None:
        """Change the speed and the number of concurrent requests."""
        self._speed = speed
        self._slots = asyncio.Semaphore(concurrency)

    async def crash(self) -> None:
        """Close all connections and refuse new ones until the restart."""
        self.crashed.set()
        await self._server.abort()

    async def _crash_now(self) -> None:
        # The crash cancels this handler's task, so it runs in a task of its own.
        self._crash = asyncio.get_running_loop().create_task(self.crash())
        await asyncio.Event().wait()

    async def restart(self) -> None:
        """Start a new incarnation at the same address with the same weight versions."""
        incarnation = self.state.incarnation + 1
        self.target = replace(self.target, incarnation=incarnation)
        versions = dict(self.state.versions)
        self.state = EngineState(incarnation, versions=versions)
        self.crashed.clear()
        self._slots = asyncio.Semaphore(self.target.concurrency)
        self._running = self._queued = 0
        self.faults.die_after_chunks = 0
        self._server = HttpServer(self._handle)
        await self.start()

    async def _handle(self, request: Request) -> Response:
        path = request.path
        if path == "/v1/generate":
            return await self._generate(request.decode(GenerateRequest))
        if path == "/v1/state":
            return to_json_response(self.read_state())
        if path == "/v1/orders":
            return await self._execute_order(request.decode(Order))
        if path == "/v1/cache-events":
            after = int(request.parameter("after", "0"))
            events = tuple(e for e in self._cache if e.sequence > after)
            return to_json_response(events)
        if path.startswith("/v1/kv/export/"):
            return self._export(path.rpartition("/")[2])
        if path == "/v1/kv/import":
            handle = request.decode(KvHandle)
            self._exported[handle.handle] = handle.tokens
            return to_json_response(handle)
        if path == "/standin/faults":
            apply_fault_change(self.faults, request.decode(FaultChange))
            return to_json_response({})
        raise BadRequest("unknown path; use /v1/generate, /v1/state or /v1/orders")

    def read_state(self) -> EngineState:
        """Return the state with the current load."""
        load = Load(self._running, self._queued)
        return replace(self.state, load=load, leaving=self.faults.leaving)

    async def _generate(self, request: GenerateRequest) -> Response:
        self.requests_seen += 1
        if self.faults.leaving:
            raise TargetLeaving("this engine is leaving; use another one")
        if request.model not in self.state.versions:
            raise NotFound("the model is not loaded; order the engine to load it")
        if self._queued >= self._speed.queue_limit:
            raise Overloaded("the engine's queue is full; use another one")
        if any(text in request.prompt for text in self.faults.poison):
            await self._crash_now()
        return Response(200, self._stream(request), "application/x-ndjson")

    async def _stream(self, request: GenerateRequest) -> AsyncIterator[bytes]:
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        slots = self._slots
        self._running += 1
        tokens = list(self._exported.pop(request.kv_handle, request.prefix))
        self._progress[request.request_id] = tokens
        try:
            async for line in self._produce(request, tokens):
                yield msgspec.json.encode(line) + b"\n"
        finally:
            self._running -= 1
            slots.release()
            self._progress.pop(request.request_id, None)

    async def _produce(
        self, request: GenerateRequest, tokens: list[str]
    ) -> AsyncIterator[StreamLine]:
        await self._prefill(request)
        length = compute_answer_length(
            request.prompt, request.seed, request.max_tokens, self._straggler_share
        )
        sent = 0
        while len(tokens) < length:
            await asyncio.sleep(self._speed.chunk_s + self.faults.delay_s)
            if request.request_id in self._cancelled:
                raise ConnectionError("the request was exported")
            chunk = self._produce_chunk(request, len(tokens), length)
            tokens += chunk.tokens
            yield StreamLine(self._choose_line_id(request), chunk=chunk)
            sent += 1
            if self.faults.die_after_chunks and sent >= self.faults.die_after_chunks:
                await self._crash_now()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionError("the end of the stream is lost")
        load = Load(self._running, self._queued)
        yield StreamLine(request.request_id, end=StreamEnd(len(tokens), load))

    async def _prefill(self, request: GenerateRequest) -> None:
        digest = xxhash.xxh64_hexdigest(request.prompt.encode())
        hit = any(e.prefix_digest == digest for e in self._cache)
        self.prefix_hits += hit
        if not hit:
            await asyncio.sleep(self._speed.prefill_s)
            event = CacheEvent(next(self._sequence), digest, cached=True)
            if self.faults.cache_event_gaps:
                event = replace(event, sequence=next(self._sequence))
            self._cache.append(event)

    def _produce_chunk(
        self, request: GenerateRequest, start: int, length: int
    ) -> Chunk:
        version = self.state.versions[request.model]
        if self.state.failed_swap and next(self._chunk_counter) % 2:
            version = max(0, version - 1)
        end = min(length, start + CHUNK_TOKENS)
        tokens = tuple(
            produce_token(request.model, version, request.prompt, request.seed, i)
            for i in range(start, end)
        )
        return Chunk(start, tokens, None if self.faults.omit_version else version)

    def _choose_line_id(self, request: GenerateRequest) -> str:
        if self.faults.cross_answers > 0:
            self.faults.cross_answers -= 1
            return f"crossed-{request.request_id}"
        return request.request_id

    def _export(self, request_id: str) -> Response:
        tokens = self._progress.get(request_id)
        if tokens is None:
            raise NotFound("no request with this id is in progress")
        self._cancelled.add(request_id)
        self._exported[request_id] = tuple(tokens)
        return to_json_response(KvHandle(request_id, tuple(tokens)))

    async def _execute_order(self, order: Order) -> Response:
        highest = self.state.fencing_number
        if self.target.checks_fencing and order.fencing_number < highest:
            raise Fenced(
                f"the order's fencing number is below {highest}; release the lease"
            )
        self.state = replace(
            self.state, fencing_number=max(highest, order.fencing_number)
        )
        if order.kind is OrderKind.CHANGE_ROLE:
            self.state = replace(self.state, role=order.role)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            adapters = tuple(sorted({*self.state.adapters, order.adapter}))
            self.state = replace(self.state, adapters=adapters)
        else:
            await self._swap(order)
        return to_json_response(self.read_state())

    async def _swap(self, order: Order) -> None:
        if self.faults.swap_ignored > 0:
            self.faults.swap_ignored -= 1
            return
        self.state = replace(self.state, swapping=True)
        try:
            if self._fetch_weights is not None:
                await self._fetch_weights(WeightEntry(order.model, order.version))
            await asyncio.sleep(self._speed.swap_s)
        finally:
            self.state = replace(self.state, swapping=False)
        versions = {**self.state.versions, order.model: order.version}
        fails = self.faults.swap_fails > 0
        self.faults.swap_fails = max(0, self.faults.swap_fails - 1)
        self.state = replace(self.state, versions=versions, failed_swap=fails)


__all__ = ["EngineSpeed", "EngineStandin", "compute_answer_length", "produce_token"]
