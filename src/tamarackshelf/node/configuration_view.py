"""The routing configuration that operators set, as this node knows it."""

from __future__ import annotations

from collections.abc import Callable

from tamarackshelf.net import ServerLimits
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.world.route import RoutingConfiguration

# The server keeps a connection a little longer than callers may leave it idle, so that
# a request rarely arrives while the server closes its connection.
IDLE_MARGIN_S = 1.0


class ConfigurationView:
    """The newest configuration that this node has read; an older one is ignored.

    `on_update` is called with each newer one.
    """

    def __init__(
        self, timeline: Timeline, min_body_bytes_per_s: float = 16 * 1024
    ) -> None:
        self.on_update: Callable[[RoutingConfiguration], None] = lambda _: None
        self.route_table: RouteTable | None = None
        self._timeline = timeline
        self._min_body_bytes_per_s = min_body_bytes_per_s
        self._limits = ServerLimits()

    def update(
        self, configuration: RoutingConfiguration, reason: str = "read from the store"
    ) -> None:
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
            reason,
            before=before.version if before else 0,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations or ()),
        )
        self.on_update(configuration)

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The configuration in force on this node, or None before the first one."""
        return None if self.route_table is None else self.route_table.configuration

    def has_organisations(self) -> bool:
        """Return whether callers need the API key of an organisation."""
        configuration = self.configuration
        return configuration is not None and configuration.organisations is not None

    def limits(self) -> ServerLimits:
        """Return the limits for callers' connections."""
        return self._limits

    def get_route_table(self) -> RouteTable | None:
        """Return the routes in force on this node, or None before the first ones."""
        return self.route_table


__all__ = ["ConfigurationView"]
