"""The steps that a runner works on and the samples that it knows of."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tamarackshelf.world import Sample, Step


@dataclass(slots=True)
class ActiveStep:
    """One open step; `samples` holds the newest generation of each slot."""

    step: Step
    samples: dict[int, Sample] = field(default_factory=dict)
    running: dict[int, int] = field(default_factory=dict)
    last_cursor: str = ""
    pull_number: int = 0
    is_loaded: bool = False
    next_offer_at_s: float = 0.0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def add_sample(self, sample: Sample) -> bool:
        """Takes a sample unless one of its generation or a later is known."""
        known = self.samples.get(sample.slot)
        if known is not None and known.generation >= sample.generation:
            return False
        self.samples[sample.slot] = sample
        self.notify()
        return True

    def missing_slots(self, group: int) -> list[int]:
        """Returns the group's slots that are neither settled nor running."""
        size = self.step.group_size
        slots = range(group * size, (group + 1) * size)
        return [s for s in slots if s not in self.samples and s not in self.running]

    def notify(self) -> None:
        """Wakes those who wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for a change or the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return


__all__ = ["ActiveStep"]
