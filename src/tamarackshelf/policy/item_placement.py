"""Which item runs next and on which engine.

An engine decodes all its places together, so a free place anywhere is worth more
than a cached prefix elsewhere. A step is as late as the longest item of the groups
it waits for, so long items start first, on the engine that decodes fastest.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass

# An engine this much slower than the fastest gets only items that find no other.
SLOW_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item at no engine; `rank` 0 is the most urgent route."""

    job_id: str
    item_id: str
    group: str
    rank: int
    due_s: float
    expected_tokens: int
    group_missing: int
    is_begun: bool


@dataclass(frozen=True, slots=True)
class EnginePlace:
    """An engine as this node sees it.

    `slowness` is its time for an event against the fastest engine of the service;
    `version` is None while it is not known.
    """

    name: str
    places: int
    in_use: int
    version: int | None
    slowness: float = 1.0
    loads_in: bool = False

    @property
    def free(self) -> int:
        """Returns how many more items fit."""
        return max(0, self.places - self.in_use)


def order_items(items: Sequence[WaitingItem]) -> list[WaitingItem]:
    """Returns items in the order to start them."""
    return sorted(
        items,
        key=lambda item: (
            item.due_s > 0 and item.due_s,
            item.rank,
            not item.is_begun,
            -item.expected_tokens,
            item.item_id,
        ),
    )


def place_item(
    engines: Sequence[EnginePlace], min_version: int, excluded: Collection[str] = ()
) -> str | None:
    """Returns the engine for an item, or None when none has a free place."""
    fit = [
        engine
        for engine in engines
        if engine.free > 0
        and engine.name not in excluded
        and (engine.version is None or engine.version >= min_version)
    ]
    if not fit:
        return None
    best = min(fit, key=_cost)
    return best.name


def _cost(engine: EnginePlace) -> tuple[float, str]:
    """Returns the expected time of an event, more the fuller the engine is."""
    filled = engine.in_use / max(1, engine.places)
    return (engine.slowness * (1.0 + 0.25 * filled), engine.name)


__all__ = ["EnginePlace", "WaitingItem", "order_items", "place_item"]
