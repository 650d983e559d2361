"""Each caller's request that ran is counted once, with the time when it began."""

from __future__ import annotations

import asyncio
import random

import pytest

from tamarackshelf.contracts.targets import (
    ConnectionBroken,
    ForwardedRequest,
    NotRun,
    OutcomeUnknown,
    TargetBusy,
)
from tamarackshelf.entry.forwarder import Forwarder
from tamarackshelf.errors import ShelfError
from tamarackshelf.net import Request
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.route_table import RouteTable
from tests.entry import test_forwarder, test_streamer
from tests.support.node import (
    HOST,
    build_configuration,
    build_quarantine,
    build_target,
)


def build_registry(timeline):
    registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
    for name in ("t1", "t2", "t3"):
        registry.put(build_target(name, "app"))
    return registry


class FakeTargetClient(test_forwarder.FakeTargetClient):
    """Its targets go on after they broke a connection."""

    async def has_ended(self, target):
        return False


def count_forwarded(run, behaviour, path="/score/x", leave_s=9.0, timeout_s=1.5):
    """Forward a request whose caller leaves after a time; return the counted starts."""
    targets = FakeTargetClient(behaviour)
    starts = []

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        registry = build_registry(timeline)
        quarantine = build_quarantine(registry, targets)
        forwarder = Forwarder(registry, targets, quarantine, "dc", timeline, Metrics())
        forwarder.record_run = lambda request, started_s: starts.append(started_s)
        request = ForwardedRequest("r1", HOST, Request("POST", path))
        route = RouteTable(build_configuration()).find(HOST, path)
        try:
            async with asyncio.timeout(leave_s):
                await forwarder.forward(request, route, timeout_s)
        except (ShelfError, TimeoutError):
            return

    run(scenario())
    return starts, [at_s for _, _, _, at_s in targets.sent]


@pytest.mark.parametrize(
    "behaviour",
    [
        {"*": 200},
        {"*": 404},
        {"*": 500},
        {"*": OutcomeUnknown("no response in time")},
        {"*": ConnectionBroken("reset")},
        {"t1": ConnectionBroken("reset"), "*": 200},
        # The second attempt wins, and the first one began before it.
        {"*": 0.5},
    ],
    ids=str,
)
def test_request_that_ran_is_counted_once_from_its_first_attempt(run, behaviour):
    starts, sent = count_forwarded(run, behaviour)
    assert starts == [sent[0]]


def test_attempts_that_were_refused_are_not_counted(run):
    starts, sent = count_forwarded(run, {"*": TargetBusy("full")})
    assert sent
    assert not starts
    behaviour = {"t1": NotRun("refused"), "t2": NotRun("refused"), "t3": 200}
    starts, sent = count_forwarded(run, behaviour)
    assert starts == [sent[-1]]


# The report on its window would be decided before its response.
def test_request_that_runs_for_long_is_counted_before_its_response(run):
    starts, sent = count_forwarded(
        run, {"*": 5.0}, path="/once/x", leave_s=2.6, timeout_s=9.0
    )
    assert starts == sent


# A target goes on with the request of a caller that has left.
def test_request_whose_caller_leaves_is_counted_if_it_began(run):
    starts, sent = count_forwarded(run, {"*": 1.0}, path="/once/x", leave_s=0.06)
    assert starts == sent
    starts, _ = count_forwarded(run, {"*": 1.0}, path="/once/x", leave_s=0.01)
    assert not starts


def count_streamed(run, failures, *, resumable, headers=None):
    """Stream a request to its end and return the counted starts."""
    targets = test_streamer.FakeTargetClient(failures)
    starts = []

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        registry = build_registry(timeline)
        quarantine = build_quarantine(registry, targets)
        streamer = test_streamer.build_streamer(registry, targets, quarantine, timeline)
        streamer.record_run = lambda request, started_s: starts.append(started_s)
        http = Request("POST", "/s/x", headers=headers or {})
        route = test_streamer.build_route(resumable)
        try:
            _, events = await streamer.open(
                ForwardedRequest("r", HOST, http), route, 5.0
            )
            async for _ in events:
                pass
        except ShelfError:
            return

    run(scenario())
    return starts


@pytest.mark.parametrize("failures", [[], [3], [ConnectionBroken("reset"), 1, 4]])
def test_stream_is_counted_once_at_its_first_event(run, failures):
    starts = count_streamed(run, failures, resumable=True)
    assert len(starts) == 1
    assert 0.03 <= starts[0] < 0.05


def test_stream_without_an_event_is_not_counted(run):
    assert not count_streamed(run, [0], resumable=False)
    assert not count_streamed(run, [TargetBusy("full")] * 99, resumable=False)


# The node that began the stream has counted it.
def test_stream_that_a_caller_takes_up_is_not_counted_again(run):
    headers = {"last-event-id": "2"}
    assert not count_streamed(run, [], resumable=True, headers=headers)
    assert count_streamed(run, [], resumable=False, headers=headers)
