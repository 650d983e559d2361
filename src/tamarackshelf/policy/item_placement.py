"""Order of items and their placement on engines.

An engine decodes all its items in one batch, so an item is better placed on an engine
with free capacity than on a full one that has cached its prefix. A step ends with the
longest item of the groups that it waits for, so long items start first, on the engine
that decodes fastest.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random

# A run is moved when an event takes this many times as long on its engine as on one
# with free capacity: prefilling the text again costs less than two events.
MOVE_FACTOR = 1.5
# A run that is moved must end this much earlier by the estimate: it is prefilled again,
# its engine's report is read on a new connection, and the other engine may refuse it.
MOVE_GAIN_S = 0.3
# A text that exceeds its caller's estimate is expected to grow by this share.
OVERRUN_SHARE = 0.3
# Relative increase of the time of an event on a full engine; the published step times
# of the engines grow by 0.5 % per request.
FULL_ENGINE_SLOWDOWN = 0.05
# Cost of opening a connection, relative to the time of an event on an empty engine. It
# is less than an event, so it decides only among engines that are otherwise equal.
CONNECTION_COST = 0.02
# Cost of an engine assigned to another model, in the same unit. It exceeds the slowdown
# of a full engine, so a model's own engines are filled first: steps of several models
# begin together and would compete for each other's engines.
OTHER_MODEL_COST = 0.1
# Engines whose costs differ by less than this share count as equal: it is less than the
# error of a measured time of an event.
NEAR_COST = 0.03
# Share of its run that an item saves on an engine that has read its prompt: 2.5 to 5 ms
# for 1,000 tokens, of half a second. A more loaded engine loses more than that.
PREFIX_GAIN = 0.01
# A trainer waits for this share of a job's groups to be complete.
REQUIRED_GROUP_SHARE = 0.9
# No organisation gets less than this share of the runs of another one that waits, too.
MIN_FAIR_SHARE = 0.25
# Share of its capacity that an engine reserves for items of its own model.
RESERVED_SHARE = 0.34


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that does not run on any engine.

    `due_s` is when its job's results are due, on the event loop's clock.
    """

    job_id: str
    item_id: str
    group: str
    due_s: float
    expected_tokens: int
    is_begun: bool
    model: str = ""
    organisation: str = ""
    group_rank: int = 0
    is_spare: bool = False


@dataclass(frozen=True, slots=True)
class GroupState:
    """What a group of a job still lacks; `tokens` is the expected sum of its items.

    `waiting` items run nowhere; `missing` ones are not listed yet.
    """

    group: str
    waiting: int
    missing: int
    tokens: int


@dataclass(frozen=True, slots=True)
class RunningItem:
    """An item that runs on an engine; `remaining_tokens` is an estimate."""

    job_id: str
    item_id: str
    engine: str
    min_version: int
    remaining_tokens: int
    # Software that may continue the text, or None if there is no text yet.
    software: str | None = None


@dataclass(frozen=True, slots=True)
class EngineCandidate:
    """An engine as this node sees it, for placing items of one model.

    It runs up to `concurrency` items at a time. `slowness` is its time per event
    relative to the fastest engine of the service. `version` is that of the model, or
    None while it is not known; `serves_other_model` tells that the engine is assigned
    to another model, and `limit_per_s` is the number of runs a second that it takes, or
    None without a limit.
    """

    name: str
    concurrency: int
    in_use: int
    version: int | None
    slowness: float = 1.0
    is_connected: bool = False
    serves_other_model: bool = False
    limit_per_s: float | None = None
    software: str = ""

    @property
    def free(self) -> int:
        """The number of further items that the engine can run."""
        return max(0, self.concurrency - self.in_use)

    @property
    def available(self) -> int:
        """The number of further items that fit beside the reserved capacity."""
        reserved = (
            math.ceil(self.concurrency * RESERVED_SHARE)
            if self.serves_other_model
            else 0
        )
        return max(0, self.free - reserved)


def order_items(
    items: Sequence[WaitingItem], running: Mapping[tuple[str, str], int] | None = None
) -> list[WaitingItem]:
    """Return the items in the order to start them.

    Items of needed groups come before spare ones, then items due earlier; among those
    due at the same time, items that have already begun, then those of the groups that
    rank first, then longer ones. All values of `due_s` up to zero count as equal.

    `running` counts the running items by model and organisation. An organisation with
    less than MIN_FAIR_SHARE of the items of another one, for the same model, is next.
    """
    ordered = sorted(
        items,
        key=lambda item: (
            item.is_spare,
            item.due_s > 0 and item.due_s,
            not item.is_begun,
            item.group_rank,
            -item.expected_tokens,
            item.item_id,
        ),
    )
    running = running or {}
    names = {item.organisation for item in ordered} | {name for _, name in running}
    return ordered if len(names) < 2 else _share_fairly(ordered, running)


def rank_groups(
    groups: Sequence[GroupState], group_count: int
) -> dict[str, tuple[int, bool]]:
    """Return by group its rank in the order to start, and whether it is spare.

    Groups that lack the fewest items rank first, as a trainer uses complete groups
    only. Groups beyond the share that the trainer waits for are spare.
    """
    needed = math.ceil(REQUIRED_GROUP_SHARE * max(group_count, len(groups)))
    ranked = sorted(groups, key=lambda g: (g.waiting, g.missing, g.tokens, g.group))
    return {group.group: (rank, rank >= needed) for rank, group in enumerate(ranked)}


def place_item(
    engines: Sequence[EngineCandidate],
    min_version: int,
    excluded: Collection[str] = (),
    software: str | None = None,
    rng: Random | None = None,
    preferred: Collection[str] = (),
) -> str | None:
    """Return the name of the cheapest usable engine for an item, or None.

    An engine of unknown version counts as having `min_version`. With `software`, only
    engines with this version of their software are usable. With `rng`, one of the
    engines that cost nearly the least is drawn, so that nodes that place at the same
    moment do not all choose the same engine. Among these, `preferred` ones go first,
    which have read the item's prompt.
    """
    usable = [
        engine
        for engine in engines
        if engine.available > 0
        and engine.name not in excluded
        and (engine.version is None or engine.version >= min_version)
        and software in (None, engine.software)
    ]
    if not usable:
        return None
    best = min(usable, key=_cost)
    if rng is None:
        return best.name
    limit = _cost(best)[0] * (1.0 + NEAR_COST)
    near = [engine for engine in usable if _cost(engine)[0] <= limit]
    warm_limit = _cost(best)[0] * (1.0 + PREFIX_GAIN)
    warm = [
        engine
        for engine in near
        if engine.name in preferred and _cost(engine)[0] <= warm_limit
    ]
    return rng.choice(warm or near).name


def reserve_capacity(engine: EngineCandidate, chosen: str) -> EngineCandidate:
    """Return the engine with one more item in use if its name is `chosen`.

    An engine with a rate limit counts as full then: its runs start one by one.
    """
    if engine.name != chosen:
        return engine
    if engine.limit_per_s is not None:
        return replace(engine, in_use=engine.concurrency)
    return replace(engine, in_use=engine.in_use + 1)


def mark_full(engine: EngineCandidate) -> EngineCandidate:
    """Return the engine without free capacity."""
    return replace(engine, in_use=max(engine.in_use, engine.concurrency))


def estimate_remaining(expected_tokens: int, done_tokens: int) -> int:
    """Return the tokens that a text still needs, also when it exceeds its estimate."""
    return max(expected_tokens - done_tokens, round(OVERRUN_SHARE * done_tokens))


def find_slow_engines(engines: Sequence[EngineCandidate]) -> set[str]:
    """Return the engines on which an event takes much longer than on a free one."""
    fastest = min((e.slowness for e in engines if e.available > 0), default=math.inf)
    return {e.name for e in engines if e.slowness >= MOVE_FACTOR * fastest}


def choose_moves(
    running: Sequence[RunningItem],
    engines: Sequence[EngineCandidate],
    token_s: float | None = None,
) -> list[RunningItem]:
    """Return the runs to stop on slow engines, so that they continue on faster ones.

    With `token_s`, the time of a token on the fastest engine, a run that would gain
    less than MOVE_GAIN_S stays.

    Runs with the most remaining tokens are moved first, each only when a much faster
    engine has free capacity for it. A run that was stopped may have to wait for an
    engine with a rate limit, so it is not moved there.
    """
    by_name = {engine.name: engine for engine in engines}
    available = {engine.name: engine.available for engine in engines}
    moves = []
    for item in sorted(running, key=lambda r: (-r.remaining_tokens, r.item_id)):
        current = by_name.get(item.engine)
        if current is None:
            continue
        faster = [
            engine
            for engine in engines
            if available[engine.name] > 0
            and engine.limit_per_s is None
            and engine.slowness * MOVE_FACTOR <= current.slowness
            and _gains_enough(item, current, engine, token_s)
            and engine.version is not None
            and engine.version >= item.min_version
            and item.software in (None, engine.software)
        ]
        if faster:
            available[min(faster, key=_cost).name] -= 1
            moves.append(item)
    return moves


def _share_fairly(
    ordered: Sequence[WaitingItem], running: Mapping[tuple[str, str], int]
) -> list[WaitingItem]:
    """Return the items so that no organisation falls below its share of the runs."""
    queues: dict[tuple[str, str], deque[tuple[int, WaitingItem]]] = {}
    for position, item in enumerate(ordered):
        key = (item.model, item.organisation)
        queues.setdefault(key, deque()).append((position, item))
    counts = Counter(running)
    result = []
    while queues:
        most: dict[str, int] = {}
        for (model, _), count in counts.items():
            most[model] = max(most.get(model, 0), count)
        below = [
            key for key in queues if counts[key] < MIN_FAIR_SHARE * most.get(key[0], 0)
        ]
        key = min(below or queues, key=lambda key: queues[key][0][0])
        counts[key] += 1
        result.append(queues[key].popleft()[1])
        if not queues[key]:
            del queues[key]
    return result


def _gains_enough(
    item: RunningItem,
    current: EngineCandidate,
    other: EngineCandidate,
    token_s: float | None,
) -> bool:
    if token_s is None:
        return True
    gain = current.slowness - other.slowness
    return item.remaining_tokens * token_s * gain >= MOVE_GAIN_S


def _cost(engine: EngineCandidate) -> tuple[float, str]:
    """Return the expected time of an event on the engine, and its name to break ties.

    The time is relative to an empty engine of slowness 1 and grows with the load.
    """
    filled = engine.in_use / max(1, engine.concurrency)
    extra = 0.0 if engine.is_connected else CONNECTION_COST
    extra += OTHER_MODEL_COST if engine.serves_other_model else 0.0
    return (
        engine.slowness * (1.0 + FULL_ENGINE_SLOWDOWN * filled + extra),
        engine.name,
    )


__all__ = [
    "EngineCandidate",
    "GroupState",
    "RunningItem",
    "WaitingItem",
    "choose_moves",
    "estimate_remaining",
    "find_slow_engines",
    "mark_full",
    "order_items",
    "place_item",
    "rank_groups",
    "reserve_capacity",
]
