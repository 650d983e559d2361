"""Decoding of the rows that the operator and the workers write."""

from __future__ import annotations

import ipaddress
import logging
import math
from typing import Annotated, Any, TypeVar

import msgspec

from tamarackshelf.contracts.targets import TargetRecord
from tamarackshelf.decoding import Int64, InvalidInput, decode_json
from tamarackshelf.platform.organisation_records import (
    UnreadableField,
    decode_is_public,
    decode_organisations,
    log_unreadable_fields,
)
from tamarackshelf.world import Address, Target, TargetKind, parse_address
from tamarackshelf.world.route import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    Scaling,
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

# The platform's bound for keys of rows, which contain some of these names.
MAX_NAME_CHARACTERS = 200
MAX_MODELS = 100
# A larger number of places is a mistake; its worker would be given all the work.
MAX_CAPACITY = 10_000
# A larger number of workers to order is a mistake that would be billed.
MAX_ORDERED_WORKERS = 10_000
MAX_DATA_CENTRES = 100
# Larger whole numbers are not exact in the JSON of every writer.
MAX_EXACT_NUMBER = 2**53 - 1
# More than a year in milliseconds, and a finite number of them.
MAX_DURATION_MS = 1e11

log = logging.getLogger("tamarackshelf")

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]
Capacity = Annotated[int, msgspec.Meta(ge=1, le=MAX_CAPACITY)]
Duration = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_MS)]
Weight = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_EXACT_NUMBER))]

WorkerCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_ORDERED_WORKERS)]

# A field that the row does not have.
ABSENT = msgspec.Raw(b"null")

T = TypeVar("T")


class UnreadableRecord(Exception):
    """The row's value is invalid.

    A worker's row then counts as deleted, as it says neither where the worker is nor
    whether it leaves; an operator's row is ignored, so that the one before it holds.
    """


class _Split(msgspec.Struct):
    upstream: Name
    weight: Weight = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    route_type: str
    # Longest time that the operator allows a request to wait.
    timeout_ms: Duration = 10_000.0
    # Response time up to which a response earns full credit; not a limit.
    target_latency_ms: Duration = 1_000.0
    priority: Int64 = 5
    upstream: Name = ""
    traffic_split: list[_Split] = []
    # Maximum number of workers to which one request of a caller may be sent.
    max_attempts: Int64 = 1
    resumable: bool = False
    single_version: bool = False
    due_ms: Duration = 0.0
    max_wait_s: Duration = 0.0
    # Decoded field by field, so that an invalid value costs only itself.
    public: Any = None


class _Model(msgspec.Struct):
    name: Name


class _Backend(msgspec.Struct):
    models: list[_Model] = []


class _Scaling(msgspec.Struct, rename="camel"):
    # Bounds for each data centre and both kinds of workers together.
    max_replicas: WorkerCount
    startup_s: Duration
    min_replicas: WorkerCount = 0
    # Price of a preemptible worker relative to a regular one.
    spot_bid: Weight = 1.0
    zone_prices: Annotated[
        dict[Name, Weight], msgspec.Meta(max_length=MAX_DATA_CENTRES)
    ] = {}


class _Upstream(msgspec.Struct, rename="camel"):
    name: Name
    # A worker counts the connections that it has from all VMs together.
    max_connections: Number = 100
    backend: _Backend | None = None
    # Decoded on its own, so that an invalid one does not cost the configuration.
    scaling: msgspec.Raw = ABSENT


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: Number = 16 * 1024
    max_body_bytes: Number = 32 * 1024 * 1024
    header_timeout_ms: Duration = 3_000.0
    idle_timeout_ms: Duration = 15_000.0


class _Configuration(msgspec.Struct):
    version: Number
    routes: list[_Route] = []
    # The platform calls a service an upstream.
    upstreams: list[_Upstream] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # The platform calls an organisation a tenant. Decoded as `public` is.
    tenants: Any = None


class _LoadedModel(msgspec.Struct):
    name: Name
    version: Number


class _Worker(msgspec.Struct, rename="camel"):
    upstream: Name
    address: Name
    zone: Name
    state: Name
    capacity: Capacity = 1
    # Start time in Unix milliseconds; it changes when a worker with this id restarts.
    born: Number = 0
    models: Annotated[list[_LoadedModel], msgspec.Meta(max_length=MAX_MODELS)] = []
    # Version of the worker's software; the weight versions are those in `models`.
    version: Name = ""
    # Decoded on their own, so that an invalid one does not cost the worker.
    preemptible: msgspec.Raw = ABSENT
    leaves_ms: msgspec.Raw = msgspec.field(default=ABSENT, name="leaves_ms")
    # The row's `sequence` is not decoded: it counts heartbeats, whereas `sequence` in a
    # worker's report counts orders.


class _ModelVersion(msgspec.Struct):
    model: Name
    version: Number


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Decode the operator's configuration; raise UnreadableRecord if it is invalid."""
    record = _decode(value, _Configuration)
    errors: list[UnreadableField] = []
    routes = tuple(
        _to_route(route, decode_is_public(number, route.public, errors))
        for number, route in enumerate(record.routes)
    )
    services = {each.name: _to_service(each) for each in record.upstreams}
    limits = CallerLimits(
        head_bytes=record.limits.max_header_bytes,
        body_bytes=record.limits.max_body_bytes,
        head_timeout_s=record.limits.header_timeout_ms / 1000,
        idle_timeout_s=record.limits.idle_timeout_ms / 1000,
    )
    organisations = None
    if record.tenants is not None:
        organisations = decode_organisations(record.tenants, errors)
    log_unreadable_fields(errors)
    return RoutingConfiguration(record.version, routes, services, limits, organisations)


def decode_target(name: str, value: bytes, *, checks_fencing: bool) -> TargetRecord:
    """Decode the row of a worker; raise UnreadableRecord if it is invalid."""
    if not (name and name.isascii() and name.isprintable()):
        # Requests name the worker in a header.
        raise UnreadableRecord(f"the worker's id {name!r} is not plain text")
    record = _decode(value, _Worker)
    if record.state not in ("ready", "draining"):
        raise UnreadableRecord(f"the worker's state {record.state!r} is unknown")
    address = _parse_worker_address(record.address)
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
    row = f"{TARGETS_TABLE}/{name}"
    leaves_ms = _decode_field(record.leaves_ms, Duration, row, "leaves_ms")
    return TargetRecord(
        target,
        is_leaving,
        versions,
        is_preemptible=bool(
            _decode_field(record.preemptible, bool, row, "preemptible")
        ),
        leaves_in_s=None if leaves_ms is None else leaves_ms / 1000,
    )


def decode_model_version(value: bytes) -> tuple[str, int]:
    """Decode a model's name and the weight version that its trainer announced.

    Raise UnreadableRecord if the row is invalid.
    """
    record = _decode(value, _ModelVersion)
    return record.model, record.version


def _to_route(route: _Route, is_public: bool) -> Route:
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
        is_public=is_public,
        job_due_s=route.due_ms / 1000,
        job_max_wait_s=route.max_wait_s or math.inf,
    )


def _to_service(record: _Upstream) -> Service:
    models = record.backend.models if record.backend is not None else []
    names = tuple(model.name for model in models)
    scaling = _decode_scaling(record)
    return Service(record.name, record.max_connections, names, scaling)


def _decode_scaling(record: _Upstream) -> Scaling | None:
    row = f"{OPERATOR_TABLE}/{CONFIGURATION_KEY}"
    field = f"upstreams[{record.name}].scaling"
    scaling: _Scaling | None = _decode_field(record.scaling, _Scaling, row, field)
    if scaling is None:
        return None
    if scaling.min_replicas > scaling.max_replicas:
        reason = f"{scaling.min_replicas} is above {scaling.max_replicas}"
        _report_field(row, f"{field}.minReplicas", reason)
        return None
    return Scaling(
        min_workers=scaling.min_replicas,
        max_workers=scaling.max_replicas,
        startup_s=scaling.startup_s,
        preemptible_price=scaling.spot_bid,
        prices_per_s=scaling.zone_prices,
    )


def _decode_field(value: msgspec.Raw, kind: Any, row: str, field: str) -> Any:
    """Decode a value of the type `kind` or null; log an invalid one, return None."""
    try:
        return decode_json(bytes(value), kind | None)
    except InvalidInput as error:
        _report_field(row, field, str(error))
        return None


def _report_field(row: str, field: str, reason: str) -> None:
    event = {"row": row, "field": field, "reason": reason}
    log.warning("field_unreadable", extra={"event": event})


def _parse_worker_address(text: str) -> Address:
    """Parse an address that can be connected to; raise UnreadableRecord if not."""
    try:
        address = parse_address(text)
    except ValueError as error:
        raise UnreadableRecord(f"the worker's address: {error}") from error
    host = ipaddress.ip_address(address.host)
    if address.port == 0 or host.is_unspecified or host.is_multicast:
        raise UnreadableRecord(f"the worker's address {text} cannot be called")
    return address


def _decode(value: bytes, kind: type[T]) -> T:
    try:
        return decode_json(value, kind)
    except InvalidInput as error:
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
