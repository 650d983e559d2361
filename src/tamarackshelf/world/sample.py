"""Slots of a step and the samples that fill them."""

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
    """One trainer's step; slot `i` belongs to prompt `i // group_size`."""

    name: str
    campaign: str
    prompts: tuple[str, ...]
    group_size: int
    weight_version: int
    max_tokens: int = 256

    @property
    def slot_count(self) -> int:
        """Returns how many samples the step asks for."""
        return len(self.prompts) * self.group_size


@dataclass(frozen=True, slots=True)
class Sample:
    """One scored answer that fills a slot of a step.

    A slot whose request is quarantined holds no tokens; `failure` tells why.
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
        """Returns the lowest weight version among the segments."""
        return min((segment.version for segment in self.segments), default=None)


__all__ = ["Sample", "Segment", "Step"]
