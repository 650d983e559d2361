"""Runner: produces the samples of steps and delivers them to trainers."""

from __future__ import annotations

from tamarackshelf.runner.program import Runner, RunnerSettings

__all__ = ["Runner", "RunnerSettings"]
