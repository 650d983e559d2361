"""Routes, services and limits as operators configure them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    JOB = "job"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight in a route's split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route; `rank` 0 is the most urgent."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int = 5
    is_resumable: bool = False
    is_single_version: bool = False
    job_due_s: float = 0.0
    job_max_wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `models` are empty when its targets are no engines."""

    name: str
    max_connections: int
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take or stay idle."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """Everything that operators set; a higher version replaces a lower."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


__all__ = [
    "CallerLimits",
    "Route",
    "RouteKind",
    "RoutingConfiguration",
    "Service",
    "ServiceShare",
]
