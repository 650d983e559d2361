"""Answers of keyed requests at this gateway, and the registry of keys."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from tamarackshelf.contracts import Chunk
from tamarackshelf.errors import KeyConflict
from tamarackshelf.peers.messages import RegisterAnswer, RegisterRequest
from tamarackshelf.world import Segment

MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class CompletionAnswer:
    """A complete answer: its tokens and the weight versions that produced them."""

    tokens: tuple[str, ...]
    segments: tuple[Segment, ...]


class AnswerStream:
    """Answer of a running or finished request; each reader gets it from its start.

    `body_digest` is the digest of the request's body.
    """

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
        """End the answer with an error, which is raised to every reader."""
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
        """Return the answer of a key, or None if there is none.

        Raise KeyConflict if the key was used with another request body.
        """
        stream = self._streams.get(key)
        if stream is not None and stream.body_digest != body_digest:
            raise build_key_conflict()
        return stream

    def find(self, key: str) -> AnswerStream | None:
        """Return the answer of a key, or None, without comparing request bodies."""
        return self._streams.get(key)

    def start(self, key: str, body_digest: str) -> AnswerStream:
        """Add and return an empty answer for a key.

        Beyond 1024 answers, evict the oldest ones, up to the first that is not done.
        """
        stream = AnswerStream(body_digest)
        self._streams[key] = stream
        self._evict_finished()
        return stream

    def remove(self, key: str) -> None:
        """Remove the answer of a failed request, so that a resent request runs again.

        An unknown key is ignored.
        """
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
    """Record of which gateway runs the request of a key, with its answer if complete.

    Each key has one gateway whose registry is responsible for it.
    """

    _keys: OrderedDict[str, _RegisteredKey] = field(default_factory=OrderedDict)
    _stored_bytes: int = 0

    def register(self, request: RegisterRequest) -> RegisterAnswer:
        """Register a gateway for a key, and return the gateway that is registered then.

        The first gateway to register a key stays registered. One that got no answer
        from it names it in `replaces` and takes its place, unless an answer is stored.
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
        """Store the complete answer of a key, unless it is unknown or has an answer.

        Evict the keys whose last registration is oldest when all stored answers
        together exceed MAX_TOTAL_ANSWER_BYTES.
        """
        registered = self._keys.get(key)
        if registered is None or registered.answer:
            return
        registered.answer = answer
        self._stored_bytes += len(answer)
        while self._stored_bytes > MAX_TOTAL_ANSWER_BYTES and len(self._keys) > 1:
            _, oldest = self._keys.popitem(last=False)
            self._stored_bytes -= len(oldest.answer)


def build_key_conflict() -> KeyConflict:
    """Return the error for a key that was used with a different body."""
    return KeyConflict(
        "the idempotency key was used with a different request body; use a new key"
    )


__all__ = [
    "AnswerCache",
    "AnswerStream",
    "CompletionAnswer",
    "KeyRegistry",
    "build_key_conflict",
]
