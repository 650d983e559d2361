"""Queues of engines, as the first events of a node's own runs show them."""

from __future__ import annotations

from tamarackshelf.policy.engine_queue import EngineQueues, is_queued

EVENT_S = 0.036


def test_run_on_a_slow_engine_is_not_taken_for_a_queued_one():
    assert is_queued(0.25, EVENT_S)
    assert not is_queued(0.25, 4 * EVENT_S)


def test_only_a_recent_prompt_start_shows_a_free_engine():
    """Other nodes fill an engine that was free a second ago."""
    queues = EngineQueues()
    assert not queues.has_started_promptly("e1", 10.0)
    queues.record_start("e1", 0.05, EVENT_S, 10.0)
    assert queues.has_started_promptly("e1", 10.5)
    assert not queues.has_started_promptly("e1", 11.5)
    queues.record_start("e1", 0.05, EVENT_S, 12.0)
    queues.record_start("e1", 0.6, EVENT_S, 12.1)
    assert not queues.has_started_promptly("e1", 12.2)
