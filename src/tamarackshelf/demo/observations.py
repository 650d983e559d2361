"""Observations by the customers and trainers of the demo."""

from __future__ import annotations

from dataclasses import dataclass, field

from tamarackshelf.world import Sample


@dataclass(frozen=True, slots=True)
class ObservedCompletion:
    """A completion as its caller received it; `versions` has one entry per token."""

    model: str
    prompt: str
    seed: int
    max_tokens: int
    tokens: tuple[str, ...]
    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ObservedCall:
    """The result of a call for its caller; `outcome` is an error kind or empty."""

    path: str
    body: str
    outcome: str
    not_run: bool
    answer: str


@dataclass(frozen=True, slots=True)
class ObservedSample:
    """A sample as its trainer received it, and the newest published version then."""

    sample: Sample
    model: str
    max_tokens: int
    newest_version: int


@dataclass(frozen=True, slots=True)
class ObservedStep:
    """A finished step, and whether its trainer received all samples."""

    name: str
    slot_count: int
    is_complete: bool


@dataclass(slots=True)
class Observations:
    """All observations by the clients of one deployment.

    `errors` counts errors by their kind. `trainer_waiting_s` is the time for which
    trainers waited for samples, `training_s` the time for which they trained.
    """

    completions: list[ObservedCompletion] = field(default_factory=list)
    calls: list[ObservedCall] = field(default_factory=list)
    samples: list[ObservedSample] = field(default_factory=list)
    steps: list[ObservedStep] = field(default_factory=list)
    errors: dict[str, int] = field(default_factory=dict)
    lost_connections: int = 0
    latencies_s: list[float] = field(default_factory=list)
    trainer_waiting_s: float = 0.0
    training_s: float = 0.0

    def count_error(self, kind: str) -> None:
        """Increment the number of errors of this kind."""
        self.errors[kind] = self.errors.get(kind, 0) + 1


__all__ = [
    "Observations",
    "ObservedCall",
    "ObservedCompletion",
    "ObservedSample",
    "ObservedStep",
]
