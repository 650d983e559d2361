"""What a node answers to its peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

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
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.store.failover import FailoverStore

SYNC_PATH = "/v1/sync"

GossipSource = Callable[[], GossipTask | None]


class PeerApi:
    """HTTP handler of the peers' addresses."""

    def __init__(
        self, link: FailoverStore, desk: JobManager, gossip: GossipSource
    ) -> None:
        self._link = link
        self._desk = desk
        self._gossip = gossip
        self._answers: dict[str, Callable[[Request], Awaitable[Response]]] = {
            ALIVE_PATH: self._answer_alive,
            RELAY_PATH: self._relay,
            JOB_READ_PATH: self._read_job,
            HANDOVER_PATH: self._take_job,
            SYNC_PATH: self._sync,
        }

    async def handle(self, request: Request) -> Response:
        """Answers one request of a peer; raises BadRequest for wrong bytes."""
        answer = self._answers.get(request.path)
        if answer is None:
            return Response(404)
        try:
            return await answer(request)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise BadRequest(
                f"{request.path} cannot read this: {error}; all nodes have to run "
                "one release"
            ) from error

    async def _answer_alive(self, request: Request) -> Response:
        return Response(200)

    async def _relay(self, request: Request) -> Response:
        return await answer_relay(self._link, request.body)

    async def _read_job(self, request: Request) -> Response:
        read = msgspec.msgpack.decode(request.body, type=JobReadRequest)
        answer = self._desk.reader.read_owned(read)
        return Response(200, msgspec.msgpack.encode(answer))

    async def _take_job(self, request: Request) -> Response:
        handover = msgspec.msgpack.decode(request.body, type=JobHandover)
        return Response(200 if self._desk.handovers.accept(handover) else 409)

    async def _sync(self, request: Request) -> Response:
        gossip = self._gossip()
        if gossip is None:
            return Response(503)
        gossip.merge_rumours(request.decode(tuple[Rumour, ...]))
        return Response(200, msgspec.json.encode(gossip.membership.rumours.all()))


__all__ = ["PeerApi"]
