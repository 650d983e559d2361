"""An open step as one runner knows it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tamarackshelf.world import Sample, Step


@dataclass(slots=True)
class ActiveStep:
    """An open step as one runner knows it.

    `samples` holds the newest known sample of each slot, `running` the generation that
    is being produced in this process. `last_cursor` is the newest cursor seen in a
    pull, and `pull_number` counts the pulls, since only the latest one is answered.
    """

    step: Step
    samples: dict[int, Sample] = field(default_factory=dict)
    running: dict[int, int] = field(default_factory=dict)
    last_cursor: str = ""
    pull_number: int = 0
    is_loaded: bool = False
    next_offer_at_s: float = 0.0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def add_sample(self, sample: Sample) -> bool:
        """Store a sample and wake all waiters.

        Return False, without storing it, if its generation or a later one is known.
        """
        known = self.samples.get(sample.slot)
        if known is not None and known.generation >= sample.generation:
            return False
        self.samples[sample.slot] = sample
        self.notify()
        return True

    def list_missing_slots(self, group: int) -> list[int]:
        """Return the group's slots that have no sample and are not running here."""
        size = self.step.group_size
        slots = range(group * size, (group + 1) * size)
        return [s for s in slots if s not in self.samples and s not in self.running]

    def notify(self) -> None:
        """Wake all callers of `wait_for_change`."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return after the next change or after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return


__all__ = ["ActiveStep"]
