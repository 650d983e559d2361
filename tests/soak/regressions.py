"""Seeds of soak runs that once reported a violation, each with the cause."""

from __future__ import annotations

REGRESSIONS = {
    4: "a SIGHUP during the imports of a node ended its process",
    13: "the same as seed 4, on a node that was restarted after two kills",
    11: "the answer to the write that acquired the order lease was lost: no orders",
    27: "no fault: a stopping node closed a connection just before a request arrived",
}

__all__ = ["REGRESSIONS"]
