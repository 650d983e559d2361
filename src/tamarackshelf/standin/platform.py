"""Stand-in for the VM list, the weight store and the object store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tamarackshelf.contracts import WeightEntry
from tamarackshelf.errors import BadRequest, NotFound
from tamarackshelf.net import HttpServer, Request, Response, to_json_response
from tamarackshelf.standin.faults import FaultChange, VmListFaults, apply_fault_change
from tamarackshelf.world import Address, VmRow


class PlatformStandin:
    """HTTP server with a delayed VM list, a rate-limited weight store and objects."""

    def __init__(
        self,
        now_s: Callable[[], float] = time.monotonic,
        fetches_per_s: float = 50.0,
    ) -> None:
        self.faults = VmListFaults()
        self.objects: dict[str, bytes] = {}
        self.weights: dict[str, int] = {}
        self._now_s = now_s
        self._history: list[tuple[float, dict[str, VmRow]]] = [(float("-inf"), {})]
        self._fetch_interval_s = 1 / fetches_per_s
        self._next_fetch_s = 0.0
        self._server = HttpServer(self._handle)

    async def start(self, address: Address) -> Address:
        """Start to listen and return the bound address."""
        return await self._server.start(address)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close(0.1)

    def put_vm(self, row: VmRow) -> None:
        """Add or replace a VM; the list shows the change after its lag."""
        rows = dict(self._history[-1][1])
        rows[row.name] = row
        self._history.append((self._now_s(), rows))

    def remove_vm(self, name: str) -> None:
        """Remove a VM; the list shows the change after its lag."""
        rows = dict(self._history[-1][1])
        rows.pop(name, None)
        self._history.append((self._now_s(), rows))

    def skip_list_lag(self) -> None:
        """Show the newest state of the list without its lag."""
        self._history = [(float("-inf"), self._history[-1][1])]

    async def _handle(self, request: Request) -> Response:
        if request.path == "/standin/faults":
            apply_fault_change(self.faults, request.decode(FaultChange))
            return to_json_response({})
        if request.path == "/v1/vms":
            return self._list_vms()
        if request.path.startswith("/v1/weights"):
            return await self._serve_weights(request)
        if request.path.startswith("/v1/objects/"):
            return self._serve_object(request)
        raise BadRequest("unknown path; use /v1/vms, /v1/weights or /v1/objects")

    def _list_vms(self) -> Response:
        if self.faults.down:
            raise ConnectionError("the VM list is down")
        visible_s = self._now_s() - self.faults.lag_s
        rows = next(r for at_s, r in reversed(self._history) if at_s <= visible_s)
        return to_json_response(tuple(rows.values()))

    async def _serve_weights(self, request: Request) -> Response:
        if request.method == "POST":
            entry = request.decode(WeightEntry)
            newest = max(entry.version, self.weights.get(entry.model, 0))
            self.weights[entry.model] = newest
            return to_json_response(entry)
        _, model, version = request.path.removeprefix("/v1/").split("/")
        await self.fetch_weights(WeightEntry(model, int(version)))
        return to_json_response(WeightEntry(model, int(version)))

    async def fetch_weights(self, entry: WeightEntry) -> None:
        """Wait for the rate limit; raise NotFound if the version was not published."""
        if entry.version > self.weights.get(entry.model, 0):
            raise NotFound("unknown version; publish it first")
        now_s = self._now_s()
        start_s = max(now_s, self._next_fetch_s)
        self._next_fetch_s = start_s + self._fetch_interval_s
        await asyncio.sleep(start_s - now_s)

    def _serve_object(self, request: Request) -> Response:
        key = request.path.removeprefix("/v1/objects/")
        if request.method == "PUT":
            self.objects[key] = request.body
            return to_json_response({})
        if key not in self.objects:
            raise NotFound("unknown object; put it first")
        body = self.objects[key]
        return Response(200, body, "application/octet-stream")


__all__ = ["PlatformStandin"]
