"""Callers of the nodes: clients of plain routes, of streams and of jobs."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from tamarackshelf.net import ClientResponse, ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.world import Address, parse_address
from tests.soak.history import (
    History,
    JobRead,
    ObservedJob,
    ObservedResult,
    ObservedStream,
    PlainCall,
    now_s,
)
from tests.soak.workers import (
    CRASHING_PREFIX,
    RESPONSE_TIME_HEADER,
    TEXT_HEADER,
)

if TYPE_CHECKING:
    from random import Random

    from tests.soak.store import StoreServer

HOST = "soak.example"
JOB_PATH = "/jobs/"
SCORE_PATH = "/score/"
ONCE_PATH = "/once/"
REPEAT_PATH = "/repeat/"
STREAM_PATH = "/tell/"
MODEL = "m"
PLAIN_TIMEOUT_S = 2.0
JOB_TIMEOUT_S = 2.5
STREAM_TIMEOUT_S = 6.0
MAX_RESUMPTIONS = 2
# After this time a trainer stops reading a step's results, even if some are missing.
STEP_TIME_LIMIT_S = 8.0
RESOLVE_CACHE_S = 2.0
# No answer came, or none yet.
NO_STATUS = 0
# With these statuses a node tells the caller that the request did not run.
NOT_RUN_STATUSES = (429, 503, 408, 421)


@dataclass(frozen=True, slots=True)
class NodeEndpoint:
    """The addresses at which callers reach a node.

    `proxy_address` forwards to its route port; `directory_address` resolves names.
    """

    name: str
    proxy_address: Address
    directory_address: Address


class NodeResolver:
    """Client of the nodes' directories that caches an answer for RESOLVE_CACHE_S."""

    def __init__(self, endpoints: dict[Address, NodeEndpoint], random: Random) -> None:
        self._endpoints = endpoints
        self._random = random
        self._resolved: list[NodeEndpoint] = []
        self._resolved_s = float("-inf")

    async def choose(self, *, exclude: str = "") -> NodeEndpoint:
        """Return a random usable node; avoid `exclude` unless it is the only one."""
        if now_s() - self._resolved_s > RESOLVE_CACHE_S:
            await self._resolve()
        usable = self._resolved or list(self._endpoints.values())
        others = [endpoint for endpoint in usable if endpoint.name != exclude]
        return self._random.choice(others or usable)

    async def _resolve(self) -> None:
        http = HttpClient(connect_timeout_s=1.0)
        try:
            await self._ask_directories(http)
        finally:
            await http.close()

    async def _ask_directories(self, http: HttpClient) -> None:
        for endpoint in self._random.sample(list(self._endpoints.values()), 3):
            path = f"/v1/resolve?name={HOST}&region=r&zone=a"
            try:
                answer = await http.request(
                    endpoint.directory_address,
                    "GET",
                    path,
                    timeout_s=1.0,
                    new_connection=True,
                )
            except (ConnectFailed, ConnectionLost):
                continue
            if answer.status == 200:
                addresses = msgspec.json.decode(answer.body)["addresses"]
                self._resolved = [self._endpoints[parse_address(a)] for a in addresses]
                self._resolved_s = now_s()
                return


class PlainClient:
    """Client of plain routes that stays with one node for 1 s to 12 s.

    Its requests take the workers `response_s`.
    """

    def __init__(
        self,
        history: History,
        resolver: NodeResolver,
        random: Random,
        response_s: float,
    ) -> None:
        self._response_s = response_s
        self._history = history
        self._resolver = resolver
        self._random = random

    async def run(self) -> None:
        """Send requests until cancelled.

        After a request without a 2xx response, send the next one to a newly chosen node
        and then choose again.
        """
        http = HttpClient(connect_timeout_s=1.0)
        endpoint = await self._resolver.choose()
        reconnect_at_s = 0.0
        try:
            while True:
                if now_s() > reconnect_at_s:
                    endpoint = await self._resolver.choose()
                    reconnect_at_s = now_s() + self._random.uniform(1, 12)
                if not await self._send(http, endpoint):
                    await self._send(http, await self._resolver.choose())
                    reconnect_at_s = 0.0
                await asyncio.sleep(self._random.uniform(0.05, 0.3))
        finally:
            await http.close()

    async def _send(self, http: HttpClient, endpoint: NodeEndpoint) -> bool:
        is_idempotent = self._random.random() < 0.6
        path = REPEAT_PATH if is_idempotent else ONCE_PATH
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        body = self._random.randbytes(self._random.randint(1, 3000))
        sent_s = now_s()
        status, answer, is_connection_lost = 0, ClientResponse(0, {}, b""), False
        headers = {
            "host": HOST,
            "x-request-id": request_id,
            "x-deadline-ms": str(int(PLAIN_TIMEOUT_S * 1000)),
            RESPONSE_TIME_HEADER: str(self._response_s),
        }
        try:
            answer = await http.request(
                endpoint.proxy_address,
                "POST",
                f"{path}x",
                headers=headers,
                body=body,
                timeout_s=PLAIN_TIMEOUT_S + 0.5,
                resend=False,
            )
            status = answer.status
        except ConnectFailed:
            # No byte was sent, so the stop of the node did not lose the request.
            is_connection_lost = False
        except ConnectionLost:
            is_connection_lost = now_s() - sent_s < PLAIN_TIMEOUT_S
        self._history.calls.append(
            PlainCall(
                request_id=request_id,
                node=endpoint.name,
                path=f"{path}x",
                body=body,
                is_idempotent=is_idempotent,
                sent_s=sent_s,
                ended_s=now_s(),
                status=status,
                answer=answer.body,
                stamp=answer.headers.get("x-server-stamp", ""),
                is_connection_lost=is_connection_lost,
            )
        )
        return 200 <= status < 300


class CrashingClient:
    """Client that sends one request again and again, which crashes its workers.

    Each attempt has its own id; the path and the body are always the same.
    """

    def __init__(self, resolver: NodeResolver, random: Random) -> None:
        self._resolver = resolver
        self._random = random
        self._body = CRASHING_PREFIX + random.randbytes(200)

    async def run(self) -> None:
        """Send the request at random nodes until cancelled, each time twice."""
        http = HttpClient(connect_timeout_s=1.0)
        try:
            while True:
                for _ in range(2):
                    await self._send(http, await self._resolver.choose())
                    await asyncio.sleep(0.03)
                await asyncio.sleep(self._random.uniform(0.1, 0.6))
        finally:
            await http.close()

    async def _send(self, http: HttpClient, endpoint: NodeEndpoint) -> None:
        headers = {
            "host": HOST,
            "x-request-id": uuid.UUID(int=self._random.getrandbits(128)).hex,
            "x-deadline-ms": str(int(PLAIN_TIMEOUT_S * 1000)),
        }
        # Only the runs at the workers are checked, not the responses.
        with contextlib.suppress(ConnectFailed, ConnectionLost):
            await http.request(
                endpoint.proxy_address,
                "POST",
                f"{REPEAT_PATH}x",
                headers=headers,
                body=self._body,
                timeout_s=PLAIN_TIMEOUT_S + 0.5,
                new_connection=True,
            )


class StreamClient:
    """Client that reads streams of a resumable route, one after the other.

    With `resumes`, it takes a broken stream up again at another node, up to
    MAX_RESUMPTIONS times.
    """

    def __init__(
        self,
        history: History,
        resolver: NodeResolver,
        random: Random,
        *,
        resumes: bool = False,
    ) -> None:
        self._history = history
        self._resolver = resolver
        self._random = random
        self._max_attempts = MAX_RESUMPTIONS + 1 if resumes else 1

    async def run(self) -> None:
        """Read streams until cancelled."""
        http = HttpClient(connect_timeout_s=1.0)
        try:
            while True:
                await self._read(http)
                await asyncio.sleep(self._random.uniform(0.1, 0.5))
        finally:
            await http.close()

    async def _read(self, http: HttpClient) -> None:
        text_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        headers = {"host": HOST, "x-request-id": text_id, "x-model": MODEL}
        headers["x-deadline-ms"] = str(int(STREAM_TIMEOUT_S * 1000))
        headers[TEXT_HEADER] = text_id
        first_status, text, is_ended, node = 0, b"", False, ""
        for _ in range(self._max_attempts):
            endpoint = await self._resolver.choose(exclude=node)
            node = endpoint.name
            status, part, has_end = await self._attempt(http, endpoint, headers)
            first_status = first_status or status
            is_ended = has_end and status == 200
            if status == 200:
                text += part
            if is_ended:
                break
            if text:
                # An event whose end did not arrive comes again.
                text = text[: text.rfind(b"\n\n") + 2] if b"\n\n" in text else b""
            if text:
                first_id = headers.get("resumes", headers["x-request-id"])
                headers["resumes"] = first_id
                headers["last-event-id"] = str(text.count(b"\n\n") - 1)
            headers["x-request-id"] = uuid.UUID(int=self._random.getrandbits(128)).hex
        self._history.streams.append(
            ObservedStream(text_id, node, first_status, text, is_ended)
        )

    async def _attempt(
        self, http: HttpClient, endpoint: NodeEndpoint, headers: dict[str, str]
    ) -> tuple[int, bytes, bool]:
        """Return the status, the received bytes and whether the response ended."""
        status, text = NO_STATUS, b""
        try:
            async with http.stream(
                endpoint.proxy_address,
                "POST",
                f"{STREAM_PATH}x",
                headers=headers,
                timeout_s=STREAM_TIMEOUT_S,
                new_connection=True,
            ) as answer:
                status = answer.status
                async for chunk in answer.chunks():
                    text += chunk
        except (ConnectFailed, ConnectionLost):
            # The checkers also check the events of a stream that was cut off.
            return status, text, False
        return status, text, True


class JobClient:
    """Client that submits, reads and ends jobs, each call on a new connection."""

    def __init__(self, history: History, resolver: NodeResolver) -> None:
        self._history = history
        self._resolver = resolver
        self._http = HttpClient(connect_timeout_s=1.0)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._http.close()

    async def submit(self, job: ObservedJob, body: bytes, attempts: int = 6) -> bool:
        """Send the job until a node accepts it; return False after `attempts` calls."""
        last = ""
        for _ in range(attempts):
            endpoint = await self._resolver.choose(exclude=last)
            last = endpoint.name
            headers = {"x-request-id": job.job_id, "content-type": "application/json"}
            # Stays if the trainer stops before the answer: the job may be accepted.
            job.statuses.append(NO_STATUS)
            answer = await self._call(endpoint, "POST", f"{JOB_PATH}x", headers, body)
            job.statuses[-1] = answer.status
            if answer.status == 202:
                job.accepted_s = min(job.accepted_s, now_s())
                return True
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.3")))
        return False

    async def read(self, job: ObservedJob, after: int, wait_s: float = 1.0) -> JobRead:
        """Read the results from the position `after` on and add the read to the job."""
        endpoint = await self._resolver.choose()
        path = f"/v1/lots/{job.job_id}?after={after}"
        headers = {"x-wait-ms": str(int(wait_s * 1000))}
        answer = await self._call(endpoint, "GET", path, headers)
        read = _decode_read(endpoint.name, after, answer)
        job.reads.append(read)
        return read

    async def read_body(self, job: ObservedJob, item_id: str) -> int:
        """Read the body of an item, add it to the job and return the status."""
        endpoint = await self._resolver.choose()
        path = f"/v1/items/{job.job_id}?id={item_id}"
        answer = await self._call(endpoint, "GET", path, {})
        job.bodies.append((item_id, answer.status, answer.body))
        return answer.status

    async def end(self, job: ObservedJob, attempts: int = 8) -> bool:
        """End the job; return False if no node confirms it within `attempts` calls."""
        # The caller may stop before the answer: the job may be ended all the same.
        job.end_sent_s = min(job.end_sent_s, now_s())
        for _ in range(attempts):
            endpoint = await self._resolver.choose()
            answer = await self._call(endpoint, "DELETE", f"/v1/lots/{job.job_id}", {})
            if answer.status == 200:
                job.ended_s = now_s()
                return True
            await asyncio.sleep(0.3)
        return False

    async def _call(
        self,
        endpoint: NodeEndpoint,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> ClientResponse:
        try:
            return await self._http.request(
                endpoint.proxy_address,
                method,
                path,
                headers={"host": HOST, **headers},
                body=body,
                timeout_s=JOB_TIMEOUT_S,
                new_connection=True,
            )
        except (ConnectFailed, ConnectionLost):
            return ClientResponse(0, {}, b"")


class Trainer:
    """Trainer that runs each step as a job and then publishes a new model version."""

    def __init__(
        self,
        history: History,
        client: JobClient,
        store: StoreServer,
        random: Random,
    ) -> None:
        self._history = history
        self._client = client
        self._store = store
        self._random = random
        self._version = 1

    async def run(self) -> None:
        """Submit steps, read their results and end most of them, until cancelled."""
        step = 0
        while True:
            job, body = self._build_job(step)
            self._history.jobs[job.job_id] = job
            if await self._client.submit(job, body):
                await self._read_step(job)
                if self._random.random() < 0.8:
                    await self._client.end(job)
                await self._publish_version()
            step += 1
            await asyncio.sleep(self._random.uniform(0.1, 0.6))

    def _build_job(self, step: int) -> tuple[ObservedJob, bytes]:
        job_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        groups, size = self._random.randint(2, 4), 3
        min_version = max(1, self._version - 1)
        job = ObservedJob(job_id, {}, min_version)
        items = []
        for group in range(groups):
            for member in range(size):
                item_id = f"{job_id[:12]}{group}{member}"
                job.items[item_id] = self._random.randbytes(80)
                items.append(self._build_item(job, item_id, f"g{group}"))
        submission = {
            "step": step,
            "model": MODEL,
            "minVersion": min_version,
            "groupCount": groups,
            "requests": items,
        }
        return job, msgspec.json.encode(submission)

    def _build_item(self, job: ObservedJob, item_id: str, group: str) -> dict[str, Any]:
        score_id, score_body = f"{item_id}s", self._random.randbytes(20)
        self._history.scores[score_id] = score_body
        return {
            "id": item_id,
            "path": f"{JOB_PATH}{item_id}",
            "headers": {"X-Model": MODEL, "X-Token-Count": "500,400"},
            "body": base64.b64encode(job.items[item_id]).decode(),
            "tokens": 900,
            "group": group,
            "scorerUrl": {
                "id": score_id,
                "host": HOST,
                "path": f"{SCORE_PATH}x",
                "body": base64.b64encode(score_body).decode(),
            },
        }

    async def _read_step(self, job: ObservedJob) -> None:
        after, until_s = 0, now_s() + STEP_TIME_LIMIT_S
        while now_s() < until_s and after < len(job.items):
            read = await self._client.read(job, after)
            after += len(read.results)
            if self._random.random() < 0.2:
                await self._client.read(job, self._random.randint(0, after), 0.0)
            if self._random.random() < 0.1:
                await self._client.read_body(job, next(iter(job.items)))
            if read.status != 200:
                await asyncio.sleep(0.3)
        job.is_fully_read = after == len(job.items)

    async def _publish_version(self) -> None:
        faults = self._store.faults
        if faults.is_down or faults.is_silent:
            return
        self._version += 1
        row = msgspec.json.encode({"model": MODEL, "version": self._version})
        self._store.rows.put("op", f"version/{MODEL}", row)


def build_configuration(version: int, timeout_ms: int = 2000) -> bytes:
    """Return the operator's configuration of routes and services as JSON."""

    def route(name: str, prefix: str, kind: str, service: str) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "routeType": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 400,
            "upstream": service,
            "maxAttempts": 3,
            "dueMs": 7500,
        }

    return msgspec.json.encode(
        {
            "version": version,
            "routes": [
                route("jobs", JOB_PATH, "rollout", "models"),
                route("tell", STREAM_PATH, "streaming", "models") | {"resumable": True},
                route("score", SCORE_PATH, "idempotent", "desk"),
                route("repeat", REPEAT_PATH, "idempotent", "desk"),
                route("once", ONCE_PATH, "non_idempotent", "desk"),
            ],
            "upstreams": [
                {"name": "models", "backend": {"models": [{"name": MODEL}]}},
                {"name": "desk"},
            ],
            "limits": {},
        }
    )


def _decode_read(node: str, after: int, answer: ClientResponse) -> JobRead:
    if answer.status != 200:
        return JobRead(node, now_s(), answer.status, after)
    page = msgspec.json.decode(answer.body)
    results = tuple(
        ObservedResult(
            r["id"],
            r["state"],
            r.get("output", ""),
            tuple(r.get("versions", ())),
            r.get("score", ""),
        )
        for r in page["results"]
    )
    return JobRead(node, now_s(), 200, after, page["total"], results)


__all__ = [
    "CrashingClient",
    "JobClient",
    "NOT_RUN_STATUSES",
    "NodeEndpoint",
    "NodeResolver",
    "PlainClient",
    "StreamClient",
    "Trainer",
    "build_configuration",
]
