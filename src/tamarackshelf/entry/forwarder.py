"""Passes callers' requests on to the targets of a route."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tamarackshelf.contracts.targets import (
    ForwardedRequest,
    NotRun,
    OutcomeUnknown,
    TargetAnswer,
    TargetChanged,
    TargetClient,
)
from tamarackshelf.entry.hedge import (
    HEDGE_DELAY_SHARE,
    Attempt,
    build_hedge_budget,
    race,
)
from tamarackshelf.errors import AnswerLost, NoTarget, ShelfError
from tamarackshelf.errors import OutcomeUnknown as CallerOutcomeUnknown
from tamarackshelf.node.targets import AVOID_S, TargetRegistry, TargetState
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.route_table import pick_service
from tamarackshelf.world.route import Route, RouteKind

# A first attempt leaves this share of the time for a second one.
ATTEMPT_SHARE = 0.5
# Between rounds in which every target refused.
ROUND_GAP_S = 0.02
# A refused caller may try again about when an avoided target is tried again.
RETRY_AFTER_S = 0.3
# A caller is refused once no target took its request for this share of the time
# in which an answer is worth most.
REFUSE_AFTER_SHARE = 0.2


@dataclass(slots=True)
class _Tries:
    """What became of the attempts of one request.

    `runs` counts those that ran, may have run or are still at a target.
    """

    deadline_s: float
    refuse_at_s: float
    tried: set[str] = field(default_factory=set)
    runs: int = 0
    may_have_run: bool = False
    last_reason: str = "no target is listed"
    last_answer: TargetAnswer | None = None


class Forwarder:
    """Chooses targets and repeats what may be repeated."""

    def __init__(
        self,
        board: TargetRegistry,
        calls: TargetClient,
        data_centre: str,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._board = board
        self._calls = calls
        self._data_centre = data_centre
        self._timeline = timeline
        self._metrics = metrics
        self._hedges = build_hedge_budget()

    async def forward(
        self, request: ForwardedRequest, found: Route, timeout_s: float
    ) -> TargetAnswer:
        """Returns a target's whole answer.

        Raises NoTarget when the request surely did not run, OutcomeUnknown or
        AnswerLost when it may have.
        """
        started_s = _now_s()
        self._hedges.record_request()
        refuse_at_s = started_s + REFUSE_AFTER_SHARE * found.target_latency_s
        tries = _Tries(started_s + timeout_s, refuse_at_s)
        outcome = "cancelled"
        try:
            answer = await self._try_all(request, found, tries)
            outcome = str(answer.answer.status)
        except ShelfError as error:
            outcome = error.kind
            raise
        finally:
            took_s = _now_s() - started_s
            self._metrics.count(f"requests_{outcome}")
            self._metrics.observe_s("request", took_s)
            self._timeline.record(
                "request",
                request.request_id,
                tries.last_reason,
                route=found.name,
                outcome=outcome,
                tried=",".join(sorted(tries.tried)),
                took_ms=round(took_s * 1000),
            )
        return answer

    async def _try_all(
        self, request: ForwardedRequest, found: Route, tries: _Tries
    ) -> TargetAnswer:
        is_repeatable = found.kind is RouteKind.IDEMPOTENT
        while _now_s() < tries.deadline_s:
            target = self._choose(found, tries)
            if target is None:
                if not tries.may_have_run and _now_s() >= tries.refuse_at_s:
                    break
                # Whoever refused may be asked again; they did not run it.
                tries.tried.clear()
                await asyncio.sleep(ROUND_GAP_S)
                continue
            answer = await self._try_hedged(request, found, target, tries)
            if answer is not None:
                return answer
            if tries.may_have_run and not is_repeatable:
                break
            if tries.runs >= found.max_attempts:
                break
        return self._give_up(tries)

    def _choose(
        self, found: Route, tries: _Tries, *, needs_room: bool = False
    ) -> TargetState | None:
        service = pick_service(found.shares, self._board.rng)
        state, reason = self._board.choose(
            service, self._data_centre, frozenset(tries.tried), needs_room=needs_room
        )
        if state is None:
            tries.last_reason = reason
        return state

    async def _try_hedged(
        self,
        request: ForwardedRequest,
        found: Route,
        target: TargetState,
        tries: _Tries,
    ) -> TargetAnswer | None:
        """Asks one more target when this one takes long and the request may repeat."""
        attempt = self._try_one(request, found, target, tries)
        has_more = tries.runs + 1 < found.max_attempts
        if found.kind is not RouteKind.IDEMPOTENT or not has_more:
            return await attempt

        def start_second() -> Attempt[TargetAnswer] | None:
            second = self._choose(found, tries, needs_room=True)
            if second is None or not self._hedges.take():
                return None
            self._metrics.count("request_hedges")
            self._timeline.record(
                "request_hedged",
                request.request_id,
                f"{target.target.name} takes long",
                target=second.target.name,
            )
            return self._try_one(request, found, second, tries)

        return await race(
            attempt, start_second, HEDGE_DELAY_SHARE * found.target_latency_s
        )

    async def _try_one(
        self, request: ForwardedRequest, found: Route, state: TargetState, tries: _Tries
    ) -> TargetAnswer | None:
        name = state.target.name
        is_repeatable = found.kind is RouteKind.IDEMPOTENT
        left_s = tries.deadline_s - _now_s()
        tries.runs += 1
        has_more = is_repeatable and tries.runs < found.max_attempts
        timeout_s = left_s * ATTEMPT_SHARE if has_more else left_s
        tries.tried.add(name)
        state.in_flight += 1
        started_s = _now_s()
        try:
            answer = await self._calls.forward(
                state.target, request, timeout_s, at_most_once=not is_repeatable
            )
        except NotRun as error:
            is_gone = isinstance(error, TargetChanged) or type(error) is NotRun
            if is_gone:
                self._board.note_fault(name, str(error))
            else:
                self._board.avoid(name, str(error), AVOID_S)
            tries.last_reason = str(error)
            tries.runs -= 1
            return None
        except OutcomeUnknown as error:
            self._board.note_fault(name, str(error))
            tries.last_reason = str(error)
            tries.may_have_run = True
            return None
        except asyncio.CancelledError:
            # Another target was faster or the caller left; it took this long at least.
            self._board.note_min_duration(name, self._compare(started_s, found))
            raise
        finally:
            state.in_flight -= 1
        tries.may_have_run = True
        self._board.note_success(name)
        self._board.note_duration(name, self._compare(started_s, found))
        self._board.note_load(name, answer.load)
        return self._judge(answer, name, tries, has_more)

    def _compare(self, started_s: float, found: Route) -> float:
        """Returns the time since then in times of what the route aims at.

        Only so can requests of several routes be compared at one target.
        """
        return (_now_s() - started_s) / found.target_latency_s

    def _judge(
        self, answer: TargetAnswer, name: str, tries: _Tries, has_more: bool
    ) -> TargetAnswer | None:
        status = answer.answer.status
        tries.last_reason = f"{name} answered {status}"
        if status < 400 and not answer.is_signed:
            tries.last_reason += " without its signature"
            return None
        if status >= 500:
            tries.last_answer = answer if answer.is_signed else None
            return None if has_more else tries.last_answer
        return answer

    def _give_up(self, tries: _Tries) -> TargetAnswer:
        if tries.last_answer is not None:
            return tries.last_answer
        if not tries.may_have_run:
            raise NoTarget(
                f"no target took the request ({tries.last_reason}); send it again",
                retry_after_s=RETRY_AFTER_S,
            )
        if _now_s() >= tries.deadline_s:
            raise CallerOutcomeUnknown(
                f"no whole answer came in time ({tries.last_reason}); "
                "send it again only if it may run twice"
            )
        raise AnswerLost(
            f"the answer was lost ({tries.last_reason}); "
            "send it again only if it may run twice"
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["Forwarder"]
