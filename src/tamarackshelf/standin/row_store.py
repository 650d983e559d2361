"""In-memory row store with fault injection, for tests."""

from __future__ import annotations

import asyncio

from tamarackshelf.contracts.rows import (
    Commit,
    FeedPage,
    FeedQuery,
    HistoryLost,
    RowChange,
    RowConflict,
    RowKey,
    RowPage,
    RowQuery,
    RowTransaction,
    StoredRow,
    StoreOutcomeUnknown,
    StoreRefused,
)

MAX_WAIT_S = 30.0
# A shorter wait might end before the clock of the event loop has advanced.
MIN_WAIT_S = 0.001


class MemoryRowStore:
    """Rows and change history of a store; access it through a client."""

    def __init__(self) -> None:
        self.rows: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.is_down = False
        self._changes: list[RowChange] = []
        self._truncated_version = 0
        self._changed = asyncio.Event()

    def connect(self) -> MemoryRowStoreClient:
        """Return a new client, whose faults do not affect other clients."""
        return MemoryRowStoreClient(self)

    def truncate_history(self) -> None:
        """Drop all changes so far; a feed from before them raises HistoryLost."""
        self._truncated_version = self.version
        self._changes.clear()
        self._notify_waiters()

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> None:
        """Write or delete a row directly, as an operator or a worker does."""
        at = RowKey(table, part, key)
        self.version += 1
        self._apply(at, value)
        self._notify_waiters()

    def commit_now(self, transaction: RowTransaction) -> Commit:
        """Commit a transaction without a client's faults, or raise RowConflict."""
        current = [self.rows.get(c.at) for c in transaction.conditions]
        versions = [row.version if row else 0 for row in current]
        if versions != [c.version for c in transaction.conditions]:
            raise RowConflict(tuple(row for row in current if row is not None))
        self.version += 1
        for write in transaction.writes:
            self._apply(write.at, write.value)
        self._notify_waiters()
        return Commit(self.version, self.now_ms())

    def read_now(self, query: RowQuery) -> RowPage:
        """Return the rows of a query without a client's faults."""
        found = sorted(
            (
                row
                for at, row in self.rows.items()
                if (at.table, at.part) == (query.table, query.part)
                and at.key >= query.from_key
            ),
            key=lambda row: row.at.key,
        )
        page = tuple(found[: query.limit])
        return RowPage(page, len(found) > len(page), self.version, self.now_ms())

    async def wait_for_changes(self, query: FeedQuery) -> FeedPage:
        """Wait for changes of a table and return them, or none after `query.wait_s`.

        Raise HistoryLost if the changes after `query.after` have been dropped.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + min(MAX_WAIT_S, query.wait_s)
        while True:
            if query.after < self._truncated_version:
                raise HistoryLost(
                    f"the changes after version {query.after} were dropped"
                )
            found = tuple(
                change
                for change in self._changes
                if change.version > query.after and change.at.table == query.table
            )
            left_s = until_s - loop.time()
            if found or left_s <= MIN_WAIT_S:
                return FeedPage(found, self.version, self.now_ms())
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def now_ms(self) -> int:
        """Return the store's monotonic clock in milliseconds."""
        return int(asyncio.get_running_loop().time() * 1000) + 1

    def _apply(self, at: RowKey, value: bytes | None) -> None:
        if value is None:
            self.rows.pop(at, None)
        else:
            self.rows[at] = StoredRow(at, value, self.version)
        self._changes.append(RowChange(at, value, self.version))

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class MemoryRowStoreClient:
    """RowStore implementation for one node, with fault injection.

    If `is_refused` is set, all calls are refused. The next `lose_answers` commits are
    executed, but their responses are lost; if `late_commit_delay_s` is set, these
    commits are executed only after this delay.
    """

    def __init__(self, store: MemoryRowStore) -> None:
        self.is_refused = False
        self.lose_answers = 0
        self.late_commit_delay_s = 0.0
        self.calls = 0
        self._store = store

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Commit a transaction, or raise RowConflict or StoreOutcomeUnknown."""
        await self._simulate_call()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self._commit_without_answer(transaction)
            raise StoreOutcomeUnknown("the response was lost")
        return self._store.commit_now(transaction)

    async def read(self, query: RowQuery) -> RowPage:
        """Return the rows of a query as a consistent snapshot."""
        await self._simulate_call()
        return self._store.read_now(query)

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the parts of a table that contain rows."""
        await self._simulate_call()
        return tuple(sorted({at.part for at in self._store.rows if at.table == table}))

    async def feed(self, query: FeedQuery) -> FeedPage:
        """Return changes as soon as there are any, or none after `query.wait_s`."""
        await self._simulate_call()
        page = await self._store.wait_for_changes(query)
        await self._simulate_call()
        return page

    async def _simulate_call(self) -> None:
        self.calls += 1
        await asyncio.sleep(0.004)
        if self.is_refused or self._store.is_down:
            raise StoreRefused("the store refuses this client")

    def _commit_without_answer(self, transaction: RowTransaction) -> None:
        def commit_ignoring_conflict() -> None:
            try:
                self._store.commit_now(transaction)
            except RowConflict:
                # The conditions no longer hold, and no caller waits for the response.
                return

        if self.late_commit_delay_s:
            asyncio.get_running_loop().call_later(
                self.late_commit_delay_s, commit_ignoring_conflict
            )
        else:
            commit_ignoring_conflict()


__all__ = ["MemoryRowStore", "MemoryRowStoreClient"]
