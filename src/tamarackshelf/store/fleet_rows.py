"""Rows by which nodes find each other, and the lease for sending weight orders."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass, replace

import msgspec

from tamarackshelf.contracts.rows import (
    ABSENT_VERSION,
    RowCondition,
    RowConflict,
    RowKey,
    RowQuery,
    RowStore,
    RowTransaction,
    RowWrite,
    StoredRow,
)
from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.world import Address

NODE_TABLE = "node"
LEASE_TABLE = "lease"
# Holder of a lease whose row cannot be decoded; it may act until the lease runs out.
UNKNOWN_HOLDER = "unknown"

log = logging.getLogger("tamarackshelf")


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """Row of one node; `incarnation` increases at each start of the node."""

    vm: str
    incarnation: int
    data_centre: str
    callers: Address
    peers: Address
    # CPU capacity of the VM, in cores.
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Row of a lease; only its holder may send orders.

    `fencing_number` never decreases. An empty `holder` means that no node holds it.
    """

    holder: str = ""
    holder_incarnation: int = 0
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class StoredLease:
    """A lease and the version of its row."""

    record: LeaseRecord
    version: int


async def register_node(store: RowStore, record: NodeRecord) -> NodeRecord:
    """Write this node's row with a higher incarnation than any before and return it."""
    key = RowKey(NODE_TABLE, "", record.vm)
    known = await _read_row(store, key)
    while True:
        before = _find_incarnation(known) if known else 0
        # The wall clock may have been set back since the last start.
        started = max(before + 1, record.incarnation, int(time.time() * 1000))
        record = replace(record, incarnation=started)
        version = known.version if known else ABSENT_VERSION
        write = RowWrite(key, msgspec.msgpack.encode(record))
        try:
            await store.commit(RowTransaction((RowCondition(key, version),), (write,)))
            return record
        except RowConflict as conflict:
            known = next((row for row in conflict.rows if row.at == key), None)
            if known and _is_row_of(known, record):
                return record


async def unregister_node(store: RowStore, vm: str, version: int) -> None:
    """Delete a node's row unless it is no longer at this version."""
    key = RowKey(NODE_TABLE, "", vm)
    transaction = RowTransaction((RowCondition(key, version),), (RowWrite(key, None),))
    try:
        await store.commit(transaction)
    except RowConflict:
        # A newer incarnation of the node has registered; keep its row.
        return


async def read_lease(store: RowStore, name: str) -> StoredLease:
    """Read the lease from the store.

    The holder is empty if there is no row, and UNKNOWN_HOLDER if the row cannot be
    decoded.
    """
    row = await _read_row(store, RowKey(LEASE_TABLE, "", name))
    if row is None:
        return StoredLease(LeaseRecord(), ABSENT_VERSION)
    return StoredLease(_decode_lease(row), row.version)


async def acquire_lease(
    store: RowStore, name: str, before: StoredLease, holder: str, incarnation: int
) -> StoredLease | None:
    """Acquire the lease with the next fencing number.

    Return None and change nothing if the lease has changed since `before` was read.
    """
    key = RowKey(LEASE_TABLE, "", name)
    record = LeaseRecord(holder, incarnation, before.record.fencing_number + 1)
    write = RowWrite(key, msgspec.msgpack.encode(record))
    condition = RowCondition(key, before.version)
    try:
        done = await store.commit(RowTransaction((condition,), (write,)))
    except RowConflict as conflict:
        row = next((row for row in conflict.rows if row.at == key), None)
        if row is not None and _decode_lease(row) == record:
            return StoredLease(record, row.version)
        return None
    return StoredLease(record, done.version)


async def release_lease(store: RowStore, name: str, lease: StoredLease) -> None:
    """Leave the lease without a holder, unless it has changed since it was read."""
    key = RowKey(LEASE_TABLE, "", name)
    record = replace(lease.record, holder="", holder_incarnation=0)
    write = RowWrite(key, msgspec.msgpack.encode(record))
    condition = RowCondition(key, lease.version)
    try:
        await store.commit(RowTransaction((condition,), (write,)))
    except RowConflict:
        # Another node holds it, or an earlier attempt without an answer released it.
        return


def decode_node(value: bytes) -> NodeRecord:
    """Decode a node's row; raise InvalidInput if it is invalid."""
    return decode_msgpack(value, NodeRecord)


def _find_incarnation(row: StoredRow) -> int:
    try:
        return decode_node(row.value).incarnation
    except InvalidInput as error:
        _log_unreadable(row, error)
        return 0


def _is_row_of(row: StoredRow, record: NodeRecord) -> bool:
    return row.value == msgspec.msgpack.encode(record)


def _decode_lease(row: StoredRow) -> LeaseRecord:
    try:
        return decode_msgpack(row.value, LeaseRecord)
    except InvalidInput as error:
        _log_unreadable(row, error)
        # Each grant raised the store's version by one at least, so no fencing number
        # was higher than the version of the row is now.
        return LeaseRecord(UNKNOWN_HOLDER, fencing_number=row.version)


def _log_unreadable(row: StoredRow, error: InvalidInput) -> None:
    event = {"row": f"{row.at.table}/{row.at.key}", "reason": str(error)}
    log.warning("row_unreadable", extra={"event": event})


async def _read_row(store: RowStore, row_key: RowKey) -> StoredRow | None:
    query = RowQuery(row_key.table, row_key.part, row_key.key, limit=1)
    page = await store.read(query)
    return next((row for row in page.rows if row.at == row_key), None)


__all__ = [
    "LEASE_TABLE",
    "NODE_TABLE",
    "UNKNOWN_HOLDER",
    "LeaseRecord",
    "NodeRecord",
    "StoredLease",
    "acquire_lease",
    "decode_node",
    "read_lease",
    "register_node",
    "release_lease",
    "unregister_node",
]
