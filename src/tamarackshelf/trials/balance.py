"""Simulation that compares ways to spread requests by reports that are out of date.

There is no network. Nodes send requests to targets with a few slots and a queue, whose
speed differs and changes; a target turns away what does not fit. The nodes know the
targets' loads from responses, a given time late, and in some ways from each other.
"""

from __future__ import annotations

import heapq
import itertools
import math
import statistics
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import fire

from tamarackshelf.policy.item_placement import EngineCandidate, place_item
from tamarackshelf.policy.load_estimate import (
    LoadEstimate,
    LoadReport,
    compute_usual_others,
    compute_usual_slowdown,
)
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.routing import Candidate, TargetRequirements, route
from tamarackshelf.policy.shared_loads import SharedLoads, build_key
from tamarackshelf.world import Address, Target, TargetKind

# blind: no reports, as with reports of four figures before.
# today: the rule for targets that report no slowdown.
# estimate: others' requests approach the mean of the reports instead of zero.
# damped: as estimate, with a random error in proportion to the report's age.
# passed_on: as estimate, and reports of other nodes by gossip.
# shared: as estimate, and nodes tell their own requests by gossip.
# directed: as shared, and random probes go to nodes that have requests.
# subset: as today, with three targets for each node, by rank.
# granted: one node for each target sees all sends; a call more for each request.
WAYS = (
    "blind",
    "today",
    "estimate",
    "damped",
    "passed_on",
    "shared",
    "directed",
    "subset",
    "granted",
)
# The loads and speeds of all targets are known at any moment.
IDEAL = "ideal"
FADING_WAYS = ("blind", "today", "subset")
GOSSIP_WAYS = ("passed_on", "shared", "directed")
# Gossip and connections as in the node: two of three probes go to successors on a ring.
PROBE_S = 0.6
RING_PROBES = 2
IDLE_S = 3.0
TICK_S = 0.1
LINK_S = 0.001
# What a node does when it is turned away.
PLAIN_AVOID_S = 0.3
ENGINE_AVOID_S = 0.12
MAX_TRIES = 3
# Time that a caller loses whose request finds no target.
FAILED_S = 0.5
MAX_PASSED_AGE_S = 6.0
SUBSET_TARGETS = 3


@dataclass(frozen=True, slots=True)
class Load:
    """A load pattern: targets of `slots`, and requests that take `work_s`.

    `burst` requests arrive at once at one of `senders` nodes, or of all if that is 0.
    Items for engines wait at the node until it takes an engine for free.
    """

    name: str
    is_engine: bool
    targets: int
    slots: int
    queue: int
    work_s: tuple[float, float]
    burst: int
    senders: int = 0


TEXT_S = (1.0, 3.0)
CALL_S = (0.025, 0.025)
LOADS = {
    load.name: load
    for load in (
        # Jobs of all nodes; of one node for each model and data centre; of few models.
        Load("engines_all", True, 19, 6, 18, TEXT_S, 64),
        Load("engines_12", True, 19, 6, 18, TEXT_S, 64, 12),
        Load("engines_4", True, 19, 6, 18, TEXT_S, 64, 4),
        Load("few_engines", True, 4, 8, 24, TEXT_S, 32, 2),
        Load("plain", False, 7, 6, 6, CALL_S, 1),
        Load("plain_6", False, 7, 6, 6, CALL_S, 1, 6),
        Load("few_plain", False, 4, 6, 6, CALL_S, 1),
    )
}


@dataclass(frozen=True, slots=True)
class Result:
    """Requests at the busiest target over the mean, share turned away, and mean time.

    `connected` is the share of sends to targets that the node used within IDLE_S.
    `lost` is the mean time from a request's arrival to its end over that of the ideal
    choice, less one.
    """

    peak: float
    turned_away: float
    mean_s: float
    connected: float
    lost: float = 0.0


@dataclass(slots=True)
class _Request:
    node: int
    work_s: float
    born_s: float
    tried: set[int] = field(default_factory=set)


@dataclass(slots=True)
class _Target:
    listed: Target
    usual_slowdown: float
    slowdown: float = 1.0
    running: int = 0
    waiting: deque[_Request] = field(default_factory=deque)
    request_s: float = 0.0
    counted_at_s: float = 0.0

    @property
    def total(self) -> int:
        return self.running + len(self.waiting)

    def advance(self, now_s: float) -> None:
        """Add the time that requests have spent here."""
        self.request_s += self.total * (now_s - self.counted_at_s)
        self.counted_at_s = now_s


@dataclass(slots=True)
class _View:
    """What a node knows of a target."""

    estimate: LoadEstimate
    in_flight: int = 0
    avoid_until_s: float = -math.inf
    used_at_s: float = -math.inf
    newest: LoadReport | None = None
    # Times and values of the requests in flight, to compare an older report with.
    changed_at_s: list[float] = field(default_factory=list)
    counts: list[int] = field(default_factory=list)

    def count(self, change: int, now_s: float) -> None:
        self.in_flight += change
        self.used_at_s = now_s
        self.changed_at_s.append(now_s)
        self.counts.append(self.in_flight)

    def record(self, report: LoadReport, own: int | None = None) -> None:
        """Record a report if it is the newest; find `own` by its time if not given."""
        if self.newest is not None and report.at_s <= self.newest.at_s:
            return
        if own is None:
            index = bisect_right(self.changed_at_s, report.at_s)
            own = self.counts[index - 1] if index else 0
        self.newest = report
        self.estimate.record(report, own)


class Simulation:
    """One run of a way to choose under a load that uses a share of the capacity.

    Reports reach the nodes `age_s` late. The arrivals and the targets' speeds depend on
    the seed only.
    """

    def __init__(
        self, load: Load, nodes: int, way: str, age_s: float, used: float, seed: int
    ) -> None:
        if way not in (*WAYS, IDEAL):
            raise ValueError(f"{way!r} is none of {', '.join(WAYS)}")
        self._load, self._way, self._age_s = load, way, age_s
        self._arrival_rng = Random(seed)
        self._speed_rng = Random(seed + 1000)
        self._choice_rng = Random(seed + 2000)
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._arrivals = self._turned_away = self._connected = 0
        self._times_s: list[float] = []
        mean_work_s = statistics.fmean(load.work_s)
        kind = TargetKind.ENGINE if load.is_engine else TargetKind.PLAIN
        address = Address("10.0.0.1", 1)
        self._targets = [
            _Target(
                Target(f"t{n:02}", "s", kind, "dc", address, 1, load.slots),
                self._speed_rng.uniform(0.8, 1.4),
            )
            for n in range(load.targets)
        ]
        hold_s = 1.0 if load.is_engine else 0.2
        self._views = [
            [_View(LoadEstimate(hold_s)) for _ in self._targets] for _ in range(nodes)
        ]
        senders = min(nodes, load.senders or nodes)
        self._senders = self._arrival_rng.sample(range(nodes), senders)
        self._shared = [SharedLoads(f"vm-{n}", 0) for n in range(nodes)]
        self._probes = [itertools.count(n) for n in range(nodes)]
        self._waiting: list[list[_Request]] = [[] for _ in range(nodes)]
        names = [target.listed.name for target in self._targets]
        # The order of the targets at each node, of which the router compares the first
        # connected one.
        ranked = [rank_owners(names, f"vm-{n}") for n in range(nodes)]
        self._ranks = [[names.index(name) for name in each] for each in ranked]
        count = SUBSET_TARGETS if way == "subset" else len(names)
        self._allowed = [frozenset(each[:count]) for each in ranked]
        usual = statistics.fmean(target.usual_slowdown for target in self._targets)
        per_s = used * load.targets * load.slots / (mean_work_s * usual)
        self._bursts_per_s = per_s / load.burst

    def run(self, duration_s: float) -> Result:
        """Simulate some time and return the result, without the time lost."""
        self._at(0.0, self._arrive_burst)
        for target in self._targets:
            self._repeat_change(target)
        for node in range(len(self._views)):
            if self._way in GOSSIP_WAYS:
                self._at(self._choice_rng.uniform(0, PROBE_S), self._probe, node)
            if self._load.is_engine:
                self._at(self._choice_rng.uniform(0, TICK_S), self._tick, node)
        while self._events and self._events[0][0] < duration_s:
            self._now_s, _, event = heapq.heappop(self._events)
            event()
        for target in self._targets:
            target.advance(duration_s)
        # Requests that have not ended count with the time up to now.
        unfinished = [r for waiting in self._waiting for r in waiting]
        unfinished += [r for target in self._targets for r in target.waiting]
        self._times_s += [duration_s - request.born_s for request in unfinished]
        loads = [target.request_s for target in self._targets]
        return Result(
            peak=max(loads) / statistics.fmean(loads),
            turned_away=self._turned_away / max(1, self._arrivals),
            mean_s=statistics.fmean(self._times_s),
            connected=self._connected / max(1, self._arrivals),
        )

    def _at(self, at_s: float, event: Callable[..., None], *args: object) -> None:
        entry = (at_s, next(self._order), lambda: event(*args))
        heapq.heappush(self._events, entry)

    def _arrive_burst(self) -> None:
        rng = self._arrival_rng
        node = rng.choice(self._senders)
        works_s = [rng.uniform(*self._load.work_s) for _ in range(self._load.burst)]
        gap_s = rng.expovariate(self._bursts_per_s)
        self._at(self._now_s + gap_s, self._arrive_burst)
        for work_s in works_s:
            request = _Request(node, work_s, self._now_s)
            if self._load.is_engine:
                self._waiting[node].append(request)
            else:
                self._send_plain(request)
        self._place_items(node)

    def _repeat_change(self, target: _Target) -> None:
        rng = self._speed_rng
        target.slowdown = target.usual_slowdown * math.exp(rng.gauss(0.0, 0.25))
        next_s = self._now_s + rng.uniform(0.1, 0.6)
        self._at(next_s, self._repeat_change, target)

    def _tick(self, node: int) -> None:
        self._place_items(node)
        self._at(self._now_s + TICK_S, self._tick, node)

    def _probe(self, node: int) -> None:
        """Exchange datagrams with a node, as a ping and its answer."""
        phase = next(self._probes[node]) % (RING_PROBES + 1)
        nodes = len(self._views)
        other = (node + phase + 1) % nodes
        if phase == RING_PROBES:
            other = self._choice_rng.randrange(nodes)
            if self._way == "directed":
                other = self._choice_rng.choice(self._senders)
        if other != node:
            self._tell(node, other)
            self._tell(other, node)
        self._at(self._now_s + PROBE_S, self._probe, node)

    def _tell(self, source: int, to: int) -> None:
        if self._way == "passed_on":
            for theirs, mine in zip(self._views[source], self._views[to], strict=True):
                report = theirs.newest
                if report is not None and report.at_s > self._now_s - MAX_PASSED_AGE_S:
                    mine.record(report)
            return
        own = {
            build_key(target.listed): view.in_flight
            for target, view in zip(self._targets, self._views[source], strict=True)
        }
        told = self._shared[source].build(own, self._now_s)
        self._shared[to].receive(told, self._now_s)

    def _list_others(self, node: int) -> list[float]:
        """Return the requests of other nodes at each target as this node sees them."""
        views = self._views[node]
        if self._way in ("granted", IDEAL):
            totals = [target.total for target in self._targets]
            pairs = zip(totals, views, strict=True)
            return [max(0.0, total - view.in_flight) for total, view in pairs]
        if self._way in FADING_WAYS:
            return [float(round(self._fade(view.estimate))) for view in views]
        now_s = self._now_s
        told = None
        if self._load.is_engine and self._way in ("shared", "directed"):
            told = self._shared[node].estimate(now_s)
        usual = compute_usual_others([view.estimate for view in views])
        others = []
        for target, view in zip(self._targets, views, strict=True):
            expected = min(
                view.estimate.expect_others(now_s, usual), 0.75 * self._load.slots
            )
            if told is not None:
                expected = told.find(target.listed)
            others.append(view.estimate.estimate_others(now_s, expected))
        if self._way == "damped":
            return [o + self._draw_error(v) for o, v in zip(others, views, strict=True)]
        return others

    def _fade(self, estimate: LoadEstimate) -> float:
        if self._way == "blind":
            return 0.0
        fade_s = 2.0 if self._load.is_engine else 1.0
        age_s = self._now_s - estimate.others_at_s
        return estimate.others * max(0.0, 1.0 - age_s / fade_s)

    def _draw_error(self, view: _View) -> float:
        """Return a random error of up to half the slots, for a report of 2 s."""
        age_s = min(2.0, self._now_s - view.estimate.others_at_s)
        return self._choice_rng.uniform(-0.25, 0.25) * age_s * self._load.slots

    def _find_slowness(self, node: int, number: int) -> float:
        if self._way == IDEAL:
            return self._targets[number].slowdown
        if self._way in FADING_WAYS:
            return 1.0
        estimate = self._views[node][number].estimate
        estimates = [view.estimate for view in self._views[node]]
        usual = estimate.expect_slowdown(self._now_s, compute_usual_slowdown(estimates))
        if self._load.is_engine:
            return max(1.0, usual)
        return max(1.0, usual) * estimate.compare_slowdown(self._now_s)

    def _list_usable(self, node: int) -> list[int]:
        """Return the targets that may get work; all if those of the subset are busy."""
        allowed = self._allowed[node]
        free = [
            number
            for number, view in enumerate(self._views[node])
            if view.avoid_until_s <= self._now_s
        ]
        own = [n for n in free if self._targets[n].listed.name in allowed]
        return own or free

    def _send_plain(self, request: _Request) -> None:
        node = request.node
        others = self._list_others(node)
        usable = [n for n in self._list_usable(node) if n not in request.tried]
        if self._way not in FADING_WAYS:
            usable.sort(key=self._ranks[node].index)
        candidates = {
            number: Candidate(
                self._targets[number].listed,
                self._views[node][number].in_flight,
                others[number],
                self._load.slots,
                slowness=self._find_slowness(node, number),
                is_connected=self._now_s - self._views[node][number].used_at_s < IDLE_S,
            )
            for number in usable
        }
        if not candidates:
            self._times_s.append(self._now_s - request.born_s + FAILED_S)
            return
        if self._way == IDEAL:
            chosen = min(
                candidates,
                key=lambda n: (1 + candidates[n].load) * candidates[n].slowness,
            )
        else:
            requirements = TargetRequirements("s", data_centre="dc")
            rng = self._choice_rng
            target = route(list(candidates.values()), requirements, rng).target
            chosen = min(candidates, key=lambda n: candidates[n].load)
            if target is not None:
                chosen = int(target.name[1:])
        self._send(request, chosen)

    def _place_items(self, node: int) -> None:
        waiting = self._waiting[node]
        if not waiting:
            return
        others = self._list_others(node)
        usable = self._list_usable(node)
        while waiting:
            candidates = [
                EngineCandidate(
                    self._targets[number].listed.name,
                    self._load.slots,
                    self._views[node][number].in_flight + round(others[number]),
                    1,
                    self._find_slowness(node, number),
                    is_connected=True,
                )
                for number in usable
            ]
            name = place_item(candidates, 1)
            if name is None:
                return
            self._send(waiting.pop(0), int(name[1:]))

    def _send(self, request: _Request, number: int) -> None:
        view = self._views[request.node][number]
        self._connected += self._now_s - view.used_at_s < IDLE_S
        view.count(1, self._now_s)
        self._at(self._now_s + LINK_S, self._arrive, request, number)

    def _arrive(self, request: _Request, number: int) -> None:
        target = self._targets[number]
        target.advance(self._now_s)
        self._arrivals += 1
        is_full = target.running >= self._load.slots
        if is_full and len(target.waiting) >= self._load.queue:
            self._turned_away += 1
            self._end_call(request, number, is_turned_away=True)
            return
        target.waiting.append(request)
        self._start_runs(number)

    def _start_runs(self, number: int) -> None:
        target = self._targets[number]
        while target.running < self._load.slots and target.waiting:
            request = target.waiting.popleft()
            target.running += 1
            took_s = request.work_s * target.slowdown
            self._at(self._now_s + took_s, self._end_run, request, number)
            if self._load.is_engine:
                self._send_report(request.node, number, ended=0)

    def _end_run(self, request: _Request, number: int) -> None:
        target = self._targets[number]
        target.advance(self._now_s)
        target.running -= 1
        self._start_runs(number)
        self._times_s.append(self._now_s - request.born_s)
        self._end_call(request, number, is_turned_away=False)

    def _end_call(
        self, request: _Request, number: int, *, is_turned_away: bool
    ) -> None:
        node, load = request.node, self._load
        view = self._views[node][number]
        if is_turned_away or not load.is_engine:
            self._send_report(node, number, ended=1)
        view.count(-1, self._now_s)
        if is_turned_away:
            avoid_s = ENGINE_AVOID_S if load.is_engine else PLAIN_AVOID_S
            view.avoid_until_s = self._now_s + avoid_s
        if load.is_engine:
            if is_turned_away:
                self._waiting[node].insert(0, request)
            self._place_items(node)
        elif is_turned_away:
            request.tried.add(number)
            if len(request.tried) < MAX_TRIES:
                self._send_plain(request)
            else:
                self._times_s.append(self._now_s - request.born_s + FAILED_S)

    def _send_report(self, node: int, number: int, *, ended: int) -> None:
        """Report the load with a response; it counts when it reaches the node."""
        target, view = self._targets[number], self._views[node][number]
        report = LoadReport(self._now_s, target.total, target.slowdown)
        own = view.in_flight - ended
        self._at(self._now_s + self._age_s, view.record, report, own)


def measure(
    load: Load, nodes: int, way: str, age_s: float, used: float, seeds: int = 3
) -> Result:
    """Return the mean result of some seeds, with the time lost."""
    duration_s = 30.0 if load.is_engine else 6.0
    results = []
    for seed in range(seeds):
        ideal = Simulation(load, nodes, IDEAL, 0.0, used, seed).run(duration_s)
        got = Simulation(load, nodes, way, age_s, used, seed).run(duration_s)
        results.append((got, got.mean_s / ideal.mean_s - 1.0))
    return Result(
        peak=statistics.fmean(got.peak for got, _ in results),
        turned_away=statistics.fmean(got.turned_away for got, _ in results),
        mean_s=statistics.fmean(got.mean_s for got, _ in results),
        connected=statistics.fmean(got.connected for got, _ in results),
        lost=statistics.fmean(lost for _, lost in results),
    )


def main(
    loads: object = tuple(LOADS),
    nodes: object = (12, 58, 195, 380),
    ages: object = (0.05, 0.5, 5.0),
    used: object = (0.5, 0.9),
    ways: object = WAYS,
    seeds: int = 3,
) -> None:
    """Print the results of each way under each load."""
    lists = (_to_list(each) for each in (loads, nodes, ages, used, ways))
    for name, count, age_s, share, way in itertools.product(*lists):
        got = measure(LOADS[name], int(count), way, float(age_s), float(share), seeds)
        print(
            f"load={name} nodes={count} age_s={age_s} used={share} way={way} "
            f"peak={got.peak:.2f} lost={got.lost:.2f} "
            f"turned_away={got.turned_away:.3f} connected={got.connected:.2f}",
            flush=True,
        )


def _to_list(values: object) -> list[str]:
    """Return the values of an argument, which fire parses as one value or several."""
    several = values if isinstance(values, tuple | list) else (values,)
    return [str(value) for value in several]


if __name__ == "__main__":
    fire.Fire(main)


__all__ = ["LOADS", "WAYS", "Load", "Result", "Simulation", "measure"]
