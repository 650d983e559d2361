"""Calls to the platform's workers: requests, items, scores and orders."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass

import msgspec

from tamarackshelf.contracts.targets import (
    EngineReport,
    ForwardedRequest,
    ItemEvent,
    ItemFailed,
    ItemRejected,
    ItemRun,
    NotRun,
    OrderRefused,
    OutcomeUnknown,
    StreamEvent,
    StreamHead,
    TargetAnswer,
    TargetBusy,
    TargetChanged,
    TargetLoad,
    VersionOrder,
)
from tamarackshelf.net import (
    ClientResponse,
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    StreamedResponse,
)
from tamarackshelf.world import Target
from tamarackshelf.world.job import ScoreCall

REQUEST_ID = "x-request-id"
STAMP = "x-server-stamp"
WEIGHT_VERSIONS = "x-weight-versions"
# Headers that concern one connection, or that the product sets itself.
OWN_HEADERS = frozenset(
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
# One for all items: a more urgent one would stop texts of others midway.
ITEM_PRIORITY = "5"
MAX_EVENT_BYTES = 1024 * 1024


class _ReportedModel(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    models: list[_ReportedModel]
    # Whether an order is being carried out, not how loaded the worker is.
    busy: bool
    # The number of orders accepted since the start.
    sequence: int
    born: int = 0


@dataclass(frozen=True, slots=True)
class _RawEvent:
    event_id: int
    data: str
    version: int | None


class PlatformTargetCalls:
    """Implements the TargetClient port."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def is_connected(self, target: Target) -> bool:
        """Tells whether an idle connection to the target is there."""
        return self._http.has_idle_connection(target.address)

    async def forward(
        self,
        target: Target,
        request: ForwardedRequest,
        timeout_s: float,
        *,
        at_most_once: bool,
    ) -> TargetAnswer:
        """Returns the whole answer; raises NotRun or OutcomeUnknown."""
        http = request.http
        path, headers = _build_request(target, request, timeout_s)
        return await self._send(
            target, http.method, path, headers, http.body, timeout_s, at_most_once
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
        """Yields the head and then whole events; ends normally only at the end."""
        path, headers = _build_request(target, request, timeout_s)
        if after_event_id is not None:
            headers["last-event-id"] = str(after_event_id)
        try:
            async with self._http.stream(
                target.address,
                request.http.method,
                path,
                headers=headers,
                body=request.http.body,
                timeout_s=timeout_s,
                new_connection=at_most_once,
                resend=not at_most_once,
            ) as answer:
                _check_echo(target, request.request_id, answer)
                _raise_if_not_run(target, answer.status, answer.headers)
                is_signed = STAMP in answer.headers
                yield StreamHead(answer.status, answer.headers, is_signed)
                if answer.status != 200:
                    body = b"".join([chunk async for chunk in answer.chunks()])
                    yield StreamEvent(-1, body)
                    return
                async for block in _read_blocks(answer):
                    event = _parse_event(block)
                    event_id = -1 if event is None else event.event_id
                    yield StreamEvent(event_id, block + b"\n\n")
        except ConnectFailed as error:
            raise NotRun(str(error)) from error
        except ConnectionLost as error:
            raise OutcomeUnknown(f"{target.name}: {error}") from error

    async def score(self, target: Target, call: ScoreCall, timeout_s: float) -> str:
        """Returns the score; raises NotRun, OutcomeUnknown or ItemFailed."""
        headers = {
            "host": call.host,
            REQUEST_ID: call.call_id,
            "x-deadline-ms": str(max(1, int(timeout_s * 1000))),
            "x-expect-instance": target.name,
        }
        signed = await self._send(
            target, "POST", call.path, headers, call.body, timeout_s, at_most_once=False
        )
        status = signed.answer.status
        if 200 <= status < 300 and signed.is_signed:
            return signed.answer.headers[STAMP]
        if status == 500:
            raise ItemFailed(f"{target.name} answered 500 to score {call.call_id}")
        raise OutcomeUnknown(f"{target.name} answered {status} to {call.call_id}")

    async def run_item(
        self, target: Target, run: ItemRun
    ) -> AsyncGenerator[ItemEvent, None]:
        """Yields the text; ends normally only when the text is whole."""
        headers = {name.lower(): value for name, value in run.item.headers.items()}
        headers["host"] = run.host
        headers[REQUEST_ID] = run.item.item_id
        headers["x-expect-instance"] = target.name
        headers["x-request-priority"] = ITEM_PRIORITY
        if run.after_event_id >= 0:
            headers["last-event-id"] = str(run.after_event_id)
        loop = asyncio.get_running_loop()
        try:
            async with self._http.stream(
                target.address,
                "POST",
                run.item.path,
                headers=headers,
                body=run.item.body,
                timeout_s=run.first_event_timeout_s,
            ) as answer:
                await _check_item_answer(target, run.item.item_id, answer)
                version = _parse_number(answer.headers.get(WEIGHT_VERSIONS), 0)
                load = _parse_load(answer.headers)
                async for raw in _read_events(answer):
                    answer.set_deadline(loop.time() + run.next_event_timeout_s)
                    version = version if raw.version is None else raw.version
                    yield ItemEvent(raw.event_id, raw.data, version, load)
                    load = None
        except ConnectFailed as error:
            raise NotRun(str(error)) from error
        except ConnectionLost as error:
            raise OutcomeUnknown(f"{target.name}: {error}") from error

    async def order_version(
        self, target: Target, order: VersionOrder, timeout_s: float
    ) -> bool:
        """Returns whether the worker carries the order out; False when it holds."""
        body = msgspec.json.encode(
            {
                "op": "version",
                "model": order.model,
                "version": order.version,
                # Runs go on under the new version; their events name it.
                "mode": "retain",
                "holder": order.holder,
                "fence": order.fencing_number,
                "expectedRev": order.orders_accepted,
            }
        )
        headers = {
            "content-type": "application/json",
            "x-expect-instance": target.name,
        }
        try:
            answer = await self._http.request(
                target.address,
                "POST",
                "/v1/order",
                headers=headers,
                body=body,
                timeout_s=timeout_s,
                resend=False,
            )
        except ConnectFailed as error:
            raise NotRun(str(error)) from error
        except ConnectionLost as error:
            raise OutcomeUnknown(f"{target.name}: {error}") from error
        if answer.status in (200, 202):
            return answer.status == 202
        if answer.status == 421:
            raise TargetChanged(f"{target.address} is not {target.name} any more")
        reason = f"{target.name} answered {answer.status} to an order"
        raise OrderRefused(reason, is_fenced=answer.status == 412)

    async def read_report(self, target: Target, timeout_s: float) -> EngineReport:
        """Returns what an engine says of itself; raises NotRun or OutcomeUnknown."""
        headers = {"x-expect-instance": target.name}
        signed = await self._send(
            target, "GET", "/v1/report", headers, b"", timeout_s, at_most_once=False
        )
        try:
            report = msgspec.json.decode(signed.answer.body, type=_Report)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise OutcomeUnknown(f"{target.name}: {error}") from error
        if report.born and report.born != target.incarnation:
            raise TargetChanged(f"{target.name} has started again")
        versions = {model.name: model.version for model in report.models}
        return EngineReport(versions, report.busy, report.sequence)

    async def _send(
        self,
        target: Target,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
        at_most_once: bool,
    ) -> TargetAnswer:
        try:
            async with self._http.stream(
                target.address,
                method,
                path,
                headers=headers,
                body=body,
                timeout_s=timeout_s,
                new_connection=at_most_once,
                resend=not at_most_once,
            ) as streamed:
                _check_echo(target, headers.get(REQUEST_ID, ""), streamed)
                data = b"".join([chunk async for chunk in streamed.chunks()])
        except ConnectFailed as error:
            raise NotRun(str(error)) from error
        except ConnectionLost as error:
            raise OutcomeUnknown(f"{target.name}: {error}") from error
        answer = ClientResponse(streamed.status, streamed.headers, data)
        _raise_if_not_run(target, answer.status, answer.headers)
        return TargetAnswer(
            answer, STAMP in answer.headers, _parse_load(answer.headers)
        )


async def _check_item_answer(
    target: Target, item_id: str, answer: StreamedResponse
) -> None:
    _check_echo(target, item_id, answer)
    if answer.status == 200:
        return
    async for _ in answer.chunks():
        pass
    _raise_if_not_run(target, answer.status, answer.headers)
    if answer.status == 422:
        raise ItemRejected(f"{target.name} answered 422 to {item_id}")
    if answer.status == 500:
        raise ItemFailed(f"{target.name} answered 500 to {item_id}")
    raise OutcomeUnknown(f"{target.name} answered {answer.status} to {item_id}")


def _check_echo(target: Target, request_id: str, answer: StreamedResponse) -> None:
    """Refuses an answer that belongs to another request on the connection."""
    echoed = answer.headers.get(REQUEST_ID)
    if echoed is not None and echoed != request_id:
        answer.disable_reuse()
        raise OutcomeUnknown(f"{target.name} answered another request, {echoed}")


def _raise_if_not_run(target: Target, status: int, headers: dict[str, str]) -> None:
    if status == 421:
        raise TargetChanged(f"{target.address} is not {target.name} any more")
    if "x-not-run" in headers:
        raise TargetBusy(f"{target.name} answered {status} and did not run it")


def _build_request(
    target: Target, request: ForwardedRequest, timeout_s: float
) -> tuple[str, dict[str, str]]:
    http = request.http
    headers = {n: v for n, v in http.headers.items() if n not in OWN_HEADERS}
    headers["host"] = request.host
    headers["x-deadline-ms"] = str(max(1, int(timeout_s * 1000)))
    headers["x-expect-instance"] = target.name
    path = f"{http.path}?{http.query}" if http.query else http.path
    return path, headers


async def _read_events(answer: StreamedResponse) -> AsyncIterator[_RawEvent]:
    async for block in _read_blocks(answer):
        event = _parse_event(block)
        if event is not None:
            yield event


async def _read_blocks(answer: StreamedResponse) -> AsyncIterator[bytes]:
    buffer = b""
    async for chunk in answer.chunks():
        buffer += chunk.replace(b"\r\n", b"\n")
        *blocks, buffer = buffer.split(b"\n\n")
        if len(buffer) > MAX_EVENT_BYTES:
            raise ConnectionLost("an event is too large")
        for block in blocks:
            yield block
    if buffer.strip():
        raise ConnectionLost("the stream ended in the middle of an event")


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
        elif name == WEIGHT_VERSIONS:
            version = _parse_number(value, 0)
    if event_id < 0 and not data:
        return None
    return _RawEvent(event_id, "\n".join(data), version)


def _parse_load(headers: dict[str, str]) -> TargetLoad | None:
    parts = headers.get("x-worker-load", "").split(",")
    if len(parts) != 3:
        return None
    running, waiting, slots = (_parse_number(part, -1) for part in parts)
    if min(running, waiting, slots) < 0:
        return None
    return TargetLoad(running, waiting, slots)


def _parse_number(text: str | None, default: int) -> int:
    try:
        return int(text or "")
    except ValueError:
        return default


__all__ = ["OWN_HEADERS", "PlatformTargetCalls"]
