"""Rows of usage reports: the report on each window, decided once before it is sent."""

from __future__ import annotations

import logging
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
# Counts of nodes that reach no collector.
COUNTS_TABLE = "usage-counts"
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
class ProcessCounts:
    """Cumulative counts of one process in one window, by organisation."""

    vm: str
    incarnation: int
    counts: dict[str, int]


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


async def store_counts(store: RowStore, window: int, process: ProcessCounts) -> None:
    """Store the counts of a process in a window in place of earlier ones."""
    key = f"{_to_key(window).key}/{process.vm}/{process.incarnation}"
    write = RowWrite(RowKey(COUNTS_TABLE, "", key), msgspec.msgpack.encode(process))
    await store.commit(RowTransaction((), (write,)))


async def read_counts(store: RowStore, window: int) -> list[ProcessCounts]:
    """Return the counts that processes stored for a window."""
    prefix = f"{_to_key(window).key}/"
    page = await store.read(RowQuery(COUNTS_TABLE, "", prefix))
    processes = []
    for row in page.rows:
        if not row.at.key.startswith(prefix):
            break
        try:
            processes.append(decode_msgpack(row.value, ProcessCounts))
        except InvalidInput as error:
            _log_unreadable(row, error)
    return processes


async def delete_reports(store: RowStore, before_window: int) -> int:
    """Delete some rows of windows before this one; return their number."""
    bound = _to_key(before_window).key
    rows: list[StoredRow] = []
    for table in (USAGE_TABLE, COUNTS_TABLE):
        page = await store.read(RowQuery(table, "", limit=MAX_DELETED_ROWS))
        rows += [row for row in page.rows if row.at.key < bound]
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
        _log_unreadable(row, error)
        return None


def _log_unreadable(row: StoredRow, error: InvalidInput) -> None:
    event = {"row": f"{row.at.table}/{row.at.key}", "reason": str(error)}
    log.warning("row_unreadable", extra={"event": event})


__all__ = [
    "USAGE_TABLE",
    "LeaseChanged",
    "ProcessCounts",
    "StoredReport",
    "UsageReport",
    "delete_reports",
    "mark_answered",
    "read_counts",
    "read_reports",
    "store_counts",
    "store_report",
]
