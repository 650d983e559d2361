"""Pool of the targets that a process uses and of the requests that wait for them."""

from __future__ import annotations

import asyncio
import itertools
import statistics
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from tamarackshelf.contracts import Load
from tamarackshelf.errors import NoTarget, Overloaded
from tamarackshelf.observe.decision_trace import Recorder, record_nothing
from tamarackshelf.peers import TargetStatus, TargetView
from tamarackshelf.policy.admission import FairQueue, Waiter, WorkClass
from tamarackshelf.policy.routing import (
    Candidate,
    Router,
    RoutingDecision,
    TargetRequirements,
    compute_share,
    route,
)
from tamarackshelf.policy.subset import choose_subset, count_sharers
from tamarackshelf.world import Target

AVOID_DURATION_S = 1.0
# A target's load report counts less with its age, and not at all once it is this old.
REPORT_DECAY_S = 5.0
NO_TARGET_WAIT_S = 2.0
SEED_BITS = 32
DURATION_SMOOTHING = 0.2
MAX_SLOWNESS = 8.0


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Request for a permit; `deadline_s` is a time of the event loop's clock."""

    requirements: TargetRequirements
    organisation: str
    work_class: WorkClass
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Permit:
    """Right to run one request on a target; the holder must return it to the pool.

    `reason` says why the target was chosen; `granted_at_s` is a time of the event
    loop's clock.
    """

    target: Target
    organisation: str
    reason: str
    granted_at_s: float


@dataclass(slots=True)
class _TargetState:
    view: TargetView
    own_in_flight: int = 0
    others_in_flight: int = 0
    reported_at_s: float = 0.0
    avoid_until_s: float = 0.0
    avoid_reason: str = ""
    gone_incarnation: int = -1
    mean_duration_s: float | None = None

    def record_duration(self, duration_s: float) -> None:
        """Update the moving average of the time that a request takes on this target."""
        previous_s = (
            duration_s if self.mean_duration_s is None else self.mean_duration_s
        )
        self.mean_duration_s = previous_s + DURATION_SMOOTHING * (
            duration_s - previous_s
        )


@dataclass(slots=True)
class _WaitingRequest:
    admission: AdmissionRequest
    waiter: Waiter
    permit_future: asyncio.Future[Permit] = field(repr=False)


class TargetPool:
    """Grants permits for targets; customers' requests go before trainers' requests."""

    def __init__(
        self,
        name: str,
        rng: Random,
        router: Router = route,
        record: Recorder = record_nothing,
    ) -> None:
        self._name = name
        self._record = record
        self._rng = rng
        self._router = router
        self._states: dict[str, _TargetState] = {}
        self._by_service: dict[str, list[_TargetState]] = {}
        self._sharer_counts: dict[str, int] = {}
        self._limits: dict[str, int] = {}
        self._queue = FairQueue()
        self._waiting: dict[int, _WaitingRequest] = {}
        self._waiter_numbers = itertools.count()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a permit."""
        return len(self._waiting)

    def update(
        self,
        views: Iterable[TargetView],
        processes: Sequence[str],
        limits: Mapping[str, int] | None = None,
    ) -> None:
        """Replace the known targets and the processes that share them.

        `limits` holds the number of requests that each organisation may have in flight
        at this process. Waiting requests that now fit get their permits.
        """
        self._limits = dict(limits or {})
        states = {}
        for view in views:
            state = self._states.get(view.target.name) or _TargetState(view)
            if state.view.target.incarnation != view.target.incarnation:
                state.others_in_flight = 0
                state.avoid_until_s = 0.0
            state.view = view
            states[view.target.name] = state
        self._states = states
        by_service: dict[str, list[_TargetState]] = {}
        for state in states.values():
            by_service.setdefault(state.view.target.service, []).append(state)
        self._by_service = {
            service: self._choose_subset(service, service_states, processes)
            for service, service_states in by_service.items()
        }
        self._grant_to_waiting()

    def _choose_subset(
        self, service: str, states: list[_TargetState], processes: Sequence[str]
    ) -> list[_TargetState]:
        """Return the targets that this process uses; of a large service, only some."""
        names = [state.view.target.name for state in states]
        own = choose_subset(self._name, processes, names)
        self._sharer_counts[service] = count_sharers(len(processes), len(names))
        return [state for state in states if state.view.target.name in own]

    def list_available_targets(self, service: str) -> tuple[str, ...]:
        """Return the names of a service's targets that accept requests now."""
        return tuple(
            state.view.target.name
            for state in self._by_service.get(service, [])
            if not self._explain_exclusion(state)
        )

    async def acquire(self, admission: AdmissionRequest) -> Permit:
        """Return a permit, waiting for it until the request's deadline.

        Raise NoTarget if no target can serve the request, or Overloaded if none gets
        free capacity in time. In both cases nothing was sent to a target.
        """
        decision = await self._choose_with_wait(admission)
        if decision.target is not None and not self._is_at_limit(admission):
            return self._grant(admission, decision)
        waiter = Waiter(
            next(self._waiter_numbers),
            admission.organisation,
            admission.work_class,
            admission.deadline_s,
        )
        refusal = self._queue.find_refusal(waiter, _now_s())
        if refusal:
            raise Overloaded(
                f"{refusal}; send the request again later", retry_after_s=1.0
            )
        return await self._wait(admission, waiter)

    def release(self, permit: Permit, load: Load | None = None) -> None:
        """Take back a permit, apply the target's reported load and serve waiters."""
        self._queue.record_end(permit.organisation, _now_s())
        state = self._states.get(permit.target.name)
        if state is not None:
            state.own_in_flight = max(0, state.own_in_flight - 1)
            state.record_duration(_now_s() - permit.granted_at_s)
            if load is not None:
                others_in_flight = load.running + load.queued - 1 - state.own_in_flight
                state.others_in_flight = max(0, others_in_flight)
                state.reported_at_s = _now_s()
        self._grant_to_waiting()

    def avoid(
        self, target: Target, reason: str, duration_s: float = AVOID_DURATION_S
    ) -> None:
        """Send no new requests to a target for `duration_s`."""
        state = self._states.get(target.name)
        if state is not None:
            state.avoid_until_s = _now_s() + duration_s
            state.avoid_reason = reason

    def mark_gone(self, target: Target) -> None:
        """Send no more requests to this incarnation of a target."""
        state = self._states.get(target.name)
        if state is not None:
            state.gone_incarnation = target.incarnation

    async def _choose_with_wait(self, admission: AdmissionRequest) -> RoutingDecision:
        """Choose a target; if there is none, wait for one for at most NO_TARGET_WAIT_S.

        An avoided target may become available again within that time. Raise NoTarget
        if there is still none, or at once if the request excludes targets.
        """
        loop = asyncio.get_running_loop()
        wait_until_s = min(admission.deadline_s, loop.time() + NO_TARGET_WAIT_S)
        while True:
            decision = self._choose(admission)
            if decision.target is not None or decision.is_full:
                return decision
            if admission.requirements.excluded or loop.time() >= wait_until_s:
                raise NoTarget(
                    f"no target can serve the request now ({decision.reason}); send it "
                    "again later",
                    retry_after_s=1.0,
                )
            await asyncio.sleep(0.05)

    async def _wait(self, admission: AdmissionRequest, waiter: Waiter) -> Permit:
        loop = asyncio.get_running_loop()
        permit_future: asyncio.Future[Permit] = loop.create_future()
        self._queue.push(waiter)
        self._waiting[waiter.number] = _WaitingRequest(admission, waiter, permit_future)
        is_received = False
        try:
            async with asyncio.timeout_at(admission.deadline_s):
                permit = await permit_future
            is_received = True
        except TimeoutError:
            raise Overloaded(
                "no target had free capacity before the deadline; send the request "
                "again later",
                retry_after_s=1.0,
            ) from None
        finally:
            self._queue.remove(waiter.number)
            self._waiting.pop(waiter.number, None)
            if (
                not is_received
                and permit_future.done()
                and not permit_future.cancelled()
            ):
                # The permit was granted just as the wait ended; release it unused.
                self.release(permit_future.result())
        return permit

    def _is_at_limit(self, admission: AdmissionRequest) -> bool:
        limit = self._limits.get(admission.organisation)
        return (
            limit is not None and self._queue.in_flight(admission.organisation) >= limit
        )

    def _choose(self, admission: AdmissionRequest) -> RoutingDecision:
        states = self._by_service.get(admission.requirements.service, [])
        mean_durations_s = [
            state.mean_duration_s
            for state in states
            if state.mean_duration_s is not None
        ]
        median_duration_s = (
            statistics.median(mean_durations_s) if mean_durations_s else 0.0
        )
        candidates = [self._to_candidate(state, median_duration_s) for state in states]
        # With a seed for each decision, the decision can be replayed from a trace.
        seed = self._rng.getrandbits(SEED_BITS)
        decision = self._router(candidates, admission.requirements, Random(seed))
        given = {"candidates": candidates, "need": admission.requirements, "seed": seed}
        name = decision.target.name if decision.target else None
        self._record("route", _now_s(), given, name)
        return decision

    def _to_candidate(self, state: _TargetState, median_duration_s: float) -> Candidate:
        target = state.view.target
        age_s = _now_s() - state.reported_at_s
        weight = max(0.0, 1.0 - age_s / REPORT_DECAY_S)
        return Candidate(
            target=target,
            own_in_flight=state.own_in_flight,
            others_in_flight=round(state.others_in_flight * weight),
            share=compute_share(
                target.concurrency, self._sharer_counts[target.service]
            ),
            ruled_out=self._explain_exclusion(state),
            slowness=_compute_slowness(state.mean_duration_s, median_duration_s),
        )

    def _explain_exclusion(self, state: _TargetState) -> str:
        if state.view.status is not TargetStatus.LIVE:
            return state.view.status.value
        if state.gone_incarnation >= state.view.target.incarnation:
            return "this incarnation is leaving or has crashed"
        if state.avoid_until_s > _now_s():
            return state.avoid_reason
        return ""

    def _grant(self, admission: AdmissionRequest, decision: RoutingDecision) -> Permit:
        assert decision.target is not None
        self._states[decision.target.name].own_in_flight += 1
        self._queue.record_start(admission.organisation)
        return Permit(
            decision.target, admission.organisation, decision.reason, _now_s()
        )

    def _grant_to_waiting(self) -> None:
        if not self._waiting:
            return
        full_services: set[str] = set()
        for waiter in self._queue.sort_waiters():
            waiting = self._waiting[waiter.number]
            service = waiting.admission.requirements.service
            if waiting.permit_future.done() or service in full_services:
                continue
            if self._is_at_limit(waiting.admission):
                continue
            decision = self._choose(waiting.admission)
            if decision.target is not None:
                waiting.permit_future.set_result(
                    self._grant(waiting.admission, decision)
                )
            elif decision.is_full:
                full_services.add(service)


def _compute_slowness(mean_duration_s: float | None, median_duration_s: float) -> float:
    if mean_duration_s is None or median_duration_s <= 0.0:
        return 1.0
    return min(
        MAX_SLOWNESS, max(1.0 / MAX_SLOWNESS, mean_duration_s / median_duration_s)
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["AdmissionRequest", "Permit", "TargetPool"]
