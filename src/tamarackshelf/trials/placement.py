"""Simulation that compares placement policies for items on the same steps.

There is no network. A step is done when nine of ten groups are complete. An engine
decodes all its items concurrently, a little slower the more items it has.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import fire

from tamarackshelf.policy.item_placement import (
    FULL_ENGINE_SLOWDOWN,
    EngineCandidate,
    RunningItem,
    WaitingItem,
    choose_moves,
    order_items,
    place_item,
)

# Time that an unloaded engine takes for an event (a chunk of tokens), and the length
# of a simulation tick. The users' engines take about 35 ms for an event.
EVENT_S = 0.036
TICK_S = 0.02
REQUIRED_SHARE = 0.9
TOKENS_PER_EVENT = 50
# An engine's speed is known only after it has produced this many events.
MIN_EVENTS_FOR_SPEED = 3
# When an item is moved, the new engine needs the time of about two events to process
# the text so far again.
MOVE_EVENTS = 2.0
MAX_STEP_S = 120.0


@dataclass(frozen=True, slots=True)
class Step:
    """A workload of groups of items and the engines that process it.

    `places` (number of concurrent items) and `slowness` (factor on the time of an
    event, from `slow_from_s` on) have one value per engine. `lengths` draws an item's
    length in events. The caller's estimate is this length times a log-normal factor
    with median 1, whose logarithm has the standard deviation `estimate_spread`.
    """

    name: str
    groups: int
    group_size: int
    places: tuple[int, ...]
    slowness: tuple[float, ...]
    lengths: Callable[[Random], float]
    slow_from_s: float = 0.0
    estimate_spread: float = 0.5


@dataclass(slots=True)
class _Item:
    item_id: str
    group: int
    length: float
    estimate_tokens: int
    done: float = 0.0
    engine: int | None = None

    @property
    def is_complete(self) -> bool:
        return self.done >= self.length


@dataclass(slots=True)
class _Engine:
    places: int
    slowness: float
    events_seen: float = 0.0
    items: list[_Item] = field(default_factory=list)


# A policy assigns waiting items to engines and may stop running items.
Policy = Callable[[list[_Item], list[_Engine]], None]


def simulate(step: Step, policy: Policy, seed: int) -> float:
    """Return the seconds until the required share of the step's groups is complete.

    Return MAX_STEP_S if that takes longer.
    """
    random = Random(seed)
    items = _draw_items(step, random)
    engines = [_Engine(places, 1.0) for places in step.places]
    required_groups = math.ceil(REQUIRED_SHARE * step.groups)
    now_s = 0.0
    while now_s < MAX_STEP_S:
        if now_s >= step.slow_from_s:
            for engine, slowness in zip(engines, step.slowness, strict=True):
                engine.slowness = slowness
        policy(items, engines)
        for engine in engines:
            _decode(engine)
        now_s += TICK_S
        unfinished = {item.group for item in items if not item.is_complete}
        if step.groups - len(unfinished) >= required_groups:
            return now_s
    return MAX_STEP_S


def place_layered(items: list[_Item], engines: list[_Engine]) -> None:
    """Place items like the node process does, and move items off slow engines."""
    candidates = _build_candidates(engines)
    by_id = {item.item_id: item for item in items}
    for moved in choose_moves(_list_running(engines), candidates):
        _stop(by_id[moved.item_id], engines)
    for waiting in order_items([_to_waiting(i) for i in items if _is_waiting(i)]):
        name = place_item(_build_candidates(engines), 1)
        if name is None:
            return
        _start(by_id[waiting.item_id], int(name), engines)


def place_least_outstanding(items: list[_Item], engines: list[_Engine]) -> None:
    """Place items in their order of arrival on the engine with the fewest items."""
    for item in items:
        if _is_waiting(item):
            free = [n for n, e in enumerate(engines) if len(e.items) < e.places]
            if not free:
                return
            _start(item, min(free, key=lambda n: len(engines[n].items)), engines)


def build_round_robin() -> Policy:
    """Return a policy that places items, in order of arrival, on engines in turn."""
    index = 0

    def place(items: list[_Item], engines: list[_Engine]) -> None:
        nonlocal index
        for item in items:
            if not _is_waiting(item):
                continue
            for _ in engines:
                index = (index + 1) % len(engines)
                if len(engines[index].items) < engines[index].places:
                    _start(item, index, engines)
                    break
            else:
                return

    return place


def draw_even(random: Random) -> float:
    """Return a length of 14 to 22 events."""
    return random.uniform(14, 22)


def draw_long_tail(random: Random) -> float:
    """Return a length with a median of 15 events; a few are several times as long."""
    return min(120.0, random.lognormvariate(math.log(15), 0.7))


STEPS = (
    Step("even", 8, 8, (6,) * 6, (1.0,) * 6, draw_even),
    Step("long_tail", 8, 8, (6,) * 4, (1.0,) * 4, draw_long_tail),
    Step("one_slow_engine", 8, 8, (6,) * 6, (4.0, *(1.0,) * 5), draw_even),
    Step("turns_slow", 8, 8, (6,) * 6, (6.0, *(1.0,) * 5), draw_even, 0.4),
    Step("crowded", 16, 8, (6,) * 4, (2.0, *(1.0,) * 3), draw_long_tail),
)


def compare(seeds: int = 40) -> dict[str, dict[str, list[float]]]:
    """Return the durations in seconds, by step and policy, one for each seed."""
    return {
        step.name: {
            "layered": [simulate(step, place_layered, n) for n in range(seeds)],
            "least_outstanding": [
                simulate(step, place_least_outstanding, n) for n in range(seeds)
            ],
            "round_robin": [
                simulate(step, build_round_robin(), n) for n in range(seeds)
            ],
        }
        for step in STEPS
    }


def main(seeds: int = 40) -> None:
    """Print the median and the longest duration of each policy on each step."""
    for name, times in compare(seeds).items():
        for policy, seconds in times.items():
            median_s, worst_s = statistics.median(seconds), max(seconds)
            print(
                f"step={name} policy={policy} median_s={median_s:.2f} "
                f"worst_s={worst_s:.2f}"
            )


def _draw_items(step: Step, random: Random) -> list[_Item]:
    items = []
    for group in range(step.groups):
        for member in range(step.group_size):
            length = step.lengths(random)
            estimate_error = random.lognormvariate(0.0, step.estimate_spread)
            estimate = round(length * TOKENS_PER_EVENT * estimate_error)
            items.append(_Item(f"{group}-{member}", group, length, estimate))
    return items


def _decode(engine: _Engine) -> None:
    used_share = len(engine.items) / engine.places
    event_s = EVENT_S * engine.slowness * (1.0 + FULL_ENGINE_SLOWDOWN * used_share)
    for item in list(engine.items):
        item.done += TICK_S / event_s
        if item.is_complete:
            engine.items.remove(item)
            item.engine = None
    if engine.items:
        engine.events_seen += TICK_S / event_s


def _build_candidates(engines: list[_Engine]) -> list[EngineCandidate]:
    return [
        EngineCandidate(
            name=str(number),
            concurrency=engine.places,
            in_use=len(engine.items),
            version=1,
            slowness=engine.slowness
            if engine.events_seen >= MIN_EVENTS_FOR_SPEED
            else 1.0,
        )
        for number, engine in enumerate(engines)
    ]


def _list_running(engines: list[_Engine]) -> list[RunningItem]:
    return [
        RunningItem(
            job_id="step",
            item_id=item.item_id,
            engine=str(number),
            min_version=1,
            remaining_tokens=max(
                0, item.estimate_tokens - round(item.done * TOKENS_PER_EVENT)
            ),
        )
        for number, engine in enumerate(engines)
        for item in engine.items
    ]


def _to_waiting(item: _Item) -> WaitingItem:
    return WaitingItem(
        job_id="step",
        item_id=item.item_id,
        group=str(item.group),
        due_s=1.0,
        expected_tokens=item.estimate_tokens,
        is_begun=item.done > 0,
    )


def _is_waiting(item: _Item) -> bool:
    return item.engine is None and not item.is_complete


def _start(item: _Item, number: int, engines: list[_Engine]) -> None:
    item.engine = number
    engines[number].items.append(item)


def _stop(item: _Item, engines: list[_Engine]) -> None:
    assert item.engine is not None
    engines[item.engine].items.remove(item)
    item.engine = None
    item.done = max(0.0, item.done - MOVE_EVENTS)


if __name__ == "__main__":
    fire.Fire(main)


__all__ = [
    "STEPS",
    "TICK_S",
    "Step",
    "build_round_robin",
    "compare",
    "place_layered",
    "place_least_outstanding",
    "simulate",
]
