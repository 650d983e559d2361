"""Choice of the target of a request, with the reason."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TypeGuard

from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.world import Target

AFFINITY_LOAD_FACTOR = 1.25
OTHER_DATA_CENTRE_PENALTY = 0.05
MAX_AFFINITY_SLOWNESS = 1.5
# Relative to the time of a request on an idle target. A new connection briefly occupies
# its target; it costs about as much as one more request in flight at a target with a
# concurrency of six.
CONNECTION_PENALTY = 0.17
# Number of connected targets that are compared with the two random ones, so that idle
# connections are used.
EXTRA_CONNECTED_COUNT = 1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target as this node sees it.

    `share` is the number of requests that this node may always have in flight there,
    `ruled_out` is the reason why the target gets no requests, if any, and `slowness`
    is its time per request relative to the median target of the service or, in a node
    process, to the fastest one.
    """

    target: Target
    own_in_flight: int = 0
    others_in_flight: float = 0
    share: int = 1
    ruled_out: str = ""
    slowness: float = 1.0
    is_connected: bool = False

    @property
    def load(self) -> float:
        """The estimated requests in flight relative to the target's concurrency."""
        total = self.own_in_flight + self.others_in_flight
        return total / self.target.concurrency

    @property
    def has_capacity(self) -> bool:
        """Whether one more request fits.

        A node may always use its share; beyond that, it uses the capacity that the
        load reports show as free.
        """
        if self.own_in_flight < self.share:
            return True
        total = self.own_in_flight + self.others_in_flight
        return total < self.target.concurrency


@dataclass(frozen=True, slots=True)
class TargetRequirements:
    """What a request requires of its target.

    `affinity` is the key of the prompt prefix, and a non-empty `only` names the single
    target that may be chosen. With `software`, only targets with this version of their
    software may be chosen.
    """

    service: str
    affinity: str = ""
    data_centre: str = ""
    excluded: frozenset[str] = frozenset()
    only: str = ""
    software: str | None = None


@dataclass(frozen=True, slots=True)
class RoutingDecision:
    """The chosen target and the reason.

    Without a target, `is_full` tells that all allowed targets are full, so that waiting
    may help.
    """

    target: Target | None
    reason: str
    is_full: bool = False


Router = Callable[[Sequence[Candidate], TargetRequirements, Random], RoutingDecision]


def compute_share(concurrency: int, sharers: int) -> int:
    """Return how many requests each node may always have in flight at a target."""
    return max(1, math.floor(concurrency / max(1, sharers)))


def route(
    candidates: Sequence[Candidate], requirements: TargetRequirements, rng: Random
) -> RoutingDecision:
    """Choose a target by constraints, capacity, prefix affinity, then cost.

    The target that owns the prompt prefix is chosen unless it is full, slow or much
    more loaded than the mean; otherwise the cheapest of two random targets and a
    connected one.
    """
    allowed = _filter_allowed(candidates, requirements)
    if not allowed:
        return RoutingDecision(None, _explain_none(candidates, requirements))
    free = [candidate for candidate in allowed if candidate.has_capacity]
    if not free:
        return RoutingDecision(
            None, f"all {len(allowed)} allowed targets are full", is_full=True
        )
    preferred = _find_affinity_target(allowed, requirements)
    if _is_usable_for_affinity(preferred):
        mean = sum(candidate.load for candidate in allowed) / len(allowed)
        if (
            preferred.load
            <= AFFINITY_LOAD_FACTOR * mean + 1 / preferred.target.concurrency
        ):
            return RoutingDecision(
                preferred.target, f"prefix affinity, load {preferred.load}"
            )
    sampled = rng.sample(free, min(2, len(free)))
    sampled += [c for c in free if c.is_connected and c not in sampled][
        :EXTRA_CONNECTED_COUNT
    ]
    best = min(sampled, key=lambda c: (_cost(c, requirements), c.target.name))
    names = ", ".join(f"{c.target.name} {_cost(c, requirements):.2f}" for c in sampled)
    return RoutingDecision(best.target, f"lowest cost of {names}")


def build_round_robin() -> Router:
    """Return a router that takes the targets in turn, as a baseline."""
    turn = 0

    def choose(
        candidates: Sequence[Candidate], requirements: TargetRequirements, rng: Random
    ) -> RoutingDecision:
        nonlocal turn
        del rng
        allowed = _filter_allowed(candidates, requirements)
        if not allowed:
            return RoutingDecision(None, _explain_none(candidates, requirements))
        turn += 1
        return RoutingDecision(allowed[turn % len(allowed)].target, "next in turn")

    return choose


def route_least_outstanding(
    candidates: Sequence[Candidate], requirements: TargetRequirements, rng: Random
) -> RoutingDecision:
    """Choose the target with the fewest own requests in flight, as a baseline."""
    allowed = _filter_allowed(candidates, requirements)
    if not allowed:
        return RoutingDecision(None, _explain_none(candidates, requirements))
    best = min(allowed, key=lambda c: (c.own_in_flight, rng.random()))
    return RoutingDecision(best.target, "fewest own requests in flight")


def _filter_allowed(
    candidates: Sequence[Candidate], requirements: TargetRequirements
) -> list[Candidate]:
    return [c for c in candidates if not _rule_out(c, requirements)]


def _rule_out(candidate: Candidate, requirements: TargetRequirements) -> str:
    name = candidate.target.name
    if candidate.ruled_out:
        return candidate.ruled_out
    if name in requirements.excluded:
        return "already tried"
    if requirements.only and name != requirements.only:
        return "not the target granted to the request"
    if requirements.software not in (None, candidate.target.software):
        return "other software than that which began the stream"
    return ""


def _explain_none(
    candidates: Sequence[Candidate], requirements: TargetRequirements
) -> str:
    if not candidates:
        return f"no target of {requirements.service} is known"
    reasons = [f"{c.target.name}: {_rule_out(c, requirements)}" for c in candidates]
    return "; ".join(reasons)


def _find_affinity_target(
    allowed: list[Candidate], requirements: TargetRequirements
) -> Candidate | None:
    if not requirements.affinity:
        return None
    by_name = {candidate.target.name: candidate for candidate in allowed}
    owner = find_owner(by_name, requirements.affinity)
    return None if owner is None else by_name[owner]


def _is_usable_for_affinity(preferred: Candidate | None) -> TypeGuard[Candidate]:
    if preferred is None or not preferred.has_capacity:
        return False
    return preferred.slowness <= MAX_AFFINITY_SLOWNESS


def _cost(candidate: Candidate, requirements: TargetRequirements) -> float:
    """Return the expected time of the request relative to an idle target.

    Penalties are added for a new connection and for another data centre.
    """
    is_elsewhere = candidate.target.data_centre != requirements.data_centre
    duration = (1.0 + candidate.load) * candidate.slowness
    connection = 0.0 if candidate.is_connected else CONNECTION_PENALTY
    return duration + connection + (OTHER_DATA_CENTRE_PENALTY if is_elsewhere else 0.0)


__all__ = [
    "Candidate",
    "Router",
    "RoutingDecision",
    "TargetRequirements",
    "build_round_robin",
    "compute_share",
    "route",
    "route_least_outstanding",
]
