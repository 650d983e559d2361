"""Passes streamed answers on, event by event, and resumes those that may be."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

from tamarackshelf.contracts.targets import (
    ForwardedRequest,
    NotRun,
    OutcomeUnknown,
    StreamEvent,
    StreamHead,
    TargetBusy,
    TargetClient,
)
from tamarackshelf.entry.forwarder import RETRY_AFTER_S
from tamarackshelf.errors import AnswerLost, NoTarget
from tamarackshelf.node.targets import AVOID_S, TargetRegistry, TargetState
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.route_table import pick_service
from tamarackshelf.world.route import Route

Parts = AsyncGenerator[StreamHead | StreamEvent, None]


@dataclass(slots=True)
class _Stream:
    """One caller's stream over all its runs."""

    request: ForwardedRequest
    found: Route
    deadline_s: float
    tried: set[str] = field(default_factory=set)
    runs: int = 0
    may_have_run: bool = False
    last_event_id: int | None = None
    reason: str = "no target is listed"


class Streamer:
    """Opens streams at targets; a resumable one goes on at another target."""

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

    async def open(
        self, request: ForwardedRequest, found: Route, timeout_s: float
    ) -> tuple[StreamHead, AsyncGenerator[bytes, None]]:
        """Returns the head and the events of a stream.

        Raises NoTarget when it surely did not run and AnswerLost when it may have.
        The events end with AnswerLost when the stream cannot be made whole.
        """
        stream = _Stream(request, found, _now_s() + timeout_s)
        head, parts, state = await self._start(stream)
        return head, self._relay(stream, parts, state)

    async def _start(self, stream: _Stream) -> tuple[StreamHead, Parts, TargetState]:
        """Opens the stream at the next target that takes it."""
        while _now_s() < stream.deadline_s and stream.runs < stream.found.max_attempts:
            state = self._choose(stream)
            if state is None:
                break
            name = state.target.name
            stream.tried.add(name)
            parts = self._calls.stream(
                state.target,
                stream.request,
                stream.deadline_s - _now_s(),
                after_event_id=stream.last_event_id,
                at_most_once=not stream.found.is_resumable,
            )
            state.in_flight += 1
            try:
                head = await anext(parts)
            except NotRun as error:
                self._note_failure(stream, state, error)
                continue
            except (OutcomeUnknown, StopAsyncIteration) as error:
                self._note_failure(stream, state, error)
                stream.may_have_run = True
                stream.runs += 1
                if not stream.found.is_resumable:
                    break
                continue
            stream.runs += 1
            stream.may_have_run = True
            assert isinstance(head, StreamHead)
            self._board.note_success(name)
            return head, parts, state
        raise self._to_error(stream)

    async def _relay(
        self, stream: _Stream, parts: Parts, state: TargetState
    ) -> AsyncGenerator[bytes, None]:
        pieces = 0
        outcome = "left"
        try:
            while True:
                try:
                    async with contextlib.aclosing(parts):
                        async for part in parts:
                            if isinstance(part, StreamEvent):
                                if part.event_id >= 0:
                                    stream.last_event_id = part.event_id
                                pieces += 1
                                yield part.data
                    outcome = "whole"
                    return
                except OutcomeUnknown as error:
                    self._note_failure(stream, state, error)
                    if not stream.found.is_resumable:
                        raise self._to_error(stream) from error
                head, parts, state = await self._start(stream)
                if head.status != 200:
                    state.in_flight -= 1
                    await parts.aclose()
                    raise self._to_error(stream)
        except AnswerLost:
            outcome = "broken_off"
            raise
        finally:
            if outcome != "broken_off":
                state.in_flight -= 1
            self._metrics.count(f"streams_{outcome}")
            self._timeline.record(
                "stream",
                stream.request.request_id,
                stream.reason,
                route=stream.found.name,
                outcome=outcome,
                pieces=pieces,
                runs=stream.runs,
                tried=",".join(sorted(stream.tried)),
            )

    def _choose(self, stream: _Stream) -> TargetState | None:
        service = pick_service(stream.found.shares, self._board.rng)
        tried = frozenset(stream.tried)
        return self._board.choose(service, self._data_centre, tried)[0]

    def _note_failure(
        self, stream: _Stream, state: TargetState, error: Exception
    ) -> None:
        state.in_flight -= 1
        stream.reason = str(error) or repr(error)
        if isinstance(error, TargetBusy):
            self._board.avoid(state.target.name, stream.reason, AVOID_S)
        else:
            self._board.note_fault(state.target.name, stream.reason)

    def _to_error(self, stream: _Stream) -> NoTarget | AnswerLost:
        if stream.may_have_run:
            return AnswerLost(
                f"the stream broke off ({stream.reason}); send it again with the id "
                "of its last event where the route allows that"
            )
        return NoTarget(
            f"no target took the request ({stream.reason}); send it again",
            retry_after_s=RETRY_AFTER_S,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["Streamer"]
