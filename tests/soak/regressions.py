"""Seeds that once broke a promise, each with its cause."""

from __future__ import annotations

REGRESSIONS: dict[int, str] = {}

__all__ = ["REGRESSIONS"]
