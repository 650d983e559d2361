"""A node's way from callers to targets, with organisations, without sockets."""

from __future__ import annotations

import asyncio
import contextlib
import random
from types import SimpleNamespace

import msgspec

from tamarackshelf.entry.forwarder import Forwarder
from tamarackshelf.entry.streamer import Streamer
from tamarackshelf.net import ConnectionLost, Request
from tamarackshelf.node.configuration_view import ConfigurationView
from tamarackshelf.node.stream_origins import StreamOrigins
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.organisations import KeyAuthenticator
from tamarackshelf.platform.caller_api import CallerApi
from tamarackshelf.platform.records import decode_configuration
from tamarackshelf.platform.target_client import PlatformTargetClient
from tests.support.cut_off import OpenGate
from tests.support.node import HOST, build_quarantine, build_target

EVENT_COUNT = 4
TENANTS = [
    {"name": "north", "apiKeys": ["key-n1", "key-n2"], "priority": 1},
    {"name": "south", "apiKeys": ["key-s1"]},
]


def build_row(version=1, tenants=TENANTS, **changes):
    """Return the operator's row; without tenants if that is None."""

    def route(name, kind, **fields):
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "upstream": "app",
            "timeoutMs": 2000,
            "targetLatencyMs": 200,
            "maxAttempts": 3,
            **fields,
        }

    row = {
        "version": version,
        "routes": [
            route("score", "idempotent"),
            route("once", "non_idempotent"),
            route("stream", "streaming", resumable=True),
            route("open", "idempotent", public=True),
            route("jobs", "rollout", upstream="models", dueMs=7500),
        ],
        "upstreams": [
            {"name": "app"},
            {"name": "models", "backend": {"models": [{"name": "m"}]}},
        ],
    }
    if tenants is not None:
        row["tenants"] = tenants
    return msgspec.json.encode(row | changes)


class RecordedTransport:
    """TargetTransport that records all calls and answers each of them.

    The next entry of `failures` is raised, or breaks a stream off before the event
    with that number; None answers completely, and "slow" does so after a second.
    """

    def __init__(self):
        self.calls = []
        self.failures = []

    def is_connected(self, target):
        return True

    async def has_ended(self, target):
        return False

    @contextlib.asynccontextmanager
    async def stream(self, target, call):
        self.calls.append((target.name, call))
        failure = self.failures.pop(0) if self.failures else None
        if isinstance(failure, Exception):
            raise failure
        if failure == "slow":
            await asyncio.sleep(1.0)
        headers = {"x-server-stamp": "s", "x-request-id": call.request_id}
        if call.path.startswith("/stream/"):
            headers["content-type"] = "text/event-stream"
        yield _Answer(headers, int(call.headers.get("last-event-id", -1)), failure)


class _Answer:
    status = 200

    def __init__(self, headers, after, breaks_at):
        self.headers = headers
        self._after = after
        self._breaks_at = breaks_at

    def disable_reuse(self):
        """Do nothing; there are no connections."""

    def set_deadline(self, deadline_s):
        """Do nothing; the answer is there at once."""

    async def chunks(self):
        if "content-type" not in self.headers:
            yield b"ok"
            return
        for number in range(self._after + 1, EVENT_COUNT):
            if number == self._breaks_at:
                raise ConnectionLost("the target broke off")
            yield b"id: %d\ndata: e\n\n" % number


class KeyedNode:
    """A CallerApi and all parts below it down to the transport to targets."""

    def __init__(self, row=None, job_manager=None):
        self.timeline, self.metrics = Timeline("n", lambda: 0), Metrics()
        self.transport = RecordedTransport()
        self.view = ConfigurationView(self.timeline)
        self.client = PlatformTargetClient(self.transport, OpenGate())
        registry = TargetRegistry(
            self.timeline, lambda: float("-inf"), random.Random(7)
        )
        for number in range(1, 4):
            registry.put(build_target(f"t{number}", "app"))
        quarantine = build_quarantine(registry, self.client)
        origins = StreamOrigins(
            registry, None, self.timeline, self.metrics, lambda: 1e9
        )
        common = (registry, self.client, quarantine)
        end = ("dc", self.timeline, self.metrics)
        self.api = CallerApi(
            self.view.get_route_table,
            Forwarder(*common, *end),
            Streamer(*common, origins, *end),
            job_manager or SimpleNamespace(fleet=object()),
            KeyAuthenticator(self.timeline, self.metrics),
        )
        if row is not None:
            self.configure(row)

    def configure(self, row):
        self.view.update(decode_configuration(row))

    async def send(self, path, headers=None, method="POST", body=b"b", query=""):
        """Send a request as a caller does; return the response, its body read."""
        names = {"host": HOST, "x-request-id": "r1", **(headers or {})}
        response = await self.api.handle(Request(method, path, query, names, body))
        if not isinstance(response.body, bytes):
            async for _ in response.body:
                pass
        return response

    def list_sent_headers(self):
        return [call.headers for _, call in self.transport.calls]


__all__ = ["EVENT_COUNT", "TENANTS", "KeyedNode", "build_row"]
