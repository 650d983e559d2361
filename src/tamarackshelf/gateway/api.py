"""HTTP interface of the gateway."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.errors import Draining, NotFound, ShelfError
from tamarackshelf.gateway.caller import identify_caller
from tamarackshelf.gateway.calls import CallApi
from tamarackshelf.gateway.completions import CompletionApi
from tamarackshelf.gateway.operators import OperatorApi
from tamarackshelf.gateway.trainers import TrainerApi
from tamarackshelf.net import Request, Response, to_error_response, to_json_response
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.peers import Role, ViewWatch
from tamarackshelf.policy.entries import VALID_FOR_S, choose_entries


@dataclass(frozen=True, slots=True)
class ApiComponents:
    """Components to which the gateway's HTTP interface passes requests."""

    completions: CompletionApi
    calls: CallApi
    trainers: TrainerApi
    operators: OperatorApi
    timeline: Timeline
    metrics: Metrics


class GatewayApi:
    """Routes HTTP requests to the components.

    While `is_rejecting` is true, requests of callers and trainers fail with Draining,
    which tells them that the request did not run. `valid_for_s` is the time for which
    clients may use a list of entry addresses.
    """

    def __init__(
        self,
        watch: ViewWatch,
        components: ApiComponents,
        valid_for_s: float = VALID_FOR_S,
    ) -> None:
        self.is_rejecting = False
        self._watch = watch
        self._components = components
        self._valid_for_s = valid_for_s

    async def handle(self, request: Request) -> Response:
        """Answer one request; an error lists up to three gateway addresses."""
        try:
            return await self._route(request)
        except ShelfError as error:
            self._components.metrics.count(f"errors_{error.kind}")
            return to_error_response(error, self._list_gateway_addresses())

    async def _route(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        if parts == ["healthz"]:
            return to_json_response({"ok": True})
        if parts == ["readyz"]:
            is_ready = self._watch.view.ready and not self.is_rejecting
            return to_json_response({"ready": is_ready}, 200 if is_ready else 503)
        if parts == ["metrics"]:
            content_type = "text/plain; version=0.0.4"
            return Response(200, self._components.metrics.render(), content_type)
        if parts == ["v1", "entries"]:
            return self._get_entries(request)
        if parts == ["v1", "timeline"] or parts[:2] == ["v1", "operator"]:
            return await self._route_operator(request, parts)
        if self.is_rejecting:
            raise Draining(
                "this gateway is shutting down and did not run the request; send it to "
                "another entry address",
                retry_after_s=0.1,
            )
        return await self._route_caller(request, parts)

    async def _route_caller(self, request: Request, parts: list[str]) -> Response:
        configuration = self._watch.get_ready_view().configuration
        caller = identify_caller(request, configuration)
        match request.method, parts:
            case "POST", ["v1", "services", service, "completions"]:
                return await self._components.completions.serve(
                    service, caller, request
                )
            case "POST", ["v1", "services", service, "call", *path]:
                name = "/".join(path)
                return await self._components.calls.serve(
                    service, name, caller, request
                )
            case "POST", ["v1", "campaigns", campaign, "steps"]:
                return await self._components.trainers.open_step(
                    campaign, caller, request
                )
            case "POST", ["v1", "steps", step, "pull"]:
                return await self._components.trainers.pull(step, caller, request)
            case "POST", ["v1", "models", model, "published"]:
                return await self._components.trainers.announce_version(
                    model, caller, request
                )
        raise NotFound("this path does not exist; see docs/reference/callers.md")

    async def _route_operator(self, request: Request, parts: list[str]) -> Response:
        operators = self._components.operators
        operators.authorise(request)
        match request.method, parts:
            case "GET", ["v1", "timeline"]:
                return to_json_response(self._components.timeline.page())
            case "GET", ["v1", "operator", "configuration"]:
                return await operators.show_configuration()
            case "GET", ["v1", "operator", "status"]:
                return await operators.show_status()
            case "GET", ["v1", "operator", "history"]:
                return await operators.show_history()
            case "POST", ["v1", "operator", "templates"]:
                return await operators.edit_template(request)
            case "POST", ["v1", "operator", "campaigns"]:
                return await operators.edit_campaign(request)
            case "POST", ["v1", "operator", "drains"]:
                return await operators.drain(request)
        raise NotFound("this path does not exist; see docs/reference/operators.md")

    def _get_entries(self, request: Request) -> Response:
        view = self._watch.get_ready_view()
        answer = choose_entries(
            view.find_entries(Role.GATEWAY),
            request.parameter("caller"),
            request.parameter("data_centre"),
            self._valid_for_s,
        )
        return to_json_response(answer)

    def _list_gateway_addresses(self) -> tuple[str, ...]:
        entries = self._watch.view.find_entries(Role.GATEWAY)
        return tuple(str(entry.gateway) for entry in entries)[:3]


__all__ = ["ApiComponents", "GatewayApi"]
