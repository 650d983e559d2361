"""Messages about the isolation of suspect requests, for any transport."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IsolationRequest:
    """Request for one of `targets` on which to run a suspect request in isolation.

    A suspect request was in flight when a target crashed. The arbiter, one of the
    gateways or nodes, grants each target to one suspect request at a time.
    """

    fingerprint: str
    targets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class IsolationAnswer:
    """Granted target; if its name is empty, the caller asks again later."""

    target: str


@dataclass(frozen=True, slots=True)
class IsolationRelease:
    """Release of a granted target."""

    fingerprint: str
    target: str


__all__ = ["IsolationAnswer", "IsolationRelease", "IsolationRequest"]
