"""Faults that a stand-in can be told to show."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class StoreFaults:
    """Faults of the table service."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_writes_under: str = ""


@dataclass(slots=True)
class TargetFaults:
    """Faults of an engine, a plain service or a scorer."""

    leaving: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    cross_answers: int = 0
    die_after_chunks: int = 0
    poison: tuple[str, ...] = ()
    swap_fails: int = 0
    swap_ignored: int = 0
    omit_version: bool = False
    cache_event_gaps: bool = False


@dataclass(slots=True)
class VmListFaults:
    """Faults of the list of VMs."""

    down: bool = False
    lag_s: float = 1.0


@dataclass(frozen=True, slots=True)
class FaultChange:
    """Sets fields of a stand-in's faults over HTTP."""

    values: dict[str, bool | int | float | str | list[str]] = field(
        default_factory=dict
    )


def apply_fault_change(faults: object, change: FaultChange) -> None:
    """Sets the named fields; unknown names raise AttributeError."""
    for name, value in change.values.items():
        getattr(faults, name)
        setattr(faults, name, tuple(value) if isinstance(value, list) else value)


__all__ = [
    "FaultChange",
    "StoreFaults",
    "TargetFaults",
    "VmListFaults",
    "apply_fault_change",
]
