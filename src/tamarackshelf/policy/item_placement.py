"""Which item runs next and on which engine.

An engine decodes all its places together, so a free place anywhere is worth more
than a cached prefix elsewhere. A step is as late as the longest item of the groups
it waits for, so long items start first, on the engine that decodes fastest.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

# A run is moved when its engine takes this many times as long for an event as one
# with a free place: reading a text in again costs less than two events.
MOVE_FACTOR = 1.5
# How much longer an event takes on a full engine; the engines' published step times
# grow by half a percent a request.
FULL_ENGINE_SLOWDOWN = 0.05
# A new connection costs less than an event; it decides only among equal engines.
CONNECT_COST = 0.02
# Above all that a full engine costs: a model's own engines are filled first, as steps
# of several models begin together and would meet on each other's engines.
FOREIGN_COST = 0.1
# Part of its places that an engine keeps for its own model.
KEPT_SHARE = 0.34


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item at no engine."""

    job_id: str
    item_id: str
    group: str
    due_s: float
    expected_tokens: int
    is_begun: bool


@dataclass(frozen=True, slots=True)
class RunningItem:
    """An item on an engine; `remaining_tokens` is an estimate."""

    job_id: str
    item_id: str
    engine: str
    min_version: int
    remaining_tokens: int


@dataclass(frozen=True, slots=True)
class EngineCandidate:
    """An engine as this node sees it.

    `slowness` is its time for an event against the fastest engine of the service;
    `version` is None while it is not known; a foreign one follows another model.
    """

    name: str
    concurrency: int
    in_use: int
    version: int | None
    slowness: float = 1.0
    is_connected: bool = False
    serves_other_model: bool = False

    @property
    def free(self) -> int:
        """Returns how many more items fit."""
        return max(0, self.concurrency - self.in_use)

    @property
    def room(self) -> int:
        """Returns how many more items this model may put here."""
        kept = (
            math.ceil(self.concurrency * KEPT_SHARE) if self.serves_other_model else 0
        )
        return max(0, self.free - kept)


def order_items(items: Sequence[WaitingItem]) -> list[WaitingItem]:
    """Returns items in the order to start them."""
    return sorted(
        items,
        key=lambda item: (
            item.due_s > 0 and item.due_s,
            not item.is_begun,
            -item.expected_tokens,
            item.item_id,
        ),
    )


def place_item(
    engines: Sequence[EngineCandidate], min_version: int, excluded: Collection[str] = ()
) -> str | None:
    """Returns the engine for an item, or None when none has a free place."""
    fit = [
        engine
        for engine in engines
        if engine.room > 0
        and engine.name not in excluded
        and (engine.version is None or engine.version >= min_version)
    ]
    if not fit:
        return None
    best = min(fit, key=_cost)
    return best.name


def reserve_capacity(engine: EngineCandidate, chosen: str) -> EngineCandidate:
    """Returns the engine with one place less when it is the chosen one."""
    if engine.name != chosen:
        return engine
    return replace(engine, in_use=engine.in_use + 1)


def choose_moves(
    running: Sequence[RunningItem], engines: Sequence[EngineCandidate]
) -> list[RunningItem]:
    """Returns the runs to stop on slow engines and to go on with elsewhere.

    The longest go first, each only when a much faster engine has a free place.
    """
    by_name = {engine.name: engine for engine in engines}
    free = {engine.name: engine.room for engine in engines}
    moves = []
    for item in sorted(running, key=lambda r: (-r.remaining_tokens, r.item_id)):
        here = by_name.get(item.engine)
        if here is None:
            continue
        better = [
            engine
            for engine in engines
            if free[engine.name] > 0
            and engine.slowness * MOVE_FACTOR <= here.slowness
            and engine.version is not None
            and engine.version >= item.min_version
        ]
        if better:
            free[min(better, key=_cost).name] -= 1
            moves.append(item)
    return moves


def _cost(engine: EngineCandidate) -> tuple[float, str]:
    """Returns the expected time of an event, more the fuller the engine is."""
    filled = engine.in_use / max(1, engine.concurrency)
    extra = 0.0 if engine.is_connected else CONNECT_COST
    extra += FOREIGN_COST if engine.serves_other_model else 0.0
    return (
        engine.slowness * (1.0 + FULL_ENGINE_SLOWDOWN * filled + extra),
        engine.name,
    )


__all__ = [
    "EngineCandidate",
    "RunningItem",
    "WaitingItem",
    "choose_moves",
    "order_items",
    "place_item",
    "reserve_capacity",
]
