"""Contracts of the platform's other services and of scorers."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.contracts.calls import call_json, raise_target_error
from tamarackshelf.net import ClientResponse, ConnectionLost, HttpClient
from tamarackshelf.world import Address, VmRow


@dataclass(frozen=True, slots=True)
class ScoreRequest:
    """Asks for the score of one sample."""

    sample_id: str
    prompt: str
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Score:
    """The score of the sample that it names."""

    sample_id: str
    score: float


@dataclass(frozen=True, slots=True)
class WeightEntry:
    """The newest version of a model in the weight store."""

    model: str
    version: int


async def list_vms(
    http: HttpClient, address: Address, timeout_s: float = 2.0
) -> tuple[VmRow, ...]:
    """Returns the platform's lagging list of live and leaving VMs."""
    return await call_json(
        http, address, "GET", "/v1/vms", tuple[VmRow, ...], timeout_s=timeout_s
    )


async def score(
    http: HttpClient, address: Address, request: ScoreRequest, timeout_s: float
) -> Score:
    """Returns the score; an answer for another sample counts as lost."""
    answer = await call_json(
        http, address, "POST", "/v1/score", Score, request, timeout_s
    )
    if answer.sample_id != request.sample_id:
        raise ConnectionLost(f"{address} scored sample {answer.sample_id}")
    return answer


async def call_plain_service(
    http: HttpClient,
    address: Address,
    path: str,
    request_id: str,
    body: bytes,
    timeout_s: float,
) -> ClientResponse:
    """Calls a plain service once; the answer must name the same request.

    Raises ConnectFailed, ConnectionLost, RefusedByTarget or TargetFault.
    """
    answer = await http.request(
        address,
        "POST",
        f"/v1/call/{path}",
        headers={"x-request-id": request_id, "content-type": "application/json"},
        body=body,
        timeout_s=timeout_s,
        new_connection=True,
    )
    if answer.status != 200:
        raise_target_error(address, answer.status, answer.body)
    if answer.headers.get("x-request-id") != request_id:
        raise ConnectionLost(f"{address} answered another request")
    return answer


async def publish_weights(
    http: HttpClient, address: Address, entry: WeightEntry, timeout_s: float = 5.0
) -> WeightEntry:
    """Puts a new version of a model into the weight store."""
    return await call_json(
        http, address, "POST", "/v1/weights", WeightEntry, entry, timeout_s
    )


async def fetch_weights(
    http: HttpClient, address: Address, entry: WeightEntry, timeout_s: float = 30.0
) -> WeightEntry:
    """Fetches a version from the rate-limited weight store."""
    path = f"/v1/weights/{entry.model}/{entry.version}"
    return await call_json(http, address, "GET", path, WeightEntry, timeout_s=timeout_s)


async def put_object(
    http: HttpClient, address: Address, key: str, body: bytes, timeout_s: float = 5.0
) -> None:
    """Stores an object; writing the same key again replaces it."""
    answer = await http.request(
        address, "PUT", f"/v1/objects/{key}", body=body, timeout_s=timeout_s
    )
    if answer.status != 200:
        raise_target_error(address, answer.status, answer.body)


async def get_object(
    http: HttpClient, address: Address, key: str, timeout_s: float = 5.0
) -> bytes:
    """Returns an object's bytes."""
    answer = await http.request(
        address, "GET", f"/v1/objects/{key}", timeout_s=timeout_s
    )
    if answer.status != 200:
        raise_target_error(address, answer.status, answer.body)
    return answer.body


__all__ = [
    "Score",
    "ScoreRequest",
    "WeightEntry",
    "call_plain_service",
    "fetch_weights",
    "get_object",
    "list_vms",
    "publish_weights",
    "put_object",
    "score",
]
