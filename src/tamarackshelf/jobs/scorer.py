"""Calls the service that scores an item's text."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tamarackshelf.contracts.targets import (
    ItemFailed,
    NotRun,
    OutcomeUnknown,
    TargetCalls,
)
from tamarackshelf.node.targets import AVOID_S, TargetBoard
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.route_table import RouteTable, pick_service
from tamarackshelf.world.job import ScoreCall

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
        board: TargetBoard,
        calls: TargetCalls,
        table: TableSource,
        data_centre: str,
        timeline: Timeline,
    ) -> None:
        self._board = board
        self._calls = calls
        self._table = table
        self._data_centre = data_centre
        self._timeline = timeline

    async def score(self, call: ScoreCall) -> str:
        """Returns the score; raises ScoreImpossible."""
        failures = 0
        gap_s = RETRY_GAP_S
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
            target = state.target
            state.in_flight += 1
            try:
                timeout_s = max(SHORTEST_TIMEOUT_S, found.timeout_s / 2)
                return await self._calls.score(target, call, timeout_s)
            except ItemFailed as error:
                failures += 1
                self._timeline.record(
                    "score_failed", call.call_id, str(error), failures=failures
                )
                if failures >= found.max_attempts:
                    raise ScoreImpossible(str(error)) from error
            except (NotRun, OutcomeUnknown) as error:
                self._board.avoid(target.name, str(error), AVOID_S)
                self._timeline.record("score_repeated", call.call_id, str(error))
            finally:
                state.in_flight -= 1
            tried = tried | {target.name}
            await asyncio.sleep(RETRY_GAP_S)


__all__ = ["ScoreImpossible", "Scorer", "TableSource"]
