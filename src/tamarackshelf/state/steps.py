"""Steps and their settled slots in the table."""

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
    """Whether runners still work on a step."""

    OPEN = "open"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class StepRow:
    """A step as the table keeps it; `cursor` is the last one a pull showed."""

    step: Step
    state: StepState = StepState.OPEN
    cursor: str = ""


@dataclass(frozen=True, slots=True)
class StoredStep:
    """A step's row with its revision."""

    row: StepRow
    revision: int


async def open_step(table: TableClient, step: Step, timeout_s: float) -> None:
    """Inserts the step; opening the same step again has no effect."""
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
    known = _decode(result.failure().rows[0])
    if known.row.step != step:
        raise KeyConflict(
            f"step {step.name} was opened with other prompts; choose another name"
        )


async def read_open_steps(table: TableClient) -> list[str]:
    """Returns the names of the steps that runners work on."""
    rows = await table.scan(OPEN_PREFIX)
    return [row.key.removeprefix(OPEN_PREFIX) for row in rows]


async def read_step(
    table: TableClient, name: str, timeout_s: float = 2.0
) -> StoredStep | None:
    """Returns a step, or None when there is none."""
    key = STEP_PREFIX + name
    row = (await table.read(key, timeout_s=timeout_s)).get(key)
    return None if row is None else _decode(row)


async def update_step(
    table: TableClient, known: StoredStep, row: StepRow, timeout_s: float
) -> bool:
    """Replaces a step's row; returns False when another change came first."""
    key = STEP_PREFIX + row.step.name
    value = msgspec.json.encode(row).decode()
    writes = [Write(key, value)]
    if row.state is StepState.DONE:
        writes.append(Write(OPEN_PREFIX + row.step.name, None))
    conditions = (Condition(key, known.revision),)
    transaction = Transaction(conditions, tuple(writes))
    result = await table.commit(
        transaction, Priority.OTHER, timeout_s, lambda row: row.value == value
    )
    return isinstance(result, Success)


async def insert_sample(
    table: TableClient, sample: Sample, group: int, timeout_s: float
) -> Sample:
    """Inserts the slot's sample; returns the one that was first.

    A sample of a higher generation replaces one that became too old.
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
        first = decode_slot(row)
        if first.generation >= sample.generation:
            return first
        revision = row.revision


async def read_slots(
    table: TableClient, step: str, timeout_s: float, group: int | None = None
) -> list[Sample]:
    """Returns the settled samples of a step, or of one of its groups."""
    prefix = f"{SLOT_PREFIX}{step}/"
    if group is not None:
        prefix = _to_group_prefix(step, group)
    rows = await table.scan(prefix, timeout_s)
    return [decode_slot(row) for row in rows]


def _to_group_prefix(step: str, group: int) -> str:
    return f"{SLOT_PREFIX}{step}/{group:05d}/"


def decode_slot(row: Row) -> Sample:
    """Decodes a slot's row."""
    return msgspec.json.decode(row.value, type=Sample)


def _decode(row: Row) -> StoredStep:
    return StoredStep(msgspec.json.decode(row.value, type=StepRow), row.revision)


__all__ = [
    "StoredStep",
    "StepRow",
    "StepState",
    "decode_slot",
    "open_step",
    "read_open_steps",
    "read_slots",
    "read_step",
    "insert_sample",
    "update_step",
]
