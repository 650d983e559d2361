"""Interface to the platform for the calls that one node makes for all."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol


class DutyCallFailed(Exception):
    """The call was not accepted; it may be repeated.

    `may_execute` means that no response came, so that the platform may still execute
    the call seconds later; `is_limited` that the platform gets too many calls.
    """

    def __init__(
        self, reason: str, *, may_execute: bool = False, is_limited: bool = False
    ) -> None:
        super().__init__(reason)
        self.may_execute = may_execute
        self.is_limited = is_limited


class DutyFenced(Exception):
    """The platform has seen a higher fencing number for the duty and its subject."""


class OrderUnavailable(Exception):
    """The platform has no such workers now, or has seen a higher fencing number."""


@dataclass(frozen=True, slots=True)
class DutyStamp:
    """Who makes a call: the VM and the fencing number of its lease."""

    holder: str
    fencing_number: int


class DutyPlatform(Protocol):
    """The platform's side of the duties."""

    def encode_usage(self, window: int, counts: Mapping[str, int]) -> bytes:
        """Return the report on a window, with the requests by organisation."""

    async def report_usage(
        self, report: bytes, stamp: DutyStamp, timeout_s: float
    ) -> None:
        """Send an encoded report; raise DutyCallFailed or DutyFenced."""

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


__all__ = [
    "DutyCallFailed",
    "DutyFenced",
    "DutyPlatform",
    "DutyStamp",
    "OrderUnavailable",
]
