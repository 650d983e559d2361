"""What a node learns about the queues of engines from the first events of its runs.

A node knows only its own runs, and load reports are old when many nodes place at once.
The time until a run's first event shows the queue directly: a free engine sends it
after one prefill and one event.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

# A free engine has sent the first event by then, also when it reads several prompts.
PROMPT_START_S = 0.2
# The same for a slow engine, in its usual times of an event.
PROMPT_START_EVENTS = 4.0
# Times until the next run is sent to an engine that refused one, by consecutive
# refusals. Its queue is full then and lasts for two seconds or more.
REFUSAL_BACKOFFS_S = (0.3, 0.6, 1.0)
# Backoffs vary by this factor in both directions, so that refused nodes do not return
# together.
BACKOFF_SPREAD = 0.5
# Engines count as contended for this long after one refused a run. A mere queue does
# not show contention: callers' requests cause short ones.
CONTENTION_MEMORY_S = 2.0
# Number of runs without an event that a node keeps at an engine while it is contended:
# one that begins next and one that follows it.
MAX_UNSTARTED = 2
# How long an observed start tells whether the engine has a queue. Texts take about this
# long, after which other nodes' runs have taken or left the slots.
OBSERVATION_TTL_S = 1.0


@dataclass(frozen=True, slots=True)
class Start:
    """When a run of this node got its first event, and whether it came at once."""

    at_s: float
    is_prompt: bool


class EngineQueues:
    """The last observed start at each engine."""

    def __init__(self) -> None:
        self._starts: dict[str, Start] = {}
        # By engine the number of consecutive refusals and the end of the backoff.
        self._refusals: dict[str, tuple[int, float]] = {}
        self._contended_at_s = float("-inf")

    def record_start(
        self, engine: str, waited_s: float, event_s: float, now_s: float
    ) -> None:
        """Record that a run got its first event `waited_s` after it was sent."""
        self._refusals.pop(engine, None)
        self._starts = {
            name: start
            for name, start in self._starts.items()
            if now_s - start.at_s <= OBSERVATION_TTL_S
        }
        self._starts[engine] = Start(now_s, not is_queued(waited_s, event_s))

    def record_refusal(self, engine: str, rng: Random, now_s: float) -> None:
        """Record that a full engine refused a run, so that it gets none for a while."""
        self._contended_at_s = now_s
        self._refusals = {
            name: refusal
            for name, refusal in self._refusals.items()
            if now_s - refusal[1] < CONTENTION_MEMORY_S
        }
        count, until_s = self._refusals.get(engine, (0, now_s))
        if count and now_s < until_s:
            # The run was sent before an earlier one was refused.
            return
        backoff_s = REFUSAL_BACKOFFS_S[min(count, len(REFUSAL_BACKOFFS_S) - 1)]
        backoff_s *= rng.uniform(1.0 - BACKOFF_SPREAD, 1.0 + BACKOFF_SPREAD)
        self._refusals[engine] = (count + 1, now_s + backoff_s)

    def may_send(self, engine: str, unstarted: int, now_s: float) -> bool:
        """Return whether an engine may get a run beside `unstarted` ones."""
        _, until_s = self._refusals.get(engine, (0, now_s))
        if now_s < until_s:
            return False
        return not self.is_contended(now_s) or unstarted < MAX_UNSTARTED

    def is_contended(self, now_s: float) -> bool:
        """Return whether an engine has refused a run of this node lately."""
        return now_s - self._contended_at_s < CONTENTION_MEMORY_S

    def has_started_promptly(self, engine: str, now_s: float) -> bool:
        """Return whether the last run of this node that began there did not queue."""
        start = self._starts.get(engine)
        if start is None or now_s - start.at_s > OBSERVATION_TTL_S:
            return False
        return start.is_prompt


def is_queued(waited_s: float, event_s: float) -> bool:
    """Return whether a run without an event for this long waits in a queue.

    `event_s` is the engine's usual time of an event.
    """
    return waited_s > max(PROMPT_START_S, PROMPT_START_EVENTS * event_s)


__all__ = ["EngineQueues", "is_queued"]
