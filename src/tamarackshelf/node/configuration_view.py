"""The routing configuration that operators set, as this node knows it."""

from __future__ import annotations

from tamarackshelf.net import ServerLimits
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.world.route import RoutingConfiguration

# The server keeps a connection a little longer than callers may leave it idle, so that
# a request rarely arrives while the server closes its connection.
IDLE_MARGIN_S = 1.0


class ConfigurationView:
    """The newest configuration that this node has read; an older one is ignored."""

    def __init__(
        self, timeline: Timeline, min_body_bytes_per_s: float = 16 * 1024
    ) -> None:
        self.route_table: RouteTable | None = None
        self._timeline = timeline
        self._min_body_bytes_per_s = min_body_bytes_per_s
        self._limits = ServerLimits()

    def update(self, configuration: RoutingConfiguration) -> None:
        """Replace the configuration with a newer one; ignore any other."""
        before = self.configuration
        if before is not None and configuration.version <= before.version:
            return
        self.route_table = RouteTable(configuration)
        limits = configuration.limits
        self._limits = ServerLimits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            head_read_s=limits.head_timeout_s + IDLE_MARGIN_S,
            body_bytes_per_s=self._min_body_bytes_per_s,
            request_read_s=limits.head_timeout_s + limits.idle_timeout_s,
            idle_s=limits.idle_timeout_s + IDLE_MARGIN_S,
        )
        self._timeline.record(
            "configuration_taken",
            f"version {configuration.version}",
            "read from the store",
            before=before.version if before else 0,
            routes=len(configuration.routes),
        )

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The configuration in force on this node, or None before the first one."""
        return None if self.route_table is None else self.route_table.configuration

    def limits(self) -> ServerLimits:
        """Return the limits for callers' connections."""
        return self._limits

    def get_route_table(self) -> RouteTable | None:
        """Return the routes in force on this node, or None before the first ones."""
        return self.route_table


__all__ = ["ConfigurationView"]
