"""Newest published weight versions in the table, one row per model."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from returns.result import Success

from tamarackshelf.contracts import ABSENT_REVISION, Condition, Transaction, Write
from tamarackshelf.state.table_client import Priority, TableClient

PUBLISHED_PREFIX = "published/"


@dataclass(frozen=True, slots=True)
class Published:
    """Newest published weight version of a model."""

    model: str
    version: int


async def publish(table: TableClient, entry: Published, timeout_s: float) -> int:
    """Store a model's version unless a higher one is stored; return the highest."""
    key = PUBLISHED_PREFIX + entry.model
    value = msgspec.json.encode(entry).decode()
    revision = ABSENT_REVISION
    while True:
        transaction = Transaction((Condition(key, revision),), (Write(key, value),))
        result = await table.commit(
            transaction,
            Priority.CONFIGURATION,
            timeout_s,
            lambda row: row.value == value,
        )
        if isinstance(result, Success):
            return entry.version
        row = result.failure().rows[0]
        if row.value:
            stored = msgspec.json.decode(row.value, type=Published)
            if stored.version >= entry.version:
                return stored.version
        revision = row.revision


async def read_published(table: TableClient) -> dict[str, int]:
    """Return the newest published version of each model."""
    rows = await table.scan(PUBLISHED_PREFIX)
    entries = [msgspec.json.decode(row.value, type=Published) for row in rows]
    return {entry.model: entry.version for entry in entries}


__all__ = ["Published", "publish", "read_published"]
