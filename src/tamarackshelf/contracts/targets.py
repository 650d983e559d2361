"""Port of the targets that serve routes and jobs."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Protocol

from tamarackshelf.net import ClientResponse, Request
from tamarackshelf.world import Target
from tamarackshelf.world.job import JobItem, ScoreCall


class NotRun(Exception):
    """The target did not run the request; it may be sent again anywhere."""


class TargetBusy(NotRun):
    """The target has no room now, or carries out an order."""


class TargetChanged(NotRun):
    """Another target, or none, answers at the address."""


class OutcomeUnknown(Exception):
    """Bytes left and no whole answer came; the target may have run it."""


class ItemFailed(Exception):
    """The target ran the item and reported a failure."""


class ItemRejected(Exception):
    """The item can never be done."""


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reported with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A listed target; `versions` holds the weight version of each model."""

    target: Target
    is_leaving: bool = False
    versions: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself, as of a moment ago."""

    versions: dict[str, int]
    is_loading: bool
    orders_accepted: int


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A whole answer; `is_signed` tells whether the target vouches for it."""

    answer: ClientResponse
    is_signed: bool
    load: TargetLoad | None = None


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request for a service, passed on unchanged."""

    request_id: str
    host: str
    http: Request


@dataclass(frozen=True, slots=True)
class StreamHead:
    """The head of a streamed answer."""

    status: int
    headers: dict[str, str]
    is_signed: bool


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event as the target sent it, or the body of a failure."""

    event_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ItemEvent:
    """A piece of text and the weight version that made it."""

    event_id: int
    data: str
    version: int
    load: TargetLoad | None = None


@dataclass(frozen=True, slots=True)
class ItemRun:
    """One run of an item; it goes on after `after_event_id`."""

    item: JobItem
    host: str
    after_event_id: int
    first_event_timeout_s: float
    next_event_timeout_s: float


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Asks a target to be at a version; obeyed only at `orders_accepted`."""

    model: str
    version: int
    holder: str
    fencing_number: int
    orders_accepted: int


class OrderRefused(Exception):
    """The target did not take the order; `is_fenced` names a higher number."""

    def __init__(self, reason: str, *, is_fenced: bool = False) -> None:
        super().__init__(reason)
        self.is_fenced = is_fenced


class TargetClient(Protocol):
    """Calls to targets in their own protocol."""

    def is_connected(self, target: Target) -> bool:
        """Tells whether an idle connection to the target is there."""

    async def forward(
        self,
        target: Target,
        request: ForwardedRequest,
        timeout_s: float,
        *,
        at_most_once: bool,
    ) -> TargetAnswer:
        """Returns the whole answer; raises NotRun or OutcomeUnknown."""

    def stream(
        self,
        target: Target,
        request: ForwardedRequest,
        timeout_s: float,
        *,
        after_event_id: int | None,
        at_most_once: bool,
    ) -> AsyncGenerator[StreamHead | StreamEvent, None]:
        """Yields the head and then whole events; ends normally only at the end.

        Raises NotRun before the head, OutcomeUnknown at any point.
        """

    def run_item(self, target: Target, run: ItemRun) -> AsyncGenerator[ItemEvent, None]:
        """Yields the text; ends normally only when the text is whole.

        Raises NotRun, OutcomeUnknown, ItemFailed or ItemRejected.
        """

    async def score(self, target: Target, call: ScoreCall, timeout_s: float) -> str:
        """Returns the score; raises NotRun, OutcomeUnknown or ItemFailed."""

    async def order_version(
        self, target: Target, order: VersionOrder, timeout_s: float
    ) -> bool:
        """Returns whether the target carries the order out; False when it holds.

        Raises OrderRefused, NotRun or OutcomeUnknown.
        """

    async def read_report(self, target: Target, timeout_s: float) -> EngineReport:
        """Returns what an engine says of itself; raises NotRun or OutcomeUnknown."""


__all__ = [
    "EngineReport",
    "ItemEvent",
    "ItemFailed",
    "ItemRejected",
    "ItemRun",
    "NotRun",
    "OrderRefused",
    "OutcomeUnknown",
    "ForwardedRequest",
    "StreamHead",
    "StreamEvent",
    "TargetAnswer",
    "TargetClient",
    "TargetChanged",
    "TargetBusy",
    "TargetLoad",
    "TargetRecord",
    "VersionOrder",
]
