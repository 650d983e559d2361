"""Trial of usage reports: node processes whose holder is killed, stopped and resumed.

Run it as `python -m tests.soak.duties [true|false]`; the argument tells whether the
platform checks fencing numbers. It prints for each window the requests that began, the
requests reported, and the age of the report.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from tamarackshelf.net import (
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    HttpServer,
    Response,
)
from tamarackshelf.world import Address
from tests.conftest import find_free_address
from tests.duties.test_program import CONFIGURATION
from tests.soak.nodes import NodeProcess
from tests.soak.store import StoreServer

WINDOW_S = 5
NODES = 6
SETTINGS = """\
cloudApi.address={address}
cloudApi.dutyPerS=50
cloudApi.tasks=usage_report
bounds.reportWindowS=5
bounds.usageLateS=10
"""


@dataclass
class Surroundings:
    """The platform and a worker, with what they saw.

    `calls` holds (time, holder, number, window, counts) of each accepted report, and
    `starts` when each request first began to run.
    """

    checks_fencing: bool
    calls: list = field(default_factory=list)
    starts: dict = field(default_factory=dict)

    async def accept(self, request):
        body, number = json.loads(request.body), int(request.headers["x-fence-token"])
        if self.checks_fencing and any(number < call[2] for call in self.calls):
            return Response(409)
        holder, counts = request.headers["x-duty-holder"], body["replicaCounts"]
        self.calls.append((time.time(), holder, number, body["window"], counts))
        return Response(200)

    async def serve(self, request):
        request_id = request.headers["x-request-id"]
        self.starts.setdefault(request_id, time.time())
        headers = {"x-request-id": request_id, "x-server-stamp": "s.1"}
        return Response(200, b"ok", headers=headers)

    def report(self, first_window, last_window):
        """Print what was reported for each window."""
        began = Counter(int(at_s // WINDOW_S) for at_s in self.starts.values())
        for window in range(first_window, last_window):
            calls = [call for call in self.calls if call[3] == window]
            if not calls:
                print(f"window {window}: {began[window]} requests, MISSED")
                continue
            at_s, holder, number, _, counts = calls[0]
            bodies = len({json.dumps(call[4]) for call in calls})
            print(
                f"window {window}: {began[window]} requests, "
                f"{counts.get('org', 0)} reported after "
                f"{at_s - (window + 1) * WINDOW_S:.2f} s by {holder} with {number}, "
                f"{len(calls)} calls, {bodies} bodies"
            )
        numbers = [call[2] for call in self.calls]
        print(f"numbers never fell: {numbers == sorted(numbers)}")


async def call_repeatedly(http, host):
    """Send ten requests per second to a node."""
    headers = {"host": "h.example", "x-credential": "key-1"}
    for number in range(1_000_000):
        with contextlib.suppress(ConnectFailed, ConnectionLost):
            await http.request(
                Address(host, 8144),
                "GET",
                "/r/x",
                headers={**headers, "x-request-id": f"{host}-{number}"},
                timeout_s=2.0,
            )
        await asyncio.sleep(0.1)


async def sleep_until_phase(phase_s):
    """Sleep until a time after the end of a window."""
    await asyncio.sleep((phase_s - time.time()) % WINDOW_S)


async def disturb(surroundings, nodes):
    """Kill the holder, stop and resume the next one, and kill one that is to decide."""

    def find_holder():
        return nodes[int(surroundings.calls[-1][1][1:])]

    await asyncio.sleep(14)
    await sleep_until_phase(1.0)
    killed = find_holder()
    print(f"{killed.name} is killed 1 s after window {int(time.time() // 5) - 1}")
    killed.kill()
    await asyncio.sleep(20)
    killed.start()
    await asyncio.sleep(6)
    await sleep_until_phase(2.0)
    stopped = find_holder()
    print(f"{stopped.name} is stopped 2 s after window {int(time.time() // 5) - 1}")
    stopped.send_signal(signal.SIGSTOP)
    await asyncio.sleep(9)
    stopped.send_signal(signal.SIGCONT)
    await asyncio.sleep(12)
    await sleep_until_phase(3.45)
    killed = find_holder()
    print(f"{killed.name} is killed 3.45 s after window {int(time.time() // 5) - 1}")
    killed.kill()
    await asyncio.sleep(16)


async def main(checks_fencing):
    surroundings = Surroundings(checks_fencing)
    store, http = StoreServer(), HttpClient()
    servers = HttpServer(surroundings.accept), HttpServer(surroundings.serve)
    addresses = [find_free_address() for _ in range(3)]
    await store.start(addresses[0], "-", "-")
    for server, address in zip(servers, addresses[1:], strict=True):
        await server.start(address)
    store.rows.put("op", "config", json.dumps(CONFIGURATION).encode())
    row = {"upstream": "app", "zone": "a", "state": "ready", "born": 1}
    row |= {"address": str(addresses[2]), "capacity": 50}
    store.rows.put("servers", "w1", json.dumps(row).encode())
    subnet = f"127.{30 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
    hosts = [f"{subnet}.{number + 1}" for number in range(NODES)]
    folder = Path(tempfile.mkdtemp())
    nodes = []
    for number, host in enumerate(hosts):
        node = NodeProcess(f"n{number}", host, hosts, addresses[0], folder)
        path = folder / f"n{number}.conf"
        fencing = f"bounds.fencing={str(checks_fencing).lower()}"
        text = path.read_text().replace("bounds.fencing=true", fencing)
        path.write_text(text + SETTINGS.format(address=addresses[1]))
        nodes.append(node)
    first_window = int(time.time() // WINDOW_S)
    try:
        for node in nodes:
            node.start()
        callers = [asyncio.create_task(call_repeatedly(http, host)) for host in hosts]
        await disturb(surroundings, nodes)
        for caller in callers:
            caller.cancel()
        await asyncio.sleep(10)
    finally:
        for node in nodes:
            node.kill()
    surroundings.report(first_window, int(time.time() // WINDOW_S) - 2)
    print(f"logs: {folder}")
    await http.close()
    for server in servers:
        await server.abort()
    await store.close()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:] != ["false"]))
