"""HTTP interface for calls to plain services."""

from __future__ import annotations

from tamarackshelf.contracts import TargetFault
from tamarackshelf.dispatch import (
    AdmissionRequest,
    Dispatcher,
    DispatchRequest,
    HeldPermit,
    run_at_most_once,
    run_idempotent,
)
from tamarackshelf.errors import BadRequest
from tamarackshelf.gateway.at_most_once import AtMostOnceExecutor
from tamarackshelf.gateway.caller import Caller
from tamarackshelf.gateway.plain_call import PlainCall, build_outcome_unknown, send_call
from tamarackshelf.net import ConnectionLost, Request, Response
from tamarackshelf.policy.quarantine import fingerprint_request
from tamarackshelf.policy.routing import TargetRequirements
from tamarackshelf.world import matches_route


class CallApi:
    """Runs idempotent calls with retries and non-idempotent calls at most once."""

    def __init__(
        self, dispatcher: Dispatcher, at_most_once: AtMostOnceExecutor, data_centre: str
    ) -> None:
        self._dispatcher = dispatcher
        self._at_most_once = at_most_once
        self._data_centre = data_centre

    async def serve(
        self, service: str, path: str, caller: Caller, request: Request
    ) -> Response:
        """Run one call and return the target's answer.

        Raise BadRequest if the service or path is not allowed or a required key is
        missing.
        """
        organisation = caller.organisation
        if service not in organisation.services:
            raise BadRequest(
                f"service {service} is not enabled for this organisation; "
                "ask an operator"
            )
        if not path or ".." in path:
            raise BadRequest(
                "the path after /call/ is empty or contains two dots; correct it"
            )
        self._check_key(service, path, caller)
        call = self._build_call(service, path, caller, request)
        if not matches_route(organisation.non_idempotent_routes, service, path):
            return _to_response(await self._run_idempotent(call))
        if caller.idempotency_key:
            key = f"{organisation.organisation}/{caller.idempotency_key}"
            return _to_response(await self._at_most_once.run(key, call))
        return _to_response(await self._run_unkeyed(call))

    def _check_key(self, service: str, path: str, caller: Caller) -> None:
        routes = caller.organisation.key_required_routes
        if matches_route(routes, service, path) and not caller.idempotency_key:
            raise BadRequest(
                "this call must have an idempotency key to run at most once; send the "
                "header idempotency-key with a new UUID"
            )

    def _build_call(
        self, service: str, path: str, caller: Caller, request: Request
    ) -> PlainCall:
        organisation = caller.organisation.organisation
        requirements = TargetRequirements(
            service=service, data_centre=self._data_centre
        )
        admission = AdmissionRequest(
            requirements, organisation, caller.work_class, caller.deadline_s
        )
        body = path.encode() + b"\0" + request.body
        fingerprint = fingerprint_request(organisation, service, body)
        dispatch_request = DispatchRequest(caller.request_id, fingerprint, admission)
        return PlainCall(path, request.body, dispatch_request)

    async def _run_unkeyed(self, call: PlainCall) -> bytes:
        """Send a non-idempotent call; resend it only if it certainly did not run."""

        async def attempt(permit: HeldPermit) -> bytes:
            try:
                return await send_call(self._dispatcher, permit, call)
            except (ConnectionLost, TargetFault) as error:
                await self._dispatcher.handle_lost_answer(call.request, permit)
                raise build_outcome_unknown(str(error)) from error

        return await run_at_most_once(self._dispatcher, call.request, attempt)

    async def _run_idempotent(self, call: PlainCall) -> bytes:
        async def attempt(permit: HeldPermit) -> bytes:
            return await send_call(self._dispatcher, permit, call)

        return await run_idempotent(self._dispatcher, call.request, attempt)


def _to_response(body: bytes) -> Response:
    return Response(200, body)


__all__ = ["CallApi"]
