"""A small deployment for the cases of the second review.

The nodes are the project's own processes, started as the deploy file says. The store
and the workers are the stand-ins of `tests/soak`, in this process; the store takes as
long as the pages say (8 ms a transaction, 4 ms an answer).
"""

from __future__ import annotations

import asyncio
import base64
import os
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
from pathlib import Path
from typing import Any, Callable

import msgspec

from tamarackshelf.contracts.rows import RowConflict, RowTransaction
from tamarackshelf.net import (
    ClientResponse,
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    HttpServer,
    Request,
    Response,
    to_json_response,
)
from tamarackshelf.world import Address
from tests.soak import store as soak_store
from tests.soak.callers import HOST, JOB_PATH, MODEL, SCORE_PATH, build_configuration
from tests.soak.history import History
from tests.soak.nodes import NodeProcess
from tests.soak.proxy import Proxy
from tests.soak.workers import Worker

TRANSACTION_S = 0.008
ANSWER_S = 0.004
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseNotRun(Exception):
    """The case could not be brought about."""


class Record:
    """What was sent, answered and run, in the order of time, in a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self._started_s:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class ReviewStore(soak_store.StoreServer):
    """The stand-in of the platform's store, which tells who wrote what."""

    def __init__(self) -> None:
        super().__init__()
        # Called with the node and the transaction once it is committed and before it
        # is answered.
        self.on_commit: Callable[[str, RowTransaction], None] = lambda node, tx: None

    async def start_for(
        self, node: str, address: Address, workers_host: tuple[str, str] = ("", "")
    ) -> None:
        """Listen for the calls of one node.

        The node sees the workers at addresses of its own, which lead to it alone:
        `workers_host` names their common beginning in the rows and for this node.
        """
        listed, seen = (name.encode() for name in workers_host)

        async def handle(request: Request) -> Response:
            if request.path == "/v1/rows-tx":
                return await self._commit(node, request)
            return await self._handle(
                request, lambda value: value.replace(listed, seen) if listed else value
            )

        server = HttpServer(handle)
        self._servers.append(server)
        await server.start(address)

    async def _commit(self, node: str, request: Request) -> Response:
        await asyncio.sleep(TRANSACTION_S)
        body = msgspec.json.decode(request.body)
        status = soak_store._find_error_status(body)
        if status:
            return Response(status)
        transaction = soak_store._to_transaction(body)
        try:
            commit = self.rows.commit_now(transaction)
        except RowConflict as error:
            await asyncio.sleep(ANSWER_S)
            return to_json_response(soak_store._to_answer(error.rows, 0), 412)
        self.on_commit(node, transaction)
        await asyncio.sleep(ANSWER_S)
        return to_json_response(
            {"rowVersion": commit.version, "serverTimeMs": commit.store_ms}
        )


class SmallDeployment:
    """Nodes, a store and workers on addresses of 127.`block`.

    `paths` holds by node the links to all workers, which belong to it alone.
    """

    def __init__(
        self,
        record: Record,
        nodes: int = 3,
        engines: int = 3,
        slots: int = 8,
        plain: int = 2,
        configuration: bytes | None = None,
        memory_mb: int | None = None,
    ) -> None:
        self.record = record
        # Held until the end, so that no other deployment takes the same addresses.
        self._lock, block = _lock_free_block()
        self.host = f"127.{block}"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.history = History()
        self.store = ReviewStore()
        self.store.rows.put("op", "config", configuration or build_configuration(1))
        self.workers = [
            self._build_worker(f"e{n}", "models", slots, n) for n in range(1, engines + 1)
        ]
        self.workers += [
            self._build_worker(f"d{n}", "desk", 6, 100 + n) for n in range(1, plain + 1)
        ]
        self.nodes: dict[str, NodeProcess] = {}
        self.links: dict[str, Proxy] = {}
        seeds = [f"{self.host}.1.{n}" for n in range(1, min(nodes, 3) + 1)]
        for n in range(1, nodes + 1):
            link = Address(f"{self.host}.2.{n}", 9000)
            self.links[f"n{n}"] = Proxy(link, Address(f"{self.host}.0.{n}", 9000))
            self.nodes[f"n{n}"] = NodeProcess(
                f"n{n}", f"{self.host}.1.{n}", seeds, link, self.folder
            )
        self.http = HttpClient(connect_timeout_s=1.0)
        self.paths: dict[str, list[Proxy]] = {name: [] for name in self.nodes}
        for n, name in enumerate(self.nodes, 1):
            for worker in self.workers:
                number = worker.listed_address.host.rpartition(".")[2]
                seen = Address(f"{self.host}.{10 + n}.{number}", 7000)
                real = Address(f"{self.host}.5.{number}", 7000)
                self.paths[name].append(Proxy(seen, real))
        if memory_mb is not None:
            for node in self.nodes.values():
                text = node._settings.read_text()
                memory = f"limits.memoryMb={memory_mb}"
                node._settings.write_text(text.replace("limits.memoryMb=200", memory))

    def _build_worker(self, name: str, service: str, slots: int, number: int) -> Worker:
        address = Address(f"{self.host}.4.{number}", 7000)
        rng = random.Random(number)
        return Worker(name, service, slots, address, self.history, self.store, rng)

    async def start(self) -> None:
        """Start everything; raise CaseNotRun if a node is not ready within 15 s."""
        for n, (name, link) in enumerate(self.links.items(), 1):
            await self.store.start_for(
                name,
                Address(f"{self.host}.0.{n}", 9000),
                (f"{self.host}.4.", f"{self.host}.{10 + n}."),
            )
            await link.start()
            for path in self.paths[name]:
                await path.start()
        for worker in self.workers:
            versions = {MODEL: 1} if worker.service == "models" else {}
            await self.start_worker(worker, versions)
        for node in self.nodes.values():
            node.start()
        until_s = time.monotonic() + 15.0
        while not all([await self._is_ready(node) for node in self.nodes.values()]):
            if time.monotonic() > until_s:
                raise CaseNotRun("a node did not become ready")
            await asyncio.sleep(0.1)
        self.record.note(f"the nodes {', '.join(self.nodes)} are ready")

    async def start_worker(self, worker: Worker, versions: dict[str, int]) -> None:
        """Start a worker, or start it again, with these versions of its models."""
        number = worker.listed_address.host.rpartition(".")[2]
        address = Address(f"{self.host}.5.{number}", 7000)
        await worker.start(address, int(time.time() * 1000), versions)

    async def close(self) -> None:
        """End all processes that this deployment started."""
        for node in self.nodes.values():
            node.send_signal(signal.SIGCONT)
            node.kill()
        for worker in self.workers:
            await worker.crash()
        for link in (*self.links.values(), *sum(self.paths.values(), [])):
            await link.close()
        await self.store.close()
        await self.http.close()
        self._lock.close()

    async def call(
        self,
        node: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 2.5,
    ) -> ClientResponse | None:
        """Send a consumer's call on a new channel; return None without an answer."""
        try:
            return await self.http.request(
                self.nodes[node].caller_address,
                method,
                path,
                headers={"host": HOST, **(headers or {})},
                body=body,
                timeout_s=timeout_s,
                new_connection=True,
            )
        except (ConnectFailed, ConnectionLost):
            return None

    async def submit(
        self, node: str, job: str, items: int, group_size: int, *, scored: bool = True
    ) -> None:
        """Submit a batch submission; raise CaseNotRun if it is not accepted."""
        body = build_submission(job, items, group_size, scored=scored)
        answer = await self.call(
            node, "POST", f"{JOB_PATH}x", {"x-request-id": job}, body, timeout_s=5.0
        )
        status = 0 if answer is None else answer.status
        self.record.note(f"submit {job} with {items} items at {node}: {status}")
        if status != 202:
            raise CaseNotRun(f"{job} was answered {status}")

    async def _is_ready(self, node: NodeProcess) -> bool:
        try:
            answer = await self.http.request(
                node.ready_address,
                "GET",
                "/v1/ready",
                timeout_s=0.5,
                new_connection=True,
            )
        except (ConnectFailed, ConnectionLost):
            return False
        return answer.status == 200


def build_submission(job: str, items: int, group_size: int, *, scored: bool) -> bytes:
    """Return the body of a batch submission as a trainer sends it."""
    requests: list[dict[str, Any]] = []
    for number in range(items):
        item_id = f"{job}i{number}"
        request: dict[str, Any] = {
            "id": item_id,
            "path": f"{JOB_PATH}{item_id}",
            "headers": {"X-Model": MODEL, "X-Token-Count": "500,400"},
            "body": base64.b64encode(item_id.encode()).decode(),
            "tokens": 900,
            "group": f"g{number // group_size}",
        }
        if scored:
            request["scorerUrl"] = {
                "id": f"{item_id}s",
                "host": HOST,
                "path": f"{SCORE_PATH}x",
                "body": base64.b64encode(b"score").decode(),
            }
        requests.append(request)
    return msgspec.json.encode(
        {
            "step": 0,
            "model": MODEL,
            "minVersion": 1,
            "groupCount": items // group_size,
            "requests": requests,
        }
    )


def run_case(case: Callable[[Record], Any], folder: Path) -> None:
    """Run a case and exit with its status."""
    record = Record(folder / "record.txt")
    status = NOT_RUN
    try:
        status = asyncio.run(case(record))
    except CaseNotRun as error:
        record.note(f"not run: {error}")
        print(f"not run: {error}")
    except (Exception, KeyboardInterrupt):
        # Python would end with 1, which says that the rule was broken.
        record.note(f"not run: {traceback.format_exc()}")
        traceback.print_exc()
    finally:
        record.close()
    sys.exit(status)


def is_troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE") != "0"


def _lock_free_block() -> tuple[socket.socket, int]:
    """Return a number of which 127.NUMBER no other run has, and a socket that holds it."""
    for block in random.sample(range(20, 250), 230):
        lock = socket.socket()
        try:
            lock.bind((f"127.{block}.255.254", 8199))
            with socket.socket() as probe:
                probe.bind((f"127.{block}.1.1", 8144))
        except OSError:
            lock.close()
            continue
        return lock, block
    raise CaseNotRun("no free loopback addresses")
