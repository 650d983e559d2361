"""Local copy of a table's rows, kept up to date from its change feed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

from tamarackshelf.contracts.rows import (
    FeedQuery,
    HistoryLost,
    RowChange,
    RowKey,
    RowPage,
    RowQuery,
    RowStore,
    RowStoreError,
    StoredRow,
)
from tamarackshelf.observe import Timeline
from tamarackshelf.tasks import start_task, stop_tasks

# Time that a feed query waits for changes: short enough to notice a silent connection
# soon. If the feed queries of all nodes would exceed the store's rate limit, the node
# sets a longer `wait_s`, up to MAX_FEED_WAIT_S.
FEED_WAIT_S = 0.8
MAX_FEED_WAIT_S = 10.0
RETRY_PAUSE_S = 0.1

Listener = Callable[[tuple[RowChange, ...]], None]

log = logging.getLogger("tamarackshelf")


class TableWatch:
    """Copy of the rows of one table; a row never goes back to an older version.

    `loaded` is set once the whole table was read, and cleared until it was read again
    if the feed has lost changes. `last_response_at_s` is the event loop's time of the
    last response to a feed query.
    """

    def __init__(
        self, store: RowStore, table: str, timeline: Timeline, *, has_parts: bool
    ) -> None:
        self.rows: dict[RowKey, StoredRow] = {}
        self.loaded = asyncio.Event()
        self.last_response_at_s = float("-inf")
        self.wait_s = FEED_WAIT_S
        self._store = store
        self._table = table
        self._timeline = timeline
        self._has_parts = has_parts
        self._version = 0
        self._listeners: list[Listener] = []
        self._task: asyncio.Task[None] | None = None
        self._is_failing = False
        self._keeps_values = True

    def on_change(self, listener: Listener) -> None:
        """Call the listener with each batch of changes; deleted rows have no value."""
        self._listeners.append(listener)

    def discard_values(self) -> None:
        """Keep only the versions of rows from now on, as values may contain secrets.

        Listeners get the values of later changes.
        """
        self._keeps_values = False
        for at, row in self.rows.items():
            self.rows[at] = StoredRow(at, b"", row.version)

    async def start(self) -> None:
        """Start to read the table and to follow its feed."""
        self._task = start_task(f"watch_{self._table}", self._run)

    async def close(self) -> None:
        """Stop following the feed."""
        await stop_tasks(self._task)

    def apply_changes(self, changes: Iterable[RowChange]) -> None:
        """Apply changes newer than the known rows and notify the listeners of them."""
        applied = tuple(change for change in changes if self._apply(change))
        if applied:
            for listener in self._listeners:
                notify_of_rows(listener, applied)

    async def _run(self) -> None:
        while True:
            try:
                if not self.loaded.is_set():
                    await self._load()
                query = FeedQuery(self._table, self._version, self.wait_s)
                page = await self._store.feed(query)
            except HistoryLost as error:
                self._timeline.record("feed_reread", self._table, str(error))
                self.loaded.clear()
                continue
            except RowStoreError as error:
                if not self._is_failing:
                    self._timeline.record("feed_failed", self._table, str(error))
                self._is_failing = True
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if self._is_failing:
                self._timeline.record("feed_regained", self._table, "it responds")
            self._is_failing = False
            self.last_response_at_s = asyncio.get_running_loop().time()
            self.apply_changes(page.changes)
            self._version = max(self._version, page.version)

    async def _load(self) -> None:
        """Read the whole table; known rows that no longer exist count as deleted."""
        first = await self._store.read(RowQuery(self._table, ""))
        rows = [*first.rows, *await self._read_rest("", first)]
        if self._has_parts:
            parts = await self._store.list_parts(self._table)
            read = [self._read_part(part) for part in parts if part]
            for found in await asyncio.gather(*read):
                rows += found
        found_by_key = {row.at: row for row in rows}
        gone = (
            RowChange(key, None, first.version)
            for key, row in list(self.rows.items())
            if key not in found_by_key and row.version <= first.version
        )
        changes = [RowChange(row.at, row.value, row.version) for row in rows]
        self.apply_changes([*changes, *gone])
        self._version = max(self._version, first.version)
        self.loaded.set()

    async def _read_part(self, part: str) -> list[StoredRow]:
        page = await self._store.read(RowQuery(self._table, part))
        return [*page.rows, *await self._read_rest(part, page)]

    async def _read_rest(self, part: str, page: RowPage) -> list[StoredRow]:
        rows: list[StoredRow] = []
        while page.has_more and page.rows:
            after = page.rows[-1].at.key + "\0"
            page = await self._store.read(RowQuery(self._table, part, after))
            rows += page.rows
        return rows

    def _apply(self, change: RowChange) -> bool:
        known = self.rows.get(change.at)
        if known is not None and known.version >= change.version:
            return False
        if change.value is None:
            return self.rows.pop(change.at, None) is not None
        value = change.value if self._keeps_values else b""
        self.rows[change.at] = StoredRow(change.at, value, change.version)
        return True


def notify_of_rows(listener: Listener, changes: tuple[RowChange, ...]) -> None:
    """Pass changes to a listener; one that it fails at does not cost it the others.

    Listeners may be told of the same change twice.
    """
    try:
        listener(changes)
    except Exception:
        if len(changes) > 1:
            for change in changes:
                notify_of_rows(listener, (change,))
            return
        row = changes[0].at
        event = {"row": f"{row.table}/{row.part}/{row.key}"}
        log.exception("row_failed", extra={"event": event})


__all__ = ["FEED_WAIT_S", "MAX_FEED_WAIT_S", "TableWatch", "notify_of_rows"]
