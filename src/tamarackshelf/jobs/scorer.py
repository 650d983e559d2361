"""Calls scorers for the texts of items."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tamarackshelf.contracts.targets import (
    CallKind,
    ItemFailed,
    NotRun,
    OutcomeUnknown,
    TargetClient,
)
from tamarackshelf.entry.hedge import (
    HEDGE_DELAY_SHARE,
    Attempt,
    build_hedge_budget,
    race,
)
from tamarackshelf.node.targets import TargetRegistry, TargetState
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.route_table import RouteTable, pick_service
from tamarackshelf.world.job import ScoreCall
from tamarackshelf.world.route import Route

# Lower bound of the timeout after which a score call is repeated at another target.
MIN_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4

RouteTableGetter = Callable[[], RouteTable | None]


class ScoringFailed(Exception):
    """A score call failed as often as its route allows."""


class Scorer:
    """Chooses a target for each score call and repeats the call until it succeeds."""

    def __init__(
        self,
        targets: TargetRegistry,
        target_client: TargetClient,
        get_route_table: RouteTableGetter,
        data_centre: str,
        timeline: Timeline,
    ) -> None:
        self._targets = targets
        self._target_client = target_client
        self._get_route_table = get_route_table
        self._data_centre = data_centre
        self._timeline = timeline
        self._hedge_budget = build_hedge_budget()

    async def score(self, call: ScoreCall) -> str:
        """Return the score, waiting as long as no target of the scorer is available.

        Raise ScoringFailed when the call failed as often as its route allows.
        """
        failures = 0
        delay_s = RETRY_DELAY_S
        self._hedge_budget.record_request()
        tried: frozenset[str] = frozenset()
        while True:
            route_table = self._get_route_table()
            route = (
                None if route_table is None else route_table.find(call.host, call.path)
            )
            if route is None:
                await asyncio.sleep(MAX_RETRY_DELAY_S)
                continue
            service = pick_service(route.shares, self._targets.rng)
            state, _ = self._targets.choose(
                service, self._data_centre, tried, CallKind.SCORE
            )
            if state is None:
                tried = frozenset()
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
                continue
            try:
                score, called = await self._call_hedged(call, route, state, tried)
            except ItemFailed as error:
                failures += 1
                self._timeline.record(
                    "score_failed", call.call_id, str(error), failures=failures
                )
                if failures >= route.max_attempts:
                    raise ScoringFailed(str(error)) from error
                tried |= {state.target.name}
            else:
                if score is not None:
                    return score
                tried |= called
            await asyncio.sleep(RETRY_DELAY_S)

    async def _call_hedged(
        self, call: ScoreCall, route: Route, first: TargetState, tried: frozenset[str]
    ) -> tuple[str | None, frozenset[str]]:
        """Call a target, and a second one if the first is slow.

        Return the score, or None if neither gave one, and the names of the targets.
        """
        called = {first.target.name}
        service = first.target.service

        def start_second() -> Attempt[str] | None:
            second, _ = self._targets.choose(
                service,
                self._data_centre,
                tried | called,
                CallKind.SCORE,
                needs_capacity=True,
            )
            # A second call would take the place of another one at a limited target.
            if second is None or self._targets.is_limited(second.target.name):
                return None
            if not self._hedge_budget.take():
                return None
            called.add(second.target.name)
            reason = f"{first.target.name} is slow to answer"
            self._timeline.record("score_hedged", call.call_id, reason)
            return self._call_target(call, route, second)

        score = await race(
            self._call_target(call, route, first),
            start_second,
            HEDGE_DELAY_SHARE * route.target_latency_s,
        )
        return score, frozenset(called)

    async def _call_target(
        self, call: ScoreCall, route: Route, state: TargetState
    ) -> str | None:
        """Return the score, or None when the call may be repeated at another target."""
        name = state.target.name
        timeout_s = max(MIN_TIMEOUT_S, route.timeout_s / 2)
        started_s = asyncio.get_running_loop().time()
        state.in_flight += 1
        try:
            score = await self._target_client.score(state.target, call, timeout_s)
        except (NotRun, OutcomeUnknown) as error:
            if isinstance(error, NotRun):
                self._targets.record_not_run(name, error)
            else:
                self._targets.record_fault(name, str(error))
            self._timeline.record("score_repeated", call.call_id, str(error))
            return None
        except asyncio.CancelledError:
            # Another target answered first, so the time up to now is a lower bound on
            # how long this target takes.
            self._targets.record_min_duration(
                name, _compute_relative_duration(started_s, route)
            )
            raise
        finally:
            state.in_flight -= 1
        self._targets.record_success(name)
        self._targets.record_duration(
            name, _compute_relative_duration(started_s, route)
        )
        return score


def _compute_relative_duration(started_s: float, route: Route) -> float:
    """Return the time since `started_s` as a multiple of the route's target latency."""
    return (asyncio.get_running_loop().time() - started_s) / route.target_latency_s


__all__ = ["RouteTableGetter", "Scorer", "ScoringFailed"]
