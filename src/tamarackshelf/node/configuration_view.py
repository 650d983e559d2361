"""What operators and trainers set, as this node knows it."""

from __future__ import annotations

from tamarackshelf.net import ServerLimits
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.world.route import RoutingConfiguration

# A connection is kept a little longer than callers may leave it idle, so that a
# request that crosses the close is rare.
IDLE_MARGIN_S = 1.0


class ConfigurationView:
    """The newest configuration; it never goes back to an older version."""

    def __init__(self, timeline: Timeline) -> None:
        self.route_table: RouteTable | None = None
        self._timeline = timeline
        self._limits = ServerLimits()

    def update(self, configuration: RoutingConfiguration) -> None:
        """Takes a configuration when it is newer."""
        before = self.configuration
        if before is not None and configuration.version <= before.version:
            return
        self.route_table = RouteTable(configuration)
        limits = configuration.limits
        self._limits = ServerLimits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            request_read_s=limits.head_timeout_s + limits.idle_timeout_s,
            idle_s=limits.idle_timeout_s + IDLE_MARGIN_S,
        )
        self._timeline.record(
            "configuration_taken",
            f"version {configuration.version}",
            "the store holds it",
            before=before.version if before else 0,
            routes=len(configuration.routes),
        )

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """Returns the configuration in force here."""
        return None if self.route_table is None else self.route_table.configuration

    def limits(self) -> ServerLimits:
        """Returns the limits for callers' connections."""
        return self._limits

    def get_route_table(self) -> RouteTable | None:
        """Returns the routes in force here."""
        return self.route_table


__all__ = ["ConfigurationView"]
