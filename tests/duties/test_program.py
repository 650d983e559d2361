"""Three whole nodes on loopback addresses count requests and report them."""

from __future__ import annotations

import asyncio
import json
import time
from types import SimpleNamespace

from tamarackshelf.cli.node import build_program
from tamarackshelf.contracts.targets import ForwardedRequest
from tamarackshelf.net import HttpServer, Request, Response
from tamarackshelf.observe import Timeline
from tamarackshelf.platform.settings import load_settings
from tamarackshelf.world.organisation import Organisation
from tamarackshelf.world.route import RoutingConfiguration
from tests.conftest import find_free_address
from tests.soak.nodes import NodeProcess
from tests.soak.store import StoreServer

HOSTS = ("127.19.9.1", "127.19.9.2", "127.19.9.3")
# The platform's store, and its address for duty calls.
DUTIES = """\
cloudApi.address={address}
cloudApi.dutyPerS=50
cloudApi.tasks=usage_report,autoscale
bounds.reportWindowS=1
bounds.usageLateS=10
"""
REPORT_LIMIT_S = 30.0


def build_node(name, host, store, platform, folder):
    NodeProcess(name, host, list(HOSTS), store, folder)
    path = folder / f"{name}.conf"
    path.write_text(path.read_text() + DUTIES.format(address=platform))
    return build_program(load_settings(path), Timeline(name, lambda: 0))


async def test_nodes_report_the_requests_of_all(tmp_path):
    """The counts pass over the peers' HTTP and the report through the store's rows."""
    reports = []

    async def accept(request):
        reports.append((request.path, request.headers, json.loads(request.body)))
        return Response(200)

    store, platform = StoreServer(), HttpServer(accept)
    store_address, platform_address = find_free_address(), find_free_address()
    await store.start(store_address, "-", "-")
    await platform.start(platform_address)
    programs = [
        build_node(f"n{number}", host, store_address, platform_address, tmp_path)
        for number, host in enumerate(HOSTS)
    ]
    configuration = RoutingConfiguration(1, (), organisations=(Organisation("org"),))
    for program in programs:
        program.configuration_view = SimpleNamespace(configuration=configuration)
    try:
        for program in programs:
            await program.start()
        # Clocks are exchanged within the first messages.
        await asyncio.sleep(1.0)
        window = int(time.time())
        for program in programs:
            request = ForwardedRequest(
                "r", "h", Request("GET", "/"), organisation="org"
            )
            program._record_run(request, asyncio.get_running_loop().time())
        async with asyncio.timeout(REPORT_LIMIT_S):
            while not any(body["window"] > window + 1 for _, _, body in reports):
                await asyncio.sleep(0.1)
    finally:
        for program in programs:
            await program.close()
        await platform.abort()
        await store.close()
    assert {path for path, _, _ in reports} == {"/usage"}
    holders = {
        (headers["x-duty-holder"], headers["x-fence-token"])
        for _, headers, _ in reports
    }
    assert len(holders) == 1
    # The requests may have begun on the two sides of a boundary.
    counts = [body["replicaCounts"].get("org", 0) for _, _, body in reports]
    assert sum(counts) == len(HOSTS)
