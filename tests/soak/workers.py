"""Simulated workers: engines that stream text and plain services."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from tamarackshelf.net import (
    HttpServer,
    Request,
    Response,
    ServerLimits,
    to_json_response,
)
from tests.soak.history import Arrival, History, Order, Run, now_s
from tests.soak.responses import (
    build_event,
    build_plain_body,
    build_stamp,
    count_events,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from random import Random

    from tamarackshelf.world import Address
    from tests.soak.store import StoreServer

EVENT_INTERVAL_S = 0.03
PLAIN_RESPONSE_S = 0.02
MODEL_LOAD_S = 0.4
MAX_WAITING = 4
# A request whose body begins so crashes the worker this long after it begins to run.
CRASHING_PREFIX = b"crash:"
CRASH_DELAY_S = 0.02
# Seconds that a plain request takes, instead of PLAIN_RESPONSE_S.
RESPONSE_TIME_HEADER = "x-soak-response-s"
# Names the text of a stream, which is the same in all attempts at the stream.
TEXT_HEADER = "x-soak-text"
HEARTBEAT_INTERVAL_S = 1.2
# The value of drainMs in the platform settings: nodes must stop sending requests to a
# leaving worker within this time. The worker keeps serving for twice this time.
DRAIN_S = 2.0


@dataclass(slots=True)
class WorkerFaults:
    """Current faults of a worker.

    `slowness` is a factor on its response times, `failing_share` the share of requests
    that it answers with status 500. `limit_per_s` is the rate limit that it names in
    its responses, if any.
    """

    slowness: float = 1.0
    failing_share: float = 0.0
    is_silent: bool = False
    limit_per_s: float | None = None


@dataclass(slots=True)
class WorkerState:
    """The state that a worker loses at a restart."""

    started_unix_ms: int
    versions: dict[str, int]
    sequence: int = 0
    highest_fencing_number: int = 0
    is_loading: bool = False
    heartbeats: int = 0
    running: int = 0
    waiting: int = 0
    runs: list[Run] = field(default_factory=list)


class Worker:
    """A worker whose row in the store names its proxy's address as its own."""

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        listed_address: Address,
        history: History,
        store: StoreServer,
        random: Random,
    ) -> None:
        self.name = name
        self.service = service
        self.faults = WorkerFaults()
        self.software = "a"
        self.listed_address = listed_address
        self.state = WorkerState(0, {})
        self._slots = slots
        self._history = history
        self._store = store
        self._random = random
        # Called when a request crashes the worker.
        self.on_crash: Callable[[Worker], None] = lambda worker: None
        self._is_leaving = False
        self._says_leaving = False
        self._free_slots = asyncio.Semaphore(slots)
        self._server: HttpServer | None = None
        self._heartbeat: asyncio.Task[None] | None = None

    async def start(
        self, address: Address, started_unix_ms: int, versions: dict[str, int]
    ) -> None:
        """Start to serve at the address with new state and to write heartbeats."""
        self.state = WorkerState(started_unix_ms, dict(versions))
        self._free_slots = asyncio.Semaphore(self._slots)
        # Workers take what the callers' limits permit.
        self._server = HttpServer(
            self._handle,
            ServerLimits(body_bytes=32 * 1024 * 1024),
            cancel_on_disconnect=True,
        )
        await self._server.start(address)
        self._heartbeat = asyncio.create_task(self._send_heartbeats())

    async def crash(self) -> None:
        """Abort all connections and stop the heartbeats; the row stays in the store."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            await self._server.abort()
        for run in self.state.runs:
            run.ended_s = min(run.ended_s, now_s())

    async def leave(self) -> None:
        """Mark the row as draining, serve for twice DRAIN_S, stop and delete the row.

        If the store is down or silent, wait until it is not before marking the row.
        """
        while self._store.faults.is_down or self._store.faults.is_silent:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        self._is_leaving = True
        self._write_row()
        self._history.leaving_since_s[self.name] = now_s()
        await asyncio.sleep(DRAIN_S * 2)
        await self.crash()
        self._store.rows.put("servers", self.name, None)

    async def leave_unlisted(self, stay_s: float) -> None:
        """Say in responses that the worker leaves, but not in the row; then stop."""
        self._says_leaving = True
        self._history.said_leaving_s[self.name] = now_s()
        await asyncio.sleep(stay_s)
        await self.crash()
        self._store.rows.put("servers", self.name, None)

    async def _send_heartbeats(self) -> None:
        while True:
            if not (self._store.faults.is_down or self._store.faults.is_silent):
                self._write_row()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _write_row(self) -> None:
        self.state.heartbeats += 1
        row = {
            "upstream": self.service,
            "address": str(self.listed_address),
            "zone": "a",
            "version": self.software,
            "state": "draining" if self._is_leaving else "ready",
            "capacity": self._slots,
            "born": self.state.started_unix_ms,
            "models": self._list_models(),
            "sequence": self.state.heartbeats,
        }
        self._store.rows.put("servers", self.name, msgspec.json.encode(row))

    def _list_models(self) -> list[dict[str, object]]:
        versions = self.state.versions
        return [{"name": name, "version": versions[name]} for name in versions]

    async def _handle(self, request: Request) -> Response:
        limit_per_s = self.faults.limit_per_s
        self._history.arrivals.append(
            Arrival(
                f"{self.name}/{self.state.started_unix_ms}",
                now_s(),
                request.path,
                limit_per_s,
            )
        )
        response = await self._respond(request)
        if self.faults.limit_per_s is not None:
            response.headers["server-limit"] = str(self.faults.limit_per_s)
        if self._is_leaving or self._says_leaving:
            response.headers["server-leaving"] = "1"
        return response

    async def _respond(self, request: Request) -> Response:
        if self.faults.is_silent:
            await asyncio.sleep(3600)
        if request.path == "/v1/report":
            return to_json_response(
                {
                    "models": self._list_models(),
                    "busy": self.state.is_loading,
                    "sequence": self.state.sequence,
                    "born": self.state.started_unix_ms,
                }
            )
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return Response(421, headers={"x-not-run": "1"})
        if request.path == "/v1/order":
            return self._accept_order(msgspec.json.decode(request.body))
        return await self._serve(request)

    def _accept_order(self, order: dict[str, object]) -> Response:
        state = self.state
        fencing_number = int(str(order["fence"]))
        if fencing_number < state.highest_fencing_number:
            return Response(412)
        state.highest_fencing_number = fencing_number
        model, version = str(order["model"]), int(str(order["version"]))
        if state.versions.get(model) == version:
            return Response(200)
        if state.is_loading or order.get("expectedRev", state.sequence) != (
            state.sequence
        ):
            return Response(409)
        state.sequence += 1
        state.is_loading = True
        holder = str(order["holder"])
        self._history.orders.append(
            Order(
                f"{self.name}/{state.started_unix_ms}", holder, fencing_number, now_s()
            )
        )
        loop = asyncio.get_running_loop()
        loop.call_later(MODEL_LOAD_S, self._finish_load, state, model, version)
        return Response(202)

    def _finish_load(self, state: WorkerState, model: str, version: int) -> None:
        state.versions[model] = version
        state.is_loading = False

    async def _serve(self, request: Request) -> Response:
        request_id = request.headers.get("x-request-id", "")
        response_headers = {
            "x-request-id": request_id,
            "x-worker-load": self._format_load(),
        }
        if self._free_slots.locked() and self.state.waiting >= MAX_WAITING:
            return Response(503, headers={**response_headers, "x-not-run": "1"})
        received_s = now_s()
        self.state.waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self.state.waiting -= 1
        run = Run(
            self.name, request_id, request.path, request.body, received_s, now_s()
        )
        self._history.runs.append(run)
        self.state.runs.append(run)
        self.state.running += 1
        if request.body.startswith(CRASHING_PREFIX):
            await asyncio.sleep(CRASH_DELAY_S)
            run.has_crashed_worker = True
            self.on_crash(self)
            await asyncio.sleep(3600)
        if self._random.random() < self.faults.failing_share:
            run.is_answered_500 = True
            self._finish(run)
            return Response(500, b"failed", headers=response_headers)
        if self.state.versions:
            return self._start_events(request, run, response_headers)
        try:
            response_s = float(
                request.headers.get(RESPONSE_TIME_HEADER, PLAIN_RESPONSE_S)
            )
            await asyncio.sleep(response_s * self.faults.slowness)
            run.is_complete = True
            response_headers["x-server-stamp"] = build_stamp(request_id, request.body)
            return Response(
                200, build_plain_body(request_id, request.body), "", response_headers
            )
        finally:
            self._finish(run)

    def _start_events(
        self, request: Request, run: Run, headers: dict[str, str]
    ) -> Response:
        model = request.headers.get("x-model", "")
        version = self.state.versions[model]
        headers["x-weight-versions"] = str(version)
        headers["x-server-stamp"] = build_stamp(run.request_id, run.body)
        first = int(request.headers.get("last-event-id", "-1")) + 1
        text_id = request.headers.get(TEXT_HEADER, run.request_id)
        events = self._generate_events(run, text_id, model, version, first)
        return Response(200, events, "text/event-stream", headers)

    async def _generate_events(
        self, run: Run, text_id: str, model: str, version: int, first: int
    ) -> AsyncIterator[bytes]:
        state, software = self.state, self.software
        try:
            for number in range(first, count_events(text_id)):
                await asyncio.sleep(EVENT_INTERVAL_S * self.faults.slowness)
                while self.faults.is_silent:
                    await asyncio.sleep(EVENT_INTERVAL_S)
                line = ""
                if state.versions[model] != version:
                    version = state.versions[model]
                    line = f"x-weight-versions: {version}\n"
                data = build_event(text_id, number, version, software)
                yield f"{line}id: {number}\ndata: {data}\n\n".encode()
            run.is_complete = True
        finally:
            self._finish(run)

    def _finish(self, run: Run) -> None:
        run.ended_s = min(run.ended_s, now_s())
        if run in self.state.runs:
            self.state.runs.remove(run)
            self.state.running -= 1
            self._free_slots.release()

    def _format_load(self) -> str:
        return f"{self.state.running},{self.state.waiting},{self._slots}"


__all__ = ["CRASHING_PREFIX", "TEXT_HEADER", "Worker", "WorkerFaults"]
