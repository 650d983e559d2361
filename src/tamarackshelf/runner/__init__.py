"""Runner: a campaign's samples, from dispatch to hand-over."""

from __future__ import annotations

from tamarackshelf.runner.program import Runner, RunnerSettings

__all__ = ["Runner", "RunnerSettings"]
