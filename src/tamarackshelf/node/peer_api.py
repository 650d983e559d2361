"""HTTP API of a node for its peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import msgspec

from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.errors import BadRequest
from tamarackshelf.gossip.task import GossipTask
from tamarackshelf.jobs.manager import JobManager
from tamarackshelf.net import Request, Response
from tamarackshelf.node.fleet import ALIVE_PATH
from tamarackshelf.node.peer_jobs import (
    HANDOVER_PATH,
    JOB_READ_PATH,
    JobHandover,
    JobReadRequest,
)
from tamarackshelf.node.peer_store import RELAY_PATH, answer_relay
from tamarackshelf.node.permits import PERMIT_PATH, PermitRequest
from tamarackshelf.node.quarantine import RequestQuarantine
from tamarackshelf.node.quarantine_peers import CRASH_PATH, ISOLATE_PATH, RELEASE_PATH
from tamarackshelf.node.stream_origins import (
    FIND_ORIGIN_PATH,
    ORIGIN_PATH,
    StreamOrigin,
    StreamOrigins,
)
from tamarackshelf.node.target_limits import TargetLimits
from tamarackshelf.node.target_relay import (
    TARGET_CALL_PATH,
    TARGET_VERDICT_PATH,
    TargetRelay,
)
from tamarackshelf.peers.isolation import IsolationRelease, IsolationRequest
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.store.failover import FailoverStore

SYNC_PATH = "/v1/sync"

GossipGetter = Callable[[], GossipTask | None]


class PeerApi:
    """The HTTP handler of the addresses that peers connect to."""

    def __init__(
        self,
        store: FailoverStore,
        jobs: JobManager,
        limits: TargetLimits,
        quarantine: RequestQuarantine,
        origins: StreamOrigins,
        relay: TargetRelay,
        get_gossip: GossipGetter,
    ) -> None:
        self._limits = limits
        self._quarantine = quarantine
        self._origins = origins
        self._store = store
        self._jobs = jobs
        self._get_gossip = get_gossip
        self._handlers: dict[str, Callable[[Request], Awaitable[Response]]] = {
            ALIVE_PATH: self._answer_alive_check,
            RELAY_PATH: self._relay,
            JOB_READ_PATH: self._read_job,
            HANDOVER_PATH: self._accept_job,
            SYNC_PATH: self._sync_rumours,
            PERMIT_PATH: self._answer_permit_request,
            CRASH_PATH: self._accept_crash,
            ISOLATE_PATH: self._isolate,
            RELEASE_PATH: self._release_isolation,
            ORIGIN_PATH: self._accept_origin,
            FIND_ORIGIN_PATH: self._find_origin,
            TARGET_CALL_PATH: relay.answer,
            TARGET_VERDICT_PATH: relay.answer_verdict,
        }

    def add_handlers(
        self, handlers: Mapping[str, Callable[[Request], Awaitable[Response]]]
    ) -> None:
        """Answer further calls of peers, by path."""
        self._handlers.update(handlers)

    async def handle(self, request: Request) -> Response:
        """Answer one request of a peer; raise BadRequest when it cannot be decoded."""
        handler = self._handlers.get(request.path)
        if handler is None:
            return Response(404)
        try:
            return await handler(request)
        except InvalidInput as error:
            raise BadRequest(
                f"{request.path} cannot read the request body: {error}; "
                "run the same release on all nodes"
            ) from error

    async def _answer_alive_check(self, request: Request) -> Response:
        return Response(200)

    async def _relay(self, request: Request) -> Response:
        return await answer_relay(self._store, request.body)

    async def _read_job(self, request: Request) -> Response:
        read = decode_msgpack(request.body, JobReadRequest)
        answer = self._jobs.reader.read_owned(read)
        return Response(200, msgspec.msgpack.encode(answer))

    async def _accept_job(self, request: Request) -> Response:
        handover = decode_msgpack(request.body, JobHandover)
        return Response(200 if self._jobs.handovers.accept(handover) else 409)

    async def _answer_permit_request(self, request: Request) -> Response:
        asked = decode_msgpack(request.body, PermitRequest)
        answer = self._limits.answer_permit_request(asked)
        return Response(200, msgspec.msgpack.encode(answer))

    async def _accept_crash(self, request: Request) -> Response:
        self._quarantine.accept_crash(decode_msgpack(request.body, Crash))
        return Response(200)

    async def _isolate(self, request: Request) -> Response:
        asked = decode_msgpack(request.body, IsolationRequest)
        answer = self._quarantine.answer_isolation(asked)
        return Response(200, msgspec.msgpack.encode(answer))

    async def _release_isolation(self, request: Request) -> Response:
        release = decode_msgpack(request.body, IsolationRelease)
        self._quarantine.accept_release(release)
        return Response(200)

    async def _accept_origin(self, request: Request) -> Response:
        origin = decode_msgpack(request.body, StreamOrigin)
        self._origins.accept(origin)
        return Response(200)

    async def _find_origin(self, request: Request) -> Response:
        attempt_id = decode_msgpack(request.body, str)
        answer = self._origins.answer(attempt_id)
        return Response(200, msgspec.msgpack.encode(answer))

    async def _sync_rumours(self, request: Request) -> Response:
        gossip = self._get_gossip()
        if gossip is None:
            return Response(503)
        gossip.merge_rumours(request.decode(tuple[Rumour, ...]))
        return Response(200, msgspec.json.encode(gossip.membership.rumours.all()))


def is_target_call(request: Request) -> bool:
    """Return whether a peer asks for a call to a target, which ends with its wish."""
    return request.path == TARGET_CALL_PATH


__all__ = ["PeerApi", "is_target_call"]
