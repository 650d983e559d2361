"""Calls to the platform for the duties that one node performs for all."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from tamarackshelf.contracts.duties import DutyCallFailed, DutyFenced, DutyStamp
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.world import Address

USAGE_PATH = "/usage"


class PlatformDutyClient:
    """DutyPlatform implementation that speaks the platform's HTTP protocol."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        self._http = http
        self._address = address

    def encode_usage(self, window: int, counts: Mapping[str, int]) -> bytes:
        """Return the report on a window, with the requests by organisation."""
        # Despite its name, replicaCounts holds numbers of requests.
        return msgspec.json.encode({"window": window, "replicaCounts": dict(counts)})

    async def report_usage(
        self, report: bytes, stamp: DutyStamp, timeout_s: float
    ) -> None:
        """Send an encoded report; raise DutyCallFailed or DutyFenced."""
        status = await self._call(USAGE_PATH, report, stamp, timeout_s)
        if status == 409:
            raise DutyFenced(f"{USAGE_PATH} refused number {stamp.fencing_number}")
        if not 200 <= status < 300:
            raise DutyCallFailed(f"{USAGE_PATH} returned {status}")

    async def _call(
        self, path: str, body: bytes, stamp: DutyStamp, timeout_s: float
    ) -> int:
        headers = {
            "content-type": "application/json",
            "x-duty-holder": stamp.holder,
            "x-fence-token": str(stamp.fencing_number),
        }
        try:
            response = await self._http.request(
                self._address,
                "POST",
                path,
                headers=headers,
                body=body,
                timeout_s=timeout_s,
                # The lease is confirmed before each time that a call is sent.
                resend=False,
            )
        except ConnectFailed as error:
            raise DutyCallFailed(str(error)) from error
        except ConnectionLost as error:
            self._http.close_idle_connections(self._address)
            raise DutyCallFailed(str(error), may_execute=True) from error
        return response.status


__all__ = ["PlatformDutyClient"]
