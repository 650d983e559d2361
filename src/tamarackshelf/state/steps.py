"""Steps and their samples in the table.

A step asks for `group_size` samples of each prompt. A slot is the place of one sample
in the step, and the slots of one prompt form a group.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import msgspec
from returns.result import Success

from tamarackshelf.contracts import ABSENT_REVISION, Condition, Row, Transaction, Write
from tamarackshelf.errors import KeyConflict
from tamarackshelf.state.table_client import Priority, TableClient
from tamarackshelf.world import Sample, Step

STEP_PREFIX = "steps/"
OPEN_PREFIX = "open/"
SLOT_PREFIX = "slots/"


class StepState(enum.StrEnum):
    """Whether runners still produce samples for a step."""

    OPEN = "open"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class StepRow:
    """Row of a step; `cursor` is the last cursor that a pull presented."""

    step: Step
    state: StepState = StepState.OPEN
    cursor: str = ""


@dataclass(frozen=True, slots=True)
class StoredStep:
    """Row of a step with its revision."""

    row: StepRow
    revision: int


async def open_step(table: TableClient, step: Step, timeout_s: float) -> None:
    """Insert a step and list it as open; inserting it again has no effect.

    Raise KeyConflict if a different step has the same name.
    """
    key = STEP_PREFIX + step.name
    row = StepRow(step)
    value = msgspec.json.encode(row).decode()
    marker = Write(OPEN_PREFIX + step.name, "")
    transaction = Transaction(
        (Condition(key, ABSENT_REVISION),), (Write(key, value), marker)
    )
    result = await table.commit(
        transaction, Priority.OTHER, timeout_s, lambda row: row.value == value
    )
    if isinstance(result, Success):
        return
    stored = _decode(result.failure().rows[0])
    if stored.row.step != step:
        raise KeyConflict(
            f"step {step.name} exists with different contents; choose another name"
        )


async def read_open_steps(table: TableClient) -> list[str]:
    """Return the names of the open steps."""
    rows = await table.scan(OPEN_PREFIX)
    return [row.key.removeprefix(OPEN_PREFIX) for row in rows]


async def read_step(
    table: TableClient, name: str, timeout_s: float = 2.0
) -> StoredStep | None:
    """Return a step, or None if there is none."""
    key = STEP_PREFIX + name
    row = (await table.read(key, timeout_s=timeout_s)).get(key)
    return None if row is None else _decode(row)


async def update_step(
    table: TableClient, stored: StoredStep, row: StepRow, timeout_s: float
) -> bool:
    """Replace a step's row; return False if the row has changed since it was read.

    A step that is done is no longer listed as open.
    """
    key = STEP_PREFIX + row.step.name
    value = msgspec.json.encode(row).decode()
    writes = [Write(key, value)]
    if row.state is StepState.DONE:
        writes.append(Write(OPEN_PREFIX + row.step.name, None))
    conditions = (Condition(key, stored.revision),)
    transaction = Transaction(conditions, tuple(writes))
    result = await table.commit(
        transaction, Priority.OTHER, timeout_s, lambda row: row.value == value
    )
    return isinstance(result, Success)


async def insert_sample(
    table: TableClient, sample: Sample, group: int, timeout_s: float
) -> Sample:
    """Store a sample in its slot unless the slot holds one; return the stored sample.

    A sample of a higher generation replaces the stored one, which has become too old.
    """
    key = f"{_to_group_prefix(sample.step, group)}{sample.slot:05d}"
    value = msgspec.json.encode(sample).decode()
    revision = ABSENT_REVISION
    while True:
        transaction = Transaction((Condition(key, revision),), (Write(key, value),))
        result = await table.commit(
            transaction, Priority.SLOT, timeout_s, lambda row: row.value == value
        )
        if isinstance(result, Success):
            return sample
        row = result.failure().rows[0]
        if not row.value:
            revision = ABSENT_REVISION
            continue
        existing = decode_slot(row)
        if existing.generation >= sample.generation:
            return existing
        revision = row.revision


async def read_slots(
    table: TableClient, step: str, timeout_s: float, group: int | None = None
) -> list[Sample]:
    """Return the stored samples of a step, or of one of its groups."""
    prefix = f"{SLOT_PREFIX}{step}/"
    if group is not None:
        prefix = _to_group_prefix(step, group)
    rows = await table.scan(prefix, timeout_s)
    return [decode_slot(row) for row in rows]


def _to_group_prefix(step: str, group: int) -> str:
    return f"{SLOT_PREFIX}{step}/{group:05d}/"


def decode_slot(row: Row) -> Sample:
    """Return the sample that the row of a slot holds."""
    return msgspec.json.decode(row.value, type=Sample)


def _decode(row: Row) -> StoredStep:
    return StoredStep(msgspec.json.decode(row.value, type=StepRow), row.revision)


__all__ = [
    "StepRow",
    "StepState",
    "StoredStep",
    "decode_slot",
    "insert_sample",
    "open_step",
    "read_open_steps",
    "read_slots",
    "read_step",
    "update_step",
]
