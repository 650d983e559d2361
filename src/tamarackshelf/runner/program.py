"""The runner program: produces samples on engines and delivers them to trainers."""

from __future__ import annotations

import hmac
import time
from dataclasses import dataclass

from tamarackshelf.dispatch.runtime import DispatchRuntime, DispatchSettings
from tamarackshelf.errors import NotFound, Unauthorised
from tamarackshelf.net import (
    HttpClient,
    HttpServer,
    Request,
    Response,
    to_json_response,
)
from tamarackshelf.net.rpc import RpcServer
from tamarackshelf.observe import Timeline
from tamarackshelf.observe.decision_trace import Recorder, record_nothing
from tamarackshelf.peers import Role
from tamarackshelf.peers.messages import (
    NOTE_CRASH,
    PULL,
    PUSH_SAMPLES,
    STEP_OPENED,
    Acknowledged,
    StepOpened,
)
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.policy.routing import Router, route
from tamarackshelf.runner.delivery import Delivery
from tamarackshelf.runner.sampler import Sampler
from tamarackshelf.runner.step_executor import StepExecutor
from tamarackshelf.world import Address


@dataclass(frozen=True, slots=True)
class RunnerSettings:
    """Settings of a runner process."""

    vm: str
    data_centre: str
    listen: Address
    peer_listen: Address
    controller: Address
    table: Address
    secret: str
    seed: int = 0


class Runner:
    """Runner process of one VM; `http` calls the targets and the platform."""

    def __init__(
        self,
        settings: RunnerSettings,
        http: HttpClient,
        timeline: Timeline,
        router: Router = route,
        record: Recorder = record_nothing,
    ) -> None:
        self.timeline = timeline
        self.address = settings.listen
        self.peer_address = settings.peer_listen
        self._settings = settings
        dispatch_settings = DispatchSettings(
            vm=settings.vm,
            role=Role.RUNNER,
            controller=settings.controller,
            table=settings.table,
            secret=settings.secret,
            seed=settings.seed,
        )
        self._runtime = DispatchRuntime(
            dispatch_settings, http, timeline, router, record
        )
        self.watch = self._runtime.watch
        sampler = Sampler(
            self._runtime.dispatcher, self.watch, settings.data_centre, time.time
        )
        self.step_executor = StepExecutor(
            settings.vm,
            sampler,
            self.watch,
            self._runtime.table,
            self._runtime.rpc,
            timeline,
        )
        self._delivery = Delivery(
            self.step_executor,
            self.watch,
            self._runtime.table,
            timeline,
            time.time,
            record,
        )
        self._server = HttpServer(self._handle)
        self._rpc_server = RpcServer(
            {
                NOTE_CRASH: self._handle_crash,
                STEP_OPENED: self._handle_step_opened,
                PUSH_SAMPLES: self._delivery.handle_pushed_samples,
                PULL: self._delivery.pull,
            },
            settings.secret,
        )

    async def start(self) -> None:
        """Listen for requests, follow the controller and start to run slots."""
        peer_listen = self._settings.peer_listen
        self.peer_address = await self._rpc_server.start(peer_listen)
        self.address = await self._server.start(self._settings.listen)
        await self._runtime.start()
        await self.step_executor.start()

    async def drain(self) -> None:
        """Announce the stop so that other runners take over; finish running slots."""
        await self._runtime.announce_leaving()
        await self.step_executor.drain()

    async def close(self) -> None:
        """Let the pulls in flight finish, write their cursors and close everything."""
        await self._rpc_server.close(10.0)
        await self._delivery.close()
        await self._runtime.dispatcher.close()
        await self._close_connections()

    async def abort(self) -> None:
        """Stop at once like a crashed process."""
        await self._rpc_server.close(0.0)
        await self._close_connections()

    async def _close_connections(self) -> None:
        await self.step_executor.close()
        await self._server.close(0.0)
        await self._runtime.close()

    async def _handle_step_opened(self, message: StepOpened) -> Acknowledged:
        await self.step_executor.handle_step_opened(message)
        return Acknowledged()

    async def _handle_crash(self, crash: Crash) -> Acknowledged:
        self._runtime.dispatcher.record_crash(
            crash, "a peer reported it in flight when the target crashed"
        )
        return Acknowledged()

    async def _handle(self, request: Request) -> Response:
        if request.path == "/healthz":
            return to_json_response({"ok": True})
        if request.path == "/readyz":
            is_ready = self.watch.view.ready
            return to_json_response({"ready": is_ready}, 200 if is_ready else 503)
        secret = request.headers.get("x-fleet-secret", "")
        if not hmac.compare_digest(secret.encode(), self._settings.secret.encode()):
            raise Unauthorised(
                "the fleet secret is wrong; set the same secret on all processes"
            )
        if request.path == "/metrics":
            return Response(
                200, self._runtime.metrics.render(), "text/plain; version=0.0.4"
            )
        if request.path == "/v1/timeline":
            return to_json_response(self.timeline.page())
        raise NotFound("no such path; see docs/reference/processes.md")


__all__ = ["Runner", "RunnerSettings"]
