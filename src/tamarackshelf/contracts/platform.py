"""Clients of plain services, scorers and the platform's VM list and stores."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.contracts.calls import call_json, raise_target_error
from tamarackshelf.net import ClientResponse, ConnectionLost, HttpClient
from tamarackshelf.world import Address, VmRow


@dataclass(frozen=True, slots=True)
class ScoreRequest:
    """Request for the score of one sample."""

    sample_id: str
    prompt: str
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Score:
    """Score of the sample `sample_id`."""

    sample_id: str
    score: float


@dataclass(frozen=True, slots=True)
class WeightEntry:
    """A model and one of its weight versions in the weight store."""

    model: str
    version: int


async def list_vms(
    http: HttpClient, address: Address, timeout_s: float = 2.0
) -> tuple[VmRow, ...]:
    """Return the platform's list of live and leaving VMs, which may be out of date."""
    return await call_json(
        http, address, "GET", "/v1/vms", tuple[VmRow, ...], timeout_s=timeout_s
    )


async def score(
    http: HttpClient, address: Address, request: ScoreRequest, timeout_s: float
) -> Score:
    """Return the score; raise ConnectionLost if the response is for another sample."""
    response = await call_json(
        http, address, "POST", "/v1/score", Score, request, timeout_s
    )
    if response.sample_id != request.sample_id:
        raise ConnectionLost(f"{address} scored sample {response.sample_id}")
    return response


async def call_plain_service(
    http: HttpClient,
    address: Address,
    path: str,
    request_id: str,
    body: bytes,
    timeout_s: float,
) -> ClientResponse:
    """Call a plain service once; the response must name the same request.

    Raise ConnectFailed, ConnectionLost, RefusedByTarget or TargetFault.
    """
    response = await http.request(
        address,
        "POST",
        f"/v1/call/{path}",
        headers={"x-request-id": request_id, "content-type": "application/json"},
        body=body,
        timeout_s=timeout_s,
        new_connection=True,
    )
    if response.status != 200:
        raise_target_error(address, response.status, response.body)
    if response.headers.get("x-request-id") != request_id:
        raise ConnectionLost(f"{address} sent the response to another request")
    return response


async def publish_weights(
    http: HttpClient, address: Address, entry: WeightEntry, timeout_s: float = 5.0
) -> WeightEntry:
    """Publish a new version of a model in the weight store."""
    return await call_json(
        http, address, "POST", "/v1/weights", WeightEntry, entry, timeout_s
    )


async def fetch_weights(
    http: HttpClient, address: Address, entry: WeightEntry, timeout_s: float = 30.0
) -> WeightEntry:
    """Fetch a weight version from the weight store, which limits the request rate."""
    path = f"/v1/weights/{entry.model}/{entry.version}"
    return await call_json(http, address, "GET", path, WeightEntry, timeout_s=timeout_s)


async def put_object(
    http: HttpClient, address: Address, key: str, body: bytes, timeout_s: float = 5.0
) -> None:
    """Store an object; an existing object with the same key is replaced."""
    response = await http.request(
        address, "PUT", f"/v1/objects/{key}", body=body, timeout_s=timeout_s
    )
    if response.status != 200:
        raise_target_error(address, response.status, response.body)


async def get_object(
    http: HttpClient, address: Address, key: str, timeout_s: float = 5.0
) -> bytes:
    """Return the bytes of an object."""
    response = await http.request(
        address, "GET", f"/v1/objects/{key}", timeout_s=timeout_s
    )
    if response.status != 200:
        raise_target_error(address, response.status, response.body)
    return response.body


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
