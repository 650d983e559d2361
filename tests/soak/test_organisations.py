"""Organisations on real nodes: what workers and logs see, and who may use a job."""

from __future__ import annotations

import asyncio
import base64

import msgspec

from tamarackshelf.net import HttpClient
from tests.soak.callers import (
    HOST,
    JOB_PATH,
    MODEL,
    ONCE_PATH,
    REPEAT_PATH,
    SCORE_PATH,
    STREAM_PATH,
    build_configuration,
)
from tests.soak.deployment import Deployment

BLOCK = 117
ITEMS = 6
# The requirements' bounds: configApplyMs, and maxSkewMs for a node that is refused.
APPLY_S = 3.0
SKEW_S = 6.0
KEYS = {"north": ["key-north-1", "key-north-2"], "south": ["key-south-1"]}


def build_row(version, keys):
    row = msgspec.json.decode(build_configuration(version))
    row["routes"].append(
        row["routes"][3] | {"name": "open", "pathPrefix": "/open/", "public": True}
    )
    row["tenants"] = [{"name": n, "apiKeys": list(k)} for n, k in keys.items()]
    return msgspec.json.encode(row)


def build_submission():
    body = base64.b64encode(b"body").decode()
    forged = {"X-Model": MODEL, "X-Credential": "key-north-2", "X-Tenant": "south"}
    items = [
        {
            "id": f"i{n}",
            "path": f"{JOB_PATH}i{n}",
            "headers": forged,
            "body": body,
            "tokens": 900,
            "group": "g",
            "scorerUrl": {"id": f"s{n}", "host": HOST, "path": f"{SCORE_PATH}x"},
        }
        for n in range(ITEMS)
    ]
    return msgspec.json.encode({"model": MODEL, "minVersion": 1, "requests": items})


class Caller:
    """Sends requests to the nodes by number, with a key and a forged name."""

    def __init__(self, deployment):
        self._http = HttpClient(connect_timeout_s=1.0)
        self._nodes = deployment.nodes
        self._count = 0

    async def send(self, node, path, key=None, method="POST", body=b"", name=None):
        self._count += 1
        headers = {"host": HOST, "x-request-id": name or f"r{self._count}"}
        headers |= {"x-model": MODEL, "x-tenant": "forged", "x-deadline-ms": "2000"}
        if key is not None:
            headers["x-credential"] = key
        return await self._http.request(
            self._nodes[node].caller_address,
            method,
            path,
            headers=headers,
            body=body,
            timeout_s=4.0,
            new_connection=True,
        )

    async def read_job(self, node, key, within_s=15.0):
        """Return the number of complete results once all are listed."""
        async with asyncio.timeout(within_s):
            while True:
                answer = await self.send(node, "/v1/lots/j1?after=0", key, "GET")
                if answer.status == 200:
                    page = msgspec.json.decode(answer.body)
                    if page["total"] == len(page["results"]):
                        return sum(r["state"] == "completed" for r in page["results"])
                await asyncio.sleep(0.2)

    async def wait_for(self, node, key, status, within_s):
        async with asyncio.timeout(within_s):
            while (await self.send(node, f"{ONCE_PATH}x", key)).status != status:
                await asyncio.sleep(0.1)

    async def close(self):
        await self._http.close()


def record_headers(deployment):
    seen = []
    for worker in deployment.workers:
        handle = worker._handle

        async def record(request, handle=handle):
            seen.append((request.path, request.headers))
            return await handle(request)

        worker._handle = record
    return seen


async def check_job_is_hidden(caller):
    for node in range(3):
        for method, path in (
            ("GET", "/v1/lots/j1?after=0"),
            ("DELETE", "/v1/lots/j1"),
            ("GET", "/v1/items/j1?id=i1"),
        ):
            answer = await caller.send(node, path, "key-south-1", method)
            assert (answer.status, b"there is no job j1" in answer.body) == (404, True)


async def play(folder):
    deployment = Deployment(1, folder, BLOCK, nodes=3, engines=2)
    seen = record_headers(deployment)
    caller = Caller(deployment)
    try:
        await deployment.start()
        deployment.store.rows.put("op", "config", build_row(2, KEYS))
        for node in range(3):
            await caller.wait_for(node, None, 401, APPLY_S)
        seen.clear()
        for node in range(3):
            for path in (f"{ONCE_PATH}x", f"{REPEAT_PATH}x", f"{STREAM_PATH}x"):
                assert (await caller.send(node, path, "key-north-1")).status == 200
                assert (await caller.send(node, path, "unknown")).status == 401
            assert (await caller.send(node, "/open/x", "unknown")).status == 200
        submitted = await caller.send(
            0, f"{JOB_PATH}x", "key-north-1", body=build_submission(), name="j1"
        )
        assert submitted.status == 202
        await check_job_is_hidden(caller)
        # The key that submitted the job is removed while the store refuses a node.
        await deployment.store_links["n3"].close()
        await asyncio.sleep(1.0)
        left = KEYS | {"north": ["key-north-2"]}
        deployment.store.rows.put("op", "config", build_row(3, left))
        for node, bound_s in ((0, APPLY_S), (1, APPLY_S), (2, SKEW_S)):
            await caller.wait_for(node, "key-north-1", 401, bound_s)
            answer = await caller.send(node, f"{ONCE_PATH}x", "key-south-1")
            assert answer.status == 200
        assert await caller.read_job(1, "key-north-2") == ITEMS
        for process in deployment.nodes:
            process.kill()
        await deployment.store_links["n3"].start()
        for process in deployment.nodes:
            deployment.start_node(process)
        assert await deployment._wait_ready() == []
        await check_job_is_hidden(caller)
        assert await caller.read_job(2, "key-north-2") == ITEMS
        assert deployment.history.unexpected_exits == []
        rows = [row.value for row in deployment.store.rows.rows.values()]
    finally:
        await caller.close()
        await deployment.close()
    return seen, rows


def test_workers_rows_and_logs_never_get_a_key(tmp_path):
    seen, rows = asyncio.run(play(tmp_path))
    names = {path.split("/")[1]: set() for path, _ in seen}
    for path, headers in seen:
        assert "x-credential" not in headers
        names[path.split("/")[1]].add(headers.get("x-tenant"))
    assert names["once"] == {"north", "south"}
    assert names["repeat"] == names["tell"] == names["jobs"] == {"north"}
    assert names["open"] == names["score"] == {None}
    logs = b"".join(path.read_bytes() for path in tmp_path.glob("*.log"))
    assert b"key_refused" in logs
    jobs = b"".join(value for value in rows if b"tenants" not in value)
    assert b"north" in jobs
    for key in (b"key-north", b"key-south"):
        assert key not in logs and key not in jobs
