"""Routes, services and limits as operators configure them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tamarackshelf.world.organisation import Organisation


class RouteKind(enum.StrEnum):
    """Kind of a route, which decides whether its requests may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    JOB = "job"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route to one or more services; `priority` 0 is the most urgent.

    A request may wait up to `timeout_s`; a response earns full credit if it takes no
    longer than `target_latency_s`. The results of a job are due `job_due_s` after the
    job was accepted.
    """

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
    # Callers need no API key on a public route.
    is_public: bool = False
    job_due_s: float = 0.0
    job_max_wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds and prices within which workers of a service may be ordered.

    The bounds apply to each data centre and to both kinds of workers together. A new
    worker starts to serve `startup_s` after it was ordered. `prices_per_s` holds the
    price of one second of a worker by data centre; a preemptible worker costs
    `preemptible_price` of it.
    """

    min_workers: int
    max_workers: int
    startup_s: float
    preemptible_price: float = 1.0
    prices_per_s: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `models` is empty if its targets are not engines.

    Without `scaling`, no workers may be ordered.
    """

    name: str
    max_connections: int
    models: tuple[str, ...] = ()
    scaling: Scaling | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers: size of a request, time to send its head, and idle time."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """Routes, services and limits; a higher version replaces a lower one.

    `organisations` is None if callers need no API keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    organisations: tuple[Organisation, ...] | None = None


__all__ = [
    "CallerLimits",
    "Route",
    "RouteKind",
    "RoutingConfiguration",
    "Scaling",
    "Service",
    "ServiceShare",
]
