"""Client that caches the list of entries (gateways) and tries them in order."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import msgspec

from tamarackshelf.demo.fleet import CLIENT_LOCATION, DemoFleet
from tamarackshelf.demo.observations import Observations
from tamarackshelf.errors import ErrorBody
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient, decode_error
from tamarackshelf.policy.entries import EntryAnswer
from tamarackshelf.world import Address, parse_address

RETRY_DELAY_S = 0.05
REQUEST_TIMEOUT_S = 30.0


class NoValidResponse(Exception):
    """No entry gave a valid response within the timeout."""


class CallFailed(Exception):
    """The system responded with a typed error."""

    def __init__(self, error: ErrorBody) -> None:
        super().__init__(error.message)
        self.error = error


class DemoClient:
    """HTTP client that sends requests to the entries that the system lists."""

    def __init__(
        self, fleet: DemoFleet, name: str, observations: Observations, rng: Random
    ) -> None:
        deployment = fleet.deployment
        self._fleet = fleet
        self._name = name
        self._observations = observations
        self._rng = rng
        self._data_centre = rng.choice(deployment.data_centres)
        self._http = HttpClient(
            fleet.network.build_delay(CLIENT_LOCATION),
            {"authorization": f"Bearer {deployment.token}"},
        )
        self._entries: list[Address] = []
        self._valid_until_s = 0.0

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def call(
        self,
        path: str,
        body: object,
        kind: type[Any],
        key: str = "",
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> Any:
        """Send a request and return the decoded response.

        Send the request to the next entry with the same key if its connection cannot
        be established or is lost, or if it was refused without having run and may be
        retried. Raise CallFailed for any other error. When `timeout_s` is over, raise
        CallFailed with the last refusal, or NoValidResponse if there was none. Raise
        NoValidResponse also for an error that cannot be decoded.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        data = msgspec.json.encode(body)
        last_error: ErrorBody | None = None
        attempt = 0
        while loop.time() < deadline_s:
            address = await self._next_entry(attempt)
            attempt += 1
            remaining_s = max(0.1, deadline_s - loop.time())
            headers = {"x-deadline-ms": f"{remaining_s * 1000:.0f}"}
            if key:
                headers["idempotency-key"] = key
            try:
                answer = await self._http.request(
                    address,
                    "POST",
                    path,
                    headers=headers,
                    body=data,
                    timeout_s=remaining_s,
                )
            except ConnectFailed:
                continue
            except ConnectionLost:
                self._observations.lost_connections += 1
                continue
            if answer.status == 200:
                return msgspec.json.decode(answer.body, type=kind)
            last_error = decode_error(answer.body)
            if last_error is None or not (
                last_error.not_run and last_error.retry_after_s is not None
            ):
                break
            await asyncio.sleep(RETRY_DELAY_S)
        if last_error is None:
            raise NoValidResponse(path)
        raise CallFailed(last_error)

    async def _next_entry(self, attempt: int) -> Address:
        loop = asyncio.get_running_loop()
        if loop.time() >= self._valid_until_s or attempt >= len(self._entries) > 0:
            await self._request_entries()
        if not self._entries:
            await asyncio.sleep(RETRY_DELAY_S)
            return self._rng.choice(self._fleet.list_live_vms()).gateway.address
        return self._entries[attempt % len(self._entries)]

    async def _request_entries(self) -> None:
        """Update the list of entries from a cached entry or one of three random VMs.

        Keep the cached list if none of them responds. The random VMs stand for the
        addresses that a real client has in its settings.
        """
        known = [vm.gateway.address for vm in self._fleet.list_live_vms()]
        query = f"caller={self._name}&data_centre={self._data_centre}"
        for address in [*self._entries, *self._rng.sample(known, min(3, len(known)))]:
            try:
                answer = await self._http.request(
                    address, "GET", f"/v1/entries?{query}", timeout_s=2.0
                )
            except (ConnectFailed, ConnectionLost):
                continue
            if answer.status != 200:
                continue
            entries = msgspec.json.decode(answer.body, type=EntryAnswer)
            self._entries = [parse_address(text) for text in entries.entries]
            now_s = asyncio.get_running_loop().time()
            self._valid_until_s = now_s + entries.valid_for_s
            return


__all__ = ["CallFailed", "DemoClient", "NoValidResponse"]
