"""Contract of a model engine: streams, state, cache events and orders."""

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
from tamarackshelf.net import ConnectionLost, HttpClient
from tamarackshelf.world import Address

MAX_LINE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """Asks for tokens; generation goes on after `prefix`."""

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
    """What an engine says of its load; it lags behind."""

    running: int = 0
    queued: int = 0
    queued_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Chunk:
    """Tokens that one weight version produced; `index` is that of the first."""

    index: int
    tokens: tuple[str, ...]
    version: int | None


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """The end marker; `length` counts all tokens, the prefix included."""

    length: int
    load: Load = field(default_factory=Load)


@dataclass(frozen=True, slots=True)
class StreamLine:
    """One line of an engine's stream: a chunk or the end marker."""

    request_id: str
    chunk: Chunk | None = None
    end: StreamEnd | None = None


class OrderKind(enum.StrEnum):
    """What an order asks of an engine."""

    LOAD_VERSION = "load_version"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class Order:
    """An absolute order: be at this version, or have this role."""

    kind: OrderKind
    fencing_number: int
    model: str = ""
    version: int = 0
    adapter: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says of itself; `failed_swap` means a mix may be served."""

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
    """A prompt prefix that came into or left an engine's cache."""

    sequence: int
    prefix_digest: str
    cached: bool


@dataclass(frozen=True, slots=True)
class KvHandle:
    """Names an exported KV cache of an unfinished request."""

    handle: str
    tokens: tuple[str, ...] = ()


class OrderFenced(Exception):
    """The engine has seen a higher fencing number; give up the lease."""


async def generate(
    http: HttpClient, address: Address, request: GenerateRequest, timeout_s: float
) -> AsyncGenerator[StreamLine, None]:
    """Yields the engine's lines; the last one holds the end marker.

    Raises ConnectFailed, ConnectionLost or RefusedByTarget. A line that names
    another request ends the stream with ConnectionLost.
    """
    async with http.stream(
        address,
        "POST",
        "/v1/generate",
        body=msgspec.json.encode(request),
        timeout_s=timeout_s,
        new_connection=True,
    ) as answer:
        if answer.status != 200:
            body = b"".join([part async for part in answer.chunks()])
            raise_target_error(address, answer.status, body)
        buffer = b""
        async for data in answer.chunks():
            buffer += data
            *lines, buffer = buffer.split(b"\n")
            if len(buffer) > MAX_LINE_BYTES:
                raise ConnectionLost(f"{address} sent a line over {MAX_LINE_BYTES}")
            for text in lines:
                yield _decode_line(address, text, request.request_id)


async def read_state(
    http: HttpClient, address: Address, timeout_s: float = 2.0
) -> EngineState:
    """Returns what the engine says of itself."""
    return await call_json(
        http, address, "GET", "/v1/state", EngineState, timeout_s=timeout_s
    )


async def send_order(
    http: HttpClient, address: Address, order: Order, timeout_s: float
) -> EngineState:
    """Sends an order; raises OrderFenced when its fencing number is too old."""
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
    """Stops a request and returns the handle of its KV cache."""
    path = f"/v1/kv/export/{request_id}"
    return await call_json(http, address, "POST", path, KvHandle, timeout_s=timeout_s)


async def import_kv(
    http: HttpClient, address: Address, handle: KvHandle, timeout_s: float = 5.0
) -> KvHandle:
    """Gives an exported KV cache to another engine; generate names its handle."""
    return await call_json(
        http, address, "POST", "/v1/kv/import", KvHandle, handle, timeout_s
    )


async def read_cache_events(
    http: HttpClient, address: Address, after: int, timeout_s: float = 2.0
) -> tuple[CacheEvent, ...]:
    """Returns the cache events after a sequence number; there may be gaps."""
    path = f"/v1/cache-events?after={after}"
    return await call_json(
        http, address, "GET", path, tuple[CacheEvent, ...], timeout_s=timeout_s
    )


def _decode_line(address: Address, text: bytes, request_id: str) -> StreamLine:
    try:
        line = _LINE_DECODER.decode(text)
    except msgspec.DecodeError as error:
        raise ConnectionLost(f"{address} sent a broken line: {error}") from error
    if line.request_id != request_id:
        raise ConnectionLost(f"{address} answered request {line.request_id}")
    return line


_LINE_DECODER = msgspec.json.Decoder(StreamLine)

__all__ = [
    "CacheEvent",
    "Chunk",
    "StreamEnd",
    "EngineState",
    "GenerateRequest",
    "KvHandle",
    "Load",
    "Order",
    "OrderFenced",
    "OrderKind",
    "StreamLine",
    "export_kv",
    "generate",
    "import_kv",
    "read_cache_events",
    "read_state",
    "send_order",
]
