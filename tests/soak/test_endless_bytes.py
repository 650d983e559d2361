"""Memory of a real node whose workers and callers send bytes without end.

Other operators reported that a faulty worker's endless answers ended the machine that
had called it, and with it the requests of other clients.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec
import pytest

from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tests.soak.callers import ONCE_PATH, build_configuration
from tests.soak.deployment import Deployment
from tests.soak.endless import WORKER_ADDRESS, ask

BLOCK = 119
# Half of the memory of the users' smallest machine.
MAX_PEAK_MB = 100
LOAD_S = 4.0
BYSTANDERS = 8


async def add_worker(deployment):
    """List the faulty worker and give it a route of each kind."""
    configuration = msgspec.json.decode(build_configuration(2))
    base = configuration["routes"][0]
    for name, kind in (("bad", "idempotent"), ("tale", "streaming")):
        route = base | {"name": name, "pathPrefix": f"/{name}/", "routeType": kind}
        configuration["routes"].append(route | {"upstream": "faulty"})
    configuration["upstreams"].append({"name": "faulty"})
    deployment.store.rows.put("op", "config", msgspec.json.encode(configuration))
    row = {
        "upstream": "faulty",
        "address": str(WORKER_ADDRESS),
        "zone": "a",
        "version": "a",
        "state": "ready",
        "capacity": 300,
        "born": 1,
        "sequence": 1,
    }
    deployment.store.rows.put("servers", "f1", msgspec.json.encode(row))
    await asyncio.sleep(1.0)


async def be_served(http, node, number, failures):
    """Send sound requests; record those that are not served."""
    for attempt in range(10_000):
        request_id = f"s{number}-{attempt}"
        try:
            answer = await ask(
                http, node.caller_address.host, f"{ONCE_PATH}x", request_id
            )
            if answer.status != 200:
                failures.append(f"{request_id}: {answer.status} {answer.body!r}")
        except (ConnectionLost, ConnectFailed) as error:
            failures.append(f"{request_id}: {error!r}")
        await asyncio.sleep(0.1)


def read_peak_mb(node):
    text = Path(f"/proc/{node._process.pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


async def measure(kind, count, folder):
    """Return the node's peak memory in MB and the sound requests that failed."""
    deployment = Deployment(1, folder, BLOCK, nodes=1, engines=0)
    failures, http = [], HttpClient()
    command = (sys.executable, "-m", "tests.soak.endless", kind, str(count))
    try:
        await deployment.start()
        node = deployment.nodes[0]
        await add_worker(deployment)
        load = await asyncio.create_subprocess_exec(
            *command, node.caller_address.host, stdout=asyncio.subprocess.PIPE
        )
        try:
            assert await load.stdout.readline() == b"ready\n"
            served = [be_served(http, node, n, failures) for n in range(BYSTANDERS)]
            tasks = [asyncio.create_task(each) for each in served]
            await asyncio.sleep(LOAD_S)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            load.kill()
            await load.wait()
        failures += deployment.history.unexpected_exits
        return read_peak_mb(node), failures
    finally:
        await http.close()
        await deployment.close()


@pytest.mark.parametrize(
    ("kind", "count"),
    [
        ("body", 1),
        ("body", 40),
        ("body", 200),
        ("chunks", 200),
        ("error body", 200),
        ("head", 200),
        ("event", 200),
        ("relayed", 200),
        ("requests", 200),
    ],
)
def test_bytes_without_end_cost_no_other_request(kind, count, tmp_path):
    peak_mb, failures = asyncio.run(measure(kind, count, tmp_path))
    print(f"{kind} {count}: peak {peak_mb:.0f} MB")
    assert failures == []
    assert peak_mb <= MAX_PEAK_MB
