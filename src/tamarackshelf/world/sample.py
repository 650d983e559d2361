"""Steps, whose slots are filled with samples."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Segment:
    """A range of tokens [start, end) that one weight version produced."""

    start: int
    end: int
    version: int


@dataclass(frozen=True, slots=True)
class Step:
    """A training step of one trainer; slot `i` belongs to prompt `i // group_size`."""

    name: str
    campaign: str
    prompts: tuple[str, ...]
    group_size: int
    weight_version: int
    max_tokens: int = 256

    @property
    def slot_count(self) -> int:
        """Number of samples in the step."""
        return len(self.prompts) * self.group_size


@dataclass(frozen=True, slots=True)
class Sample:
    """A scored completion that fills a slot of a step.

    `failure` is set only in rows of earlier releases, which gave up some slots; such a
    sample has no tokens.
    """

    step: str
    slot: int
    generation: int
    prompt: str
    seed: int
    tokens: tuple[str, ...]
    segments: tuple[Segment, ...]
    score: float
    produced_at_s: float
    failure: str = ""

    @property
    def oldest_version(self) -> int | None:
        """Lowest weight version among the segments, or None without segments."""
        return min((segment.version for segment in self.segments), default=None)


__all__ = ["Sample", "Segment", "Step"]
