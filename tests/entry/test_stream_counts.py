"""A target's complete error answer on a streaming route is not a run."""

from __future__ import annotations

import pytest

from tamarackshelf.contracts.targets import ForwardedRequest, StreamEvent, StreamHead
from tamarackshelf.errors import ShelfError
from tamarackshelf.net import Request
from tamarackshelf.observe import Timeline
from tests.entry import test_streamer
from tests.entry.test_run_counts import build_quarantine, build_registry
from tests.support.node import HOST


class ErrorTargetClient(test_streamer.FakeTargetClient):
    def __init__(self, status):
        super().__init__([])
        self.status = status

    async def stream(self, target, request, timeout_s, *, after_event_id, at_most_once):
        yield StreamHead(self.status, {"stamp": target.name}, True)
        yield StreamEvent(-1, b"error text")


# An error answer has no first token, so the usage report would be too high.
@pytest.mark.parametrize("status", [400, 500])
@pytest.mark.parametrize("resumable", [True, False])
def test_error_answer_of_a_target_is_not_counted(run, status, resumable):
    targets = ErrorTargetClient(status)
    starts = []

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        registry = build_registry(timeline)
        quarantine = build_quarantine(registry, targets)
        streamer = test_streamer.build_streamer(registry, targets, quarantine, timeline)
        streamer.record_run = lambda request, started_s: starts.append(started_s)
        request = ForwardedRequest("r", HOST, Request("POST", "/s/x"))
        try:
            head, events = await streamer.open(
                request, test_streamer.build_route(resumable), 5.0
            )
            async for _ in events:
                pass
        except ShelfError:
            return

    run(scenario())
    assert starts == []
