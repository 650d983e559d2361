"""Organisations, their parameters and campaigns, and the whole configuration."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class OrganisationParameters:
    """Parameters that an operator sets for one organisation."""

    organisation: str
    services: tuple[str, ...]
    models: tuple[str, ...] = ()
    trainers: tuple[str, ...] = ()
    token_digests: tuple[str, ...] = ()
    staleness_bound_versions: int = 2
    staleness_bound_s: float | None = None
    staleness_weight: float = 0.5
    idle_weight: float = 0.5
    non_idempotent_routes: tuple[str, ...] = ()
    key_required_routes: tuple[str, ...] = ()
    max_concurrent: int = 64


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation of a routing configuration and the digests of its API keys.

    `priority` overrides the route's priority, where 0 is the most urgent; None means
    that the route's priority holds.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Campaign:
    """A rollout campaign of one organisation."""

    name: str
    organisation: str
    service: str
    model: str
    scorer: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration revision; a higher revision replaces a lower one."""

    revision: int = 0
    organisations: dict[str, OrganisationParameters] = field(default_factory=dict)
    campaigns: dict[str, Campaign] = field(default_factory=dict)
    operator_digests: tuple[str, ...] = ()
    drained_vms: tuple[str, ...] = ()
    author: str = ""


def digest_token(token: str) -> str:
    """Return the digest that is stored in place of a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def is_operator(configuration: Configuration, token: str) -> bool:
    """Return whether the token belongs to an operator."""
    digest = digest_token(token)
    return any(
        hmac.compare_digest(known, digest) for known in configuration.operator_digests
    )


def matches_route(routes: tuple[str, ...], service: str, path: str) -> bool:
    """Return whether `service/path` is one of the routes."""
    return f"{service}/{path.strip('/')}" in routes


__all__ = [
    "Campaign",
    "Configuration",
    "Organisation",
    "OrganisationParameters",
    "digest_token",
    "is_operator",
    "matches_route",
]
