"""Attempts to run requests on targets: admission, retries and crash reports."""

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
ISOLATION_RETRY_INTERVAL_S = 0.05

T = TypeVar("T")
Isolate = Callable[[str, tuple[str, ...]], Awaitable[str]]
ReleaseIsolation = Callable[[str, str], Awaitable[None]]
AnnounceCrash = Callable[[Crash], Awaitable[None]]
SendReport = Callable[[Report], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class DispatchRequest:
    """Request to be run on a target.

    A resent request has the same fingerprint, and crashes are recorded under it. It is
    None for work that cannot cause a crash, which is never suspect.
    """

    request_id: str
    fingerprint: str | None
    admission: AdmissionRequest


@dataclass(frozen=True, slots=True)
class PeerActions:
    """Calls to the peers and the controller about crashes, isolation and targets."""

    isolate: Isolate
    release_isolation: ReleaseIsolation
    announce_crash: AnnounceCrash
    report: SendReport


class Dispatcher:
    """Shared state of all attempts: permits, retry budgets and the crash history."""

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
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._reported: set[Report] = set()
        self._tasks: set[asyncio.Task[object]] = set()

    def record_request(self, organisation: str) -> None:
        """Count a new request, which adds a fraction of a retry to the retry budget."""
        self._get_retry_budget(organisation).record_request()
        self.metrics.count("requests")

    @contextlib.asynccontextmanager
    async def hold_permit(self, request: DispatchRequest) -> AsyncIterator[HeldPermit]:
        """Hold a permit for a target while the context is open.

        A request that was in flight when a target crashed is suspect and runs in
        isolation: on a target to which no process of the fleet sends another suspect
        request. Raise Quarantined if the request must not run again, Overloaded or
        NoTarget if no target can take it.
        """
        admission = request.admission
        status = self._classify(request.fingerprint)
        if status is QuarantineStatus.QUARANTINED:
            raise Quarantined(
                "two targets crashed while this request was in flight on them, so it "
                "is not run again; change the request before sending it"
            )
        isolated = ""
        fingerprint = request.fingerprint
        if status is QuarantineStatus.SUSPECT and fingerprint is not None:
            isolated = await self._isolate(request, fingerprint)
            admission = replace(
                admission, requirements=replace(admission.requirements, only=isolated)
            )
        held: HeldPermit | None = None
        try:
            permit = await self.pool.acquire(admission)
            held = HeldPermit(permit, is_isolated=bool(isolated))
            self.timeline.record(
                "request_dispatched",
                request.request_id,
                permit.reason,
                target=permit.target.name,
                isolated=bool(isolated),
            )
            self.metrics.count("attempts")
            yield held
        finally:
            if held is not None:
                self.pool.release(held.permit, held.load)
            if isolated and fingerprint is not None:
                self._spawn(self._peers.release_isolation(fingerprint, isolated))

    async def pause_before_retry(
        self,
        request: DispatchRequest,
        retry_number: int,
        reason: str,
        may_have_run: bool,
    ) -> None:
        """Take a retry from the budget and wait; `retry_number` counts from zero.

        If the retry budget is exhausted or the deadline is too near, raise AnswerLost
        when an attempt may have run, otherwise NoTarget.
        """
        error_class = AnswerLost if may_have_run else NoTarget
        if not self._get_retry_budget(request.admission.organisation).take():
            raise error_class(
                f"{reason}; the retry budget is exhausted, send the request again "
                "later",
                retry_after_s=1.0,
            )
        pause_s = backoff_s(retry_number, self._rng)
        if _now_s() + pause_s >= request.admission.deadline_s:
            raise error_class(
                f"{reason}; the deadline leaves no time for a retry, send the request "
                "with a later deadline"
            )
        self.metrics.count("retries")
        self.timeline.record("request_retried", request.request_id, reason)
        await asyncio.sleep(pause_s)

    async def handle_not_run(self, target: Target, error: Exception) -> None:
        """Avoid a target that did not run a request for a while.

        If the target is leaving or has crashed, send nothing more to its incarnation
        and report it to the controller.
        """
        if isinstance(error, RefusedByTarget) and error.kind == "leaving":
            self.pool.mark_gone(target)
            await self._report(ReportKind.TARGET_LEAVING, target)
        elif isinstance(error, ConnectFailed):
            self.pool.avoid(target, "it refused a connection")
            await self._report_if_crashed(target)
        else:
            self.pool.avoid(target, str(error), 0.1)

    async def handle_lost_answer(
        self, request: DispatchRequest, held: HeldPermit
    ) -> bool:
        """Probe the target of a lost response and return whether it crashed.

        If so, record the crash, announce it to the peers and report the target to the
        controller.
        """
        target = held.target
        if not await self._report_if_crashed(target):
            return False
        if request.fingerprint is None:
            return True
        crash = Crash(
            request.fingerprint, target.name, target.incarnation, held.is_isolated
        )
        self.record_crash(crash, "the request was in flight when the target crashed")
        # The peers must know of the crash before the caller can resend the request to
        # one of them, which would otherwise run it without isolation.
        await self._peers.announce_crash(crash)
        return True

    def clear_crashes(self, request: DispatchRequest) -> None:
        """Remove the crashes of a request that was answered completely."""
        if request.fingerprint is not None:
            self.crash_history.clear(request.fingerprint)

    def record_crash(self, crash: Crash, reason: str) -> None:
        """Add a crash that this process or a peer detected to the crash history."""
        now_s = _now_s()
        is_new = self.crash_history.record_crash(crash, now_s)
        self._record("note_crash", now_s, crash, is_new)
        if is_new:
            self.timeline.record(
                "request_suspected", crash.fingerprint, reason, target=crash.target
            )

    def handle_unattributable(self, target: Target, reason: str) -> None:
        """Avoid a target for 2 s, since a chunk of it has no certain weight version."""
        self.pool.avoid(target, reason, 2.0)
        self.timeline.record("target_doubted", target.name, reason)

    async def close(self) -> None:
        """Wait until pending reports and releases of isolated targets are sent."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _classify(self, fingerprint: str | None) -> QuarantineStatus:
        if fingerprint is None:
            return QuarantineStatus.CLEAR
        now_s = _now_s()
        status = self.crash_history.classify(fingerprint, now_s)
        if status is not QuarantineStatus.CLEAR:
            self._record("judge", now_s, fingerprint, status.value)
        return status

    async def _isolate(self, request: DispatchRequest, fingerprint: str) -> str:
        while True:
            targets = self.pool.list_available_targets(
                request.admission.requirements.service
            )
            if targets:
                target = await self._peers.isolate(fingerprint, targets)
                if target:
                    return target
            if _now_s() >= request.admission.deadline_s:
                raise Overloaded(
                    "the request was in flight when a target crashed, and no target "
                    "became available to run it in isolation; send the request again "
                    "later"
                )
            await asyncio.sleep(ISOLATION_RETRY_INTERVAL_S)

    async def _report_if_crashed(self, target: Target) -> bool:
        """Probe a target and return whether it crashed; if so, report it as crashed.

        A target has crashed if it refuses connections or has another incarnation. A
        connection reset or a missing response alone is no crash, since both also occur
        during a weight swap.
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

    def _get_retry_budget(self, organisation: str) -> RetryBudget:
        return self._retry_budgets.setdefault(organisation, RetryBudget())


class HeldPermit:
    """Permit held during an attempt; `load` is the load that the target reported."""

    def __init__(self, permit: Permit, *, is_isolated: bool) -> None:
        self.permit = permit
        self.is_isolated = is_isolated
        self.load: Load | None = None

    @property
    def target(self) -> Target:
        """Target that the permit is for."""
        return self.permit.target


async def run_at_most_once(
    dispatcher: Dispatcher,
    request: DispatchRequest,
    attempt: Callable[[HeldPermit], Awaitable[T]],
) -> T:
    """Run an attempt; retry it only while it is certain that the request did not run.

    Raise NoTarget, Overloaded or Quarantined if the request did not run. Errors of the
    attempt other than ConnectFailed and RefusedByTarget are raised unchanged.
    """
    dispatcher.record_request(request.admission.organisation)
    excluded: set[str] = set()
    for retry_number in itertools.count():
        requirements = replace(
            request.admission.requirements, excluded=frozenset(excluded)
        )
        attempt_request = replace(
            request, admission=replace(request.admission, requirements=requirements)
        )
        try:
            async with dispatcher.hold_permit(attempt_request) as held:
                try:
                    return await attempt(held)
                except (ConnectFailed, RefusedByTarget) as error:
                    await dispatcher.handle_not_run(held.target, error)
                    excluded.add(held.target.name)
                    reason = str(error)
        except NoTarget:
            if not excluded:
                raise
            excluded.clear()
            reason = "all targets were tried"
        await dispatcher.pause_before_retry(
            request, retry_number, reason, may_have_run=False
        )
    raise ShelfError("unreachable")


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = [
    "DispatchRequest",
    "Dispatcher",
    "HeldPermit",
    "PeerActions",
    "run_at_most_once",
]
