"""Counts of long plain requests, which are counted 2.5 s after their start."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.policy import usage
from tests.support.duties import DutyNodes, sleep_until


@pytest.mark.parametrize("fleet_size", [84, 195, 380])
def test_long_requests_are_in_the_report_of_their_window(run, fleet_size, monkeypatch):
    """With many nodes, counts are sent so seldom that they may miss the decision."""
    interval_s = usage.compute_send_interval_s(fleet_size)
    monkeypatch.setattr(
        "tamarackshelf.duties.usage_counts.compute_send_interval_s",
        lambda nodes: interval_s,
    )

    async def scenario():
        nodes = DutyNodes("abcd")
        await nodes.start()
        loop = asyncio.get_running_loop()
        for number in range(600):
            started_s = 5.0 + number * 0.05
            recorder = nodes.nodes["abcd"[number % 4]].duty.recorder
            loop.call_at(started_s + 2.5, recorder.record_run, "org", started_s)
        await sleep_until(50.0)
        counts = nodes.platform.find_counts()
        await nodes.close()
        found = [counts[window].get("org", 0) for window in range(1, 7)]
        # 100 requests a window, and the platform's tolerance of 5%.
        assert all(95 <= count <= 105 for count in found), found

    run(scenario())
