"""The targets as one process sees them and who waits for a place at one."""

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

AVOID_S = 1.0
REPORT_FADES_S = 5.0
NO_TARGET_WAIT_S = 2.0
SEED_BITS = 32
DURATION_SMOOTHING = 0.2
SLOWEST = 8.0


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Who asks for a place and until when."""

    requirements: TargetRequirements
    organisation: str
    work_class: WorkClass
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Permit:
    """A place at a target; give it back with `release`."""

    target: Target
    organisation: str
    reason: str
    granted_at_s: float


@dataclass(slots=True)
class _Entry:
    view: TargetView
    own_in_flight: int = 0
    others: int = 0
    reported_at_s: float = 0.0
    avoid_until_s: float = 0.0
    avoid_reason: str = ""
    gone_incarnation: int = -1
    usual_s: float | None = None

    def note_duration(self, duration_s: float) -> None:
        """Smooths the time that a request takes here."""
        before_s = duration_s if self.usual_s is None else self.usual_s
        self.usual_s = before_s + DURATION_SMOOTHING * (duration_s - before_s)


@dataclass(slots=True)
class _Waiting:
    admission: AdmissionRequest
    waiter: Waiter
    answer: asyncio.Future[Permit] = field(repr=False)


class TargetPool:
    """Grants places at targets; customers go before trainers."""

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
        self._entries: dict[str, _Entry] = {}
        self._by_service: dict[str, list[_Entry]] = {}
        self._sharers: dict[str, int] = {}
        self._limits: dict[str, int] = {}
        self._queue = FairQueue()
        self._waiting: dict[int, _Waiting] = {}
        self._numbers = itertools.count()

    @property
    def waiting_count(self) -> int:
        """Returns how many requests wait for a place."""
        return len(self._waiting)

    def update(
        self,
        views: Iterable[TargetView],
        sharers: Sequence[str],
        limits: Mapping[str, int] | None = None,
    ) -> None:
        """Takes the targets of a new view and the processes that share them.

        `limits` holds how many requests each organisation may have in flight at
        this process.
        """
        self._limits = dict(limits or {})
        entries = {}
        for view in views:
            entry = self._entries.get(view.target.name) or _Entry(view)
            if entry.view.target.incarnation != view.target.incarnation:
                entry.others = 0
                entry.avoid_until_s = 0.0
            entry.view = view
            entries[view.target.name] = entry
        self._entries = entries
        by_service: dict[str, list[_Entry]] = {}
        for entry in entries.values():
            by_service.setdefault(entry.view.target.service, []).append(entry)
        self._by_service = {
            service: self._choose_own(service, group, sharers)
            for service, group in by_service.items()
        }
        self._serve_waiting()

    def _choose_own(
        self, service: str, group: list[_Entry], sharers: Sequence[str]
    ) -> list[_Entry]:
        names = [entry.view.target.name for entry in group]
        own = choose_subset(self._name, sharers, names)
        self._sharers[service] = count_sharers(len(sharers), len(names))
        return [entry for entry in group if entry.view.target.name in own]

    def list_available_targets(self, service: str) -> tuple[str, ...]:
        """Returns the targets of a service that may get work now."""
        return tuple(
            entry.view.target.name
            for entry in self._by_service.get(service, [])
            if not self._rule_out(entry)
        )

    async def acquire(self, admission: AdmissionRequest) -> Permit:
        """Waits for a place until the deadline.

        Raises NoTarget when no target may serve the request and Overloaded when
        none becomes free; in both cases nothing was sent.
        """
        choice = await self._choose_soon(admission)
        if choice.target is not None and not self._is_at_limit(admission):
            return self._grant(admission, choice)
        waiter = Waiter(
            next(self._numbers),
            admission.organisation,
            admission.work_class,
            admission.deadline_s,
        )
        refusal = self._queue.find_refusal(waiter, _now_s())
        if refusal:
            raise Overloaded(f"{refusal}; send it again later", retry_after_s=1.0)
        return await self._wait(admission, waiter)

    def release(self, permit: Permit, load: Load | None = None) -> None:
        """Gives a place back with the load that the target reported."""
        self._queue.record_end(permit.organisation, _now_s())
        entry = self._entries.get(permit.target.name)
        if entry is not None:
            entry.own_in_flight = max(0, entry.own_in_flight - 1)
            entry.note_duration(_now_s() - permit.granted_at_s)
            if load is not None:
                others = load.running + load.queued - 1 - entry.own_in_flight
                entry.others = max(0, others)
                entry.reported_at_s = _now_s()
        self._serve_waiting()

    def avoid(self, target: Target, reason: str, duration_s: float = AVOID_S) -> None:
        """Sends no new work to a target for a while."""
        entry = self._entries.get(target.name)
        if entry is not None:
            entry.avoid_until_s = _now_s() + duration_s
            entry.avoid_reason = reason

    def mark_gone(self, target: Target) -> None:
        """Sends nothing more to this incarnation of a target."""
        entry = self._entries.get(target.name)
        if entry is not None:
            entry.gone_incarnation = target.incarnation

    async def _choose_soon(self, admission: AdmissionRequest) -> RoutingDecision:
        """Chooses; gives a target that is briefly avoided time to come back."""
        loop = asyncio.get_running_loop()
        give_up_s = min(admission.deadline_s, loop.time() + NO_TARGET_WAIT_S)
        while True:
            choice = self._choose(admission)
            if choice.target is not None or choice.is_full:
                return choice
            if admission.requirements.excluded or loop.time() >= give_up_s:
                raise NoTarget(
                    f"no target may serve this now ({choice.reason}); send it again "
                    "later",
                    retry_after_s=1.0,
                )
            await asyncio.sleep(0.05)

    async def _wait(self, admission: AdmissionRequest, waiter: Waiter) -> Permit:
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[Permit] = loop.create_future()
        self._queue.push(waiter)
        self._waiting[waiter.number] = _Waiting(admission, waiter, answer)
        is_taken = False
        try:
            async with asyncio.timeout_at(admission.deadline_s):
                permit = await answer
            is_taken = True
        except TimeoutError:
            raise Overloaded(
                "no target became free before the deadline; send it again later",
                retry_after_s=1.0,
            ) from None
        finally:
            self._queue.remove(waiter.number)
            self._waiting.pop(waiter.number, None)
            if not is_taken and answer.done() and not answer.cancelled():
                # The grant and the end of the wait came in the same moment.
                self.release(answer.result())
        return permit

    def _is_at_limit(self, admission: AdmissionRequest) -> bool:
        limit = self._limits.get(admission.organisation)
        return (
            limit is not None and self._queue.in_flight(admission.organisation) >= limit
        )

    def _choose(self, admission: AdmissionRequest) -> RoutingDecision:
        entries = self._by_service.get(admission.requirements.service, [])
        usual_s = [e.usual_s for e in entries if e.usual_s is not None]
        median_s = statistics.median(usual_s) if usual_s else 0.0
        candidates = [self._to_candidate(entry, median_s) for entry in entries]
        # A seed for each decision lets a trace make it again.
        seed = self._rng.getrandbits(SEED_BITS)
        choice = self._router(candidates, admission.requirements, Random(seed))
        given = {"candidates": candidates, "need": admission.requirements, "seed": seed}
        name = choice.target.name if choice.target else None
        self._record("route", _now_s(), given, name)
        return choice

    def _to_candidate(self, entry: _Entry, median_s: float) -> Candidate:
        target = entry.view.target
        age_s = _now_s() - entry.reported_at_s
        weight = max(0.0, 1.0 - age_s / REPORT_FADES_S)
        return Candidate(
            target=target,
            own_in_flight=entry.own_in_flight,
            others_in_flight=round(entry.others * weight),
            share=compute_share(target.concurrency, self._sharers[target.service]),
            ruled_out=self._rule_out(entry),
            slowness=_compare(entry.usual_s, median_s),
        )

    def _rule_out(self, entry: _Entry) -> str:
        if entry.view.status is not TargetStatus.LIVE:
            return entry.view.status.value
        if entry.gone_incarnation >= entry.view.target.incarnation:
            return "this incarnation is gone"
        if entry.avoid_until_s > _now_s():
            return entry.avoid_reason
        return ""

    def _grant(self, admission: AdmissionRequest, choice: RoutingDecision) -> Permit:
        assert choice.target is not None
        self._entries[choice.target.name].own_in_flight += 1
        self._queue.record_start(admission.organisation)
        return Permit(choice.target, admission.organisation, choice.reason, _now_s())

    def _serve_waiting(self) -> None:
        if not self._waiting:
            return
        full: set[str] = set()
        for waiter in self._queue.sort_waiters():
            waiting = self._waiting[waiter.number]
            service = waiting.admission.requirements.service
            if waiting.answer.done() or service in full:
                continue
            if self._is_at_limit(waiting.admission):
                continue
            choice = self._choose(waiting.admission)
            if choice.target is not None:
                waiting.answer.set_result(self._grant(waiting.admission, choice))
            elif choice.is_full:
                full.add(service)


def _compare(usual_s: float | None, median_s: float) -> float:
    if usual_s is None or median_s <= 0.0:
        return 1.0
    return min(SLOWEST, max(1.0 / SLOWEST, usual_s / median_s))


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["AdmissionRequest", "Permit", "TargetPool"]
