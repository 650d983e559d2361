"""Division of a process's descriptors among the servers and calls that need them."""

from __future__ import annotations

from dataclasses import dataclass

# The platform reserves this many of the descriptors that it names for files.
FILE_DESCRIPTORS = 200
# What an idle connection costs the process: 10.7 KB were measured.
CONNECTION_BYTES = 11 * 1024
# Share of the process's memory for idle connections of callers.
CONNECTIONS_MEMORY_SHARE = 0.1
# At least this many connections each for readiness checks and for metrics.
MIN_CHECK_CONNECTIONS = 4


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """How many connections may be open at a time, by who opened them."""

    callers: int
    peers: int
    readiness: int
    metrics: int


def share_descriptors(
    descriptors: int, memory_bytes: int | None = None, callers: int | None = None
) -> ConnectionBounds:
    """Divide descriptors; `callers` lowers the bound of callers' connections.

    Half is for connections of callers, also to the directory, an eighth for those of
    peers and a sixteenth for readiness checks and metrics. The rest is a reserve for
    calls to targets, peers and the store, and for connections that were accepted or
    closed a moment ago.
    """
    usable = max(descriptors - FILE_DESCRIPTORS, descriptors // 2)
    bound = usable // 2
    if memory_bytes is not None:
        fitting = int(memory_bytes * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES)
        bound = min(bound, fitting)
    checks = max(MIN_CHECK_CONNECTIONS, usable // 32)
    return ConnectionBounds(
        callers=max(1, min(bound, callers or bound)),
        peers=max(MIN_CHECK_CONNECTIONS, usable // 8),
        readiness=checks,
        metrics=checks,
    )


__all__ = ["ConnectionBounds", "share_descriptors"]
