"""Queues of engines, as the first events of a node's own runs show them."""

from __future__ import annotations

from random import Random

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


def test_refused_owners_return_spread_and_later_each_time():
    """All owners that a full engine had refused tried it again after 0.12 s."""
    waits = []
    for seed in range(20):
        queues, rng, now_s = EngineQueues(), Random(seed), 0.0
        for _ in range(3):
            queues.record_refusal("e1", rng, now_s)
            queues.record_refusal("e1", rng, now_s)
            begin_s = now_s
            while not queues.may_send("e1", 0, now_s):
                now_s += 0.01
            waits.append(now_s - begin_s)
    first, later = waits[::3], waits[2::3]
    assert max(first) - min(first) > 0.2
    assert min(later) > max(first)
    assert max(later) < 2.0


def test_few_runs_wait_at_each_engine_while_engines_refuse_some():
    """Many owners filled the queues of all engines with six runs each."""
    queues = EngineQueues()
    assert queues.may_send("e1", 5, 0.0)
    queues.record_refusal("e2", Random(1), 0.0)
    assert queues.may_send("e1", 1, 0.1)
    assert not queues.may_send("e1", 2, 0.1)
    assert queues.may_send("e1", 5, 3.0)
