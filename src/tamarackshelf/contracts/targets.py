"""Interface to the targets that serve routes and jobs, and its data types."""

from __future__ import annotations

import enum
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Protocol

from tamarackshelf.net import ClientResponse, Request
from tamarackshelf.policy.quarantine import fingerprint_call
from tamarackshelf.world import Target
from tamarackshelf.world.job import JobItem, ScoreCall


class NotRun(Exception):
    """The target did not run the request, so it may be sent to any target again."""


class TargetBusy(NotRun):
    """The target has no free slot, or is carrying out an order."""


class TargetLimited(NotRun):
    """The target's rate limit admits no call now; none was sent.

    It may admit one after `retry_after_s`.
    """

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class TargetChanged(NotRun):
    """The target at this address is gone, was replaced or has restarted."""


class CallKind(enum.StrEnum):
    """What a call to a target is for."""

    REQUEST = "request"
    ITEM = "item"
    SCORE = "score"
    ORDER = "order"
    REPORT = "report"


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The rate limit that a target named in a response.

    `per_s` is in requests per second from all nodes together, or None if the text is
    not a number.
    """

    text: str
    per_s: float | None


class CallGate(Protocol):
    """Admits every call to a target, and learns the limits that responses name."""

    def is_limited(self, target: Target) -> bool:
        """Return whether the target is believed to have a limit."""

    async def admit(self, target: Target, kind: CallKind) -> float:
        """Return the event loop's time when a call may be sent, after a short wait.

        Each admission is for one call. Raise TargetLimited if the target's limit
        admits none.
        """

    def record_response(
        self, target: Target, limit: NamedLimit | None, sent_at_s: float
    ) -> None:
        """Record the limit that a response of the target names, or None without one.

        `sent_at_s` is the time that `admit` returned for the call.
        """


class OutcomeUnknown(Exception):
    """The request was sent but no complete response came; it may have run."""


class ConnectionBroken(OutcomeUnknown):
    """The connection ended before a complete response; the target may have crashed."""


class ItemFailed(Exception):
    """The target ran the item or the score call and reported a failure."""


class ItemRejected(Exception):
    """The target rejected the item as invalid, so no target can ever run it."""


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Numbers of requests that a target reported with a response.

    `slots` is the maximum number of requests that the target runs at a time, and
    `slowdown` how long work takes there now relative to usual. A figure is None if it
    was not reported or not readable.
    """

    running: int | None
    waiting: int | None
    slots: int | None
    slowdown: float | None = None


# Called with a target, the load that its response reports, and whether the call that it
# answers was counted as in flight and has ended.
LoadListener = Callable[[Target, TargetLoad, bool], None]


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A listed target; `versions` maps each model to its weight version.

    The platform may reclaim a preemptible target; `leaves_in_s` is the time that was
    left until then when the target last wrote its row, or None if it did not say so.
    """

    target: Target
    is_leaving: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    is_preemptible: bool = False
    leaves_in_s: float | None = None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reported about itself; it may have changed since.

    `is_loading` is set while the engine carries out an order; `orders_accepted` counts
    the orders since its start.
    """

    versions: dict[str, int]
    is_loading: bool
    orders_accepted: int


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """A complete response to a request.

    `is_signed` tells whether the response carries the signature by which the target
    confirms that the response is its own.
    """

    http: ClientResponse
    is_signed: bool


@dataclass(frozen=True, slots=True)
class Resumption:
    """A caller's wish to take up a stream that an earlier attempt of it began.

    `attempt_id` is the request id of that attempt, or "" if the caller does not name
    it.
    """

    attempt_id: str


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request for a service, which is forwarded unchanged.

    `caller` is the identity that the caller presents, or "" if there is none.
    `resumption` is set if the request takes up a stream. `organisation` is the name of
    the organisation whose key the caller presented, or "".
    """

    request_id: str
    host: str
    http: Request
    caller: str = ""
    resumption: Resumption | None = None
    organisation: str = ""

    def compute_fingerprint(self) -> str:
        """Return what is equal in all attempts of the caller at this request."""
        http = self.http
        path = f"{http.path}?{http.query}" if http.query else http.path
        return fingerprint_call(self.caller, http.method, self.host, path, http.body)


@dataclass(frozen=True, slots=True)
class StreamHead:
    """Status and headers of a streamed response; `is_signed` as in TargetResponse."""

    status: int
    headers: dict[str, str]
    is_signed: bool


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event as the target sent it, or the body of an error response.

    `event_id` is -1 if the event has no id.
    """

    event_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ItemEvent:
    """A part of an item's text and the weight version that generated it."""

    event_id: int
    data: str
    version: int


@dataclass(frozen=True, slots=True)
class ItemRun:
    """One run of an item.

    The run resumes after the event `after_event_id`, or starts from the beginning if
    that is -1. `organisation` is the name of the organisation that owns the job, or "".
    """

    item: JobItem
    host: str
    after_event_id: int
    first_event_timeout_s: float
    next_event_timeout_s: float
    organisation: str = ""


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Order to load a weight version.

    The target obeys only if it has accepted `orders_accepted` orders since its start.
    """

    model: str
    version: int
    holder: str
    fencing_number: int
    orders_accepted: int


@dataclass(frozen=True, slots=True)
class TargetCall:
    """One HTTP request to a target.

    No connection carries a `request_id` twice. With `new_connection` no pooled
    connection is used; with `resend` the request may be sent again after a pooled
    connection was lost.
    """

    kind: CallKind
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    request_id: str = ""
    new_connection: bool = False
    resend: bool = True


class TargetStream(Protocol):
    """A target's response whose head was received; its body can be read once."""

    status: int
    headers: dict[str, str]

    def disable_reuse(self) -> None:
        """Keep the connection from being used for another request."""

    def set_deadline(self, deadline_s: float) -> None:
        """Set the deadline of the next chunk, in seconds of the event loop's clock."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise ConnectionLost if it ends before its end marker."""


class TargetTransport(Protocol):
    """Carries calls to targets, whichever way they take."""

    def is_connected(self, target: Target) -> bool:
        """Return whether there is an idle connection to the target."""

    async def has_ended(self, target: Target) -> bool:
        """Return whether it is certain that the target's process has ended."""

    def stream(
        self, target: Target, call: TargetCall
    ) -> AbstractAsyncContextManager[TargetStream]:
        """Make a call and yield the target's response.

        Raise ConnectFailed if no byte was sent and ConnectionLost if the response is
        not complete.
        """


class OrderRefused(Exception):
    """The target refused the order.

    `is_fenced` means that it has seen a higher fencing number.
    """

    def __init__(self, reason: str, *, is_fenced: bool = False) -> None:
        super().__init__(reason)
        self.is_fenced = is_fenced


class TargetClient(Protocol):
    """Calls to targets in the protocol that the targets use.

    `on_leaving` is called when a response of a target says that the target leaves, and
    `on_load` when one reports the target's load.
    """

    on_leaving: Callable[[Target], None]
    on_load: LoadListener

    def observe_response(
        self, target: Target, status: int, headers: dict[str, str]
    ) -> None:
        """Note what the head of a target's response says about the target."""

    def is_connected(self, target: Target) -> bool:
        """Return whether there is an idle connection to the target."""

    async def has_ended(self, target: Target) -> bool:
        """Return whether it is certain that the target's process has ended."""

    async def forward(
        self,
        target: Target,
        request: ForwardedRequest,
        timeout_s: float,
        *,
        at_most_once: bool,
    ) -> TargetResponse:
        """Forward a request and return the complete response.

        With `at_most_once` the request uses a new connection and is never resent.
        Raise NotRun or OutcomeUnknown.
        """

    def stream(
        self,
        target: Target,
        request: ForwardedRequest,
        timeout_s: float,
        *,
        after_event_id: int | None,
        at_most_once: bool,
    ) -> AsyncGenerator[StreamHead | StreamEvent, None]:
        """Yield the head and then complete events until the target ends the stream.

        With `at_most_once` the request uses a new connection and is never resent.
        Raise NotRun before the head, OutcomeUnknown at any point.
        """

    def run_item(self, target: Target, run: ItemRun) -> AsyncGenerator[ItemEvent, None]:
        """Run an item and yield its text until the text is complete.

        Raise NotRun, OutcomeUnknown, ItemFailed or ItemRejected.
        """

    async def score(self, target: Target, call: ScoreCall, timeout_s: float) -> str:
        """Send a score call to a target and return the score.

        Raise NotRun, OutcomeUnknown or ItemFailed.
        """

    async def order_version(
        self, target: Target, order: VersionOrder, timeout_s: float
    ) -> bool:
        """Order a target to load a weight version.

        Return True if the target accepted the order and False if it already has the
        version. Raise OrderRefused, NotRun or OutcomeUnknown.
        """

    async def read_report(self, target: Target, timeout_s: float) -> EngineReport:
        """Return the state that an engine reports; raise NotRun or OutcomeUnknown."""


__all__ = [
    "CallGate",
    "CallKind",
    "ConnectionBroken",
    "EngineReport",
    "ForwardedRequest",
    "ItemEvent",
    "ItemFailed",
    "ItemRejected",
    "ItemRun",
    "LoadListener",
    "NamedLimit",
    "NotRun",
    "OrderRefused",
    "OutcomeUnknown",
    "Resumption",
    "StreamEvent",
    "StreamHead",
    "TargetResponse",
    "TargetBusy",
    "TargetCall",
    "TargetChanged",
    "TargetClient",
    "TargetLimited",
    "TargetLoad",
    "TargetRecord",
    "TargetStream",
    "TargetTransport",
    "VersionOrder",
]
