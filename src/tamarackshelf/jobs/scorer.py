"""Calls the service that scores an item's text."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tamarackshelf.contracts.targets import (
    ItemFailed,
    NotRun,
    OutcomeUnknown,
    TargetBusy,
    TargetClient,
)
from tamarackshelf.entry.hedge import (
    HEDGE_DELAY_SHARE,
    Attempt,
    build_hedge_budget,
    race,
)
from tamarackshelf.node.targets import AVOID_S, TargetRegistry, TargetState
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.route_table import RouteTable, pick_service
from tamarackshelf.world.job import ScoreCall
from tamarackshelf.world.route import Route

# A scorer that takes longer than its route's time-out is asked elsewhere.
SHORTEST_TIMEOUT_S = 0.5
RETRY_GAP_S = 0.05
LONGEST_RETRY_GAP_S = 0.4

TableSource = Callable[[], RouteTable | None]


class ScoreImpossible(Exception):
    """The scorer failed as often as its route allows."""


class Scorer:
    """Finds a target for each score call and repeats it until it is answered."""

    def __init__(
        self,
        board: TargetRegistry,
        calls: TargetClient,
        table: TableSource,
        data_centre: str,
        timeline: Timeline,
    ) -> None:
        self._board = board
        self._calls = calls
        self._table = table
        self._data_centre = data_centre
        self._timeline = timeline
        self._hedges = build_hedge_budget()

    async def score(self, call: ScoreCall) -> str:
        """Returns the score; raises ScoreImpossible."""
        failures = 0
        gap_s = RETRY_GAP_S
        self._hedges.record_request()
        tried: frozenset[str] = frozenset()
        while True:
            table = self._table()
            found = None if table is None else table.find(call.host, call.path)
            if found is None:
                await asyncio.sleep(LONGEST_RETRY_GAP_S)
                continue
            service = pick_service(found.shares, self._board.rng)
            state, _ = self._board.choose(service, self._data_centre, tried)
            if state is None:
                tried = frozenset()
                await asyncio.sleep(gap_s)
                gap_s = min(LONGEST_RETRY_GAP_S, gap_s * 2)
                continue
            try:
                score, asked = await self._ask(call, found, state, tried)
            except ItemFailed as error:
                failures += 1
                self._timeline.record(
                    "score_failed", call.call_id, str(error), failures=failures
                )
                if failures >= found.max_attempts:
                    raise ScoreImpossible(str(error)) from error
                tried |= {state.target.name}
            else:
                if score is not None:
                    return score
                tried |= asked
            await asyncio.sleep(RETRY_GAP_S)

    async def _ask(
        self, call: ScoreCall, found: Route, first: TargetState, tried: frozenset[str]
    ) -> tuple[str | None, frozenset[str]]:
        """Returns the score, or None, and who was asked: one more when one is slow."""
        asked = {first.target.name}
        service = first.target.service

        def start_second() -> Attempt[str] | None:
            second, _ = self._board.choose(
                service, self._data_centre, tried | asked, needs_room=True
            )
            if second is None or not self._hedges.take():
                return None
            asked.add(second.target.name)
            reason = f"{first.target.name} takes long"
            self._timeline.record("score_hedged", call.call_id, reason)
            return self._ask_one(call, found, second)

        score = await race(
            self._ask_one(call, found, first),
            start_second,
            HEDGE_DELAY_SHARE * found.target_latency_s,
        )
        return score, frozenset(asked)

    async def _ask_one(
        self, call: ScoreCall, found: Route, state: TargetState
    ) -> str | None:
        name = state.target.name
        timeout_s = max(SHORTEST_TIMEOUT_S, found.timeout_s / 2)
        started_s = asyncio.get_running_loop().time()
        state.in_flight += 1
        try:
            score = await self._calls.score(state.target, call, timeout_s)
        except (NotRun, OutcomeUnknown) as error:
            if isinstance(error, TargetBusy):
                self._board.avoid(name, str(error), AVOID_S)
            else:
                self._board.note_fault(name, str(error))
            self._timeline.record("score_repeated", call.call_id, str(error))
            return None
        except asyncio.CancelledError:
            # Another target was faster; this one took as long at least.
            self._board.note_min_duration(name, _compare(started_s, found))
            raise
        finally:
            state.in_flight -= 1
        self._board.note_success(name)
        self._board.note_duration(name, _compare(started_s, found))
        return score


def _compare(started_s: float, found: Route) -> float:
    """Returns the time since then in times of what the route aims at."""
    return (asyncio.get_running_loop().time() - started_s) / found.target_latency_s


__all__ = ["ScoreImpossible", "Scorer", "TableSource"]
