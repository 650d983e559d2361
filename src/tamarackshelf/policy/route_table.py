"""Lookup of the route of a request and of the service that it goes to."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from tamarackshelf.world.route import Route, RoutingConfiguration, ServiceShare


class RouteTable:
    """Routes of one configuration by host and longest path prefix."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route
        self._priorities = {
            each.name: each.priority
            for each in reversed(configuration.organisations or ())
            if each.priority is not None
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, or None."""
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

    def get_priority(self, route: Route, organisation: str) -> int:
        """Return the organisation's priority, or the route's if it has none."""
        return self._priorities.get(organisation, route.priority)

    def has_host(self, host: str) -> bool:
        """Return whether any route has this host."""
        return host.lower() in self._by_host


def pick_service(shares: Sequence[ServiceShare], rng: Random) -> str:
    """Draw a service of a traffic split at random by weight.

    Without a positive weight, return the first service.
    """
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    if sum(weights) <= 0:
        return shares[0].service
    return rng.choices(shares, weights)[0].service


__all__ = ["RouteTable", "pick_service"]
