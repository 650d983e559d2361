"""Three whole nodes on loopback addresses count requests and report them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import time

from tamarackshelf.cli.node import build_program
from tamarackshelf.net import HttpClient, HttpServer, Response
from tamarackshelf.observe import Timeline
from tamarackshelf.platform.settings import load_settings
from tamarackshelf.world import Address
from tests.conftest import find_free_address
from tests.soak.nodes import NodeProcess
from tests.soak.store import StoreServer

# Runs of this test at the same time use different hosts, as the ports are fixed.
SUBNET = f"127.{30 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
HOSTS = tuple(f"{SUBNET}.{number}" for number in (1, 2, 3))
DUTIES = """\
cloudApi.address={address}
cloudApi.dutyPerS=50
cloudApi.tasks=usage_report,autoscale
bounds.reportWindowS=1
bounds.usageLateS=10
"""
CONFIGURATION = {
    "version": 1,
    "tenants": [{"name": "org", "apiKeys": ["key-1"]}],
    "upstreams": [{"name": "app"}],
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "pathPrefix": "/r/",
            "routeType": "idempotent",
            "upstream": "app",
            "maxAttempts": 3,
        }
    ],
}
START_LIMIT_S = 20.0
REPORT_LIMIT_S = 30.0


def build_node(name, host, store, platform, folder):
    NodeProcess(name, host, list(HOSTS), store, folder)
    path = folder / f"{name}.conf"
    path.write_text(path.read_text() + DUTIES.format(address=platform))
    return build_program(load_settings(path), Timeline(name, lambda: 0))


@contextlib.asynccontextmanager
async def start_surroundings(reports):
    """Start a store, a worker and a platform that keeps the reports."""

    async def accept(request):
        reports.append((request.path, request.headers, json.loads(request.body)))
        return Response(200)

    async def serve(request):
        headers = {"x-request-id": request.headers["x-request-id"]}
        return Response(200, b"ok", headers={**headers, "x-server-stamp": "s.1"})

    store, platform, worker = StoreServer(), HttpServer(accept), HttpServer(serve)
    addresses = [find_free_address() for _ in range(3)]
    await store.start(addresses[0], "-", "-")
    await platform.start(addresses[1])
    await worker.start(addresses[2])
    store.rows.put("op", "config", json.dumps(CONFIGURATION).encode())
    row = {"upstream": "app", "zone": "a", "state": "ready", "born": 1}
    row |= {"address": str(addresses[2]), "capacity": 8}
    store.rows.put("servers", "w1", json.dumps(row).encode())
    try:
        yield addresses[:2]
    finally:
        await worker.abort()
        await platform.abort()
        await store.close()


async def call(http, host, number):
    """Send a caller's request to a node and return the status."""
    headers = {"host": "h.example", "x-credential": "key-1"}
    answer = await http.request(
        Address(host, 8144),
        "GET",
        "/r/x",
        headers={**headers, "x-request-id": f"r{number}"},
    )
    return answer.status


# Guards against duties that are not wired to callers' requests, to peers or to the
# platform.
async def test_nodes_report_the_requests_of_all_their_callers(tmp_path):
    reports, http = [], HttpClient()
    async with start_surroundings(reports) as (store, platform):
        programs = [
            build_node(f"n{number}", host, store, platform, tmp_path)
            for number, host in enumerate(HOSTS)
        ]
        try:
            for program in programs:
                await program.start()
            async with asyncio.timeout(START_LIMIT_S):
                while not all(program.is_ready() for program in programs):
                    await asyncio.sleep(0.1)
            statuses = [await call(http, host, n) for n, host in enumerate(HOSTS)]
            window = int(time.time())
            async with asyncio.timeout(REPORT_LIMIT_S):
                while not any(body["window"] > window for _, _, body in reports):
                    await asyncio.sleep(0.1)
        finally:
            for program in programs:
                await program.close()
            await http.close()
    assert statuses == [200] * len(HOSTS)
    assert {path for path, _, _ in reports} == {"/usage"}
    holders = {(h["x-duty-holder"], h["x-fence-token"]) for _, h, _ in reports}
    assert len(holders) == 1
    # The requests may have begun on the two sides of a boundary.
    counts = [body["replicaCounts"].get("org", 0) for _, _, body in reports]
    assert sum(counts) == len(HOSTS)
