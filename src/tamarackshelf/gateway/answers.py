"""Answers in progress and done, by idempotency key."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from tamarackshelf.contracts import Chunk
from tamarackshelf.errors import KeyConflict
from tamarackshelf.peers.messages import RegisterAnswer, RegisterRequest
from tamarackshelf.world import Segment

MAX_KEPT_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class CompletionAnswer:
    """A whole answer: its tokens and which weight versions made them."""

    tokens: tuple[str, ...]
    segments: tuple[Segment, ...]


class AnswerStream:
    """An answer that grows; several callers may follow it from the start."""

    def __init__(self, body_digest: str) -> None:
        self.body_digest = body_digest
        self.answer: CompletionAnswer | None = None
        self._chunks: list[Chunk] = []
        self._error: Exception | None = None
        self._changed = asyncio.Event()

    @property
    def is_done(self) -> bool:
        """Tells whether the answer is whole or failed."""
        return self.answer is not None or self._error is not None

    def add(self, chunk: Chunk) -> None:
        """Adds a chunk."""
        self._chunks.append(chunk)
        self._notify()

    def finish(self, answer: CompletionAnswer) -> None:
        """Marks the answer as whole."""
        self.answer = answer
        self._notify()

    def fail(self, error: Exception) -> None:
        """Ends the answer with an error for all who follow it."""
        self._error = error
        self._notify()

    async def follow(self) -> AsyncIterator[Chunk]:
        """Yields all chunks from the first; raises the error that ended it."""
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
        """Returns the whole answer or raises the error that ended it."""
        async for _ in self.follow():
            pass
        assert self.answer is not None
        return self.answer

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class AnswerCache:
    """Answers of keyed requests that run or ran at this gateway."""

    def __init__(self) -> None:
        self._runs: OrderedDict[str, AnswerStream] = OrderedDict()

    def get(self, key: str, body_digest: str) -> AnswerStream | None:
        """Returns the run of a key; raises KeyConflict for another body."""
        progress = self._runs.get(key)
        if progress is not None and progress.body_digest != body_digest:
            raise build_key_conflict()
        return progress

    def find(self, key: str) -> AnswerStream | None:
        """Returns the run of a key."""
        return self._runs.get(key)

    def start(self, key: str, body_digest: str) -> AnswerStream:
        """Begins a run of a key."""
        progress = AnswerStream(body_digest)
        self._runs[key] = progress
        self._trim()
        return progress

    def drop(self, key: str) -> None:
        """Forgets a run that failed, so that a resend runs again."""
        self._runs.pop(key, None)

    def _trim(self) -> None:
        while len(self._runs) > 1024:
            key = next(iter(self._runs))
            if not self._runs[key].is_done:
                return
            del self._runs[key]


@dataclass(slots=True)
class _HomeRow:
    gateway: str
    body_digest: str
    answer: bytes = b""


@dataclass(slots=True)
class KeyRegistry:
    """Which gateway runs each key that has its home here."""

    _rows: OrderedDict[str, _HomeRow] = field(default_factory=OrderedDict)
    _kept_bytes: int = 0

    def register(self, request: RegisterRequest) -> RegisterAnswer:
        """Names the gateway that runs the key; the first one wins.

        A gateway that found the earlier one dead takes its place.
        """
        row = self._rows.get(request.key)
        if row is None or (row.gateway == request.replaces and not row.answer):
            row = _HomeRow(request.gateway, request.body_digest)
            self._rows[request.key] = row
        self._rows.move_to_end(request.key)
        return RegisterAnswer(row.gateway, row.body_digest, row.answer)

    def store(self, key: str, answer: bytes) -> None:
        """Keeps a whole answer within the memory bound."""
        row = self._rows.get(key)
        if row is None or row.answer:
            return
        row.answer = answer
        self._kept_bytes += len(answer)
        while self._kept_bytes > MAX_KEPT_BYTES and len(self._rows) > 1:
            _, oldest = self._rows.popitem(last=False)
            self._kept_bytes -= len(oldest.answer)


def build_key_conflict() -> KeyConflict:
    """Returns the error for a key that was used with another body."""
    return KeyConflict(
        "the idempotency key was used with another body; use a new key for it"
    )


__all__ = [
    "AnswerCache",
    "CompletionAnswer",
    "KeyRegistry",
    "AnswerStream",
    "build_key_conflict",
]
