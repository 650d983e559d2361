"""Leases in the table, whose fencing numbers increase with each grant."""

from __future__ import annotations

import uuid
from dataclasses import dataclass

import msgspec
from returns.result import Success

from tamarackshelf.contracts import ABSENT_REVISION, Condition, Row, Transaction, Write
from tamarackshelf.policy.lease import HeldLease, LeaseRow, LeaseTimes, LeaseWatch
from tamarackshelf.state.table_client import Priority, TableClient

LEASE_PREFIX = "leases/"


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Name of the lease holder and the durations of its leases."""

    holder: str
    times: LeaseTimes


class LeaseManager:
    """Acquires, renews and releases the leases of one node."""

    def __init__(self, table: TableClient, settings: LeaseSettings) -> None:
        self._table = table
        self._settings = settings
        self._lease_watch = LeaseWatch(settings.times)
        self._held: dict[str, HeldLease] = {}

    @property
    def held(self) -> dict[str, HeldLease]:
        """Held leases by name; check `may_act` before each use of a lease."""
        return self._held

    async def read_row(self, name: str) -> Row | None:
        """Return the row of a lease, or None if it was never granted."""
        key = LEASE_PREFIX + name
        return (await self._table.read(key)).get(key)

    async def acquire(
        self, name: str, row: Row | None, now_s: float
    ) -> HeldLease | None:
        """Acquire a lease that is free or has expired; return None otherwise.

        Each grant increments the fencing number. The lease's duration counts from
        `now_s`, the time on this node's clock before the write is sent, so the holder
        never thinks that the lease lasts longer than other nodes do.
        """
        before = LeaseRow("", 0, "") if row is None else decode_lease(row)
        revision = ABSENT_REVISION if row is None else row.revision
        if not self._lease_watch.may_take(name, revision, before.holder, now_s):
            return None
        fencing_number = before.fencing_number + 1
        return await self._write(name, revision, fencing_number, now_s, now_s)

    async def renew(self, name: str, now_s: float) -> HeldLease | None:
        """Extend a held lease from `now_s`; drop it and return None if its row changed.

        The fencing number stays the same.
        """
        lease = self._held[name]
        number = lease.fencing_number
        return await self._write(
            name, lease.revision, number, now_s, lease.granted_at_s
        )

    async def release(self, name: str) -> None:
        """Drop a held lease and mark its row as free, so that nobody awaits its expiry.

        A lease that is not held is ignored.
        """
        lease = self._held.pop(name, None)
        if lease is None:
            return
        row = LeaseRow("", lease.fencing_number, uuid.uuid4().hex)
        await self._commit(name, lease.revision, row)

    async def _write(
        self,
        name: str,
        revision: int,
        fencing_number: int,
        now_s: float,
        granted_at_s: float,
    ) -> HeldLease | None:
        row = LeaseRow(self._settings.holder, fencing_number, uuid.uuid4().hex)
        if not await self._commit(name, revision, row):
            self._held.pop(name, None)
            return None
        deadline_s = now_s + self._settings.times.lease_s
        lease = HeldLease(name, fencing_number, revision + 1, deadline_s, granted_at_s)
        self._held[name] = lease
        return lease

    async def _commit(self, name: str, revision: int, row: LeaseRow) -> bool:
        key = LEASE_PREFIX + name
        value = msgspec.json.encode(row).decode()
        transaction = Transaction((Condition(key, revision),), (Write(key, value),))
        result = await self._table.commit(
            transaction,
            Priority.LEASE,
            self._settings.times.lease_s / 2,
            lambda row: row.value == value,
        )
        return isinstance(result, Success)


def decode_lease(row: Row) -> LeaseRow:
    """Return the lease that a row holds."""
    return msgspec.json.decode(row.value, type=LeaseRow)


__all__ = ["LeaseManager", "LeaseSettings", "decode_lease"]
