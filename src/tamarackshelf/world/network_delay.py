"""Network delays between data centres."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# Takes two locations; returns the one-way delay between them in seconds.
DelayFunction = Callable[[str, str], float]


@dataclass(frozen=True, slots=True)
class NetworkDelays:
    """One-way delays within a data centre, between data centres and to clients."""

    between_s: float
    client_s: float
    within_s: float = 0.0


def build_delay_function(
    delays: NetworkDelays, client_zone: str = "client"
) -> DelayFunction:
    """Return a function that returns the one-way delay between two locations.

    A location is the name of a data centre, or `client_zone` for the clients.
    """

    def delay_s(origin: str, destination: str) -> float:
        if client_zone in (origin, destination):
            return delays.client_s
        if origin == destination:
            return delays.within_s
        return delays.between_s

    return delay_s


def no_delay(origin: str, destination: str) -> float:
    """Return zero for any two locations."""
    del origin, destination
    return 0.0


__all__ = ["DelayFunction", "NetworkDelays", "build_delay_function", "no_delay"]
