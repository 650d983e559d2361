"""History of one soak run: what callers and workers sent and received."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

NEVER_S = float("inf")
# What a disruption of all nodes at once affects.
ALL_NODES = "all nodes"
# The kind of disruption that cuts a node off from all workers.
CUT_KIND = "node:cut_from_workers"


@dataclass(slots=True)
class Run:
    """A request at a worker; it waits for a slot from `received_s` to `started_s`.

    `ended_s` is NEVER_S while the request runs.
    """

    worker: str
    request_id: str
    path: str
    body: bytes
    received_s: float
    started_s: float
    ended_s: float = NEVER_S
    is_complete: bool = False
    is_answered_500: bool = False
    has_crashed_worker: bool = False


@dataclass(frozen=True, slots=True)
class Order:
    """A worker's acceptance of an order to load a model version.

    `worker` names the worker and its start, `holder` the node with the order lease.
    """

    worker: str
    holder: str
    fencing_number: int
    at_s: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of any kind that reached a worker.

    `worker` names the worker and its start; `limit_per_s` is the limit that the worker
    names at this time, or None.
    """

    worker: str
    at_s: float
    path: str
    limit_per_s: float | None


@dataclass(frozen=True, slots=True)
class PlainCall:
    """One request of a plain client; status 0 means that no response came.

    `is_connection_lost` means that the connection was lost before the timeout, after
    the request may have been sent.
    """

    request_id: str
    node: str
    path: str
    body: bytes
    is_idempotent: bool
    sent_s: float
    ended_s: float
    status: int
    answer: bytes = b""
    stamp: str = ""
    is_connection_lost: bool = False


@dataclass(frozen=True, slots=True)
class ObservedStream:
    """A streamed response; `is_ended` means that the client received its end."""

    request_id: str
    node: str
    status: int
    text: bytes
    is_ended: bool


@dataclass(frozen=True, slots=True)
class ObservedResult:
    """The result of an item as a caller read it."""

    item_id: str
    state: str
    text: str
    versions: tuple[int, ...]
    score: str


@dataclass(frozen=True, slots=True)
class JobRead:
    """One read of a job's results; the first result has the position `after`."""

    node: str
    at_s: float
    status: int
    after: int = 0
    total: int = 0
    results: tuple[ObservedResult, ...] = ()


@dataclass(slots=True)
class ObservedJob:
    """A job with the statuses of its submissions and all reads by callers.

    `items` holds the body of each item by its id, and `bodies` the item id, the status
    and the body of each read of an item's body.
    """

    job_id: str
    items: dict[str, bytes]
    min_version: int
    statuses: list[int] = field(default_factory=list)
    reads: list[JobRead] = field(default_factory=list)
    bodies: list[tuple[str, int, bytes]] = field(default_factory=list)
    accepted_s: float = NEVER_S
    end_sent_s: float = NEVER_S
    ended_s: float = NEVER_S
    is_fully_read: bool = False


@dataclass(frozen=True, slots=True)
class Disruption:
    """A fault or planned operation that took place.

    `affected` names a node or worker, the store or all nodes.
    """

    kind: str
    affected: str
    from_s: float
    until_s: float


@dataclass(slots=True)
class History:
    """Everything that was observed in a run, all that the checkers read.

    Times are those of the event loop. `scores` holds the body of each score call by its
    id, `leaving_since_s` the time at which the row of each leaving worker said so, and
    `said_leaving_s` since when the responses of a worker alone say so.
    """

    runs: list[Run] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    calls: list[PlainCall] = field(default_factory=list)
    streams: list[ObservedStream] = field(default_factory=list)
    jobs: dict[str, ObservedJob] = field(default_factory=dict)
    scores: dict[str, bytes] = field(default_factory=dict)
    disruptions: list[Disruption] = field(default_factory=list)
    leaving_since_s: dict[str, float] = field(default_factory=dict)
    said_leaving_s: dict[str, float] = field(default_factory=dict)
    faults_ended_s: float = NEVER_S
    unexpected_exits: list[str] = field(default_factory=list)
    unready_nodes: list[str] = field(default_factory=list)

    def is_undisturbed(self, from_s: float, until_s: float, window_s: float) -> bool:
        """Return whether no disruption overlaps the span or `window_s` before it."""
        return not any(
            d.from_s <= until_s and d.until_s >= from_s - window_s
            for d in self.disruptions
        )


def now_s() -> float:
    """Return the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


__all__ = [
    "ALL_NODES",
    "CUT_KIND",
    "NEVER_S",
    "Arrival",
    "Disruption",
    "History",
    "JobRead",
    "ObservedJob",
    "ObservedResult",
    "ObservedStream",
    "Order",
    "PlainCall",
    "Run",
    "now_s",
]
