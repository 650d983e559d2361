"""Attempts at targets: what is retried, where, and what is reported."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random
from typing import TypeVar

from tamarackshelf.contracts import Load, RefusedByTarget, TargetFault
from tamarackshelf.contracts.engine import read_state
from tamarackshelf.dispatch.pool import AdmissionRequest, Permit, TargetPool
from tamarackshelf.errors import (
    AnswerLost,
    NoTarget,
    Overloaded,
    Quarantined,
    ShelfError,
)
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.observe.decision_trace import Recorder, record_nothing
from tamarackshelf.peers import Report, ReportKind
from tamarackshelf.policy.quarantine import Crash, CrashHistory, QuarantineStatus
from tamarackshelf.policy.retry import RetryBudget, backoff_s
from tamarackshelf.world import Target

PROBE_TIMEOUT_S = 0.5
ISOLATION_RETRY_S = 0.05

T = TypeVar("T")
Isolate = Callable[[str, tuple[str, ...]], Awaitable[str]]
ReleaseIsolation = Callable[[str, str], Awaitable[None]]
Announce = Callable[[Crash], Awaitable[None]]
SendReport = Callable[[Report], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class DispatchRequest:
    """A request as the dispatcher sees it."""

    request_id: str
    fingerprint: str
    admission: AdmissionRequest


@dataclass(frozen=True, slots=True)
class PeerActions:
    """How this process speaks to the others about suspects and targets."""

    isolate: Isolate
    release_isolation: ReleaseIsolation
    announce_crash: Announce
    report: SendReport


class Dispatcher:
    """Holds what attempts share: places, budgets and suspects."""

    def __init__(
        self,
        pool: TargetPool,
        http: HttpClient,
        peers: PeerActions,
        timeline: Timeline,
        metrics: Metrics,
        rng: Random,
        record: Recorder = record_nothing,
    ) -> None:
        self._record = record
        self.pool = pool
        self.http = http
        self.timeline = timeline
        self.metrics = metrics
        self.crash_history = CrashHistory()
        self._peers = peers
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}
        self._reported: set[Report] = set()
        self._tasks: set[asyncio.Task[object]] = set()

    def record_request(self, organisation: str) -> None:
        """Counts a first attempt, which earns a part of a retry."""
        self._budget_of(organisation).record_request()
        self.metrics.count("requests")

    @contextlib.asynccontextmanager
    async def hold_permit(self, work: DispatchRequest) -> AsyncIterator[HeldPermit]:
        """Holds a place at a target; a suspect is alone among suspects."""
        admission = work.admission
        verdict = self._judge(work.fingerprint)
        if verdict is QuarantineStatus.QUARANTINED:
            raise Quarantined(
                "this request was in flight at two crashes of its targets and is "
                "not run again; change it before sending it"
            )
        isolated = ""
        if verdict is QuarantineStatus.SUSPECT:
            isolated = await self._isolate(work)
            admission = replace(
                admission, requirements=replace(admission.requirements, only=isolated)
            )
        place: HeldPermit | None = None
        try:
            permit = await self.pool.acquire(admission)
            place = HeldPermit(permit, is_isolated=bool(isolated))
            self.timeline.record(
                "request_dispatched",
                work.request_id,
                permit.reason,
                target=permit.target.name,
                isolated=bool(isolated),
            )
            self.metrics.count("attempts")
            yield place
        finally:
            if place is not None:
                self.pool.release(place.permit, place.load)
            if isolated:
                self._spawn(self._peers.release_isolation(work.fingerprint, isolated))

    async def pause_before_retry(
        self, work: DispatchRequest, attempt: int, reason: str, may_have_run: bool
    ) -> None:
        """Waits before a retry.

        Raises AnswerLost, or NoTarget when nothing ran, once the budget or the
        time is spent.
        """
        kind = AnswerLost if may_have_run else NoTarget
        if not self._budget_of(work.admission.organisation).take():
            raise kind(
                f"{reason}; the retry budget is spent, send it again later",
                retry_after_s=1.0,
            )
        pause_s = backoff_s(attempt, self._rng)
        if _now_s() + pause_s >= work.admission.deadline_s:
            raise kind(f"{reason}; no time is left, send it with a later deadline")
        self.metrics.count("retries")
        self.timeline.record("request_retried", work.request_id, reason)
        await asyncio.sleep(pause_s)

    async def handle_not_run(self, target: Target, error: Exception) -> None:
        """Learns from a target that did not run a request."""
        if isinstance(error, RefusedByTarget) and error.kind == "leaving":
            self.pool.mark_gone(target)
            await self._report(ReportKind.TARGET_LEAVING, target)
        elif isinstance(error, ConnectFailed):
            self.pool.avoid(target, "it refused a connection")
            await self._note_if_crashed(target)
        else:
            self.pool.avoid(target, str(error), 0.1)

    async def handle_lost_answer(
        self, work: DispatchRequest, place: HeldPermit
    ) -> bool:
        """Finds out whether a lost answer was a crash; tells the peers if so."""
        target = place.target
        if not await self._note_if_crashed(target):
            return False
        crash = Crash(
            work.fingerprint, target.name, target.incarnation, place.is_isolated
        )
        self.record_crash(crash, "it was in flight when the target crashed")
        # Peers hear of the suspect before its caller can send it again.
        await self._peers.announce_crash(crash)
        return True

    def record_crash(self, crash: Crash, reason: str) -> None:
        """Remembers a suspect that this or another process saw."""
        now_s = _now_s()
        is_new = self.crash_history.record_crash(crash, now_s)
        self._record("note_crash", now_s, crash, is_new)
        if is_new:
            self.timeline.record(
                "request_suspected", crash.fingerprint, reason, target=crash.target
            )

    def handle_unattributable(self, target: Target, reason: str) -> None:
        """Avoids a target whose streams cannot be attributed."""
        self.pool.avoid(target, reason, 2.0)
        self.timeline.record("target_doubted", target.name, reason)

    async def close(self) -> None:
        """Waits for what is still to be told to peers."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _judge(self, fingerprint: str) -> QuarantineStatus:
        now_s = _now_s()
        verdict = self.crash_history.classify(fingerprint, now_s)
        if verdict is not QuarantineStatus.CLEAR:
            self._record("judge", now_s, fingerprint, verdict.value)
        return verdict

    async def _isolate(self, work: DispatchRequest) -> str:
        while True:
            names = self.pool.list_available_targets(
                work.admission.requirements.service
            )
            if names:
                target = await self._peers.isolate(work.fingerprint, names)
                if target:
                    return target
            if _now_s() >= work.admission.deadline_s:
                raise Overloaded(
                    "the request is suspected of a crash and no target became free "
                    "to run it apart; send it again later"
                )
            await asyncio.sleep(ISOLATION_RETRY_S)

    async def _note_if_crashed(self, target: Target) -> bool:
        """A crash means that the target is gone or has a new incarnation.

        A reset or a silence alone, as during a weight swap, is no crash.
        """
        try:
            state = await read_state(self.http, target.address, PROBE_TIMEOUT_S)
        except ConnectFailed:
            is_crash = True
        except (ConnectionLost, RefusedByTarget, TargetFault):
            is_crash = False
        else:
            is_crash = state.incarnation != target.incarnation
        if is_crash:
            self.pool.mark_gone(target)
            await self._report(ReportKind.TARGET_CRASHED, target)
        return is_crash

    async def _report(self, kind: ReportKind, target: Target) -> None:
        report = Report(kind, target.name, target.incarnation)
        if report in self._reported:
            return
        self._reported.add(report)
        self.timeline.record(kind.value.replace("-", "_"), target.name)
        self._spawn(self._peers.report(report))

    def _spawn(self, action: Awaitable[object]) -> None:
        task = asyncio.ensure_future(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _budget_of(self, organisation: str) -> RetryBudget:
        return self._budgets.setdefault(organisation, RetryBudget())


class HeldPermit:
    """A held place; `load` is what the target reported at the end."""

    def __init__(self, permit: Permit, *, is_isolated: bool) -> None:
        self.permit = permit
        self.is_isolated = is_isolated
        self.load: Load | None = None

    @property
    def target(self) -> Target:
        """Returns the target of this place."""
        return self.permit.target


async def run_at_most_once(
    dispatcher: Dispatcher,
    work: DispatchRequest,
    attempt: Callable[[HeldPermit], Awaitable[T]],
) -> T:
    """Repeats an attempt for as long as it certainly did not run."""
    dispatcher.record_request(work.admission.organisation)
    excluded: set[str] = set()
    for number in itertools.count():
        requirements = replace(
            work.admission.requirements, excluded=frozenset(excluded)
        )
        trial = replace(
            work, admission=replace(work.admission, requirements=requirements)
        )
        try:
            async with dispatcher.hold_permit(trial) as place:
                try:
                    return await attempt(place)
                except (ConnectFailed, RefusedByTarget) as error:
                    await dispatcher.handle_not_run(place.target, error)
                    excluded.add(place.target.name)
                    reason = str(error)
        except NoTarget:
            if not excluded:
                raise
            excluded.clear()
            reason = "all targets were tried"
        await dispatcher.pause_before_retry(work, number, reason, may_have_run=False)
    raise ShelfError("unreachable")


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = [
    "Dispatcher",
    "PeerActions",
    "HeldPermit",
    "DispatchRequest",
    "run_at_most_once",
]
