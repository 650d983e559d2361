"""Port of a transactional row store with change feeds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

ABSENT_VERSION = 0


@dataclass(frozen=True, slots=True)
class RowKey:
    """Names a row; transactions stay within one part."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as stored; `version` rises over the whole store at each transaction."""

    at: RowKey
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RowCondition:
    """Holds when the row has this version; ABSENT_VERSION means no row."""

    at: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Sets a row's value; None deletes the row."""

    at: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RowTransaction:
    """All writes of one part happen, or none does when a condition fails."""

    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


@dataclass(frozen=True, slots=True)
class Commit:
    """A committed transaction; `store_ms` is the store's steady clock."""

    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows of one moment in key order."""

    rows: tuple[StoredRow, ...]
    has_more: bool
    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class RowChange:
    """A changed row; the value is None when the row was deleted."""

    at: RowKey
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class FeedPage:
    """Changes after a version, in order; go on after `version`."""

    changes: tuple[RowChange, ...]
    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class RowQuery:
    """Asks for rows of one part from a key onward."""

    table: str
    part: str
    from_key: str = ""
    limit: int = 500


@dataclass(frozen=True, slots=True)
class FeedQuery:
    """Asks for the changes of a table; waits when there are none."""

    table: str
    after: int
    wait_s: float


class RowStoreError(Exception):
    """Base of what can go wrong with a call to the row store."""


class StoreRefused(RowStoreError):
    """The store did nothing; send the call again later."""


class StoreOutcomeUnknown(RowStoreError):
    """No answer came; a write may take effect now or later. Read it back."""


class RowConflict(RowStoreError):
    """A condition failed; `rows` are the rows of the conditions as stored."""

    def __init__(self, rows: tuple[StoredRow, ...]) -> None:
        super().__init__("a condition failed; read the rows and decide anew")
        self.rows = rows


class HistoryLost(RowStoreError):
    """The feed no longer holds the changes; read the table again."""


class RowStore(Protocol):
    """What a row store does; all calls may raise RowStoreError."""

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Commits or raises RowConflict."""

    async def read(self, query: RowQuery) -> RowPage:
        """Returns rows as of one moment."""

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Returns the parts of a table that hold rows."""

    async def feed(self, query: FeedQuery) -> FeedPage:
        """Returns changes as soon as there are some, or none after the wait."""


__all__ = [
    "ABSENT_VERSION",
    "Commit",
    "FeedPage",
    "FeedQuery",
    "HistoryLost",
    "RowChange",
    "RowCondition",
    "RowConflict",
    "RowKey",
    "RowPage",
    "RowQuery",
    "RowStore",
    "RowStoreError",
    "RowTransaction",
    "RowWrite",
    "StoreRefused",
    "StoreOutcomeUnknown",
    "StoredRow",
]
