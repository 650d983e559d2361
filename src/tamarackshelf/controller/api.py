"""HTTP API of the controller for the programs of its VM and other controllers."""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tamarackshelf.controller.configuration_watch import (
    ConfigurationWatch,
    RevisionStatus,
)
from tamarackshelf.controller.fleet_state import FleetState
from tamarackshelf.controller.fleet_view import (
    PUBLISHED_PREFIX,
    TargetRank,
    build_target_rumour,
)
from tamarackshelf.errors import BadRequest, NotFound, Unauthorised
from tamarackshelf.gossip.task import GossipTask
from tamarackshelf.net import Request, Response, to_json_response
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.peers import Report, ReportKind, Role, ViewAnswer
from tamarackshelf.policy.rumours import Rumour

ROLE_TIMEOUT_S = 4.0
MAX_VIEW_WAIT_S = 10.0


@dataclass(slots=True)
class RolePresence:
    """When each program of this VM last asked for the view, and which are leaving.

    The times are those of the event loop's clock.
    """

    last_seen_at_s: dict[Role, float] = field(default_factory=dict)
    waiting: dict[Role, int] = field(default_factory=dict)
    leaving: set[Role] = field(default_factory=set)

    def list_running(self, now_s: float) -> set[Role]:
        """Return the roles seen within ROLE_TIMEOUT_S that are not leaving."""
        return {
            role
            for role, at_s in self.last_seen_at_s.items()
            if now_s - at_s < ROLE_TIMEOUT_S and role not in self.leaving
        }


class ControllerApi:
    """Request handlers for the fleet view, reports and the exchange of rumours."""

    def __init__(
        self,
        secret: str,
        fleet: FleetState,
        gossip: GossipTask,
        configuration_watch: ConfigurationWatch,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self.role_presence = RolePresence()
        self._secret = secret
        self._fleet = fleet
        self._gossip = gossip
        self._configuration_watch = configuration_watch
        self._timeline = timeline
        self._metrics = metrics
        self._routes: dict[str, Callable[[Request], Awaitable[Response]]] = {
            "/v1/view": self._get_view,
            "/v1/reports": self._handle_report,
            "/v1/sync": self._exchange_rumours,
            "/v1/heads": self._get_heads,
            "/v1/configuration": self._get_configuration,
            "/v1/timeline": self._get_timeline,
            "/metrics": self._get_metrics,
        }

    async def handle(self, request: Request) -> Response:
        """Handle a request; raise Unauthorised if it lacks the fleet secret.

        Only the health and readiness paths need no secret.
        """
        if request.path == "/healthz":
            return to_json_response({"ok": True})
        if request.path == "/readyz":
            status = 200 if self._fleet.ready else 503
            return to_json_response({"ready": self._fleet.ready}, status)
        secret = request.headers.get("x-fleet-secret", "")
        if not hmac.compare_digest(secret.encode(), self._secret.encode()):
            raise Unauthorised(
                "the fleet secret is wrong; set the same secret on all processes"
            )
        route = self._routes.get(request.path)
        if route is None:
            raise NotFound("no such path; see docs/reference/processes.md")
        return await route(request)

    async def _get_view(self, request: Request) -> Response:
        role = request.parameter("role")
        if role:
            self._record_role(Role(role))
        after = int(request.parameter("after", "0"))
        wait_s = min(MAX_VIEW_WAIT_S, float(request.parameter("wait_s", "0")))
        view = await self._fleet.wait_for_change(after, wait_s)
        return to_json_response(ViewAnswer(view))

    def _record_role(self, role: Role) -> None:
        self.role_presence.last_seen_at_s[role] = _now_s()
        self.role_presence.leaving.discard(role)
        self.publish_running_roles()

    def publish_running_roles(self) -> None:
        """Announce by gossip which programs run here; refresh the view on a change."""
        running = self.role_presence.list_running(_now_s())
        if self._gossip.membership.set_flags(role.value for role in running):
            self._fleet.refresh()

    async def _handle_report(self, request: Request) -> Response:
        report = request.decode(Report)
        self._timeline.record(
            "report_taken", report.subject, report.kind.value, version=report.version
        )
        if report.kind is ReportKind.TARGET_LEAVING:
            rank = TargetRank.LEAVING
            self._gossip.publish(
                build_target_rumour(report.subject, report.version, rank)
            )
        elif report.kind is ReportKind.TARGET_CRASHED:
            rank = TargetRank.CRASHED
            self._gossip.publish(
                build_target_rumour(report.subject, report.version, rank)
            )
        elif report.kind is ReportKind.ROLE_LEAVING:
            self.role_presence.leaving.add(Role(report.subject))
            self.publish_running_roles()
        elif report.kind is ReportKind.PUBLISHED:
            subject = PUBLISHED_PREFIX + report.subject
            self._gossip.publish(Rumour(subject, report.version))
        elif report.kind is ReportKind.ACCEPTED:
            pushed = await self._configuration_watch.announce_revision(report.version)
            return to_json_response({"pushed": pushed})
        return to_json_response({})

    async def _exchange_rumours(self, request: Request) -> Response:
        received = request.decode(tuple[Rumour, ...])
        own = self._gossip.membership.rumours.all()
        self._gossip.merge_rumours(received)
        return to_json_response(own)

    async def _get_heads(self, request: Request) -> Response:
        del request
        revision = self._fleet.configuration.revision
        return to_json_response(RevisionStatus(revision, self._fleet.ready))

    async def _get_configuration(self, request: Request) -> Response:
        del request
        if self._fleet.configuration.revision == 0:
            raise BadRequest("no configuration has been accepted yet; accept one first")
        return to_json_response(self._fleet.configuration)

    async def _get_timeline(self, request: Request) -> Response:
        del request
        return to_json_response(self._timeline.page())

    async def _get_metrics(self, request: Request) -> Response:
        del request
        return Response(200, self._metrics.render(), "text/plain; version=0.0.4")


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["ControllerApi", "RolePresence"]
