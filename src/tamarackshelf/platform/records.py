"""Decoding of the rows that the operator and the workers write."""

from __future__ import annotations

import logging
import math
from typing import Any

import msgspec

from tamarackshelf.contracts.targets import TargetRecord
from tamarackshelf.world import Target, TargetKind, parse_address
from tamarackshelf.world.route import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    ServiceShare,
)

# The platform's documentation writes rows of these tables as `op/NAME` and
# `servers/NAME`.
OPERATOR_TABLE = "op"
TARGETS_TABLE = "servers"
CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
    "rollout": RouteKind.JOB,
}

log = logging.getLogger("tamarackshelf")


class UnreadableRecord(Exception):
    """The row's value is invalid.

    A worker's row then counts as deleted; an operator's row is ignored.
    """


class _Split(msgspec.Struct):
    upstream: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    route_type: str
    # Longest time that the operator allows a request to wait.
    timeout_ms: float = 10_000.0
    # Response time up to which a response earns full credit; not a limit.
    target_latency_ms: float = 1_000.0
    priority: int = 5
    upstream: str = ""
    traffic_split: list[_Split] = []
    # Maximum number of workers to which one request of a caller may be sent.
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    due_ms: float = 0.0
    max_wait_s: float = 0.0


class _Model(msgspec.Struct):
    name: str


class _Backend(msgspec.Struct):
    models: list[_Model] = []


class _Upstream(msgspec.Struct, rename="camel"):
    name: str
    # A worker counts the connections that it has from all VMs together.
    max_connections: int = 100
    backend: _Backend | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 32 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    # The platform calls a service an upstream.
    upstreams: list[_Upstream] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _LoadedModel(msgspec.Struct):
    name: str
    version: int


class _Worker(msgspec.Struct, rename="camel"):
    upstream: str
    address: str
    zone: str
    state: str
    capacity: int = 1
    # Start time in Unix milliseconds; it changes when a worker with this id restarts.
    born: int = 0
    models: list[_LoadedModel] = []
    # Version of the worker's software; the weight versions are those in `models`.
    version: str = ""
    # The row's `sequence` is not decoded: it counts heartbeats, whereas `sequence` in a
    # worker's report counts orders.


class _ModelVersion(msgspec.Struct):
    model: str
    version: int


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Decode the operator's configuration; raise UnreadableRecord if it is invalid."""
    record = _decode(value, _Configuration)
    routes = tuple(_to_route(route) for route in record.routes)
    services = {each.name: _to_service(each) for each in record.upstreams}
    limits = CallerLimits(
        head_bytes=record.limits.max_header_bytes,
        body_bytes=record.limits.max_body_bytes,
        head_timeout_s=record.limits.header_timeout_ms / 1000,
        idle_timeout_s=record.limits.idle_timeout_ms / 1000,
    )
    return RoutingConfiguration(record.version, routes, services, limits)


def decode_target(name: str, value: bytes, *, checks_fencing: bool) -> TargetRecord:
    """Decode the row of a worker; raise UnreadableRecord if it is invalid."""
    record = _decode(value, _Worker)
    if record.state not in ("ready", "draining"):
        raise UnreadableRecord(f"the worker's state {record.state!r} is unknown")
    if record.capacity < 1:
        raise UnreadableRecord(f"the worker's capacity {record.capacity} is below 1")
    try:
        address = parse_address(record.address)
    except ValueError as error:
        raise UnreadableRecord(str(error)) from error
    target = Target(
        name=name,
        service=record.upstream,
        kind=TargetKind.ENGINE if record.models else TargetKind.PLAIN,
        data_centre=record.zone,
        address=address,
        incarnation=record.born,
        concurrency=record.capacity,
        checks_fencing=checks_fencing,
        software=record.version,
    )
    versions = {model.name: model.version for model in record.models}
    is_leaving = record.state == "draining"
    return TargetRecord(target, is_leaving, versions)


def decode_model_version(value: bytes) -> tuple[str, int]:
    """Decode a model's name and the weight version that its trainer announced.

    Raise UnreadableRecord if the row is invalid.
    """
    record = _decode(value, _ModelVersion)
    return record.model, record.version


def _to_route(route: _Route) -> Route:
    kind = _KINDS.get(route.route_type)
    if kind is None:
        # Non-idempotent requests are never repeated, which is safe for any kind.
        log.warning(
            "route_kind_unknown",
            extra={"event": {"route": route.name, "kind": route.route_type}},
        )
        kind = RouteKind.NON_IDEMPOTENT
    split = route.traffic_split or [_Split(route.upstream)]
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=kind,
        shares=tuple(ServiceShare(s.upstream, s.weight) for s in split),
        timeout_s=route.timeout_ms / 1000,
        target_latency_s=route.target_latency_ms / 1000,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        is_resumable=route.resumable,
        is_single_version=route.single_version,
        job_due_s=route.due_ms / 1000,
        job_max_wait_s=route.max_wait_s or math.inf,
    )


def _to_service(record: _Upstream) -> Service:
    models = record.backend.models if record.backend is not None else []
    names = tuple(model.name for model in models)
    return Service(record.name, record.max_connections, names)


def _decode(value: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableRecord(str(error)) from error


__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_TABLE",
    "TARGETS_TABLE",
    "VERSION_KEY_PREFIX",
    "UnreadableRecord",
    "decode_configuration",
    "decode_model_version",
    "decode_target",
]
