"""Interface of a transactional row store with change feeds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

ABSENT_VERSION = 0


@dataclass(frozen=True, slots=True)
class RowKey:
    """Identity of a row; a transaction covers rows of a single part (partition)."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A stored row; `version` is the store-wide version that its last write created.

    Each transaction increases the store-wide version.
    """

    at: RowKey
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RowCondition:
    """Condition on the version of a row; ABSENT_VERSION means that no row exists."""

    at: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Write of a row's value; None deletes the row."""

    at: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RowTransaction:
    """Writes in one part, applied together or not at all if a condition fails."""

    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


@dataclass(frozen=True, slots=True)
class Commit:
    """Result of a committed transaction.

    `store_ms` is the time of the store's monotonic clock, here and in the pages below.
    """

    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows in key order, read from the snapshot of the store at `version`."""

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
    """Changes in version order; the next query asks for changes after `version`."""

    changes: tuple[RowChange, ...]
    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class RowQuery:
    """Query for the rows of one part, from `from_key` on (inclusive)."""

    table: str
    part: str
    from_key: str = ""
    limit: int = 500


@dataclass(frozen=True, slots=True)
class FeedQuery:
    """Query for the changes of a table after a version.

    If there are none, the store waits up to `wait_s` for the next change.
    """

    table: str
    after: int
    wait_s: float


class RowStoreError(Exception):
    """Base class of the errors that a call to the row store can raise."""


class StoreRefused(RowStoreError):
    """The store did not carry out the call; it can be repeated later."""


class StoreOutcomeUnknown(RowStoreError):
    """No response came; a write may still take effect, so read the row to find out."""


class RowUnreadable(RowStoreError):
    """A stored row cannot be decoded; nothing is known of what it should hold."""


class RowConflict(RowStoreError):
    """A condition failed; `rows` holds the stored rows that the conditions name."""

    def __init__(self, rows: tuple[StoredRow, ...]) -> None:
        super().__init__(
            "a condition of the transaction failed; read the rows and try again"
        )
        self.rows = rows


class HistoryLost(RowStoreError):
    """The feed no longer has all changes after the version; read the whole table."""


class RowStore(Protocol):
    """Operations of a row store; each of them may raise RowStoreError."""

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Commit a transaction; raise RowConflict if a condition fails."""

    async def read(self, query: RowQuery) -> RowPage:
        """Return rows from a single snapshot."""

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the parts of a table that contain rows."""

    async def feed(self, query: FeedQuery) -> FeedPage:
        """Return the next changes as soon as there are any, or none after `wait_s`."""


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
    "RowUnreadable",
    "RowWrite",
    "StoreOutcomeUnknown",
    "StoreRefused",
    "StoredRow",
]
