"""JSON calls to targets and the platform, with typed refusals."""

from __future__ import annotations

from typing import Any, NoReturn, TypeVar

import msgspec

from tamarackshelf.net import ConnectionLost, HttpClient, decode_error
from tamarackshelf.world import Address

T = TypeVar("T")


class RefusedByTarget(Exception):
    """The target itself said that it did not run the request."""

    def __init__(self, address: Address, kind: str, message: str) -> None:
        super().__init__(f"{address} refused: {kind}: {message}")
        self.kind = kind
        self.message = message


class TargetFault(Exception):
    """The target answered with an error after it may have run the request."""

    def __init__(self, address: Address, status: int, body: bytes) -> None:
        super().__init__(f"{address} answered {status}")
        self.status = status
        self.body = body


def raise_target_error(address: Address, status: int, body: bytes) -> NoReturn:
    """Raises RefusedByTarget when the target says not run, else TargetFault."""
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
    """Returns the decoded answer.

    Raises ConnectFailed, ConnectionLost, RefusedByTarget or TargetFault.
    """
    body = b"" if request is None else msgspec.json.encode(request)
    answer = await http.request(address, method, path, body=body, timeout_s=timeout_s)
    if answer.status != 200:
        raise_target_error(address, answer.status, answer.body)
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError as error:
        raise ConnectionLost(f"{address} sent a broken answer: {error}") from error


__all__ = ["RefusedByTarget", "TargetFault", "call_json", "raise_target_error"]
