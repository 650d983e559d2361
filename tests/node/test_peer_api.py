"""Malformed requests to the peer API are refused and change no state."""

from __future__ import annotations

import time

import msgspec
import pytest

from tamarackshelf.errors import BadRequest
from tamarackshelf.net import Request
from tamarackshelf.node.peer_api import PeerApi
from tamarackshelf.node.peer_jobs import HANDOVER_PATH, JOB_READ_PATH
from tamarackshelf.node.peer_store import RELAY_PATH
from tamarackshelf.node.permits import PERMIT_PATH
from tamarackshelf.node.quarantine_peers import CRASH_PATH, ISOLATE_PATH, RELEASE_PATH
from tamarackshelf.node.stream_origins import (
    FIND_ORIGIN_PATH,
    ORIGIN_PATH,
    StreamOrigins,
)
from tamarackshelf.node.target_limits import TargetLimits
from tamarackshelf.node.target_relay import TARGET_CALL_PATH, TargetRelay
from tamarackshelf.observe import Metrics
from tamarackshelf.standin.row_store import MemoryRowStore
from tests.support.node import Cluster, SimulatedEngines, build_quarantine

PATHS = (
    RELAY_PATH,
    JOB_READ_PATH,
    HANDOVER_PATH,
    PERMIT_PATH,
    CRASH_PATH,
    ISOLATE_PATH,
    RELEASE_PATH,
    ORIGIN_PATH,
    FIND_ORIGIN_PATH,
    TARGET_CALL_PATH,
    "/v1/sync",
)
BODIES = {
    "empty": b"",
    "not msgpack": b"\xc1\xff\x00",
    "wrong type": msgspec.msgpack.encode({"job_id": 7, "job": [], "read": 1}),
    "truncated": msgspec.msgpack.encode({"job_id": "j" * 40})[:-9],
}


class RejectingGossip:
    """A gossip task that fails the test when rumours reach it."""

    def merge_rumours(self, rumours):
        raise AssertionError("rumours were merged")


def build_api(cluster):
    node = cluster.nodes["a"]
    return PeerApi(
        node.failover_store,
        node.job_manager,
        TargetLimits(None, node.timeline, Metrics()),
        build_quarantine(node.target_registry, cluster.engines),
        StreamOrigins(node.target_registry, None, node.timeline, Metrics(), time.time),
        TargetRelay(
            node.target_registry, None, None, None, None, node.timeline, Metrics()
        ),
        RejectingGossip,
    )


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
@pytest.mark.parametrize("path", PATHS)
def test_malformed_body_is_refused_with_a_reason(run, path, body):
    async def scenario():
        cluster = Cluster(MemoryRowStore(), SimulatedEngines())
        with pytest.raises(BadRequest, match="cannot read|not valid"):
            await build_api(cluster).handle(Request("POST", path, body=body))
        assert cluster.store.rows == {}
        assert cluster.nodes["a"].runner.jobs == {}

    run(scenario())


def test_unknown_path_is_not_found(run):
    async def scenario():
        api = build_api(Cluster(MemoryRowStore(), SimulatedEngines()))
        assert (await api.handle(Request("GET", "/nothing"))).status == 404

    run(scenario())
