"""Seeds that once broke a promise, each with its cause."""

from __future__ import annotations

REGRESSIONS = {
    4: "a hang-up while a node's libraries loaded ended its process",
    13: "the same, on a node that started again after two kills",
    11: "the lease of the weight orders was taken and its answer lost: no orders",
    27: "no fault: a request crossed the close of a stopping node, no worker saw it",
}

__all__ = ["REGRESSIONS"]
