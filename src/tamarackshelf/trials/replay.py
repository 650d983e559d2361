"""Replay of recorded decisions with the current policy code."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from tamarackshelf.observe.decision_trace import TraceLine
from tamarackshelf.policy.cursor import Cursor
from tamarackshelf.policy.delivery import plan_delivery
from tamarackshelf.policy.quarantine import Crash, CrashHistory
from tamarackshelf.policy.routing import Candidate, TargetRequirements, route
from tamarackshelf.policy.staleness import Freshness
from tamarackshelf.policy.weight_update import EngineView, OrderBackoff, plan_wave
from tamarackshelf.world import OrganisationParameters, Sample


@dataclass(frozen=True, slots=True)
class RouteInput:
    """Input of the choice of a target."""

    candidates: tuple[Candidate, ...]
    need: TargetRequirements
    seed: int


@dataclass(frozen=True, slots=True)
class HandOverInput:
    """Input of the choice of samples for a pull; the samples' tokens are omitted."""

    samples: tuple[Sample, ...]
    received: str
    parameters: OrganisationParameters
    freshness: Freshness
    max_samples: int


@dataclass(frozen=True, slots=True)
class WaveInput:
    """Input of the plan for a wave of a weight update."""

    engines: tuple[EngineView, ...]
    newest_version: int
    wave_share: float
    memory: OrderBackoff


@dataclass(frozen=True, slots=True)
class Mismatch:
    """A decision whose replayed outcome differs from the recorded one."""

    line: int
    kind: str
    expected: str
    got: str


class Replay:
    """Replay of one process's decisions, with the state that they depend on."""

    def __init__(self) -> None:
        self._crash_history = CrashHistory()
        self._decisions: dict[str, Callable[[float, bytes], object]] = {
            "route": self._route,
            "hand_over": self._hand_over,
            "wave": self._plan_wave,
            "note_crash": self._note_crash,
            "judge": self._classify,
        }

    def decide(self, line: TraceLine) -> Any:
        """Repeat a recorded decision and return its outcome as plain data."""
        decision = self._decisions[line.kind](line.at_s, bytes(line.given))
        return msgspec.to_builtins(decision)

    def _route(self, at_s: float, data: bytes) -> object:
        del at_s
        given = msgspec.json.decode(data, type=RouteInput)
        choice = route(given.candidates, given.need, Random(given.seed))
        return choice.target.name if choice.target else None

    def _hand_over(self, at_s: float, data: bytes) -> object:
        del at_s
        given = msgspec.json.decode(data, type=HandOverInput)
        samples = {sample.slot: sample for sample in given.samples}
        cursor = Cursor("", int(given.received, 16))
        chosen = plan_delivery(
            samples, cursor, given.parameters, given.freshness, given.max_samples
        )
        return [[s.slot for s in chosen.fresh], [s.slot for s in chosen.stale]]

    def _plan_wave(self, at_s: float, data: bytes) -> object:
        given = msgspec.json.decode(data, type=WaveInput)
        return plan_wave(
            list(given.engines),
            given.newest_version,
            given.wave_share,
            given.memory,
            at_s,
        )

    def _note_crash(self, at_s: float, data: bytes) -> object:
        return self._crash_history.record_crash(
            msgspec.json.decode(data, type=Crash), at_s
        )

    def _classify(self, at_s: float, data: bytes) -> object:
        fingerprint = msgspec.json.decode(data, type=str)
        return self._crash_history.classify(fingerprint, at_s).value


def replay_trace(lines: list[TraceLine]) -> list[Mismatch]:
    """Return the decisions whose outcomes differ from the trace."""
    replays: dict[str, Replay] = {}
    mismatches = []
    for number, line in enumerate(lines, start=1):
        replay = replays.setdefault(line.process, Replay())
        got = msgspec.json.encode(replay.decide(line))
        if got != bytes(line.outcome):
            expected = bytes(line.outcome).decode()
            mismatches.append(Mismatch(number, line.kind, expected, got.decode()))
    return mismatches


__all__ = [
    "HandOverInput",
    "Mismatch",
    "Replay",
    "RouteInput",
    "WaveInput",
    "replay_trace",
]
