"""Which target a request goes to, and why."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TypeGuard

from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.world import Target

AFFINITY_BOUND = 1.25
FAR_PENALTY = 0.05
SLOWEST_PREFERRED = 1.5
# A new connection takes a place at its target for a moment; it is worth about one more
# request in flight at a target of six places.
CONNECT_PENALTY = 0.17
# Looked at beside the two that are drawn, so that idle connections are used.
CONNECTED_ADDED = 1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target as this node sees it; loads count requests.

    `slowness` is the time that a request takes there against the median target.
    """

    target: Target
    own_in_flight: int = 0
    others_in_flight: int = 0
    share: int = 1
    ruled_out: str = ""
    slowness: float = 1.0
    is_connected: bool = False

    @property
    def load(self) -> float:
        """Returns the estimated requests per place of the target."""
        total = self.own_in_flight + self.others_in_flight
        return total / self.target.concurrency

    @property
    def has_room(self) -> bool:
        """Tells whether one more request fits.

        A node may always use its share; beyond it, it borrows what the load
        reports show as free.
        """
        if self.own_in_flight < self.share:
            return True
        total = self.own_in_flight + self.others_in_flight
        return total < self.target.concurrency


@dataclass(frozen=True, slots=True)
class TargetRequirements:
    """What a request asks of a target."""

    service: str
    affinity: str = ""
    data_centre: str = ""
    excluded: frozenset[str] = frozenset()
    only: str = ""


@dataclass(frozen=True, slots=True)
class RoutingDecision:
    """The chosen target, or None with `is_full` when waiting may help."""

    target: Target | None
    reason: str
    is_full: bool = False


Router = Callable[[Sequence[Candidate], TargetRequirements, Random], RoutingDecision]


def compute_share(concurrency: int, sharers: int) -> int:
    """Returns how many requests of a target each node may always have."""
    return max(1, math.floor(concurrency / max(1, sharers)))


def route(
    candidates: Sequence[Candidate], need: TargetRequirements, rng: Random
) -> RoutingDecision:
    """Chooses by constraints, capacity, prefix affinity, then load."""
    allowed = _filter_allowed(candidates, need)
    if not allowed:
        return RoutingDecision(None, _explain_none(candidates, need))
    free = [candidate for candidate in allowed if candidate.has_room]
    if not free:
        return RoutingDecision(
            None, f"all {len(allowed)} targets are full", is_full=True
        )
    preferred = _find_preferred(allowed, need)
    if _is_worth_preferring(preferred):
        mean = sum(candidate.load for candidate in allowed) / len(allowed)
        if preferred.load <= AFFINITY_BOUND * mean + 1 / preferred.target.concurrency:
            return RoutingDecision(
                preferred.target, f"prefix affinity, load {preferred.load}"
            )
    drawn = rng.sample(free, min(2, len(free)))
    drawn += [c for c in free if c.is_connected and c not in drawn][:CONNECTED_ADDED]
    best = min(drawn, key=lambda c: (_cost(c, need), c.target.name))
    names = ", ".join(f"{c.target.name} {_cost(c, need):.2f}" for c in drawn)
    return RoutingDecision(best.target, f"lower load of {names}")


def build_round_robin() -> Router:
    """Returns a router that takes the targets in turn, as a baseline."""
    turn = 0

    def choose(
        candidates: Sequence[Candidate], need: TargetRequirements, rng: Random
    ) -> RoutingDecision:
        nonlocal turn
        del rng
        allowed = _filter_allowed(candidates, need)
        if not allowed:
            return RoutingDecision(None, _explain_none(candidates, need))
        turn += 1
        return RoutingDecision(allowed[turn % len(allowed)].target, "its turn")

    return choose


def route_least_outstanding(
    candidates: Sequence[Candidate], need: TargetRequirements, rng: Random
) -> RoutingDecision:
    """Chooses the fewest own requests in flight, as a baseline."""
    allowed = _filter_allowed(candidates, need)
    if not allowed:
        return RoutingDecision(None, _explain_none(candidates, need))
    best = min(allowed, key=lambda c: (c.own_in_flight, rng.random()))
    return RoutingDecision(best.target, "fewest own requests")


def _filter_allowed(
    candidates: Sequence[Candidate], need: TargetRequirements
) -> list[Candidate]:
    return [c for c in candidates if not _rule_out(c, need)]


def _rule_out(candidate: Candidate, need: TargetRequirements) -> str:
    name = candidate.target.name
    if candidate.ruled_out:
        return candidate.ruled_out
    if name in need.excluded:
        return "tried before"
    if need.only and name != need.only:
        return "not the granted one"
    return ""


def _explain_none(candidates: Sequence[Candidate], need: TargetRequirements) -> str:
    if not candidates:
        return f"no target of {need.service} is known"
    reasons = [f"{c.target.name}: {_rule_out(c, need)}" for c in candidates]
    return "; ".join(reasons)


def _find_preferred(
    allowed: list[Candidate], need: TargetRequirements
) -> Candidate | None:
    if not need.affinity:
        return None
    by_name = {candidate.target.name: candidate for candidate in allowed}
    owner = find_owner(by_name, need.affinity)
    return None if owner is None else by_name[owner]


def _is_worth_preferring(preferred: Candidate | None) -> TypeGuard[Candidate]:
    if preferred is None or not preferred.has_room:
        return False
    return preferred.slowness <= SLOWEST_PREFERRED


def _cost(candidate: Candidate, need: TargetRequirements) -> float:
    """Returns how long the request would take, in times of an idle target."""
    is_far = candidate.target.data_centre != need.data_centre
    time = (1.0 + candidate.load) * candidate.slowness
    connect = 0.0 if candidate.is_connected else CONNECT_PENALTY
    return time + connect + (FAR_PENALTY if is_far else 0.0)


__all__ = [
    "Candidate",
    "RoutingDecision",
    "TargetRequirements",
    "Router",
    "build_round_robin",
    "compute_share",
    "route",
    "route_least_outstanding",
]
