"""HTTP calls to the platform's workers: requests, items, scores and orders."""

from __future__ import annotations

import asyncio
import contextlib
import re
import secrets
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from dataclasses import dataclass

import msgspec

from tamarackshelf.contracts.targets import (
    CallGate,
    CallKind,
    ConnectionBroken,
    EngineReport,
    ForwardedRequest,
    ItemEvent,
    ItemFailed,
    ItemRejected,
    ItemRun,
    LoadListener,
    NamedLimit,
    NotRun,
    OrderRefused,
    OutcomeUnknown,
    StreamEvent,
    StreamHead,
    TargetBusy,
    TargetCall,
    TargetChanged,
    TargetLoad,
    TargetResponse,
    TargetStream,
    TargetTransport,
    VersionOrder,
)
from tamarackshelf.decoding import InvalidInput, decode_json, parse_number
from tamarackshelf.net import (
    ClientResponse,
    ConnectFailed,
    ConnectionLost,
    ResponseOverdue,
    collect,
)
from tamarackshelf.net.buffers import Buffer, BuffersFull, hold
from tamarackshelf.platform.caller_identity import remove_identity, set_organisation
from tamarackshelf.world import Target
from tamarackshelf.world.job import ScoreCall

REQUEST_ID_HEADER = "x-request-id"
SERVER_STAMP_HEADER = "x-server-stamp"
WEIGHT_VERSIONS_HEADER = "x-weight-versions"
# Requests per second that the worker takes from all nodes together, as a decimal.
LIMIT_HEADER = "server-limit"
# "1" in all responses of a worker that leaves.
LEAVING_HEADER = "server-leaving"
# Running, waiting, slots and, from some workers, how long work takes now (100: usual).
LOAD_HEADER = "x-worker-load"
# Higher numbers of requests, and slowdowns outside these bounds, are taken for errors.
MAX_LOAD_FIGURE = 100_000
MIN_SLOWDOWN = 0.05
MAX_SLOWDOWN = 100.0
# Calls that the registry of targets counts as in flight while they last.
COUNTED_KINDS = frozenset({CallKind.REQUEST, CallKind.ITEM, CallKind.SCORE})
EVENT_STREAM_TYPE = "text/event-stream"
# Headers that apply to a single connection or that this service sets itself.
UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
        "x-deadline-ms",
        "x-expect-instance",
    }
)
# All items have the same priority: a worker interrupts the generation of less urgent
# items for a more urgent one.
ITEM_PRIORITY = "5"
# Streams that are resumed go before new ones, whose priority is 5 by default: few
# workers may have the software that began them.
RESUMED_PRIORITY = "4"
MAX_EVENT_BYTES = 1024 * 1024


class _ReportedModel(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    models: list[_ReportedModel]
    # Whether the worker is executing an order; it does not describe its load.
    busy: bool
    # Number of orders accepted since the worker started.
    sequence: int
    born: int = 0


@dataclass(frozen=True, slots=True)
class _RawEvent:
    event_id: int
    data: str
    version: int | None


class PlatformTargetClient:
    """TargetClient implementation that speaks the workers' HTTP protocol."""

    def __init__(self, transport: TargetTransport, gate: CallGate) -> None:
        self.on_leaving: Callable[[Target], None] = lambda target: None
        # Whether the configuration in force has organisations.
        self.has_organisations: Callable[[], bool] = lambda: False
        self.on_load: LoadListener = lambda target, load, has_ended: None
        self._transport = transport
        self._gate = gate

    def is_connected(self, target: Target) -> bool:
        """Return whether the pool holds a usable connection to the target."""
        return self._transport.is_connected(target)

    def observe_response(
        self, target: Target, status: int, headers: dict[str, str]
    ) -> None:
        """Note whether the worker leaves, and its load, from a peer's response."""
        self._note_leaving(target, status, headers)
        self._note_load(target, status, headers, has_ended=False)

    def _note_leaving(
        self, target: Target, status: int, headers: dict[str, str]
    ) -> None:
        # Another worker sends 421 if the address was assigned to it.
        if status != 421 and headers.get(LEAVING_HEADER) == "1":
            self.on_leaving(target)

    def _note_load(
        self, target: Target, status: int, headers: dict[str, str], *, has_ended: bool
    ) -> None:
        load = None if status == 421 else _parse_load(headers)
        if load is not None:
            self.on_load(target, load, has_ended)

    async def has_ended(self, target: Target) -> bool:
        """Return whether it is certain that the worker's process has ended."""
        return await self._transport.has_ended(target)

    async def forward(
        self,
        target: Target,
        request: ForwardedRequest,
        timeout_s: float,
        *,
        at_most_once: bool,
    ) -> TargetResponse:
        """Forward a request and return the complete response.

        With `at_most_once` the request is never sent a second time. Raise NotRun or
        OutcomeUnknown.
        """
        http = request.http
        path, headers = self._build_request(target, request, timeout_s)
        return await self._send(
            CallKind.REQUEST,
            target,
            http.method,
            path,
            headers,
            http.body,
            timeout_s,
            at_most_once=at_most_once,
        )

    async def stream(
        self,
        target: Target,
        request: ForwardedRequest,
        timeout_s: float,
        *,
        after_event_id: int | None,
        at_most_once: bool,
    ) -> AsyncGenerator[StreamHead | StreamEvent, None]:
        """Forward a request and yield the response's head and then complete events.

        The iteration ends without an error only after the complete response. A response
        with a status other than 200 has its body as the only event. With
        `after_event_id` the worker resumes the stream after this event; with
        `at_most_once` the request is never sent a second time. Raise NotRun or
        OutcomeUnknown.
        """
        path, headers = self._build_request(target, request, timeout_s)
        if after_event_id is not None:
            headers["last-event-id"] = str(after_event_id)
        if after_event_id is not None or request.resumption is not None:
            headers.setdefault("x-request-priority", RESUMED_PRIORITY)
        try:
            async with self._call(
                CallKind.REQUEST,
                target,
                request.http.method,
                path,
                headers,
                request.http.body,
                timeout_s,
                at_most_once=at_most_once,
            ) as response:
                _raise_if_not_run(target, response.status, response.headers)
                is_signed = SERVER_STAMP_HEADER in response.headers
                yield StreamHead(response.status, response.headers, is_signed)
                if response.status != 200:
                    body = await collect(response.chunks())
                    yield StreamEvent(-1, body)
                    return
                async for block in _read_blocks(response):
                    event = _parse_event(block)
                    event_id = -1 if event is None else event.event_id
                    yield StreamEvent(event_id, block + b"\n\n")
        except ConnectFailed as error:
            raise NotRun(str(error)) from error
        except ConnectionLost as error:
            raise _to_outcome(target, error) from error

    def _build_request(
        self, target: Target, request: ForwardedRequest, timeout_s: float
    ) -> tuple[str, dict[str, str]]:
        http = request.http
        sent = http.headers.items()
        headers = {n: v for n, v in sent if n not in UNFORWARDED_HEADERS}
        if request.organisation or self.has_organisations():
            # A request admitted before organisations came into force still has them.
            headers = remove_identity(headers)
        set_organisation(headers, request.organisation)
        headers["host"] = request.host
        headers["x-deadline-ms"] = str(max(1, int(timeout_s * 1000)))
        headers["x-expect-instance"] = target.name
        path = f"{http.path}?{http.query}" if http.query else http.path
        return path, headers

    async def score(self, target: Target, call: ScoreCall, timeout_s: float) -> str:
        """Send a score call and return the score.

        Raise NotRun, OutcomeUnknown or ItemFailed.
        """
        headers = {
            "host": call.host,
            REQUEST_ID_HEADER: call.call_id,
            "x-deadline-ms": str(max(1, int(timeout_s * 1000))),
            "x-expect-instance": target.name,
        }
        result = await self._send(
            CallKind.SCORE, target, "POST", call.path, headers, call.body, timeout_s
        )
        status = result.http.status
        if 200 <= status < 300 and result.is_signed:
            return result.http.headers[SERVER_STAMP_HEADER]
        if status == 500:
            raise ItemFailed(f"{target.name} returned 500 for score {call.call_id}")
        raise OutcomeUnknown(
            f"{target.name} returned {status} for score {call.call_id}"
        )

    async def run_item(
        self, target: Target, run: ItemRun
    ) -> AsyncGenerator[ItemEvent, None]:
        """Run an item and yield its text, which is complete if no error is raised.

        Raise NotRun, OutcomeUnknown, ItemFailed or ItemRejected.
        """
        lowered = {name.lower(): value for name, value in run.item.headers.items()}
        headers = {n: v for n, v in lowered.items() if n not in UNFORWARDED_HEADERS}
        if run.organisation or self.has_organisations():
            # An earlier release may have stored the job with them.
            headers = remove_identity(headers)
        set_organisation(headers, run.organisation)
        headers["host"] = run.host
        headers[REQUEST_ID_HEADER] = run.item.item_id
        headers["x-expect-instance"] = target.name
        headers["x-request-priority"] = ITEM_PRIORITY
        if run.after_event_id >= 0:
            headers["last-event-id"] = str(run.after_event_id)
        loop = asyncio.get_running_loop()
        try:
            async with self._call(
                CallKind.ITEM,
                target,
                "POST",
                run.item.path,
                headers,
                run.item.body,
                run.first_event_timeout_s,
            ) as response:
                await _check_item_response(target, run.item.item_id, response)
                version = _parse_number(response.headers.get(WEIGHT_VERSIONS_HEADER), 0)
                async for raw in _read_events(response):
                    response.set_deadline(loop.time() + run.next_event_timeout_s)
                    version = version if raw.version is None else raw.version
                    yield ItemEvent(raw.event_id, raw.data, version)
        except ConnectFailed as error:
            raise NotRun(str(error)) from error
        except ConnectionLost as error:
            raise _to_outcome(target, error) from error

    async def order_version(
        self, target: Target, order: VersionOrder, timeout_s: float
    ) -> bool:
        """Order a worker to load a weight version.

        Return True if the worker accepted the order and False if it already has the
        version. Raise OrderRefused, TargetChanged, NotRun or OutcomeUnknown.
        """
        body = msgspec.json.encode(
            {
                "op": "version",
                "model": order.model,
                "version": order.version,
                # Running items continue with the new version, which their events name.
                "mode": "retain",
                "holder": order.holder,
                "fence": order.fencing_number,
                "expectedRev": order.orders_accepted,
            }
        )
        headers = {
            "content-type": "application/json",
            "x-expect-instance": target.name,
            REQUEST_ID_HEADER: _new_request_id(),
        }
        try:
            async with self._call(
                CallKind.ORDER,
                target,
                "POST",
                "/v1/order",
                headers,
                body,
                timeout_s,
                resend=False,
            ) as response:
                async for _ in response.chunks():
                    pass
        except ConnectFailed as error:
            raise NotRun(str(error)) from error
        except ConnectionLost as error:
            raise _to_outcome(target, error) from error
        if response.status in (200, 202):
            return response.status == 202
        if response.status == 421:
            raise TargetChanged(f"{target.address} no longer belongs to {target.name}")
        reason = f"{target.name} returned {response.status} for an order"
        raise OrderRefused(reason, is_fenced=response.status == 412)

    async def read_report(self, target: Target, timeout_s: float) -> EngineReport:
        """Read an engine's report.

        Raise TargetChanged if another incarnation of the engine responds, NotRun or
        OutcomeUnknown.
        """
        headers = {
            "x-expect-instance": target.name,
            REQUEST_ID_HEADER: _new_request_id(),
        }
        result = await self._send(
            CallKind.REPORT, target, "GET", "/v1/report", headers, b"", timeout_s
        )
        try:
            report = decode_json(result.http.body, _Report)
        except InvalidInput as error:
            raise OutcomeUnknown(
                f"{target.name} sent an invalid report: {error}"
            ) from error
        if report.born and report.born != target.incarnation:
            raise TargetChanged(f"{target.name} has restarted")
        versions = {model.name: model.version for model in report.models}
        return EngineReport(versions, report.busy, report.sequence)

    async def _send(
        self,
        kind: CallKind,
        target: Target,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
        *,
        at_most_once: bool = False,
    ) -> TargetResponse:
        try:
            async with self._call(
                kind,
                target,
                method,
                path,
                headers,
                body,
                timeout_s,
                at_most_once=at_most_once,
            ) as stream:
                data = await collect(stream.chunks())
        except ConnectFailed as error:
            raise NotRun(str(error)) from error
        except ConnectionLost as error:
            raise _to_outcome(target, error) from error
        response = ClientResponse(stream.status, stream.headers, data)
        _raise_if_not_run(target, response.status, response.headers)
        return TargetResponse(response, SERVER_STAMP_HEADER in response.headers)

    @contextlib.asynccontextmanager
    async def _call(
        self,
        kind: CallKind,
        target: Target,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
        *,
        at_most_once: bool = False,
        resend: bool = True,
    ) -> AsyncIterator[TargetStream]:
        """Send a request to a worker and yield the response; all calls pass here.

        With `at_most_once` a new connection is used and the request is never resent.
        Raise TargetLimited, ConnectFailed, ConnectionLost or OutcomeUnknown.
        """
        sent_at_s = await self._gate.admit(target, kind)
        request_id = headers.get(REQUEST_ID_HEADER, "")
        # A request that is resent on a new connection may count as two. Late copies of
        # the responses to requests without an id cannot be told from other responses.
        is_single = at_most_once or not request_id or self._gate.is_limited(target)
        call = TargetCall(
            kind,
            method,
            path,
            headers,
            body,
            timeout_s,
            request_id=request_id,
            new_connection=is_single,
            resend=resend and not is_single,
        )
        async with self._transport.stream(target, call) as response:
            self._note_leaving(target, response.status, response.headers)
            _check_request_id(target, request_id, response)
            # Not before the check: the late copy of a response has an old load.
            has_ended = kind in COUNTED_KINDS and not _is_stream(response)
            self._note_load(
                target, response.status, response.headers, has_ended=has_ended
            )
            # Another worker sends 421 if the address was assigned to it.
            if response.status != 421:
                limit = _parse_limit(response.headers)
                self._gate.record_response(target, limit, sent_at_s)
            yield response


async def _check_item_response(
    target: Target, item_id: str, response: TargetStream
) -> None:
    if response.status == 200:
        content_type = response.headers.get("content-type", EVENT_STREAM_TYPE)
        if SERVER_STAMP_HEADER not in response.headers:
            raise OutcomeUnknown(f"{target.name} returned 200 without its signature")
        if not content_type.startswith(EVENT_STREAM_TYPE):
            raise OutcomeUnknown(f"{target.name} returned {content_type} for an item")
        return
    async for _ in response.chunks():
        pass
    _raise_if_not_run(target, response.status, response.headers)
    if response.status == 422:
        raise ItemRejected(f"{target.name} returned 422 for item {item_id}")
    if response.status == 500:
        raise ItemFailed(f"{target.name} returned 500 for item {item_id}")
    raise OutcomeUnknown(f"{target.name} returned {response.status} for item {item_id}")


def _to_outcome(target: Target, error: ConnectionLost) -> OutcomeUnknown:
    is_overdue = isinstance(error, ResponseOverdue)
    error_class = OutcomeUnknown if is_overdue else ConnectionBroken
    return error_class(f"{target.name}: {error}")


def _new_request_id() -> str:
    """Return an id for a call of this node's own.

    Without one, a late copy of an earlier response would pass for the call's response.
    """
    return secrets.token_hex(8)


def _check_request_id(target: Target, request_id: str, response: TargetStream) -> None:
    """Raise OutcomeUnknown if the response belongs to another request."""
    echoed = response.headers.get(REQUEST_ID_HEADER)
    if not request_id:
        response.disable_reuse()
    if echoed is not None and echoed != request_id:
        response.disable_reuse()
        raise OutcomeUnknown(
            f"{target.name} responded to request {echoed} instead of {request_id}"
        )


def _raise_if_not_run(target: Target, status: int, headers: dict[str, str]) -> None:
    if status == 421:
        raise TargetChanged(f"{target.address} no longer belongs to {target.name}")
    if "x-not-run" in headers:
        raise TargetBusy(f"{target.name} returned {status} without running the request")


async def _read_events(response: TargetStream) -> AsyncIterator[_RawEvent]:
    """Yield the events; raise ConnectionLost if one has no id, like an error's text."""
    async for block in _read_blocks(response):
        event = _parse_event(block)
        if event is not None and event.event_id >= 0:
            yield event
        elif not _is_comment(block):
            raise ConnectionLost("an event of the text has no id")


async def _read_blocks(response: TargetStream) -> AsyncIterator[bytes]:
    """Yield the bytes of each event without the blank line that ends it.

    Raise ConnectionLost if an event is too large or the last event is incomplete.
    """
    buffer = bytearray()
    counted = 0
    with hold() as held:
        try:
            async for chunk in response.chunks():
                # A line break may come in two chunks.
                is_split = buffer.endswith(b"\r") and chunk.startswith(b"\n")
                start = max(0, len(buffer) - 2)
                if is_split:
                    del buffer[-1:]
                buffer += chunk.replace(b"\r\n", b"\n")
                while (end := buffer.find(b"\n\n", start)) >= 0:
                    block, start = bytes(buffer[:end]), 0
                    del buffer[: end + 2]
                    yield block
                if len(buffer) > MAX_EVENT_BYTES:
                    raise ConnectionLost(f"an event exceeds {MAX_EVENT_BYTES} bytes")
                _count(held, len(buffer) - counted)
                counted = len(buffer)
        finally:
            held.release(counted)
    if buffer.strip():
        raise ConnectionLost("the stream ended in the middle of an event")


def _count(held: Buffer, size_bytes: int) -> None:
    """Count bytes that are kept; raise ConnectionLost if they must give way."""
    try:
        held.add(size_bytes)
    except BuffersFull as error:
        raise ConnectionLost(str(error)) from error


def _parse_event(block: bytes) -> _RawEvent | None:
    event_id, version = -1, None
    data: list[str] = []
    for line in block.decode("utf-8", "replace").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = _parse_number(value, -1)
        elif name == "data":
            data.append(value)
        elif name == WEIGHT_VERSIONS_HEADER:
            version = _parse_number(value, 0)
    if event_id < 0 and not data:
        return None
    return _RawEvent(event_id, "\n".join(data), version)


def _is_comment(block: bytes) -> bool:
    return all(line.startswith(b":") for line in block.split(b"\n") if line)


def _is_stream(response: TargetStream) -> bool:
    content_type = response.headers.get("content-type", "")
    return response.status == 200 and content_type.startswith(EVENT_STREAM_TYPE)


def _parse_load(headers: dict[str, str]) -> TargetLoad | None:
    """Return the readable figures of a load report, or None if there are none."""
    parts = [part.strip() for part in headers.get(LOAD_HEADER, "").split(",")]
    parts += [""] * 4
    running, waiting, slots = (_parse_load_figure(part) for part in parts[:3])
    slowdown = None
    if _DECIMAL.fullmatch(parts[3]):
        slowdown = float(parts[3]) / 100
    if slowdown is not None and not MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN:
        slowdown = None
    load = TargetLoad(running, waiting, slots or None, slowdown)
    return None if load == TargetLoad(None, None, None) else load


def _parse_load_figure(text: str) -> int | None:
    number = _parse_number(text, -1)
    return number if 0 <= number <= MAX_LOAD_FIGURE else None


def _parse_limit(headers: dict[str, str]) -> NamedLimit | None:
    """Return the limit in a response, the lowest one if it names several."""
    text = headers.get(LIMIT_HEADER)
    if text is None:
        return None
    parts = [part.strip() for part in text.split(",")]
    if not all(_DECIMAL.fullmatch(part) for part in parts):
        return NamedLimit(text, None)
    return NamedLimit(text, min(float(part) for part in parts))


def _parse_number(text: str | None, default: int) -> int:
    try:
        return parse_number((text or "").strip())
    except InvalidInput:
        return default


_DECIMAL = re.compile(r"[0-9]{1,300}(\.[0-9]*)?|\.[0-9]+")

__all__ = ["UNFORWARDED_HEADERS", "PlatformTargetClient"]
