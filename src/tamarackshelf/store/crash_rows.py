"""Rows of crashes of targets, one for each request in flight there.

Each row is written once and never changed, so writes need no condition and may be
repeated.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from tamarackshelf.contracts.rows import RowKey, RowStore, RowTransaction, RowWrite
from tamarackshelf.decoding import decode_msgpack
from tamarackshelf.policy.quarantine import Crash

CRASH_TABLE = "crash"
# A part of its own, as the store commits the transactions of a part one by one.
CRASH_PART = "crash"
# The store's maximum number of writes in a transaction.
MAX_WRITES = 100


def build_crash_key(crash: Crash) -> RowKey:
    """Return the key of a crash's row."""
    key = f"{crash.fingerprint}/{crash.target}/{crash.incarnation}"
    return RowKey(CRASH_TABLE, CRASH_PART, key)


async def write_crashes(store: RowStore, crashes: Iterable[Crash]) -> None:
    """Write the rows of crashes; raise RowStoreError if that fails."""
    await _commit(
        store,
        [RowWrite(build_crash_key(c), msgspec.msgpack.encode(c)) for c in crashes],
    )


async def delete_crashes(store: RowStore, keys: Iterable[RowKey]) -> None:
    """Delete the rows of crashes; raise RowStoreError if that fails."""
    await _commit(store, [RowWrite(key, None) for key in keys])


def decode_crash(value: bytes) -> Crash:
    """Decode a crash's row; raise InvalidInput if it is invalid."""
    return decode_msgpack(value, Crash)


async def _commit(store: RowStore, writes: list[RowWrite]) -> None:
    for first in range(0, len(writes), MAX_WRITES):
        batch = tuple(writes[first : first + MAX_WRITES])
        await store.commit(RowTransaction((), batch))


__all__ = [
    "CRASH_TABLE",
    "build_crash_key",
    "decode_crash",
    "delete_crashes",
    "write_crashes",
]
