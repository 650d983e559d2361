"""Sharing of the platform's list of VMs, so that few nodes read it for all.

A few list readers poll the list and spread its changes to the other nodes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.world import VmRow, VmState

LIST_READERS = 5
LIST_READER_KEY = "vm-list"
LIST_BYTES_PER_S = 4_000.0
MIN_PERIOD_S = 1.0
# Nodes that are no list readers read the list at this interval, to repair changes that
# they have missed.
FULL_READ_INTERVAL_S = 900.0


@dataclass(frozen=True, slots=True)
class VmRowChange:
    """A row that was added, changed or removed; `row` is None when it was removed."""

    name: str
    row: VmRow | None


def is_list_reader(name: str, entries: Iterable[str]) -> bool:
    """Return whether this node reads the list for the other nodes."""
    return name in rank_owners({name, *entries}, LIST_READER_KEY)[:LIST_READERS]


def compute_period_s(list_bytes: int) -> float:
    """Return the period in seconds at which a list reader reads a list of this size."""
    return max(MIN_PERIOD_S, list_bytes / LIST_BYTES_PER_S)


def find_changes(
    known: Mapping[str, VmRow], listed: Iterable[VmRow]
) -> list[VmRowChange]:
    """Return how the list differs from the known rows, in the order of names.

    Outdated rows of leaving VMs are left out.
    """
    rows = {row.name: row for row in listed}
    changes = [
        VmRowChange(name, rows.get(name))
        for name in sorted(known.keys() | rows.keys())
        if known.get(name) != rows.get(name)
    ]
    return [c for c in changes if not _is_outdated(known.get(c.name), c.row)]


def apply_changes(
    known: Mapping[str, VmRow], changes: Iterable[VmRowChange]
) -> dict[str, VmRow]:
    """Return the rows with the changes applied; a leaving VM stays leaving."""
    rows = dict(known)
    for change in changes:
        if change.row is None:
            rows.pop(change.name, None)
        elif not _is_outdated(rows.get(change.name), change.row):
            rows[change.name] = change.row
    return rows


def _is_outdated(known: VmRow | None, row: VmRow | None) -> bool:
    """Return whether the row, from a lagging reader, reports a leaving VM as live.

    A VM that came back has another entry or a higher target incarnation.
    """
    if known is None or row is None:
        return False
    returns_to_live = known.state is VmState.LEAVING and row.state is VmState.LIVE
    if not returns_to_live:
        return False
    before = known.target.incarnation if known.target else 0
    after = row.target.incarnation if row.target else 0
    return known.entry == row.entry and after <= before


__all__ = [
    "FULL_READ_INTERVAL_S",
    "VmRowChange",
    "apply_changes",
    "compute_period_s",
    "find_changes",
    "is_list_reader",
]
