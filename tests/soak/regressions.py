"""Seeds whose runs once reported a violation, each with the cause."""

from __future__ import annotations

REGRESSIONS = {
    4: "a SIGHUP during the imports of a node ended its process",
    13: "as seed 4, on a node that started again after two kills",
    11: "the answer to the write that took the order lease was lost: no orders",
    27: "no fault: a request met the close of a stopping node and reached no worker",
}

__all__ = ["REGRESSIONS"]
