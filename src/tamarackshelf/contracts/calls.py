"""JSON calls to targets and platform services, with typed errors."""

from __future__ import annotations

from typing import Any, NoReturn, TypeVar

import msgspec

from tamarackshelf.decoding import InvalidInput, decode_json
from tamarackshelf.net import ConnectionLost, HttpClient, decode_error
from tamarackshelf.world import Address

T = TypeVar("T")


class RefusedByTarget(Exception):
    """The target reported that it did not run the request."""

    def __init__(self, address: Address, kind: str, message: str) -> None:
        super().__init__(f"{address} refused: {kind}: {message}")
        self.kind = kind
        self.message = message


class TargetFault(Exception):
    """The target returned an error and may have run the request."""

    def __init__(self, address: Address, status: int, body: bytes) -> None:
        super().__init__(f"{address} returned {status}")
        self.status = status
        self.body = body


def raise_target_error(address: Address, status: int, body: bytes) -> NoReturn:
    """Raise RefusedByTarget if the response has `not_run` set, else TargetFault."""
    error = decode_error(body)
    if error is not None and error.not_run:
        raise RefusedByTarget(address, error.kind, error.message)
    raise TargetFault(address, status, body)


async def call_json(
    http: HttpClient,
    address: Address,
    method: str,
    path: str,
    kind: type[T],
    request: Any = None,
    timeout_s: float = 2.0,
) -> T:
    """Send a request with a JSON body and return the decoded response.

    Raise ConnectFailed, ConnectionLost (also for a response that cannot be decoded),
    RefusedByTarget or TargetFault.
    """
    body = b"" if request is None else msgspec.json.encode(request)
    response = await http.request(address, method, path, body=body, timeout_s=timeout_s)
    if response.status != 200:
        raise_target_error(address, response.status, response.body)
    try:
        return decode_json(response.body, kind)
    except InvalidInput as error:
        raise ConnectionLost(f"{address} sent an invalid response: {error}") from error


__all__ = ["RefusedByTarget", "TargetFault", "call_json", "raise_target_error"]
