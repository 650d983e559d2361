"""Few nodes read the list of VMs and share its changes with all nodes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tamarackshelf.policy.listing import (
    LIST_READERS,
    VmRowChange,
    apply_changes,
    compute_period_s,
    find_changes,
    is_list_reader,
)
from tamarackshelf.world import Address, Target, TargetKind, VmRow, VmState

CONTROL_BYTES_PER_S = 7 * 1024


def build_row(name, state=VmState.LIVE, incarnation=1):
    address = Address("127.0.0.1", 1)
    target = Target(name, "s", TargetKind.ENGINE, "a", address, incarnation, 8)
    return VmRow(name, state, target=target)


def test_applied_changes_equal_the_list():
    known = {row.name: row for row in (build_row("a"), build_row("b"))}
    listed = [build_row("a", VmState.LEAVING), build_row("c")]
    changes = find_changes(known, listed)
    assert [change.name for change in changes] == ["a", "b", "c"]
    assert list(apply_changes(known, changes).values()) == listed


@pytest.mark.parametrize(
    ("row", "state"),
    [
        (build_row("a"), VmState.LEAVING),
        (build_row("a", incarnation=2), VmState.LIVE),
    ],
    ids=["a lagging list", "a new incarnation"],
)
def test_leaving_vm_returns_only_with_a_new_incarnation(row, state):
    known = {"a": build_row("a", VmState.LEAVING)}
    assert apply_changes(known, [VmRowChange("a", row)])["a"].state is state
    assert bool(find_changes(known, [row])) is (state is VmState.LIVE)


def test_list_readers_are_few_and_replaced_when_they_leave():
    names = [f"n{i}" for i in range(380)]
    readers = [name for name in names if is_list_reader(name, names)]
    assert len(readers) == LIST_READERS
    remaining = [name for name in names if name != readers[0]]
    assert sum(is_list_reader(name, remaining) for name in remaining) == LIST_READERS


@pytest.mark.parametrize("rows", [21, 1070, 4080])
def test_list_reader_stays_within_the_control_budget(rows):
    list_bytes = rows * 250
    if list_bytes > CONTROL_BYTES_PER_S:
        assert list_bytes / compute_period_s(list_bytes) <= CONTROL_BYTES_PER_S
    assert compute_period_s(list_bytes) >= 1.0


def test_unchanged_rows_cause_no_changes():
    row = build_row("a")
    assert find_changes({"a": row}, [replace(row)]) == []
