"""Which route a request belongs to and which service it goes to."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from tamarackshelf.world.route import Route, RoutingConfiguration, ServiceShare


class RouteTable:
    """Finds routes of one configuration by host and longest path prefix."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
        routes = self._by_host.get(host.lower())
        if not routes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def has_host(self, host: str) -> bool:
        """Tells whether any route is of this host."""
        return host.lower() in self._by_host


def pick_service(shares: Sequence[ServiceShare], rng: Random) -> str:
    """Draws a service of a split by its weight."""
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    if sum(weights) <= 0:
        return shares[0].service
    return rng.choices(shares, weights)[0].service


__all__ = ["RouteTable", "pick_service"]
