"""Rows by which nodes find each other, and the lease for sending weight orders."""

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
    """Row of one node; `incarnation` increases at each start of the node."""

    vm: str
    incarnation: int
    data_centre: str
    callers: Address
    peers: Address
    # CPU capacity of the VM.
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Holder of a lease, which may send orders; `fencing_number` never decreases."""

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
    at = RowKey(NODE_TABLE, "", record.vm)
    known = await _read_row(store, at)
    while True:
        before = decode_node(known.value).incarnation if known else 0
        # The wall clock may have been set back since the last start.
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
    """Delete a node's row unless it is no longer at this version."""
    at = RowKey(NODE_TABLE, "", vm)
    transaction = RowTransaction((RowCondition(at, version),), (RowWrite(at, None),))
    try:
        await store.commit(transaction)
    except RowConflict:
        # A newer incarnation of the node has registered; keep its row.
        return


async def read_lease(store: RowStore, name: str) -> StoredLease:
    """Read the lease from the store; the holder is empty if there is no row."""
    row = await _read_row(store, RowKey(LEASE_TABLE, "", name))
    if row is None:
        return StoredLease(LeaseRecord(), ABSENT_VERSION)
    return StoredLease(_decode_lease(row), row.version)


async def acquire_lease(
    store: RowStore, name: str, before: StoredLease, holder: str, incarnation: int
) -> StoredLease | None:
    """Acquire the lease with the next fencing number.

    Return None if the lease is no longer as in `before`.
    """
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
    """Decode a node's row; raise msgspec.DecodeError if it is invalid."""
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
