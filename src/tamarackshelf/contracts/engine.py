"""Client and message types of a model engine.

They cover generation, engine state, orders, KV cache transfer and cache events.
"""

from __future__ import annotations

import enum
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

import msgspec

from tamarackshelf.contracts.calls import (
    RefusedByTarget,
    call_json,
    raise_target_error,
)
from tamarackshelf.decoding import InvalidInput, decode_json
from tamarackshelf.net import ConnectionLost, HttpClient
from tamarackshelf.world import Address

MAX_LINE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """Request for tokens; generation continues after the tokens in `prefix`."""

    request_id: str
    model: str
    prompt: str
    seed: int
    max_tokens: int
    prefix: tuple[str, ...] = ()
    priority: int = 0
    kv_handle: str = ""


@dataclass(frozen=True, slots=True)
class Load:
    """Load that an engine reports; the figures may be out of date."""

    running: int = 0
    queued: int = 0
    queued_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Chunk:
    """Tokens from one weight version; `index` is the position of the first one."""

    index: int
    tokens: tuple[str, ...]
    version: int | None


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """End marker of a stream; `length` counts all tokens including the prefix."""

    length: int
    load: Load = field(default_factory=Load)


@dataclass(frozen=True, slots=True)
class StreamLine:
    """One line of an engine's response stream: a chunk or the end marker."""

    request_id: str
    chunk: Chunk | None = None
    end: StreamEnd | None = None


class OrderKind(enum.StrEnum):
    """What an order tells an engine to do."""

    LOAD_VERSION = "load_version"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class Order:
    """Order that names the version, adapter or role to have, so it is idempotent."""

    kind: OrderKind
    fencing_number: int
    model: str = ""
    version: int = 0
    adapter: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports about itself.

    With `failed_swap` set the engine may serve a mix of weight versions.
    """

    incarnation: int
    role: str = "mixed"
    versions: dict[str, int] = field(default_factory=dict)
    adapters: tuple[str, ...] = ()
    swapping: bool = False
    failed_swap: bool = False
    leaving: bool = False
    fencing_number: int = 0
    load: Load = field(default_factory=Load)


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Addition of a prompt prefix to an engine's cache, or eviction of the prefix."""

    sequence: int
    prefix_digest: str
    cached: bool


@dataclass(frozen=True, slots=True)
class KvHandle:
    """Handle of the exported KV cache of an unfinished request."""

    handle: str
    tokens: tuple[str, ...] = ()


class OrderFenced(Exception):
    """The engine has seen a higher fencing number: the sender must drop its lease."""


async def generate(
    http: HttpClient, address: Address, request: GenerateRequest, timeout_s: float
) -> AsyncGenerator[StreamLine, None]:
    """Send a request and yield the lines of the response; the last has the end marker.

    Raise ConnectFailed, ConnectionLost, RefusedByTarget or TargetFault. An invalid
    line, or one that names another request, raises ConnectionLost.
    """
    async with http.stream(
        address,
        "POST",
        "/v1/generate",
        body=msgspec.json.encode(request),
        timeout_s=timeout_s,
        new_connection=True,
    ) as response:
        if response.status != 200:
            body = b"".join([part async for part in response.chunks()])
            raise_target_error(address, response.status, body)
        buffer = b""
        async for data in response.chunks():
            buffer += data
            *lines, buffer = buffer.split(b"\n")
            if len(buffer) > MAX_LINE_BYTES:
                raise ConnectionLost(
                    f"{address} sent a line longer than {MAX_LINE_BYTES} bytes"
                )
            for text in lines:
                yield _decode_line(address, text, request.request_id)


async def read_state(
    http: HttpClient, address: Address, timeout_s: float = 2.0
) -> EngineState:
    """Return the state that the engine reports about itself."""
    return await call_json(
        http, address, "GET", "/v1/state", EngineState, timeout_s=timeout_s
    )


async def send_order(
    http: HttpClient, address: Address, order: Order, timeout_s: float
) -> EngineState:
    """Send an order; raise OrderFenced if its fencing number is too low."""
    try:
        return await call_json(
            http, address, "POST", "/v1/orders", EngineState, order, timeout_s
        )
    except RefusedByTarget as error:
        if error.kind == "fenced":
            raise OrderFenced(error.message) from error
        raise


async def export_kv(
    http: HttpClient, address: Address, request_id: str, timeout_s: float = 5.0
) -> KvHandle:
    """Stop a request at the engine and return the handle of its KV cache."""
    path = f"/v1/kv/export/{request_id}"
    return await call_json(http, address, "POST", path, KvHandle, timeout_s=timeout_s)


async def import_kv(
    http: HttpClient, address: Address, handle: KvHandle, timeout_s: float = 5.0
) -> KvHandle:
    """Import an exported KV cache so that `generate` can refer to it by its handle."""
    return await call_json(
        http, address, "POST", "/v1/kv/import", KvHandle, handle, timeout_s
    )


async def read_cache_events(
    http: HttpClient, address: Address, after: int, timeout_s: float = 2.0
) -> tuple[CacheEvent, ...]:
    """Return the cache events after a sequence number; numbers may be missing."""
    path = f"/v1/cache-events?after={after}"
    return await call_json(
        http, address, "GET", path, tuple[CacheEvent, ...], timeout_s=timeout_s
    )


def _decode_line(address: Address, text: bytes, request_id: str) -> StreamLine:
    try:
        line = decode_json(text, StreamLine)
    except InvalidInput as error:
        raise ConnectionLost(f"{address} sent an invalid line: {error}") from error
    if line.request_id != request_id:
        raise ConnectionLost(f"{address} sent a line of request {line.request_id}")
    return line


__all__ = [
    "CacheEvent",
    "Chunk",
    "EngineState",
    "GenerateRequest",
    "KvHandle",
    "Load",
    "Order",
    "OrderFenced",
    "OrderKind",
    "StreamEnd",
    "StreamLine",
    "export_kv",
    "generate",
    "import_kv",
    "read_cache_events",
    "read_state",
    "send_order",
]
