"""Rows of usage reports: the report on each window, decided once before it is sent."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

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
from tamarackshelf.store.fleet_rows import LEASE_TABLE, StoredLease

USAGE_TABLE = "usage-report"
# Digits of a window's number in keys, so that keys are in the order of the windows.
WINDOW_DIGITS = 15
MAX_DELETED_ROWS = 40

log = logging.getLogger("tamarackshelf")


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The report on a window as it is sent, and the requests by organisation.

    `is_answered` means that the platform accepted the report and that it executes no
    call with the report any more.
    """

    window: int
    body: bytes
    counts: dict[str, int] = field(default_factory=dict)
    is_answered: bool = False


@dataclass(frozen=True, slots=True)
class StoredReport:
    """A report and the version of its row."""

    report: UsageReport
    version: int


class LeaseChanged(Exception):
    """The row of the lease has changed, so this node is no longer the holder."""


async def store_report(
    store: RowStore, report: UsageReport, subject: str, lease: StoredLease
) -> StoredReport:
    """Store a report on a window, or return the report that is already stored.

    Raise LeaseChanged and store nothing if the lease of `subject` has changed.
    """
    key = _to_key(report.window)
    conditions = (RowCondition(key, ABSENT_VERSION), _hold(subject, lease))
    write = RowWrite(key, msgspec.msgpack.encode(report))
    try:
        done = await store.commit(RowTransaction(conditions, (write,)))
    except RowConflict as conflict:
        for row in conflict.rows:
            if row.at == key and (stored := _decode(row)) is not None:
                return stored
        raise LeaseChanged(f"the lease of {subject} has changed") from conflict
    return StoredReport(report, done.version)


async def mark_answered(
    store: RowStore, stored: StoredReport, subject: str, lease: StoredLease
) -> StoredReport:
    """Note that a report was accepted; raise LeaseChanged if the lease has changed."""
    report = replace(stored.report, is_answered=True)
    key = _to_key(report.window)
    conditions = (RowCondition(key, stored.version), _hold(subject, lease))
    write = RowWrite(key, msgspec.msgpack.encode(report))
    try:
        done = await store.commit(RowTransaction(conditions, (write,)))
    except RowConflict as conflict:
        for row in conflict.rows:
            # An earlier attempt may have done it, whose answer was lost.
            if row.at == key and (found := _decode(row)) and found.report == report:
                return found
        raise LeaseChanged(f"the lease of {subject} has changed") from conflict
    return StoredReport(report, done.version)


async def read_reports(store: RowStore, from_window: int) -> dict[int, StoredReport]:
    """Read the reports on a window and all later ones."""
    reports: dict[int, StoredReport] = {}
    query = RowQuery(USAGE_TABLE, "", _to_key(from_window).key)
    page = await store.read(query)
    for row in page.rows:
        stored = _decode(row)
        if stored is not None:
            reports[stored.report.window] = stored
    return reports


async def delete_reports(store: RowStore, before_window: int) -> int:
    """Delete some reports on windows before this one; return their number."""
    page = await store.read(RowQuery(USAGE_TABLE, "", limit=MAX_DELETED_ROWS))
    bound = _to_key(before_window).key
    rows: Sequence[StoredRow] = [row for row in page.rows if row.at.key < bound]
    if rows:
        writes = tuple(RowWrite(row.at, None) for row in rows)
        await store.commit(RowTransaction((), writes))
    return len(rows)


def _to_key(window: int) -> RowKey:
    return RowKey(USAGE_TABLE, "", f"{max(0, window):0{WINDOW_DIGITS}d}")


def _hold(subject: str, lease: StoredLease) -> RowCondition:
    return RowCondition(RowKey(LEASE_TABLE, "", subject), lease.version)


def _decode(row: StoredRow) -> StoredReport | None:
    try:
        return StoredReport(decode_msgpack(row.value, UsageReport), row.version)
    except InvalidInput as error:
        # The window stays without a report: what was sent for it is not known.
        event = {"row": f"{row.at.table}/{row.at.key}", "reason": str(error)}
        log.warning("row_unreadable", extra={"event": event})
        return None


__all__ = [
    "USAGE_TABLE",
    "LeaseChanged",
    "StoredReport",
    "UsageReport",
    "delete_reports",
    "mark_answered",
    "read_reports",
    "store_report",
]
