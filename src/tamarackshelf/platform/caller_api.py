"""HTTP API for the platform's callers: requests, jobs and results of jobs."""

from __future__ import annotations

import asyncio
import base64
import logging
import math
from collections.abc import AsyncGenerator, Callable
from dataclasses import replace
from urllib.parse import unquote

import msgspec

from tamarackshelf.contracts.targets import (
    ForwardedRequest,
    Resumption,
    StreamHead,
    TargetResponse,
)
from tamarackshelf.decoding import InvalidInput, parse_number
from tamarackshelf.entry.forwarder import Forwarder
from tamarackshelf.entry.streamer import Streamer
from tamarackshelf.errors import (
    BadRequest,
    NotFound,
    NotReady,
    ShelfError,
    Unauthorised,
)
from tamarackshelf.jobs.manager import JobManager
from tamarackshelf.jobs.reader import ResultPage
from tamarackshelf.net import Request, Response, is_sendable
from tamarackshelf.observe import LogSampler
from tamarackshelf.organisations import KeyAuthenticator
from tamarackshelf.platform.caller_identity import CREDENTIAL_HEADER, remove_identity
from tamarackshelf.platform.target_client import (
    REQUEST_ID_HEADER,
    UNFORWARDED_HEADERS,
)
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.world.job import ItemResult, Job, JobItem, ScoreCall
from tamarackshelf.world.route import Route, RouteKind

log = logging.getLogger("tamarackshelf")

RESULTS_PATH = "/v1/lots/"
BODIES_PATH = "/v1/items/"
# Longest time that the platform lets a request for results wait for a result.
MAX_WAIT_S = 1.0
# Longer values of clients are cut in the log; a request's head may have 16 KB.
MAX_LOGGED_CHARACTERS = 200
# Refusals of each kind that are logged in a second. Untrusted clients can cause any
# number; a deployment's own callers are refused a few times a second.
REFUSALS_LOGGED_PER_S = 20


class _ScorerUrl(msgspec.Struct):
    id: str
    host: str
    path: str
    body: str = ""


class _Item(msgspec.Struct, rename="camel"):
    id: str
    path: str
    headers: dict[str, str] = {}
    # The request's bytes in base64.
    body: str = ""
    # Sum of the prompt tokens and the maximum number of output tokens.
    tokens: int = 0
    group: str = ""
    # Despite its name, the complete call that scores the item's text.
    scorer_url: _ScorerUrl | None = None


class _Submission(msgspec.Struct, rename="camel"):
    # The platform calls the items of a job requests.
    requests: list[_Item]
    step: int = 0
    model: str = ""
    min_version: int = 0
    group_count: int = 0


class CallerApi:
    """HTTP handler of the address that callers connect to.

    `get_table` returns the routes in force, or None before the first configuration.
    """

    def __init__(
        self,
        get_table: Callable[[], RouteTable | None],
        forwarder: Forwarder,
        streamer: Streamer,
        job_manager: JobManager,
        authenticator: KeyAuthenticator,
    ) -> None:
        self._get_table = get_table
        self._forwarder = forwarder
        self._streamer = streamer
        self._job_manager = job_manager
        self._authenticator = authenticator

    async def handle(self, request: Request) -> Response:
        """Handle a caller's request; log a ShelfError and return it as a response."""
        try:
            return await self._dispatch(request)
        except Unauthorised as error:
            # The authenticator records these within a bound.
            return to_caller_error_response(error)
        except ShelfError as error:
            _log_refused_request(request, error)
            return to_caller_error_response(error)

    async def _dispatch(self, request: Request) -> Response:
        table = self._get_table()
        if table is None or self._job_manager.fleet is None:
            raise NotReady(
                "this node has no configuration yet; use another entry",
                retry_after_s=0.3,
            )
        if request.path.startswith(RESULTS_PATH):
            organisation = self._identify(request, table)
            return await self._handle_results(request, organisation)
        if request.path.startswith(BODIES_PATH):
            organisation = self._identify(request, table)
            job_id = unquote(request.path.removeprefix(BODIES_PATH))
            body = await self._job_manager.reader.read_body(
                job_id, request.parameter("id"), organisation
            )
            return Response(200, body, content_type="application/octet-stream")
        host = request.headers.get("host", "")
        route = table.find(host, request.path)
        if route is None:
            raise NotFound(
                f"no route of host {host!r} matches the path; check host and path"
            )
        if route.kind is RouteKind.JOB:
            # A job always belongs to an organisation, also on a public route.
            organisation = self._identify(request, table)
            return await self._handle_job(request, host, route, organisation)
        organisation = "" if route.is_public else self._identify(request, table)
        if table.configuration.organisations is not None:
            request = replace(request, headers=remove_identity(request.headers))
        return await self._handle_request(request, host, route, organisation)

    def _identify(self, request: Request, table: RouteTable) -> str:
        """Return the name of the caller's organisation, or "" without organisations.

        Raise Unauthorised if no organisation has the key.
        """
        configuration = table.configuration
        if configuration.organisations is None:
            return ""
        return self._authenticator.identify(
            configuration,
            request.headers.get(CREDENTIAL_HEADER),
            request.headers.get("x-request-id", ""),
        ).name

    async def _handle_request(
        self, request: Request, host: str, route: Route, organisation: str
    ) -> Response:
        request_id = request.headers.get("x-request-id", "")
        caller = organisation or request.headers.get("authorization", "")
        forwarded = ForwardedRequest(
            request_id, host, request, caller, _parse_resumption(request), organisation
        )
        timeout_s = min(route.timeout_s, _parse_deadline_s(request))
        if route.kind is RouteKind.STREAMING:
            head, events = await self._streamer.open(forwarded, route, timeout_s)
            return _to_stream(head, events)
        response = await self._forwarder.forward(forwarded, route, timeout_s)
        return _to_response(response)

    async def _handle_job(
        self, request: Request, host: str, route: Route, organisation: str
    ) -> Response:
        if request.method != "POST":
            raise BadRequest("jobs are submitted with POST; use this method")
        job = decode_job(request, host, organisation)
        await self._job_manager.submit(job, _now_s() + route.job_due_s)
        return Response(202)

    async def _handle_results(self, request: Request, organisation: str) -> Response:
        job_id = unquote(request.path.removeprefix(RESULTS_PATH))
        if request.method == "DELETE":
            await self._job_manager.end(job_id, organisation)
            return Response(200)
        wait_s = min(MAX_WAIT_S, _parse_ms(request, "x-wait-ms", 0.0))
        after = _parse_after(request)
        page = await self._job_manager.reader.read(job_id, after, wait_s, organisation)
        return Response(200, msgspec.json.encode(_encode_page(page)))


def _log_refused_request(request: Request, error: ShelfError) -> None:
    unlogged = _refusals.begin(error.kind, _now_s())
    if unlogged is None:
        return
    event = {
        "request": request.headers.get("x-request-id", "")[:MAX_LOGGED_CHARACTERS],
        "method": request.method[:MAX_LOGGED_CHARACTERS],
        "path": request.path[:MAX_LOGGED_CHARACTERS],
        "status": error.status,
        "outcome": error.kind,
        "reason": error.message[:MAX_LOGGED_CHARACTERS],
        "unlogged": unlogged or "",
        "retry_after_s": error.retry_after_s or "",
    }
    log.info("caller_refused", extra={"event": event})


def decode_job(request: Request, host: str, organisation: str = "") -> Job:
    """Decode a submitted job; raise BadRequest if it is invalid.

    The items of an organisation's job lose any key and name in their own headers.
    """
    job_id = request.headers.get("x-request-id", "")
    if not job_id:
        raise BadRequest("a job needs an id in the header X-Request-Id; add it")
    submission = request.decode(_Submission)
    items = tuple(_to_item(item) for item in submission.requests)
    if organisation:
        items = tuple(
            replace(item, headers=remove_identity(item.headers)) for item in items
        )
    if len({item.item_id for item in items}) != len(items):
        raise BadRequest("items of the job share an id; give each item its own id")
    return Job(
        job_id=job_id,
        host=host,
        path=request.path,
        model=submission.model,
        step=submission.step,
        min_version=submission.min_version,
        group_count=submission.group_count,
        items=items,
        organisation=organisation,
    )


def to_caller_error_response(error: ShelfError) -> Response:
    """Return the error response in the platform's format."""
    headers = {}
    if error.retry_after_s is not None:
        headers["retry-after"] = f"{error.retry_after_s:.2f}"
    body = msgspec.json.encode({"error": error.kind, "message": error.message})
    return Response(error.status, body, headers=headers)


def _to_item(item: _Item) -> JobItem:
    call = item.scorer_url
    score_call = None
    _check_sendable(item.id, item.path, item.headers | {REQUEST_ID_HEADER: item.id})
    if call is not None:
        names = {"x-score-host": call.host, REQUEST_ID_HEADER: call.id}
        _check_sendable(item.id, call.path, names)
        score_call = ScoreCall(call.id, call.host, call.path, _to_bytes(call.body))
    headers = {name.lower(): value for name, value in item.headers.items()}
    hint = headers.get("x-length-hint", "")
    try:
        expected = parse_number(hint)
    except InvalidInput:
        # Callers need not send an estimate.
        expected = item.tokens
    return JobItem(
        item_id=item.id,
        path=item.path,
        headers=item.headers,
        body=_to_bytes(item.body),
        group=item.group,
        expected_tokens=expected,
        score_call=score_call,
    )


def _check_sendable(item_id: str, path: str, headers: dict[str, str]) -> None:
    """Raise BadRequest if no target could be sent a request with these values."""
    if not is_sendable(path, headers):
        raise BadRequest(
            f"item {item_id!r} has a path, id or header that HTTP does not allow; "
            "correct it"
        )


def _to_bytes(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise BadRequest(f"a body is not valid base64: {error}; encode it") from error


def _encode_page(page: ResultPage) -> dict[str, object]:
    return {
        "total": page.total,
        "next": page.next_position,
        "results": [_encode_result(result) for result in page.results],
    }


def _encode_result(result: ItemResult) -> dict[str, object]:
    if not result.is_complete:
        return {"id": result.item_id, "state": "terminated"}
    return {
        "id": result.item_id,
        "state": "completed",
        "output": result.text,
        "versions": result.versions,
        "score": result.score,
    }


def _to_response(response: TargetResponse) -> Response:
    http = response.http
    headers = {n: v for n, v in http.headers.items() if n not in UNFORWARDED_HEADERS}
    return Response(http.status, http.body, content_type="", headers=headers)


def _to_stream(head: StreamHead, events: AsyncGenerator[bytes, None]) -> Response:
    headers = {n: v for n, v in head.headers.items() if n not in UNFORWARDED_HEADERS}
    return Response(head.status, events, content_type="", headers=headers)


def _parse_resumption(request: Request) -> Resumption | None:
    """Return the stream that the request takes up, if any."""
    first_attempt = request.headers.get("resumes", "")
    if not first_attempt and "last-event-id" not in request.headers:
        return None
    return Resumption(first_attempt)


def _parse_deadline_s(request: Request) -> float:
    return _parse_ms(request, "x-deadline-ms", math.inf)


def _parse_ms(request: Request, name: str, default_s: float) -> float:
    """Return in seconds a duration that a header gives in milliseconds."""
    try:
        return max(0.0, float(request.headers[name]) / 1000)
    except (KeyError, ValueError):
        return default_s


def _parse_after(request: Request) -> int:
    text = request.parameter("after", "0")
    try:
        return parse_number(text)
    except InvalidInput as error:
        raise BadRequest(
            f"`after` is the position of a result: {error}; send a whole number"
        ) from error


def _now_s() -> float:
    return asyncio.get_running_loop().time()


_refusals = LogSampler(REFUSALS_LOGGED_PER_S)

__all__ = ["CallerApi", "decode_job", "to_caller_error_response"]
