"""Seeds that once broke a promise, each with its cause."""

from __future__ import annotations

REGRESSIONS = {
    4: "a hang-up while a node's libraries loaded ended its process",
}

__all__ = ["REGRESSIONS"]
