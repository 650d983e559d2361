"""A whole node on loopback addresses orders workers of the platform."""

from __future__ import annotations

import asyncio
import json

from tests.duties import test_program
from tests.duties.test_program import (
    CONFIGURATION,
    HOSTS,
    REPORT_LIMIT_S,
    build_node,
    start_surroundings,
)

SCALING = {
    "minReplicas": 2,
    "maxReplicas": 4,
    "startupS": 60,
    "zonePrices": {"a": 1.0, "b": 2.0},
}


# Guards against orders that are not wired to the configuration, the worker list or the
# platform.
async def test_node_orders_the_minimum_of_each_data_centre(tmp_path, monkeypatch):
    upstreams = [{"name": "app", "scaling": SCALING}]
    configuration = {**CONFIGURATION, "upstreams": upstreams}
    monkeypatch.setattr(test_program, "CONFIGURATION", configuration)
    calls = []
    async with start_surroundings(calls) as (store, platform):
        program = build_node("n0", HOSTS[0], store, platform, tmp_path)

        def find_orders():
            return [
                (headers, body) for path, headers, body in calls if path == "/scale"
            ]

        try:
            await program.start()
            async with asyncio.timeout(REPORT_LIMIT_S):
                while len(find_orders()) < 2:
                    await asyncio.sleep(0.1)
        finally:
            await program.close()
    orders = sorted(json.dumps(body, sort_keys=True) for _, body in find_orders())
    assert orders == [
        '{"groupCount": 2, "upstream": "app", "zone": "a"}',
        '{"groupCount": 2, "upstream": "app", "zone": "b"}',
    ]
    assert {headers["x-duty-holder"] for headers, _ in find_orders()} == {"n0"}
