"""Streams that end early, are resumed, or may run at most once."""

from __future__ import annotations

import asyncio
import random

import pytest

from tamarackshelf.contracts.targets import (
    ConnectionBroken,
    ForwardedRequest,
    NotRun,
    OutcomeUnknown,
    Resumption,
    StreamEvent,
    StreamHead,
    TargetBusy,
    TargetChanged,
)
from tamarackshelf.entry.streamer import Streamer
from tamarackshelf.errors import AnswerLost, NoTarget, Quarantined, QuarantinedNotRun
from tamarackshelf.net import ConnectionLost, Request
from tamarackshelf.node.stream_origins import StreamOrigins
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.world import Address
from tamarackshelf.world.route import Route, RouteKind, ServiceShare
from tests.support.node import HOST, FakeFleet, build_quarantine, build_target

EVENT_COUNT = 6


class FakeTargetClient:
    """Streams events; `failures` holds what happens to one call after another.

    A number breaks the stream off at that event, an exception is raised before the
    head, and None lets the stream complete. A target that closed its connection
    refuses new ones.
    """

    def __init__(self, failures, has_crashed=False):
        self.failures = list(failures)
        self.has_crashed = has_crashed
        # Targets that are not the ones that the list describes.
        self.restarted = set()
        self.calls = []

    async def has_ended(self, target):
        return self.has_crashed

    async def read_report(self, target, timeout_s):
        if target.name in self.restarted:
            raise TargetChanged(f"{target.name} has restarted")

    async def stream(self, target, request, timeout_s, *, after_event_id, at_most_once):
        self.calls.append((target.name, after_event_id, at_most_once))
        failure = self.failures.pop(0) if self.failures else None
        if isinstance(failure, Exception):
            raise failure
        yield StreamHead(200, {"stamp": target.name}, True)
        first = 0 if after_event_id is None else after_event_id + 1
        for number in range(first, EVENT_COUNT):
            await asyncio.sleep(0.03)
            if failure is not None and number >= failure:
                raise ConnectionBroken("reset")
            yield StreamEvent(number, f"{number};".encode())


def build_streamer(registry, targets, quarantine, timeline, origins=None):
    origins = origins or StreamOrigins(registry, None, timeline, Metrics(), lambda: 1e9)
    return Streamer(registry, targets, quarantine, origins, "dc", timeline, Metrics())


def build_route(resumable):
    return Route(
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


def open_stream(run, failures, *, resumable):
    """Open a stream; return its head, the received bytes, its end and the calls.

    The end is "complete" or the error, and the head is None after an error.
    """
    targets = FakeTargetClient(failures)
    route = build_route(resumable)

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        for name in ("t1", "t2", "t3"):
            registry.put(build_target(name, "app"))
        streamer = build_streamer(
            registry, targets, build_quarantine(registry, targets), timeline
        )
        request = ForwardedRequest("r", HOST, Request("POST", "/s/x"))
        received, end = b"", "complete"
        try:
            head, events = await streamer.open(request, route, 5.0)
            async for event in events:
                received += event
        except (AnswerLost, NoTarget) as error:
            head, end = None, error
        assert all(state.in_flight == 0 for state in registry.list_targets(["app"]))
        return head, received, end

    return *run(scenario()), targets.calls


ALL_EVENTS = b"".join(f"{n};".encode() for n in range(EVENT_COUNT))


@pytest.mark.parametrize("status", [200, 404])
def test_stream_that_is_closed_before_its_first_event_gives_its_place_back(run, status):
    """Targets kept a place of each stream whose caller left just as it was opened."""

    class AnsweringTargets(FakeTargetClient):
        async def stream(self, target, request, timeout_s, **options):
            yield StreamHead(status, {}, True)
            yield StreamEvent(-1, b"text")

    async def scenario():
        targets, timeline = AnsweringTargets([]), Timeline("n", lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        registry.put(build_target("t1", "app"))
        quarantine = build_quarantine(registry, targets)
        streamer = build_streamer(registry, targets, quarantine, timeline)
        request = ForwardedRequest("r", HOST, Request("POST", "/s/x"))
        _, events = await streamer.open(request, build_route(False), 5.0)
        assert registry.get("t1").in_flight == 1
        await events.aclose()
        assert registry.get("t1").in_flight == 0

    run(scenario())


@pytest.mark.parametrize("moment", ["verdict", "pause", "head", "events"])
def test_caller_that_leaves_a_stream_that_goes_on_ends_it(run, moment):
    """A stream that was left while it looked for a target gave one place back twice."""

    class SilentTargets(FakeTargetClient):
        async def has_ended(self, target):
            if moment == "verdict":
                await asyncio.sleep(30)
            return False

        async def stream(self, target, request, timeout_s, **options):
            is_first = not self.calls
            self.calls.append(target.name)
            if not is_first and moment == "head":
                await asyncio.sleep(30)
            if not is_first and moment == "pause":
                raise NotRun("full")
            yield StreamHead(200, {}, True)
            if not is_first:
                await asyncio.sleep(30)
            yield StreamEvent(0, b"0;")
            raise ConnectionBroken("reset")

    async def scenario():
        targets, timeline = SilentTargets([]), Timeline("n", lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        for name in ("t1", "t2", "t3"):
            registry.put(build_target(name, "app"))
        quarantine = build_quarantine(registry, targets)
        streamer = build_streamer(registry, targets, quarantine, timeline)
        request = ForwardedRequest("r", HOST, Request("POST", "/s/x"))
        _, events = await streamer.open(request, build_route(True), 5.0)

        async def read():
            async for _ in events:
                continue

        reading = asyncio.create_task(read())
        await asyncio.sleep(0.4)
        called = len(targets.calls)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        await asyncio.sleep(2.0)
        assert len(targets.calls) == called
        assert {state.in_flight for state in registry.list_targets(["app"])} == {0}
        # Each target that may have crashed under the request is still watched.
        lost = {run.target.name for run in quarantine._unsettled}
        ran = targets.calls[:1] if moment == "pause" else targets.calls
        assert lost == set(ran)

    run(scenario())


def test_stream_is_forwarded_completely(run):
    head, received, end, calls = open_stream(run, [], resumable=False)
    assert (received, end, len(calls)) == (ALL_EVENTS, "complete", 1)
    assert head.is_signed


def test_resumable_stream_continues_at_another_target_after_its_last_event(run):
    _, received, end, calls = open_stream(run, [3], resumable=True)
    assert (received, end) == (ALL_EVENTS, "complete")
    assert calls[1][1] == 2
    assert calls[0][0] != calls[1][0]


def test_non_resumable_stream_ends_with_an_error(run):
    _, received, end, calls = open_stream(run, [3], resumable=False)
    assert isinstance(end, AnswerLost)
    assert received == b"0;1;2;"
    assert len(calls) == 1
    assert calls[0][2]


def test_refused_stream_goes_to_another_target(run):
    _, received, end, _ = open_stream(
        run, [NotRun("full"), NotRun("full")], resumable=False
    )
    assert (received, end) == (ALL_EVENTS, "complete")


def test_stream_that_no_target_accepts_is_reported_as_not_run(run):
    _, _, end, _ = open_stream(run, [NotRun("full")] * 3, resumable=False)
    assert isinstance(end, NoTarget)


@pytest.mark.parametrize("resumable", [False, True])
def test_lost_head_is_requested_again_only_if_the_route_is_resumable(run, resumable):
    _, received, end, calls = open_stream(
        run, [OutcomeUnknown("reset")], resumable=resumable
    )
    assert len(calls) == (2 if resumable else 1)
    assert (received == ALL_EVENTS) is resumable


# Streams that ended their targets were opened at more of them without end.
@pytest.mark.parametrize("failure", [0, ConnectionBroken("reset")])
def test_stream_that_crashes_its_targets_is_quarantined(run, failure):
    targets = FakeTargetClient([failure] * 30, has_crashed=True)
    route = build_route(resumable=True)

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        quarantine = build_quarantine(
            registry, targets, wall_s=asyncio.get_running_loop().time
        )
        streamer = build_streamer(registry, targets, quarantine, timeline)
        request = ForwardedRequest("r", HOST, Request("POST", "/s/x"))
        errors = []
        for number in range(10):
            for name in ("t1", "t2", "t3"):
                registry.put(build_target(name, "app", incarnation=number))
            try:
                _, events = await streamer.open(request, route, 5.0)
                async for _ in events:
                    pass
            except (AnswerLost, NoTarget, Quarantined) as error:
                errors.append(error)
            await asyncio.sleep(5.0)
        return errors

    errors = run(scenario())
    assert len(targets.calls) <= 5
    assert isinstance(errors[-1], QuarantinedNotRun)


def open_versioned_stream(
    run, failures, software, restarted=(), resumes=None, unlisted_after_s=None
):
    """Open a stream at targets with the given software; return its bytes, end, calls.

    The second of the calls' entries is the event after which the target goes on. With
    `resumes`, the caller resumes that attempt; "known" was begun by software b. The
    target of the first call is unlisted `unlisted_after_s` later.
    """
    targets = FakeTargetClient(failures)
    targets.restarted = set(restarted)

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        for name, version in software.items():
            record = build_target(name, "app", versions={"m": 1}, software=version)
            registry.put(record)
        quarantine = build_quarantine(registry, targets)
        origins = StreamOrigins(registry, None, timeline, Metrics(), lambda: 1e9)
        await origins.record("known", "app", "b")
        streamer = build_streamer(registry, targets, quarantine, timeline, origins)
        resumption = None if resumes is None else Resumption(resumes)
        request = ForwardedRequest(
            "r", HOST, Request("POST", "/s/x"), resumption=resumption
        )
        received, end = b"", "complete"
        try:
            _, events = await streamer.open(request, build_route(True), 5.0)
            if unlisted_after_s is not None:
                loop = asyncio.get_running_loop()
                first = targets.calls[0][0]
                loop.call_later(unlisted_after_s, registry.remove, first)
            async for event in events:
                received += event
        except (AnswerLost, NoTarget) as error:
            end = error
        assert all(state.in_flight == 0 for state in registry.list_targets(["app"]))
        return received, end

    return *run(scenario()), targets.calls


# A broken stream was continued by a target with other software.
@pytest.mark.parametrize("broken_at", [0, 3])
def test_stream_goes_on_at_the_software_that_began_it(run, broken_at):
    software = {"t1": "a", "t2": "b", "t3": "a", "t4": "b"}
    received, end, calls = open_versioned_stream(run, [broken_at], software)
    assert (received, end) == (ALL_EVENTS, "complete")
    assert len({software[name] for name, *_ in calls}) == 1


def test_stream_ends_at_once_if_no_target_with_its_software_is_left(run):
    received, end, calls = open_versioned_stream(
        run, [3], {"t1": "a", "t2": "b"}, unlisted_after_s=0.05
    )
    assert isinstance(end, AnswerLost)
    assert (received, len(calls)) == (b"0;1;2;", 1)


def test_stream_does_not_go_on_at_a_target_that_restarted_unnoticed(run):
    software = {"t1": "a", "t2": "a"}
    received, end, calls = open_versioned_stream(run, [3], software, software)
    assert isinstance(end, AnswerLost)
    assert received == b"0;1;2;"
    # The second call runs the target, but none of its events may be used.
    assert calls[1][1] == 2


def test_stream_waits_shortly_for_the_only_target_of_its_software(run):
    """Its connection is reset, and the target refuses new work for a moment."""
    software = {"t1": "a", "t2": "b"}
    received, end, calls = open_versioned_stream(run, [3, TargetBusy("full")], software)
    assert (received, end) == (ALL_EVENTS, "complete")
    assert len({name for name, *_ in calls}) == 1


# A caller's own resumption was sent to a target with any software.
def test_caller_resumes_a_stream_at_the_software_that_began_it(run):
    software = {"t1": "a", "t2": "a", "t3": "b", "t4": "b"}
    _, end, calls = open_versioned_stream(run, [0], software, resumes="known")
    assert end == "complete"
    assert {software[name] for name, *_ in calls} == {"b"}


@pytest.mark.parametrize(
    ("resumes", "software"),
    [("unknown", "ab"), ("", "ab"), ("known", "aa")],
    ids=["unknown attempt", "no attempt named", "no target of its software"],
)
def test_resumption_that_cannot_go_on_is_refused_at_once(run, resumes, software):
    listed = {f"t{n}": version for n, version in enumerate(software, 1)}
    _, end, calls = open_versioned_stream(run, [], listed, resumes=resumes)
    assert isinstance(end, NoTarget)
    assert calls == []


# The serving node was cut off from all others, which took the old version for the
# stream's when its caller resumed it there.
def test_stream_that_no_other_node_can_be_told_of_ends_before_its_first_event(run):
    targets = FakeTargetClient([])

    class NoPeers:
        async def request(self, address, method, path, *, body, timeout_s):
            raise ConnectionLost("no peer answers")

    async def scenario():
        now_s = asyncio.get_running_loop().time
        timeline = Timeline("n", lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        registry.put(build_target("t1", "app", software="a"))
        origins = StreamOrigins(registry, NoPeers(), timeline, Metrics(), now_s)
        records = {
            name: NodeRecord(name, 1, "dc", Address(name, 1), Address(name, 2))
            for name in ("n", "m")
        }
        fleet = FakeFleet("n", records, set())
        await origins.start(fleet, MemoryRowStore().connect())
        await asyncio.sleep(5.0)
        registry.put(build_target("t2", "app", software="b"))
        registry.record_leaving("t1", 1, "its row says so")
        streamer = build_streamer(
            registry, targets, build_quarantine(registry, targets), timeline, origins
        )
        request = ForwardedRequest("r", HOST, Request("POST", "/s/x"))
        with pytest.raises(AnswerLost, match="no other node"):
            await streamer.open(request, build_route(True), 5.0)
        assert registry.get("t2").in_flight == 0
        await origins.close()

    run(scenario())
    assert len(targets.calls) == 1
