"""How the platform's list of VMs is shared instead of read by every node."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.world import VmRow, VmState

LISTENERS = 5
LISTENER_KEY = "vm-list"
LIST_BYTES_PER_S = 4_000.0
SHORTEST_PERIOD_S = 1.0
FULL_READ_INTERVAL_S = 900.0


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row that came, changed or went; `row` is None when it went."""

    name: str
    row: VmRow | None


def is_list_reader(name: str, entries: Iterable[str]) -> bool:
    """Tells whether this node reads the list for the others."""
    return name in rank_owners({name, *entries}, LISTENER_KEY)[:LISTENERS]


def compute_period_s(list_bytes: int) -> float:
    """Returns how often a listener reads a list of this size."""
    return max(SHORTEST_PERIOD_S, list_bytes / LIST_BYTES_PER_S)


def find_changes(
    known: Mapping[str, VmRow], listed: Iterable[VmRow]
) -> list[RowChange]:
    """Returns what the list says differently, in the order of names."""
    rows = {row.name: row for row in listed}
    changes = [
        RowChange(name, rows.get(name))
        for name in sorted(known.keys() | rows.keys())
        if known.get(name) != rows.get(name)
    ]
    return [c for c in changes if not _takes_back(known.get(c.name), c.row)]


def apply_changes(
    known: Mapping[str, VmRow], changes: Iterable[RowChange]
) -> dict[str, VmRow]:
    """Returns the rows with the changes; a leaving VM stays leaving."""
    rows = dict(known)
    for change in changes:
        if change.row is None:
            rows.pop(change.name, None)
        elif not _takes_back(rows.get(change.name), change.row):
            rows[change.name] = change.row
    return rows


def _takes_back(known: VmRow | None, row: VmRow | None) -> bool:
    """Tells whether a lagging reader says "live" of a VM that leaves."""
    if known is None or row is None:
        return False
    is_back = known.state is VmState.LEAVING and row.state is VmState.LIVE
    if not is_back:
        return False
    before = known.target.incarnation if known.target else 0
    after = row.target.incarnation if row.target else 0
    return known.entry == row.entry and after <= before


__all__ = [
    "FULL_READ_INTERVAL_S",
    "RowChange",
    "apply_changes",
    "compute_period_s",
    "find_changes",
    "is_list_reader",
]
