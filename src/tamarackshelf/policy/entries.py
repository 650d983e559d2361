"""Choice of the entry addresses that a caller should use."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.world import EntryVm

MIN_ENTRIES = 3
MAX_ENTRIES = 6
VALID_FOR_S = 5.0
VALID_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class EntryAnswer:
    """Entry addresses in the order to try them, and how long the answer is valid."""

    entries: tuple[str, ...]
    valid_for_s: float


def choose_entries(
    live: tuple[EntryVm, ...], caller: str, data_centre: str, valid_for_s: float
) -> EntryAnswer:
    """Return the entries for a caller, those of its own data centre first.

    Callers are spread over the live entries by a hash of their names.
    """
    by_name = {entry.name: entry for entry in live}
    ranked = [by_name[name] for name in rank_owners(by_name, caller)]
    near = [entry for entry in ranked if entry.data_centre == data_centre]
    far = [entry for entry in ranked if entry.data_centre != data_centre]
    # The answer keeps at least one entry of another data centre, if there is one.
    chosen = (near[: MAX_ENTRIES - 1] + far)[:MAX_ENTRIES]
    return EntryAnswer(tuple(str(entry.gateway) for entry in chosen), valid_for_s)


__all__ = [
    "MIN_ENTRIES",
    "VALID_FOR_S",
    "VALID_MARGIN_S",
    "EntryAnswer",
    "choose_entries",
]
