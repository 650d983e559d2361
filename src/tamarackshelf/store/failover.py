"""Reaches the row store directly, or through a peer when this node is refused."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from tamarackshelf.contracts.rows import (
    Commit,
    FeedPage,
    FeedQuery,
    HistoryLost,
    RowConflict,
    RowPage,
    RowQuery,
    RowStore,
    RowStoreError,
    RowTransaction,
    StoreOutcomeUnknown,
    StoreRefused,
)
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.breaker import CircuitBreaker

# Peers asked in turn for one call; a third would only repeat an outage.
PEERS_PER_CALL = 2
# The store itself is tried again as often while it does not answer: results that
# wait for it are due soon after its return, and what left meanwhile has to be known.
LONGEST_PAUSE_S = 0.12

T = TypeVar("T")
Call = Callable[[RowStore], Awaitable[T]]
PeerSource = Callable[[], Sequence[RowStore]]


class FailoverStore:
    """A RowStore that goes on over peers; knows whether the store answers."""

    def __init__(self, direct: RowStore, timeline: Timeline) -> None:
        self.direct = direct
        self.recovered_at_s = float("-inf")
        self._timeline = timeline
        self._breaker = CircuitBreaker(LONGEST_PAUSE_S)
        self._peers: PeerSource = lambda: ()
        self._was_up = True
        self._offset_ms: float | None = None

    def set_peer_source(self, peers: PeerSource) -> None:
        """Takes what returns stores that are reached through living peers."""
        self._peers = peers

    @property
    def is_up(self) -> bool:
        """Tells whether the last direct calls were answered."""
        return self._was_up

    def now_store_ms(self) -> int | None:
        """Returns the store's steady clock now, or None before any answer."""
        if self._offset_ms is None:
            return None
        return int(_now_s() * 1000 + self._offset_ms)

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Commits or raises RowConflict; the conflict may be with this same call."""
        done = await self._call(lambda store: store.commit(transaction))
        self._note_clock(done.store_ms)
        return done

    async def read(self, query: RowQuery) -> RowPage:
        """Returns rows as of one moment."""
        page = await self._call(lambda store: store.read(query))
        self._note_clock(page.store_ms)
        return page

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Returns the parts of a table that hold rows."""
        return await self._call(lambda store: store.list_parts(table))

    async def feed(self, query: FeedQuery) -> FeedPage:
        """Returns changes as soon as there are some, or none after the wait."""
        page = await self._call(lambda store: store.feed(query))
        self._note_clock(page.store_ms)
        return page

    async def _call(self, call: Call[T]) -> T:
        error: RowStoreError | None = None
        if self._breaker.try_acquire(_now_s()):
            try:
                return await self.call_direct(call)
            except (StoreRefused, StoreOutcomeUnknown) as failed:
                error = failed
        for peer in self._peers()[:PEERS_PER_CALL]:
            try:
                return await call(peer)
            except StoreOutcomeUnknown as failed:
                error = failed
            except StoreRefused as failed:
                error = error or failed
        raise error or StoreRefused("the store does not answer; send it again later")

    async def call_direct(self, call: Call[T]) -> T:
        """Calls the store itself and remembers whether it answered."""
        try:
            result = await call(self.direct)
        except (StoreRefused, StoreOutcomeUnknown) as error:
            self._breaker.record_failure(_now_s())
            self._note_state(error)
            raise
        except (RowConflict, HistoryLost):
            self._breaker.record_success()
            self._note_state(None)
            raise
        self._breaker.record_success()
        self._note_state(None)
        return result

    def _note_state(self, error: RowStoreError | None) -> None:
        is_up = self._breaker.is_closed
        if is_up == self._was_up:
            return
        self._was_up = is_up
        if is_up:
            self.recovered_at_s = _now_s()
            self._timeline.record("dependency_regained", "store", "it answers again")
        else:
            self._timeline.record("dependency_lost", "store", str(error))

    def _note_clock(self, store_ms: int) -> None:
        if store_ms:
            self._offset_ms = store_ms - _now_s() * 1000


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["FailoverStore"]
