"""What callers and trainers of the demo themselves saw."""

from __future__ import annotations

from dataclasses import dataclass, field

from tamarackshelf.world import Sample


@dataclass(frozen=True, slots=True)
class ObservedCompletion:
    """A completion as its caller saw it."""

    model: str
    prompt: str
    seed: int
    max_tokens: int
    tokens: tuple[str, ...]
    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ObservedCall:
    """A keyed call as its caller saw it; `outcome` is an error kind or empty."""

    path: str
    body: str
    outcome: str
    not_run: bool
    answer: str


@dataclass(frozen=True, slots=True)
class ObservedSample:
    """A sample as its trainer took it and the newest version at that time."""

    sample: Sample
    model: str
    max_tokens: int
    newest_version: int


@dataclass(frozen=True, slots=True)
class ObservedStep:
    """A step that its trainer has received whole, or not."""

    name: str
    slot_count: int
    is_whole: bool


@dataclass(slots=True)
class Observations:
    """Everything seen from outside the system in one deployment."""

    completions: list[ObservedCompletion] = field(default_factory=list)
    calls: list[ObservedCall] = field(default_factory=list)
    samples: list[ObservedSample] = field(default_factory=list)
    steps: list[ObservedStep] = field(default_factory=list)
    errors: dict[str, int] = field(default_factory=dict)
    lost_connections: int = 0
    latencies_s: list[float] = field(default_factory=list)
    waiting_s: float = 0.0
    working_s: float = 0.0

    def count_error(self, kind: str) -> None:
        """Counts an error by its kind."""
        self.errors[kind] = self.errors.get(kind, 0) + 1


__all__ = [
    "Observations",
    "ObservedCall",
    "ObservedCompletion",
    "ObservedSample",
    "ObservedStep",
]
