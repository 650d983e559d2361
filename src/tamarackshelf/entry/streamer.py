"""Forwarding of streamed responses event by event, with resumption."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field

from tamarackshelf.contracts.targets import (
    ForwardedRequest,
    NotRun,
    OutcomeUnknown,
    Resumption,
    StreamEvent,
    StreamHead,
    TargetClient,
)
from tamarackshelf.decoding import InvalidInput, parse_number
from tamarackshelf.entry.forwarder import RETRY_AFTER_S
from tamarackshelf.entry.planned_stop import PlannedStop
from tamarackshelf.errors import AnswerLost, NoTarget
from tamarackshelf.node.quarantine import LostRun, RequestQuarantine
from tamarackshelf.node.stream_origins import StreamOrigins
from tamarackshelf.node.targets import TargetRegistry, TargetState
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.quarantine import QuarantineStatus
from tamarackshelf.policy.route_table import pick_service
from tamarackshelf.tasks import begin
from tamarackshelf.world import TargetKind
from tamarackshelf.world.route import Route

# A live engine reports its state within a few milliseconds.
VERIFY_TIMEOUT_S = 0.3
# Longest time for which a stream that goes on looks for a target; a target whose
# connection broke gets no new work for half of it.
RESUME_WAIT_S = 0.6
# Pause before it looks again.
RESUME_PAUSE_S = 0.05

TargetStream = AsyncGenerator[StreamHead | StreamEvent, None]


class RunUnusable(Exception):
    """A run that must not begin the caller's stream or continue it.

    `cause` is the failure of the target that shows it, if there is one.
    """

    def __init__(self, reason: str, cause: NotRun | OutcomeUnknown | None = None):
        super().__init__(reason)
        self.cause = cause


@dataclass(frozen=True, slots=True)
class _ErrorAnswer:
    """A target's complete answer that is no stream."""

    head: StreamHead
    body: bytes
    state: TargetState

    async def replay(self) -> AsyncGenerator[StreamHead | StreamEvent, None]:
        """Yield the body."""
        yield StreamEvent(-1, self.body)


@dataclass(slots=True)
class _Stream:
    """State of one caller's stream across its runs at targets.

    `runs` counts the attempts that ran or may have run. `isolated_target` is the target
    on which the present run is isolated from other suspects. `content_type` is that of
    the head that the caller got, or None before it; `last_error` is the answer of the
    last target that failed before it.
    """

    request: ForwardedRequest
    route: Route
    deadline_s: float
    tried: set[str] = field(default_factory=set)
    runs: int = 0
    may_have_run: bool = False
    last_event_id: int | None = None
    service: str = ""
    # Software of the target whose head the caller got; no other may go on.
    software: str | None = None
    content_type: str | None = None
    isolated_target: str = ""
    last_error: _ErrorAnswer | None = None
    last_reason: str = "no target of the service is listed"


class Streamer:
    """Opens streams at targets and resumes them elsewhere if the route allows it."""

    def __init__(
        self,
        targets: TargetRegistry,
        target_client: TargetClient,
        quarantine: RequestQuarantine,
        origins: StreamOrigins,
        data_centre: str,
        timeline: Timeline,
        metrics: Metrics,
        planned_stop: PlannedStop | None = None,
    ) -> None:
        # Called once for each stream whose first event came, with the time then on the
        # event loop's clock.
        self.record_run: Callable[[ForwardedRequest, float], None] = (
            lambda request, started_s: None
        )
        self._planned_stop = planned_stop or PlannedStop()
        self._targets = targets
        self._target_client = target_client
        self._quarantine = quarantine
        self._origins = origins
        self._data_centre = data_centre
        self._timeline = timeline
        self._metrics = metrics

    async def open(
        self, request: ForwardedRequest, route: Route, timeout_s: float
    ) -> tuple[StreamHead, AsyncGenerator[bytes, None]]:
        """Open a stream and return its head and its events.

        Raise NoTarget or Draining if the request certainly did not run and AnswerLost
        if it may have run. The events raise AnswerLost if the stream cannot be
        completed.
        """
        timeout_s = self._planned_stop.bound_s(timeout_s)
        stream = _Stream(request, route, _now_s() + timeout_s)
        stream.last_event_id = _parse_last_event_id(request)
        if route.is_resumable and request.resumption is not None:
            await self._take_up(stream, request.resumption)
        head, events, state = await self._open_at_target(stream)
        if route.is_resumable and stream.software is not None:
            is_known = False
            try:
                is_known = await self._origins.record(
                    request.request_id, stream.service, stream.software
                )
            finally:
                if not is_known:
                    self._release(stream)
                    state.in_flight -= 1
                    await events.aclose()
            if not is_known:
                raise AnswerLost(
                    "the stream was broken off before its first event, as no other "
                    "node could be told which software began it; send it again"
                )
        return head, await begin(self._relay(stream, events, state))

    async def _take_up(self, stream: _Stream, resumption: Resumption) -> None:
        """Keep to the software that began the stream in an earlier attempt.

        Raise NoTarget if that is not known, or the route no longer has its service.
        """
        services = {share.service for share in stream.route.shares}
        origin = await self._origins.find(resumption, services)
        if origin is None:
            raise NoTarget(
                "it is not known which software began the stream; try another entry, "
                "or start the stream again",
                retry_after_s=RETRY_AFTER_S,
            )
        if origin.service not in services:
            raise NoTarget(
                f"the route no longer has {origin.service}, which began the stream; "
                "start it again"
            )
        stream.service, stream.software = origin.service, origin.software

    async def _open_at_target(
        self, stream: _Stream
    ) -> tuple[StreamHead, TargetStream, TargetState]:
        """Open or resume the stream at the next target that accepts it.

        Raise NoTarget or AnswerLost if no target does.
        """
        resume_by_s = _now_s() + RESUME_WAIT_S
        while _now_s() < stream.deadline_s and stream.runs < stream.route.max_attempts:
            state = await self._choose_target(stream)
            if state is None:
                if not self._may_wait(stream, resume_by_s):
                    break
                stream.tried.clear()
                await asyncio.sleep(RESUME_PAUSE_S)
                continue
            name = state.target.name
            stream.tried.add(name)
            events = self._target_client.stream(
                state.target,
                stream.request,
                stream.deadline_s - _now_s(),
                after_event_id=stream.last_event_id,
                at_most_once=not stream.route.is_resumable,
            )
            state.in_flight += 1
            try:
                answer = await self._begin_run(stream, state, events)
            except RunUnusable as error:
                stream.may_have_run = True
                stream.runs += 1
                await events.aclose()
                self._record_failure(stream, state, error.cause or error)
                self._release(stream)
                if not stream.route.is_resumable:
                    break
                continue
            except NotRun as error:
                self._record_failure(stream, state, error)
                self._release(stream)
                continue
            except asyncio.CancelledError:
                self._quarantine.record_unsettled(self._build_lost_run(stream, state))
                self._release(stream)
                state.in_flight -= 1
                await events.aclose()
                raise
            except (OutcomeUnknown, StopAsyncIteration) as error:
                stream.may_have_run = True
                stream.runs += 1
                await self._record_lost_run(stream, state, error)
                if not stream.route.is_resumable:
                    break
                continue
            stream.runs += 1
            stream.may_have_run = True
            self._targets.record_success(name)
            if isinstance(answer, StreamHead):
                stream.software = state.target.software
                stream.content_type = answer.headers.get("content-type", "")
                return answer, events, state
            stream.last_reason = f"{name} returned {answer.head.status}"
            is_final = answer.head.status < 500 or not stream.route.is_resumable
            if is_final and stream.content_type is None:
                return answer.head, answer.replay(), state
            self._release(stream)
            state.in_flight -= 1
            stream.last_error = answer if answer.head.is_signed else None
        error_answer = stream.last_error
        if error_answer is None or stream.content_type is not None:
            raise self._build_error(stream)
        error_answer.state.in_flight += 1
        return error_answer.head, error_answer.replay(), error_answer.state

    async def _begin_run(
        self, stream: _Stream, state: TargetState, events: TargetStream
    ) -> StreamHead | _ErrorAnswer:
        """Wait for the head of a run; if it is not that of a stream, for all of it.

        Raise RunUnusable, NotRun or OutcomeUnknown.
        """
        head = await anext(events)
        assert isinstance(head, StreamHead)
        await self._verify_software(stream, state)
        name = state.target.name
        if head.status < 400 and not head.is_signed:
            raise RunUnusable(f"{name} returned {head.status} without its signature")
        if head.status != 200:
            parts = [e.data async for e in events if isinstance(e, StreamEvent)]
            return _ErrorAnswer(head, b"".join(parts), state)
        content_type = head.headers.get("content-type", "")
        if stream.content_type not in (None, content_type):
            raise RunUnusable(
                f"{name} continues {stream.content_type!r} with {content_type!r}"
            )
        return head

    def _may_wait(self, stream: _Stream, resume_by_s: float) -> bool:
        """Return whether a stream that goes on may wait for a target of its software.

        Few targets may have it, and their capacity or a short ejection passes.
        """
        return (
            stream.software is not None
            and _now_s() < resume_by_s
            and self._targets.has_software(stream.service, stream.software)
        )

    async def _verify_software(self, stream: _Stream, state: TargetState) -> None:
        """Check that a target that goes on is the one that the list describes.

        It may have restarted under its name with other software. Only engines report
        their incarnation. Raise RunUnusable if the check fails.
        """
        target = state.target
        is_first = stream.software is None and self._targets.is_list_current()
        if is_first or target.kind is not TargetKind.ENGINE:
            return
        try:
            await self._target_client.read_report(target, VERIFY_TIMEOUT_S)
        except (NotRun, OutcomeUnknown) as error:
            raise RunUnusable(str(error), error) from error

    async def _relay(
        self, stream: _Stream, events: TargetStream, state: TargetState
    ) -> AsyncGenerator[bytes, None]:
        """Yield the events and resume the stream at another target if it is lost.

        The first value is empty, for `begin`. Raise AnswerLost if the stream is lost
        and cannot be resumed.
        """
        event_count = 0
        # The attempt whose stream this one takes up was counted.
        is_counted = stream.route.is_resumable and stream.last_event_id is not None
        # Stays unchanged if the caller disconnects.
        outcome = "left"
        # Whether the run at `state` is counted there.
        is_running = True
        try:
            yield b""
            while True:
                try:
                    async with contextlib.aclosing(_follow(stream, events)) as run:
                        async for data in run:
                            event_count += 1
                            if not is_counted:
                                is_counted = True
                                self.record_run(stream.request, _now_s())
                            # A run that made progress does not show what ended it.
                            self._release(stream)
                            yield data
                    outcome = "whole"
                    self._quarantine.record_answer(stream.request)
                    return
                except RunUnusable as error:
                    is_running = False
                    self._record_failure(stream, state, error)
                    self._release(stream)
                    if not stream.route.is_resumable:
                        raise self._build_error(stream) from error
                except OutcomeUnknown as error:
                    is_running = False
                    await self._record_lost_run(stream, state, error)
                    if not stream.route.is_resumable:
                        raise self._build_error(stream) from error
                _, events, state = await self._open_at_target(stream)
                is_running = True
        except AnswerLost:
            outcome = "broken_off"
            raise
        finally:
            if is_running:
                state.in_flight -= 1
                if outcome == "left":
                    lost_run = self._build_lost_run(stream, state)
                    self._quarantine.record_unsettled(lost_run)
            self._release(stream)
            self._metrics.count(f"streams_{outcome}")
            self._timeline.record(
                "stream",
                stream.request.request_id,
                stream.last_reason,
                route=stream.route.name,
                outcome=outcome,
                pieces=event_count,
                runs=stream.runs,
                tried=",".join(sorted(stream.tried)),
            )

    async def _choose_target(self, stream: _Stream) -> TargetState | None:
        """Return the target of the next run, isolated if the request is suspect.

        Raise QuarantinedNotRun or AnswerLost if the request is quarantined.
        """
        if stream.software is None:
            stream.service = pick_service(stream.route.shares, self._targets.rng)
        tried = frozenset(stream.tried)
        status = self._quarantine.classify(stream.request)
        if status is QuarantineStatus.QUARANTINED:
            raise self._quarantine.build_refusal(
                stream.request, may_have_run=stream.may_have_run
            )
        if status is QuarantineStatus.CLEAR:
            state, reason = self._targets.choose(
                stream.service, self._data_centre, tried, software=stream.software
            )
            if state is None:
                stream.last_reason = reason
            return state
        names, stream.last_reason = self._targets.list_isolatable(
            stream.service, tried, stream.software
        )
        name = await self._quarantine.isolate(stream.request, names)
        stream.isolated_target = name
        isolated = self._targets.get(name) if name else None
        if isolated is None:
            self._release(stream)
        return isolated

    def _build_lost_run(self, stream: _Stream, state: TargetState) -> LostRun:
        return LostRun(
            stream.request.request_id,
            stream.request.compute_fingerprint(),
            state.target,
            stream.isolated_target == state.target.name,
        )

    async def _record_lost_run(
        self, stream: _Stream, state: TargetState, error: Exception
    ) -> None:
        """End a run without a complete response, which may have crashed its target."""
        self._record_failure(stream, state, error)
        try:
            if isinstance(error, OutcomeUnknown):
                run = self._build_lost_run(stream, state)
                await self._quarantine.record_lost_answer(run, error)
        finally:
            self._release(stream)

    def _release(self, stream: _Stream) -> None:
        if stream.isolated_target:
            self._quarantine.release(stream.request, stream.isolated_target)
            stream.isolated_target = ""

    def _record_failure(
        self, stream: _Stream, state: TargetState, error: Exception
    ) -> None:
        """End the run in the registry of targets, which then avoids the target."""
        state.in_flight -= 1
        stream.last_reason = str(error) or repr(error)
        if isinstance(error, NotRun):
            self._targets.record_not_run(state.target.name, error)
        else:
            self._targets.record_fault(state.target.name, stream.last_reason)

    def _build_error(self, stream: _Stream) -> NoTarget | AnswerLost:
        if stream.may_have_run:
            return AnswerLost(
                f"the stream ended early ({stream.last_reason}); send the request "
                "again, with the id of the last event if the route is resumable"
            )
        return NoTarget(
            f"no target accepted the request ({stream.last_reason}); send it again",
            retry_after_s=self._targets.plan_return_s(stream.service, RETRY_AFTER_S),
        )


async def _follow(stream: _Stream, events: TargetStream) -> AsyncGenerator[bytes, None]:
    """Yield the events of a run that follow the last event of the stream.

    Blocks without an id before the first event of a continuation are not the caller's:
    they may be the text of an error. Raise RunUnusable if an event does not follow the
    one before, or if a continuation consists of such blocks.
    """
    is_continuation = stream.last_event_id is not None
    is_skipping = False
    async with contextlib.aclosing(events):
        async for event in events:
            if not isinstance(event, StreamEvent):
                continue
            last_id = stream.last_event_id
            if event.event_id < 0:
                if is_continuation:
                    is_skipping = True
                    continue
            elif last_id is not None and event.event_id != last_id + 1:
                raise RunUnusable(
                    f"event {event.event_id} does not follow event {last_id}"
                )
            else:
                stream.last_event_id = event.event_id
                is_continuation = is_skipping = False
            yield event.data
    if is_skipping:
        raise RunUnusable("the continuation has no event")


def _parse_last_event_id(request: ForwardedRequest) -> int | None:
    """Return the event after which the caller asks the stream to go on."""
    try:
        return parse_number(request.http.headers.get("last-event-id", ""))
    except InvalidInput:
        return None


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["Streamer"]
