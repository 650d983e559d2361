"""Forwarding of callers' requests to the targets of a route."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from tamarackshelf.contracts.targets import (
    CallKind,
    ForwardedRequest,
    NotRun,
    OutcomeUnknown,
    TargetClient,
    TargetResponse,
)
from tamarackshelf.entry.hedge import (
    HEDGE_DELAY_SHARE,
    Attempt,
    build_hedge_budget,
    race,
)
from tamarackshelf.entry.planned_stop import PlannedStop
from tamarackshelf.errors import AnswerLost, NoTarget, ShelfError
from tamarackshelf.errors import OutcomeUnknown as CallerOutcomeUnknown
from tamarackshelf.node.quarantine import LostRun, RequestQuarantine
from tamarackshelf.node.targets import TargetRegistry, TargetState
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.quarantine import QuarantineStatus
from tamarackshelf.policy.route_table import pick_service
from tamarackshelf.world.route import Route, RouteKind

# Share of the remaining time that an attempt may take if another one may follow.
ATTEMPT_TIME_SHARE = 0.5
# Pause before a request is sent again to the targets after all of them refused it.
ROUND_PAUSE_S = 0.02
# Pause before a suspect request asks again for a target of its own.
ISOLATION_PAUSE_S = 0.05
# Retry delay that a refused caller is told; equals AVOID_S, the time for which a busy
# target is avoided.
RETRY_AFTER_S = 0.3
# An attempt that was cancelled after this time had probably begun to run. A connection
# and a refusal take a few milliseconds.
MIN_RUN_S = 0.05
# An attempt that is in progress for this long is counted as one that runs, so that its
# count is there before the report on its window is decided.
COUNT_AFTER_S = 2.5
# A request that no target has accepted is refused after this share of the route's
# target latency, which is the response time up to which a response earns full credit.
REFUSE_AFTER_SHARE = 0.2


@dataclass(slots=True)
class _Attempts:
    """Outcomes of the attempts of one request.

    `runs` counts the attempts that ran, may have run or are still in progress.
    `isolated_target` is the target on which it runs isolated from other suspects.
    """

    deadline_s: float
    refuse_at_s: float
    service: str = ""
    isolated_target: str = ""
    tried: set[str] = field(default_factory=set)
    runs: int = 0
    may_have_run: bool = False
    last_reason: str = "no target of the service is listed"
    last_response: TargetResponse | None = None
    # When the attempts were sent that ran, may have run or are still in progress, by
    # target, and whether the request was counted.
    sent_at_s: dict[str, float] = field(default_factory=dict)
    is_counted: bool = False


class Forwarder:
    """Sends requests to targets, with retries and hedging where the route allows."""

    def __init__(
        self,
        targets: TargetRegistry,
        target_client: TargetClient,
        quarantine: RequestQuarantine,
        data_centre: str,
        timeline: Timeline,
        metrics: Metrics,
        planned_stop: PlannedStop | None = None,
    ) -> None:
        # Called once for each request that ran, with the time on the event loop's clock
        # when it began.
        self.record_run: Callable[[ForwardedRequest, float], None] = (
            lambda request, started_s: None
        )
        self._planned_stop = planned_stop or PlannedStop()
        self._targets = targets
        self._target_client = target_client
        self._quarantine = quarantine
        self._data_centre = data_centre
        self._timeline = timeline
        self._metrics = metrics
        self._hedges = build_hedge_budget()

    async def forward(
        self, request: ForwardedRequest, route: Route, timeout_s: float
    ) -> TargetResponse:
        """Forward a request and return a target's complete response.

        Raise NoTarget or Draining if the request certainly did not run, and
        OutcomeUnknown (at the deadline) or AnswerLost (before it) if it may have run.
        """
        is_repeatable = route.kind is RouteKind.IDEMPOTENT
        typical_s = route.target_latency_s if is_repeatable else None
        timeout_s = self._planned_stop.bound_s(timeout_s, typical_s)
        started_s = _now_s()
        self._hedges.record_request()
        refuse_at_s = started_s + REFUSE_AFTER_SHARE * route.target_latency_s
        attempts = _Attempts(started_s + timeout_s, refuse_at_s)
        outcome = "cancelled"
        try:
            response = await self._run_attempts(request, route, attempts)
            outcome = str(response.http.status)
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
                attempts.last_reason,
                route=route.name,
                outcome=outcome,
                tried=",".join(sorted(attempts.tried)),
                took_ms=round(took_s * 1000),
            )
        return response

    async def _run_attempts(
        self, request: ForwardedRequest, route: Route, attempts: _Attempts
    ) -> TargetResponse:
        is_repeatable = route.kind is RouteKind.IDEMPOTENT
        while _now_s() < attempts.deadline_s:
            status = self._quarantine.classify(request)
            if status is QuarantineStatus.QUARANTINED:
                if attempts.last_response is not None:
                    break
                attempts.last_reason = "targets crashed while the request ran there"
                raise self._quarantine.build_refusal(
                    request, may_have_run=attempts.may_have_run
                )
            is_suspect = status is QuarantineStatus.SUSPECT
            state = (
                await self._isolate(request, route, attempts)
                if is_suspect
                else self._choose_target(route, attempts)
            )
            if state is None:
                if not attempts.may_have_run and self._must_refuse(attempts):
                    break
                # Targets that refused did not run the request and may be asked again.
                attempts.tried.clear()
                await asyncio.sleep(ISOLATION_PAUSE_S if is_suspect else ROUND_PAUSE_S)
                continue
            if is_suspect:
                response = await self._send_isolated(request, route, state, attempts)
            else:
                response = await self._send_hedged(request, route, state, attempts)
            if response is not None:
                return response
            if attempts.may_have_run and not is_repeatable:
                break
            if attempts.runs >= route.max_attempts:
                break
        return self._give_up(attempts)

    def _must_refuse(self, attempts: _Attempts) -> bool:
        """Return whether no target will accept the request before `refuse_at_s`."""
        wait_s = self._targets.compute_limit_wait_s(attempts.service, CallKind.REQUEST)
        return _now_s() + wait_s >= attempts.refuse_at_s

    def _choose_target(
        self, route: Route, attempts: _Attempts, *, needs_capacity: bool = False
    ) -> TargetState | None:
        attempts.service = pick_service(route.shares, self._targets.rng)
        state, reason = self._targets.choose(
            attempts.service,
            self._data_centre,
            frozenset(attempts.tried),
            needs_capacity=needs_capacity,
        )
        if state is None:
            attempts.last_reason = reason
        return state

    async def _isolate(
        self, request: ForwardedRequest, route: Route, attempts: _Attempts
    ) -> TargetState | None:
        """Return a target that is isolated for a suspect, or None."""
        attempts.service = pick_service(route.shares, self._targets.rng)
        names, reason = self._targets.list_isolatable(
            attempts.service, frozenset(attempts.tried)
        )
        if names:
            reason = "other suspects are on all targets that are left"
        name = await self._quarantine.isolate(request, names)
        state = self._targets.get(name) if name else None
        if state is None:
            attempts.last_reason = reason
            if name:
                self._quarantine.release(request, name)
            return None
        attempts.isolated_target = name
        return state

    async def _send_isolated(
        self,
        request: ForwardedRequest,
        route: Route,
        state: TargetState,
        attempts: _Attempts,
    ) -> TargetResponse | None:
        try:
            return await self._send(request, route, state, attempts)
        finally:
            attempts.isolated_target = ""
            self._quarantine.release(request, state.target.name)

    async def _send_hedged(
        self,
        request: ForwardedRequest,
        route: Route,
        state: TargetState,
        attempts: _Attempts,
    ) -> TargetResponse | None:
        """Send a request to a target, and to a second one if the first is slow.

        Only a request of an idempotent route is sent to a second target. Return None if
        no attempt returned a final response.
        """
        attempt = self._send(request, route, state, attempts)
        may_retry = attempts.runs + 1 < route.max_attempts
        if route.kind is not RouteKind.IDEMPOTENT or not may_retry:
            return await attempt

        def start_second() -> Attempt[TargetResponse] | None:
            second = self._choose_target(route, attempts, needs_capacity=True)
            # A second try would take the place of another one at a limited target.
            if second is None or self._targets.is_limited(second.target.name):
                return None
            if not self._hedges.take():
                return None
            self._metrics.count("request_hedges")
            self._timeline.record(
                "request_hedged",
                request.request_id,
                f"{state.target.name} has not responded yet",
                target=second.target.name,
            )
            return self._send(request, route, second, attempts)

        return await race(
            attempt, start_second, HEDGE_DELAY_SHARE * route.target_latency_s
        )

    async def _send(
        self,
        request: ForwardedRequest,
        route: Route,
        state: TargetState,
        attempts: _Attempts,
    ) -> TargetResponse | None:
        """Make one attempt; return None if it brought no final response.

        Record the outcome in `attempts` and in the registry of targets.
        """
        name = state.target.name
        is_repeatable = route.kind is RouteKind.IDEMPOTENT
        left_s = attempts.deadline_s - _now_s()
        attempts.runs += 1
        may_retry = is_repeatable and attempts.runs < route.max_attempts
        timeout_s = left_s * ATTEMPT_TIME_SHARE if may_retry else left_s
        attempts.tried.add(name)
        state.in_flight += 1
        started_s = _now_s()
        attempts.sent_at_s[name] = started_s
        count = asyncio.get_running_loop().call_later(
            COUNT_AFTER_S, self._count_run, request, attempts
        )
        try:
            response = await self._target_client.forward(
                state.target, request, timeout_s, at_most_once=not is_repeatable
            )
        except NotRun as error:
            self._targets.record_not_run(name, error)
            attempts.last_reason = str(error)
            attempts.runs -= 1
            attempts.sent_at_s.pop(name, None)
            return None
        except OutcomeUnknown as error:
            self._targets.record_fault(name, str(error))
            attempts.last_reason = str(error)
            attempts.may_have_run = True
            self._count_run(request, attempts)
            await self._quarantine.record_lost_answer(
                self._build_lost_run(request, state, attempts), error
            )
            return None
        except asyncio.CancelledError:
            # Another attempt was faster or the caller disconnected, so the time up to
            # now is a lower bound on how long this target takes.
            self._targets.record_min_duration(
                name, self._relative_duration(started_s, route)
            )
            if _now_s() - started_s >= MIN_RUN_S:
                self._count_run(request, attempts)
            self._quarantine.record_unsettled(
                self._build_lost_run(request, state, attempts)
            )
            raise
        finally:
            count.cancel()
            state.in_flight -= 1
        attempts.may_have_run = True
        self._count_run(request, attempts)
        if response.is_signed:
            self._quarantine.record_answer(request)
        self._targets.record_success(name)
        self._targets.record_duration(name, self._relative_duration(started_s, route))
        return self._to_final_response(response, name, attempts, may_retry)

    def _count_run(self, request: ForwardedRequest, attempts: _Attempts) -> None:
        """Count the request once, from the first attempt that was not refused."""
        if not attempts.is_counted:
            attempts.is_counted = True
            self.record_run(request, min(attempts.sent_at_s.values()))

    def _build_lost_run(
        self, request: ForwardedRequest, state: TargetState, attempts: _Attempts
    ) -> LostRun:
        target = state.target
        is_isolated = attempts.isolated_target == target.name
        fingerprint = request.compute_fingerprint()
        return LostRun(request.request_id, fingerprint, target, is_isolated)

    def _relative_duration(self, started_s: float, route: Route) -> float:
        """Return the time since `started_s` divided by the route's target latency.

        This makes requests of different routes to one target comparable.
        """
        return (_now_s() - started_s) / route.target_latency_s

    def _to_final_response(
        self, response: TargetResponse, name: str, attempts: _Attempts, may_retry: bool
    ) -> TargetResponse | None:
        """Return the response if it is final, or None if it must not end the request.

        A response below 400 must be signed. A signed response of 500 or above is
        final only if no further attempt is allowed. Record the reason in `attempts`.
        """
        status = response.http.status
        attempts.last_reason = f"{name} returned {status}"
        if status < 400 and not response.is_signed:
            attempts.last_reason += " without its signature"
            return None
        if status >= 500:
            attempts.last_response = response if response.is_signed else None
            return None if may_retry else attempts.last_response
        return response

    def _give_up(self, attempts: _Attempts) -> TargetResponse:
        """Return the last signed error response, or raise the error for the caller."""
        if attempts.last_response is not None:
            return attempts.last_response
        if not attempts.may_have_run:
            raise NoTarget(
                f"no target accepted the request ({attempts.last_reason}); "
                "send it again",
                retry_after_s=self._targets.plan_return_s(
                    attempts.service, RETRY_AFTER_S
                ),
            )
        if _now_s() >= attempts.deadline_s:
            raise CallerOutcomeUnknown(
                f"no complete response arrived in time ({attempts.last_reason}); "
                "send the request again only if it may run twice"
            )
        raise AnswerLost(
            f"the response was lost ({attempts.last_reason}); "
            "send the request again only if it may run twice"
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["Forwarder"]
