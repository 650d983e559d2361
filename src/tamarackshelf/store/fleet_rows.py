"""Rows by which nodes find each other, and the lease of the weight orders."""

from __future__ import annotations

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
from tamarackshelf.world import Address

NODE_TABLE = "node"
LEASE_TABLE = "lease"


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """One node's row; `incarnation` is higher after each start."""

    vm: str
    incarnation: int
    data_centre: str
    callers: Address
    peers: Address
    # What the VM can compute, in cores.
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Who may give orders; the fencing number only grows."""

    holder: str = ""
    holder_incarnation: int = 0
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class StoredLease:
    """A lease as stored."""

    record: LeaseRecord
    version: int


async def register_node(store: RowStore, record: NodeRecord) -> NodeRecord:
    """Writes this node's row with an incarnation above every earlier one."""
    at = RowKey(NODE_TABLE, "", record.vm)
    known = await _read_row(store, at)
    while True:
        before = decode_node(known.value).incarnation if known else 0
        # The clock may have gone back since the last start.
        started = max(before + 1, record.incarnation, int(time.time() * 1000))
        record = replace(record, incarnation=started)
        version = known.version if known else ABSENT_VERSION
        write = RowWrite(at, msgspec.msgpack.encode(record))
        try:
            await store.commit(RowTransaction((RowCondition(at, version),), (write,)))
            return record
        except RowConflict as conflict:
            known = next((row for row in conflict.rows if row.at == at), None)
            if known and decode_node(known.value) == record:
                return record


async def unregister_node(store: RowStore, vm: str, version: int) -> None:
    """Deletes a node's row unless it changed meanwhile."""
    at = RowKey(NODE_TABLE, "", vm)
    transaction = RowTransaction((RowCondition(at, version),), (RowWrite(at, None),))
    try:
        await store.commit(transaction)
    except RowConflict:
        # A newer incarnation has registered; its row stays.
        return


async def read_lease(store: RowStore, name: str) -> StoredLease:
    """Returns the lease as stored now."""
    row = await _read_row(store, RowKey(LEASE_TABLE, "", name))
    if row is None:
        return StoredLease(LeaseRecord(), ABSENT_VERSION)
    return StoredLease(_decode_lease(row), row.version)


async def acquire_lease(
    store: RowStore, name: str, before: StoredLease, holder: str, incarnation: int
) -> StoredLease | None:
    """Takes the lease with the next fencing number, or returns None."""
    at = RowKey(LEASE_TABLE, "", name)
    record = LeaseRecord(holder, incarnation, before.record.fencing_number + 1)
    write = RowWrite(at, msgspec.msgpack.encode(record))
    condition = RowCondition(at, before.version)
    try:
        done = await store.commit(RowTransaction((condition,), (write,)))
    except RowConflict as conflict:
        row = next((row for row in conflict.rows if row.at == at), None)
        if row is not None and _decode_lease(row) == record:
            return StoredLease(record, row.version)
        return None
    return StoredLease(record, done.version)


def decode_node(value: bytes) -> NodeRecord:
    """Decodes a node's row; raises msgspec.DecodeError."""
    return msgspec.msgpack.decode(value, type=NodeRecord)


def _decode_lease(row: StoredRow) -> LeaseRecord:
    return msgspec.msgpack.decode(row.value, type=LeaseRecord)


async def _read_row(store: RowStore, at: RowKey) -> StoredRow | None:
    query = RowQuery(at.table, at.part, at.key, limit=1)
    page = await store.read(query)
    return next((row for row in page.rows if row.at == at), None)


__all__ = [
    "NODE_TABLE",
    "LeaseRecord",
    "NodeRecord",
    "StoredLease",
    "decode_node",
    "read_lease",
    "register_node",
    "acquire_lease",
    "unregister_node",
]
