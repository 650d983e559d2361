"""What a node learns about the queues of engines from the first events of its runs.

A node knows only its own runs, and load reports are old when many nodes place at once.
The time until a run's first event shows the queue directly: a free engine sends it
after one prefill and one event.
"""

from __future__ import annotations

from dataclasses import dataclass

# A free engine has sent the first event by then, also when it reads several prompts.
PROMPT_START_S = 0.2
# The same for a slow engine, in its usual times of an event.
PROMPT_START_EVENTS = 4.0
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

    def record_start(
        self, engine: str, waited_s: float, event_s: float, now_s: float
    ) -> None:
        """Record that a run got its first event `waited_s` after it was sent."""
        self._starts = {
            name: start
            for name, start in self._starts.items()
            if now_s - start.at_s <= OBSERVATION_TTL_S
        }
        self._starts[engine] = Start(now_s, not is_queued(waited_s, event_s))

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
