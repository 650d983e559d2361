"""HTTP handlers that resolve entry addresses and report readiness to the platform."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from tamarackshelf.net import Request, Response
from tamarackshelf.policy.entries import EntryAnswer

RESOLVE_PATH = "/v1/resolve"
READY_PATH = "/v1/ready"

# Takes the caller's host name and data centre, in this order.
EntrySource = Callable[[str, str], EntryAnswer]


def build_resolve_handler(choose: EntrySource) -> Callable[[Request], Response]:
    """Return the handler that answers which entry addresses a caller should use."""

    def handle(request: Request) -> Response:
        if request.path != RESOLVE_PATH:
            return Response(404)
        chosen = choose(request.parameter("name"), request.parameter("zone"))
        if not chosen.entries:
            return Response(503, headers={"retry-after": "0.3"})
        body = {
            "addresses": chosen.entries,
            # How long callers cache the addresses; some keep them three times as long.
            "recordTtlS": chosen.valid_for_s,
        }
        return Response(200, msgspec.json.encode(body))

    return handle


def build_ready_handler(is_ready: Callable[[], bool]) -> Callable[[Request], Response]:
    """Return the handler of the platform's readiness checks."""

    def handle(request: Request) -> Response:
        if request.path != READY_PATH:
            return Response(404)
        return Response(200 if is_ready() else 503)

    return handle


__all__ = ["build_resolve_handler", "build_ready_handler"]
