"""Calls to targets that a peer relays: the client and the peer's handler."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import enum
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import NoReturn

import msgspec

from tamarackshelf.contracts.targets import TargetCall, TargetStream
from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.net import (
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    Request,
    Response,
    ResponseOverdue,
    StreamedResponse,
    collect,
    is_final_status,
)
from tamarackshelf.node.peer_statuses import is_not_carried_out
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.tasks import begin
from tamarackshelf.world import Address, Target

TARGET_CALL_PATH = "/target-calls"
# A node that is cut off asks here whether a target has ended; an older release does not
# know the path.
TARGET_VERDICT_PATH = "/target-verdicts"
VERDICT_TIMEOUT_S = 0.25
# Names the outcome of a relayed call; an older release answers without it.
OUTCOME_HEADER = "x-relay-outcome"
# Status and headers of the target's response, in MessagePack and base64.
HEAD_HEADER = "x-relay-head"
# A target that sends nothing for this long has been given up by the calling node.
SILENCE_S = 5.0
# Calls that a node relays at the same time; more would take its memory and link.
MAX_RELAYED_CALLS = 256
MAX_REASON_CHARACTERS = 200

ResponseObserver = Callable[[Target, int, dict[str, str]], None]
DirectOpener = Callable[
    [Target, TargetCall], contextlib.AbstractAsyncContextManager[TargetStream]
]


class TargetCallOutcome(enum.StrEnum):
    """The outcome of a relayed call; it was sent to the target unless NOT_SENT.

    CUT_OFF and DECLINED are about the peer: another one may relay the call. NOT_SENT
    means that the target refused a peer that reaches other targets.
    """

    ANSWERED = "answered"
    CUT_OFF = "cut_off"
    DECLINED = "declined"
    NOT_SENT = "not_sent"
    LOST = "lost"
    OVERDUE = "overdue"


class TargetVerdict(enum.StrEnum):
    """What a node sees of a target's process.

    NOT_ENDED: it listens or is silent, which the list of targets may explain later.
    UNCERTAIN: the node does not know the target or is cut off.
    """

    ENDED = "ended"
    NOT_ENDED = "not_ended"
    UNCERTAIN = "uncertain"


class PeerDeclined(Exception):
    """The peer did not send the call, for a reason of its own; ask another one."""


class TargetNotReached(Exception):
    """The peer did not reach the target either, although it reaches other ones."""


@dataclass(frozen=True, slots=True)
class RelayedCall:
    """A call that a node asks a peer to make to a target of the peer's own list."""

    target: str
    incarnation: int
    call: TargetCall


@dataclass(frozen=True, slots=True)
class VerdictRequest:
    """Question to a peer whether a target of the peer's own list has ended."""

    target: str
    incarnation: int


class RelayedStream:
    """A target's response that a peer relays."""

    def __init__(
        self, response: StreamedResponse, status: int, headers: dict[str, str]
    ) -> None:
        self.status = status
        self.headers = headers
        self._response = response

    def disable_reuse(self) -> None:
        """Do nothing; the connection to the peer serves this call only."""

    def set_deadline(self, deadline_s: float) -> None:
        """Set the deadline of the next chunk, in seconds of the event loop's clock."""
        self._response.set_deadline(deadline_s)

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise ConnectionLost if it ends before its end marker."""
        return self._response.chunks()


@contextlib.asynccontextmanager
async def open_relayed(
    http: HttpClient, peer: Address, target: Target, call: TargetCall
) -> AsyncIterator[RelayedStream]:
    """Make a call through a peer and yield the target's response.

    Raise PeerDeclined or TargetNotReached if no byte was sent to the target, and
    ConnectionLost if it may have been.
    """
    body = msgspec.msgpack.encode(RelayedCall(target.name, target.incarnation, call))
    async with contextlib.AsyncExitStack() as stack:
        try:
            response = await stack.enter_async_context(
                http.stream(
                    peer,
                    "POST",
                    TARGET_CALL_PATH,
                    body=body,
                    timeout_s=call.timeout_s,
                    new_connection=True,
                    resend=False,
                )
            )
        except ConnectFailed as error:
            raise PeerDeclined(str(error)) from error
        outcome = response.headers.get(OUTCOME_HEADER)
        if outcome == TargetCallOutcome.ANSWERED:
            status, headers = _decode_head(peer, response.headers)
            yield RelayedStream(response, status, headers)
            return
        text = await collect(response.chunks())
        reason = text.decode("utf-8", "replace")
        if outcome is None:
            _raise_for_status(peer, response.status, reason)
        _raise_for_outcome(peer, outcome, reason)


def _decode_head(peer: Address, headers: dict[str, str]) -> tuple[int, dict[str, str]]:
    """Decode the head of the target's response; raise ConnectionLost if it is none."""
    try:
        encoded = base64.b64decode(headers.get(HEAD_HEADER, ""))
        head = decode_msgpack(encoded, tuple[int, dict[str, str]])
    except ValueError as error:
        raise ConnectionLost(f"{peer} relayed an unreadable head: {error}") from error
    if not is_final_status(head[0]):
        raise ConnectionLost(f"{peer} relayed {head[0]}, which is not a status of HTTP")
    return head


async def ask_for_verdict(
    http: HttpClient, peer: Address, target: Target
) -> TargetVerdict:
    """Ask a peer whether a target has ended; a peer that fails is UNCERTAIN."""
    body = msgspec.msgpack.encode(VerdictRequest(target.name, target.incarnation))
    try:
        answer = await http.request(
            peer, "POST", TARGET_VERDICT_PATH, body=body, timeout_s=VERDICT_TIMEOUT_S
        )
        if answer.status == 200:
            return decode_msgpack(answer.body, TargetVerdict)
    except (ConnectFailed, ConnectionLost, InvalidInput):
        # The caller logs the verdicts of all peers.
        pass
    return TargetVerdict.UNCERTAIN


class TargetRelay:
    """Makes calls to targets for peers that are cut off from them, never onwards.

    `is_cut_off` returns whether this node is cut off from a service as well, after it
    has verified its paths, and `judge` what it sees of a target. `observe` gets the
    head of each response, as what it says of the target binds this node, too.
    """

    def __init__(
        self,
        targets: TargetRegistry,
        open_direct: DirectOpener,
        is_cut_off: Callable[[Target], Awaitable[bool]],
        judge: Callable[[Target], Awaitable[TargetVerdict]],
        observe: ResponseObserver,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self.is_stopping = False
        self._targets = targets
        self._open_direct = open_direct
        self._is_cut_off = is_cut_off
        self._judge = judge
        self._observe = observe
        self._timeline = timeline
        self._metrics = metrics
        self._calls = 0

    async def answer(self, request: Request) -> Response:
        """Make a peer's call and return a response that copies the target's."""
        relayed = decode_msgpack(request.body, RelayedCall)
        target, reason = self._find_target(relayed)
        if target is None:
            return _decline(TargetCallOutcome.DECLINED, reason)
        stack = contextlib.AsyncExitStack()
        self._calls += 1
        stack.callback(self._end_call)
        try:
            response = await stack.enter_async_context(
                self._open_direct(target, relayed.call)
            )
        except BaseException as error:
            await stack.aclose()
            answer = await self._to_failure(target, error)
            if answer is None:
                raise
            return answer
        self._observe(target, response.status, response.headers)
        self._metrics.count("calls_relayed_for_peers")
        head = msgspec.msgpack.encode((response.status, response.headers))
        headers = {
            OUTCOME_HEADER: TargetCallOutcome.ANSWERED.value,
            HEAD_HEADER: base64.b64encode(head).decode(),
        }
        body = await begin(_copy(stack, response))
        return Response(200, body, headers=headers)

    async def answer_verdict(self, request: Request) -> Response:
        """Tell a peer what this node sees of a target."""
        asked = decode_msgpack(request.body, VerdictRequest)
        state = self._targets.get(asked.target)
        verdict = TargetVerdict.UNCERTAIN
        if state is not None and state.target.incarnation == asked.incarnation:
            verdict = await self._judge(state.target)
        return Response(200, msgspec.msgpack.encode(verdict))

    def _end_call(self) -> None:
        self._calls -= 1

    def _find_target(self, relayed: RelayedCall) -> tuple[Target | None, str]:
        """Return the target as this node knows it, or None and the reason."""
        if self.is_stopping:
            return None, "this node is stopping"
        if self._calls >= MAX_RELAYED_CALLS:
            return None, f"this node relays {self._calls} calls already"
        state = self._targets.get(relayed.target)
        if state is None or state.target.incarnation != relayed.incarnation:
            return None, f"this node does not know this start of {relayed.target}"
        if state.record.is_leaving:
            return None, f"{relayed.target} is leaving"
        return state.target, ""

    async def _to_failure(
        self, target: Target, error: BaseException
    ) -> Response | None:
        """Return the response for a failed call, or None for another error."""
        if isinstance(error, ConnectFailed):
            if await self._is_cut_off(target):
                return _decline(TargetCallOutcome.CUT_OFF, str(error))
            return _decline(TargetCallOutcome.NOT_SENT, str(error))
        if isinstance(error, ResponseOverdue):
            return _decline(TargetCallOutcome.OVERDUE, str(error))
        if isinstance(error, ConnectionLost):
            return _decline(TargetCallOutcome.LOST, str(error))
        return None


async def _copy(
    stack: contextlib.AsyncExitStack, response: TargetStream
) -> AsyncGenerator[bytes, None]:
    """Yield the target's body; raise ConnectionError if it is not complete.

    The first value is empty, for `begin`.
    """
    loop = asyncio.get_running_loop()
    async with stack:
        yield b""
        try:
            response.set_deadline(loop.time() + SILENCE_S)
            async for chunk in response.chunks():
                response.set_deadline(loop.time() + SILENCE_S)
                yield chunk
        except ConnectionLost as error:
            raise ConnectionError(str(error)) from error


def _decline(outcome: TargetCallOutcome, reason: str) -> Response:
    headers = {OUTCOME_HEADER: outcome.value}
    return Response(503, reason.encode(), content_type="text/plain", headers=headers)


def _raise_for_status(peer: Address, status: int, reason: str) -> NoReturn:
    """Raise the error of an answer that names no outcome, as the server's own do."""
    text = f"{peer} answered status {status}: {reason[:MAX_REASON_CHARACTERS]}"
    if is_not_carried_out(status):
        raise PeerDeclined(text)
    raise ConnectionLost(text)


def _raise_for_outcome(peer: Address, outcome: str | None, reason: str) -> NoReturn:
    """Raise the error of an outcome; one of a later release promises nothing."""
    if outcome in (TargetCallOutcome.CUT_OFF, TargetCallOutcome.DECLINED):
        raise PeerDeclined(f"{peer}: {reason}")
    if outcome == TargetCallOutcome.NOT_SENT:
        raise TargetNotReached(reason)
    if outcome == TargetCallOutcome.OVERDUE:
        raise ResponseOverdue(reason)
    raise ConnectionLost(reason)


__all__ = [
    "TARGET_CALL_PATH",
    "TARGET_VERDICT_PATH",
    "PeerDeclined",
    "RelayedStream",
    "TargetNotReached",
    "TargetRelay",
    "TargetVerdict",
    "ask_for_verdict",
    "open_relayed",
]
