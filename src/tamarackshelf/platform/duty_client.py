"""Calls to the platform for the duties that one node performs for all."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from tamarackshelf.contracts.duties import (
    DutyCallFailed,
    DutyFenced,
    DutyStamp,
    OrderUnavailable,
)
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.world import Address

USAGE_PATH = "/usage"
SCALE_PATH = "/scale"


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
            raise DutyCallFailed(
                f"{USAGE_PATH} returned {status}", is_limited=status == 429
            )

    async def order_workers(
        self,
        service: str,
        data_centre: str,
        count: int,
        stamp: DutyStamp,
        timeout_s: float,
        *,
        is_preemptible: bool,
    ) -> None:
        """Order that a service has `count` workers of a kind in a data centre.

        Raise OrderUnavailable or DutyCallFailed.
        """
        order: dict[str, object] = {
            "upstream": service,
            "zone": data_centre,
            # Despite its name, groupCount is a number of workers.
            "groupCount": count,
        }
        if is_preemptible:
            order["preemptible"] = True
        body = msgspec.json.encode(order)
        status = await self._call(SCALE_PATH, body, stamp, timeout_s)
        # The platform returns 409 for a number that is too low, too.
        if status == 409:
            raise OrderUnavailable(f"{SCALE_PATH} returned 409")
        if not 200 <= status < 300:
            raise DutyCallFailed(
                f"{SCALE_PATH} returned {status}", is_limited=status == 429
            )

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
