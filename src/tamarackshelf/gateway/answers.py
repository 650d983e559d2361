"""Answers of keyed requests, in progress or complete, and the key registry."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from tamarackshelf.contracts import Chunk
from tamarackshelf.errors import KeyConflict
from tamarackshelf.peers.messages import RegisterAnswer, RegisterRequest
from tamarackshelf.world import Segment

MAX_STORED_ANSWER_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class CompletionAnswer:
    """A complete answer: its tokens and the weight versions that produced them."""

    tokens: tuple[str, ...]
    segments: tuple[Segment, ...]


class AnswerStream:
    """An answer in progress that several callers can each read from its start."""

    def __init__(self, body_digest: str) -> None:
        self.body_digest = body_digest
        self.answer: CompletionAnswer | None = None
        self._chunks: list[Chunk] = []
        self._error: Exception | None = None
        self._changed = asyncio.Event()

    @property
    def is_done(self) -> bool:
        """Whether the answer is complete or failed."""
        return self.answer is not None or self._error is not None

    def add(self, chunk: Chunk) -> None:
        """Append a chunk and wake the readers."""
        self._chunks.append(chunk)
        self._notify()

    def finish(self, answer: CompletionAnswer) -> None:
        """Mark the answer as complete and wake the readers."""
        self.answer = answer
        self._notify()

    def fail(self, error: Exception) -> None:
        """End the answer with an error that is raised to every reader."""
        self._error = error
        self._notify()

    async def follow(self) -> AsyncIterator[Chunk]:
        """Yield all chunks from the first; raise the error that ended the answer."""
        sent = 0
        while True:
            changed = self._changed
            while sent < len(self._chunks):
                yield self._chunks[sent]
                sent += 1
            if self._error is not None:
                raise self._error
            if self.answer is not None:
                return
            if sent == len(self._chunks):
                await changed.wait()

    async def wait_complete(self) -> CompletionAnswer:
        """Return the complete answer or raise the error that ended it."""
        async for _ in self.follow():
            pass
        assert self.answer is not None
        return self.answer

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class AnswerCache:
    """Answers of keyed requests that are running or have run at this gateway."""

    def __init__(self) -> None:
        self._streams: OrderedDict[str, AnswerStream] = OrderedDict()

    def get(self, key: str, body_digest: str) -> AnswerStream | None:
        """Return the answer of a key; raise KeyConflict if its body differs."""
        stream = self._streams.get(key)
        if stream is not None and stream.body_digest != body_digest:
            raise build_key_conflict()
        return stream

    def find(self, key: str) -> AnswerStream | None:
        """Return the answer of a key without comparing bodies."""
        return self._streams.get(key)

    def start(self, key: str, body_digest: str) -> AnswerStream:
        """Add an empty answer for a key and evict the oldest finished answers."""
        stream = AnswerStream(body_digest)
        self._streams[key] = stream
        self._evict_finished()
        return stream

    def remove(self, key: str) -> None:
        """Remove a failed answer, so that a resent request runs again."""
        self._streams.pop(key, None)

    def _evict_finished(self) -> None:
        while len(self._streams) > 1024:
            key = next(iter(self._streams))
            if not self._streams[key].is_done:
                return
            del self._streams[key]


@dataclass(slots=True)
class _RegisteredKey:
    gateway: str
    body_digest: str
    answer: bytes = b""


@dataclass(slots=True)
class KeyRegistry:
    """Records which gateway runs each of the keys that this VM is responsible for."""

    _keys: OrderedDict[str, _RegisteredKey] = field(default_factory=OrderedDict)
    _stored_bytes: int = 0

    def register(self, request: RegisterRequest) -> RegisterAnswer:
        """Return the gateway that runs the key: the first one that registered it.

        A gateway that got no answer from the registered one names it in `replaces`
        and takes over the key, unless an answer is already stored.
        """
        registered = self._keys.get(request.key)
        if registered is None or (
            registered.gateway == request.replaces and not registered.answer
        ):
            registered = _RegisteredKey(request.gateway, request.body_digest)
            self._keys[request.key] = registered
        self._keys.move_to_end(request.key)
        return RegisterAnswer(
            registered.gateway, registered.body_digest, registered.answer
        )

    def store(self, key: str, answer: bytes) -> None:
        """Store the complete answer of a registered key.

        Evict the least recently used keys when the stored answers exceed
        MAX_STORED_ANSWER_BYTES.
        """
        registered = self._keys.get(key)
        if registered is None or registered.answer:
            return
        registered.answer = answer
        self._stored_bytes += len(answer)
        while self._stored_bytes > MAX_STORED_ANSWER_BYTES and len(self._keys) > 1:
            _, oldest = self._keys.popitem(last=False)
            self._stored_bytes -= len(oldest.answer)


def build_key_conflict() -> KeyConflict:
    """Return the error for a key that was used with a different body."""
    return KeyConflict(
        "the idempotency key was used with a different request body; use a new key"
    )


__all__ = [
    "AnswerCache",
    "CompletionAnswer",
    "KeyRegistry",
    "AnswerStream",
    "build_key_conflict",
]
