"""Streams that break off, resume, or must run once at most."""

from __future__ import annotations

import asyncio
import random

import pytest

from tamarackshelf.contracts.targets import (
    ForwardedRequest,
    NotRun,
    OutcomeUnknown,
    StreamEvent,
    StreamHead,
)
from tamarackshelf.entry.streamer import Streamer
from tamarackshelf.errors import AnswerLost, NoTarget
from tamarackshelf.net import Request
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.world.route import Route, RouteKind, ServiceShare
from tests.support.node import HOST, build_target

PIECES = 6


class Targets:
    """Breaks streams off after some events; a target of NotRun refuses."""

    def __init__(self, breaks):
        self.breaks = list(breaks)
        self.asked = []

    async def stream(self, target, request, timeout_s, *, after_event_id, at_most_once):
        self.asked.append((target.name, after_event_id, at_most_once))
        does = self.breaks.pop(0) if self.breaks else None
        if isinstance(does, Exception):
            raise does
        yield StreamHead(200, {"stamp": target.name}, True)
        first = 0 if after_event_id is None else after_event_id + 1
        for number in range(first, PIECES):
            await asyncio.sleep(0.03)
            if does is not None and number >= does:
                raise OutcomeUnknown("reset")
            yield StreamEvent(number, f"{number};".encode())


def stream(run, breaks, *, resumable):
    """Returns the head or the error, the bytes that came and how they ended."""
    targets = Targets(breaks)
    route = Route(
        name="s",
        host=HOST,
        path_prefix="/s/",
        kind=RouteKind.STREAMING,
        shares=(ServiceShare("app", 1),),
        timeout_s=5.0,
        target_latency_s=0.2,
        max_attempts=3,
        is_resumable=resumable,
    )

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        board = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        for name in ("t1", "t2", "t3"):
            board.put(build_target(name, "app"))
        streamer = Streamer(board, targets, "dc", timeline, Metrics())
        request = ForwardedRequest("r", HOST, Request("POST", "/s/x"))
        came, end = b"", "whole"
        try:
            head, pieces = await streamer.open(request, route, 5.0)
            async for piece in pieces:
                came += piece
        except (AnswerLost, NoTarget) as error:
            head, end = None, error
        assert all(state.in_flight == 0 for state in board.list_targets(["app"]))
        return head, came, end

    return *run(scenario()), targets.asked


WHOLE = b"".join(f"{n};".encode() for n in range(PIECES))


def test_stream_is_passed_on_whole(run):
    head, came, end, asked = stream(run, [], resumable=False)
    assert (came, end, len(asked)) == (WHOLE, "whole", 1)
    assert head.is_signed


def test_resumable_stream_goes_on_elsewhere_after_its_last_event(run):
    _, came, end, asked = stream(run, [3], resumable=True)
    assert (came, end) == (WHOLE, "whole")
    assert asked[1][1] == 2
    assert asked[0][0] != asked[1][0]


def test_stream_that_may_not_be_resumed_breaks_off(run):
    _, came, end, asked = stream(run, [3], resumable=False)
    assert isinstance(end, AnswerLost)
    assert came == b"0;1;2;"
    assert len(asked) == 1
    assert asked[0][2]


def test_refused_stream_goes_to_another_target(run):
    _, came, end, _ = stream(run, [NotRun("full"), NotRun("full")], resumable=False)
    assert (came, end) == (WHOLE, "whole")


def test_stream_that_no_target_takes_did_not_run(run):
    _, _, end, _ = stream(run, [NotRun("full")] * 3, resumable=False)
    assert isinstance(end, NoTarget)


@pytest.mark.parametrize("resumable", [False, True])
def test_lost_head_is_asked_for_again_only_where_resuming_is_allowed(run, resumable):
    _, came, end, asked = stream(run, [OutcomeUnknown("reset")], resumable=resumable)
    assert len(asked) == (2 if resumable else 1)
    assert (came == WHOLE) is resumable
