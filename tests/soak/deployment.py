"""A small deployment on loopback: row store, workers, node processes and callers."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from random import Random
from typing import TYPE_CHECKING

from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.world import Address
from tests.soak.callers import (
    MODEL,
    CrashingClient,
    JobClient,
    NodeEndpoint,
    NodeResolver,
    PlainClient,
    StreamClient,
    Trainer,
    build_configuration,
)
from tests.soak.history import NEVER_S, Disruption, History, ObservedJob, now_s
from tests.soak.nodes import NodeProcess
from tests.soak.proxy import Proxy
from tests.soak.store import StoreServer
from tests.soak.workers import PLAIN_RESPONSE_S, Worker

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

# The values of recoverS and finishS in the platform settings, in this order.
RECOVERY_LIMIT_S = 12.0
FINISH_LIMIT_S = 10.0
ENGINE_SLOTS = 4
PLAIN_SLOTS = 6
# The paths of node n to the workers are at 127.block.(FIRST_PATH_BLOCK + n).
FIRST_PATH_BLOCK = 10
# The platform gives a starting node at most three seed nodes.
MAX_SEED_NODES = 3
# A worker that a request crashed starts again after this time by default.
WORKER_RESTART_S = 1.5


class Deployment:
    """The servers, processes and callers of one run, on addresses in 127.`block`.

    `folder` gets the settings and the logs of the nodes. With `software` above one, the
    workers have that many versions of it, and some have another one after a restart.
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        block: int,
        nodes: int,
        engines: int = 3,
        software: int = 1,
    ) -> None:
        self.history = History()
        self.store = StoreServer()
        self.stopping_nodes: set[str] = set()
        self.departed_workers: set[str] = set()
        self.crashed_workers: set[str] = set()
        self.cut_nodes: set[str] = set()
        self.configuration_version = 1
        self.worker_restart_s = WORKER_RESTART_S
        self.plain_response_s = PLAIN_RESPONSE_S
        self._random = Random(seed)
        self._software = "abcdefgh"[:software]
        self._software_random = Random(f"software-{seed}")
        self._host = f"127.{block}"
        self._callers: list[asyncio.Task[None]] = []
        self._worker_restarts: set[asyncio.Task[None]] = set()
        self._restart_task: asyncio.Task[None] | None = None
        self.store_links: dict[str, Proxy] = {}
        self.caller_links: dict[str, Proxy] = {}
        self.worker_links: dict[str, Proxy] = {}
        # The paths of each node to all workers.
        self.node_links: dict[str, list[Proxy]] = {}
        self.nodes: list[NodeProcess] = []
        for n in range(nodes):
            self._add_node(f"n{n + 1}", f"{self._host}.1.{n + 1}", folder)
        self.workers: list[Worker] = []
        for n in range(engines):
            self._add_worker(f"e{n + 1}", "models", ENGINE_SLOTS)
        for n in range(2):
            self._add_worker(f"d{n + 1}", "desk", PLAIN_SLOTS)
        endpoints = {
            node.caller_address: NodeEndpoint(
                node.name, self.caller_links[node.name].address, node.directory_address
            )
            for node in self.nodes
        }
        self._resolver = NodeResolver(endpoints, self._random)
        self.job_client = JobClient(self.history, self._resolver)

    async def start(self) -> None:
        """Start the store, proxies, workers and nodes, and restart nodes that exit.

        Raise AssertionError if a node is not ready within RECOVERY_LIMIT_S.
        """
        for number in range(1, len(self.nodes) + 1):
            await self.store.start(
                self._store_address(number),
                f"{self._host}.4.",
                f"{self._host}.{FIRST_PATH_BLOCK + number}.",
            )
        configuration = build_configuration(self.configuration_version)
        self.store.rows.put("op", "config", configuration)
        for proxy in self._list_proxies():
            await proxy.start()
        for worker in self.workers:
            await worker.start(
                self._server_address(worker), _unix_ms(), _initial_versions(worker)
            )
        for node in self.nodes:
            self.start_node(node)
        unready = await self._wait_ready()
        if unready:
            raise AssertionError(f"nodes not ready after the start: {unready}")
        self._restart_task = asyncio.create_task(self._restart_exited_nodes())

    async def close(self) -> None:
        """Stop everything that this deployment started; kill only its own processes."""
        restarts = [self._restart_task] if self._restart_task else []
        await _cancel([*self._callers, *self._worker_restarts, *restarts])
        await self.job_client.close()
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.kill()
        for worker in self.workers:
            await worker.crash()
        for proxy in self._list_proxies():
            await proxy.close()
        await self.store.close()

    def start_callers(
        self, clients: int, streams: int, trainers: int, crashing: int = 0
    ) -> None:
        """Start the given numbers of callers of each kind."""
        for _ in range(crashing):
            random = Random(self._random.getrandbits(32))
            crasher = CrashingClient(self._resolver, random)
            self._callers.append(asyncio.create_task(crasher.run()))
        for _ in range(streams):
            random = Random(self._random.getrandbits(32))
            reader = StreamClient(
                self.history, self._resolver, random, resumes=len(self._software) > 1
            )
            self._callers.append(asyncio.create_task(reader.run()))
        for _ in range(clients):
            random = Random(self._random.getrandbits(32))
            client = PlainClient(
                self.history, self._resolver, random, self.plain_response_s
            )
            self._callers.append(asyncio.create_task(client.run()))
        for _ in range(trainers):
            random = Random(self._random.getrandbits(32))
            trainer = Trainer(self.history, self.job_client, self.store, random)
            self._callers.append(asyncio.create_task(trainer.run()))

    async def finish(self) -> None:
        """Wait until the nodes are ready, stop the callers and read all accepted jobs.

        Record the nodes that are not ready within RECOVERY_LIMIT_S, and read the jobs
        for at most FINISH_LIMIT_S.
        """
        self.history.faults_ended_s = now_s()
        self.history.unready_nodes = await self._wait_ready()
        await _cancel(self._callers)
        self._callers = []
        until_s = now_s() + FINISH_LIMIT_S
        jobs = [j for j in self.history.jobs.values() if j.accepted_s != NEVER_S]
        await asyncio.gather(*(self._read_all_results(job, until_s) for job in jobs))

    def start_node(self, node: NodeProcess) -> None:
        """Start the process of a node unless it is running."""
        if not node.is_running():
            node.start()

    async def crash_worker(self, worker: Worker, down_s: float) -> None:
        """Crash a worker and restart it under its name, unless it is down already.

        Until its first heartbeat after the restart, its row describes the earlier
        process.
        """
        if worker.name in self.departed_workers | self.crashed_workers:
            return
        self.crashed_workers.add(worker.name)
        with self.record_disruption("worker:crash", worker.name, down_s):
            await worker.crash()
            await self.worker_links[worker.name].close()
            await asyncio.sleep(down_s)
            await self.start_worker(worker)
            await self.worker_links[worker.name].start()
        self.crashed_workers.discard(worker.name)

    async def start_worker(self, worker: Worker) -> None:
        """Restart a worker under its name and with the model versions that it had."""
        worker.software = self._software_random.choice(self._software)
        versions = worker.state.versions
        await worker.start(self._server_address(worker), _unix_ms(), versions)

    @contextlib.contextmanager
    def record_disruption(
        self, kind: str, affected: str, duration_s: float
    ) -> Iterator[None]:
        """Record a disruption that ends with the block, but not before `duration_s`.

        Until the block ends, the history shows the disruption as never-ending.
        """
        index = len(self.history.disruptions)
        from_s = now_s()
        self.history.disruptions.append(Disruption(kind, affected, from_s, NEVER_S))
        try:
            yield
        finally:
            until_s = max(now_s(), from_s + duration_s)
            self.history.disruptions[index] = Disruption(
                kind, affected, from_s, until_s
            )

    def _add_node(self, name: str, host: str, folder: Path) -> None:
        number = len(self.nodes) + 1
        store_link = Address(f"{self._host}.2.{number}", 9000)
        seeds = [f"{self._host}.1.{n}" for n in range(1, MAX_SEED_NODES + 1)]
        node = NodeProcess(name, host, seeds, store_link, folder)
        self.nodes.append(node)
        self.store_links[name] = Proxy(store_link, self._store_address(number))
        self.node_links[name] = []
        caller_address = Address(f"{self._host}.3.{number}", 8144)
        self.caller_links[name] = Proxy(caller_address, node.caller_address)

    def _add_worker(self, name: str, service: str, slots: int) -> None:
        number = len(self.workers) + 1
        listed_address = Address(f"{self._host}.4.{number}", 7000)
        random = Random(self._random.getrandbits(32))
        worker = Worker(
            name, service, slots, listed_address, self.history, self.store, random
        )
        worker.on_crash = self._handle_crash
        worker.software = self._software[number % len(self._software)]
        self.workers.append(worker)
        self.worker_links[name] = Proxy(listed_address, self._server_address(worker))
        for node_number, node in enumerate(self.nodes, 1):
            path_host = f"{self._host}.{FIRST_PATH_BLOCK + node_number}.{number}"
            path = Proxy(Address(path_host, listed_address.port), listed_address)
            self.node_links[node.name].append(path)

    def _handle_crash(self, worker: Worker) -> None:
        restart = self.crash_worker(worker, self.worker_restart_s)
        task = asyncio.create_task(restart)
        self._worker_restarts.add(task)
        task.add_done_callback(self._worker_restarts.discard)

    def _store_address(self, node_number: int) -> Address:
        return Address(f"{self._host}.0.{node_number}", 9000)

    def _server_address(self, worker: Worker) -> Address:
        host, port = worker.listed_address.host, worker.listed_address.port
        return Address(host.replace(f"{self._host}.4.", f"{self._host}.5."), port)

    def _list_proxies(self) -> list[Proxy]:
        links = (self.store_links, self.caller_links, self.worker_links)
        proxies = [proxy for each in links for proxy in each.values()]
        return proxies + [path for paths in self.node_links.values() for path in paths]

    async def _wait_ready(self) -> list[str]:
        until_s = now_s() + RECOVERY_LIMIT_S
        waiting = list(self.nodes)
        while waiting and now_s() < until_s:
            waiting = [node for node in waiting if not await _is_ready(node)]
            await asyncio.sleep(0.1)
        return [node.name for node in waiting]

    async def _read_all_results(self, job: ObservedJob, until_s: float) -> None:
        after = 0
        while now_s() < until_s:
            read = await self.job_client.read(job, after)
            after += len(read.results)
            if read.status == 200 and after == len(job.items):
                job.is_fully_read = True
                return
            is_ended = job.end_sent_s != NEVER_S
            if is_ended and read.status == 200 and not read.results:
                return
            await asyncio.sleep(0.2)

    async def _restart_exited_nodes(self) -> None:
        """Restart nodes that exit unexpectedly and record their names."""
        while True:
            for node in self.nodes:
                if node.should_run and not node.is_running():
                    self.history.unexpected_exits.append(node.name)
                    node.start()
            await asyncio.sleep(0.2)


async def _is_ready(node: NodeProcess) -> bool:
    http = HttpClient(connect_timeout_s=0.5)
    try:
        answer = await http.request(
            node.ready_address, "GET", "/v1/ready", timeout_s=0.5, new_connection=True
        )
    except (ConnectFailed, ConnectionLost):
        return False
    finally:
        await http.close()
    return answer.status == 200


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _initial_versions(worker: Worker) -> dict[str, int]:
    return {MODEL: 1} if worker.service == "models" else {}


def _unix_ms() -> int:
    return int(time.time() * 1000)


__all__ = ["WORKER_RESTART_S", "Deployment"]
