"""Access to the row store, directly or through a peer if the direct call fails."""

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

# If two peers cannot reach the store either, it is down and a third would not help.
MAX_PEERS_PER_CALL = 2
# Longest pause between direct calls while the store does not respond. It is short
# because results that wait for the store are due soon after its return, and the node
# then has to learn which nodes and targets have left in the meantime.
MAX_PAUSE_S = 0.12
# Longest pause between calls through peers while their calls fail as well: the store is
# away for all nodes then, and each call through peers costs three of them work.
MAX_PEER_PAUSE_S = 1.0

T = TypeVar("T")
Call = Callable[[RowStore], Awaitable[T]]
PeerSource = Callable[[], Sequence[RowStore]]


class FailoverStore:
    """A RowStore that falls back to peers and tracks whether the store responds.

    `direct` calls the store without peers; `recovered_at_s` is the event loop's time
    when the store last responded again after an outage.
    """

    def __init__(self, direct: RowStore, timeline: Timeline) -> None:
        self.direct = direct
        self.recovered_at_s = float("-inf")
        self._timeline = timeline
        self._breaker = CircuitBreaker(MAX_PAUSE_S)
        self._peer_breaker = CircuitBreaker(MAX_PEER_PAUSE_S)
        self._peers: PeerSource = lambda: ()
        self._is_up = True
        self._offset_ms: float | None = None

    def set_peer_source(self, peers: PeerSource) -> None:
        """Set the function that returns stores reached through live peers."""
        self._peers = peers

    @property
    def is_up(self) -> bool:
        """Whether the last direct calls got a response."""
        return self._is_up

    def now_store_ms(self) -> int | None:
        """Return the estimated time of the store's monotonic clock in ms.

        Return None before the first response.
        """
        if self._offset_ms is None:
            return None
        return int(_now_s() * 1000 + self._offset_ms)

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Commit a transaction; raise RowConflict if a condition fails.

        The conflict may be with this same transaction: an attempt whose response was
        lost may have been committed before the next attempt.
        """
        done = await self._call(lambda store: store.commit(transaction))
        self._record_clock(done.store_ms)
        return done

    async def read(self, query: RowQuery) -> RowPage:
        """Return rows from a single snapshot."""
        page = await self._call(lambda store: store.read(query))
        self._record_clock(page.store_ms)
        return page

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the parts of a table that contain rows."""
        return await self._call(lambda store: store.list_parts(table))

    async def feed(self, query: FeedQuery) -> FeedPage:
        """Return the next changes as soon as there are any, or none after `wait_s`."""
        page = await self._call(lambda store: store.feed(query))
        self._record_clock(page.store_ms)
        return page

    async def _call(self, call: Call[T]) -> T:
        error: RowStoreError | None = None
        if self._breaker.try_acquire(_now_s()):
            try:
                return await self.call_direct(call)
            except (StoreRefused, StoreOutcomeUnknown) as failed:
                error = failed
        if self._peer_breaker.try_acquire(_now_s()):
            peers = self._peers()[:MAX_PEERS_PER_CALL]
            for peer in peers:
                try:
                    result = await call(peer)
                except StoreOutcomeUnknown as failed:
                    error = failed
                except StoreRefused as failed:
                    error = error or failed
                except (RowConflict, HistoryLost):
                    self._peer_breaker.record_success()
                    raise
                else:
                    self._peer_breaker.record_success()
                    return result
            if peers:
                self._peer_breaker.record_failure(_now_s())
        raise error or StoreRefused(
            "the row store does not respond; send the call again later"
        )

    async def call_direct(self, call: Call[T]) -> T:
        """Call the store directly and record whether it responded."""
        try:
            result = await call(self.direct)
        except (StoreRefused, StoreOutcomeUnknown) as error:
            self._breaker.record_failure(_now_s())
            self._record_state(error)
            raise
        except (RowConflict, HistoryLost):
            self._breaker.record_success()
            self._record_state(None)
            raise
        self._breaker.record_success()
        self._record_state(None)
        return result

    def _record_state(self, error: RowStoreError | None) -> None:
        if error is None:
            self._peer_breaker.record_success()
        is_up = self._breaker.is_closed
        if is_up == self._is_up:
            return
        self._is_up = is_up
        if is_up:
            self.recovered_at_s = _now_s()
            self._timeline.record(
                "dependency_regained", "store", "the row store responds again"
            )
        else:
            self._timeline.record("dependency_lost", "store", str(error))

    def _record_clock(self, store_ms: int) -> None:
        if store_ms:
            self._offset_ms = store_ms - _now_s() * 1000


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["FailoverStore"]
