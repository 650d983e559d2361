"""Delays of the links between data centres."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

DelayFunction = Callable[[str, str], float]


@dataclass(frozen=True, slots=True)
class NetworkDelays:
    """One-way delays in seconds within and between data centres."""

    between_s: float
    client_s: float
    within_s: float = 0.0


def build_delay_function(
    link: NetworkDelays, client_zone: str = "client"
) -> DelayFunction:
    """Returns a function that gives the one-way delay between two places."""

    def delay_s(origin: str, destination: str) -> float:
        if client_zone in (origin, destination):
            return link.client_s
        if origin == destination:
            return link.within_s
        return link.between_s

    return delay_s


def no_delay(origin: str, destination: str) -> float:
    """Returns zero for every link."""
    del origin, destination
    return 0.0


__all__ = ["NetworkDelays", "DelayFunction", "build_delay_function", "no_delay"]
