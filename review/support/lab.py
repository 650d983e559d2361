"""A small deployment on loopback: node processes, the platform's store and workers.

Nodes run with the command of `deploy/system.toml`. The store is the project's own
stand-in (`tests/soak/store.py`); the workers are below and do what the users' pages say
of a sound worker. Everything that is sent, answered and run goes to `record.txt`.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from tests.soak.store import StoreServer

from tamarackshelf.net import HttpClient
from tamarackshelf.world import Address

ROOT = Path(__file__).resolve().parents[2]
HOST = "review.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of both small sites.
BOUNDS = {
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "gracePeriodS": 8,
    "configApplyMs": 2000,
    "cancelMs": 3000,
    "settleMs": 1000,
    "leaseTtlMs": 3000,
    "ttl_max_s": 5,
    "statusS": 120,
    "fencing": "true",
}
PORT_NAMES = ("front", "ready", "directory", "control", "peer", "metrics")


class Record:
    """`record.txt`, with the seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._started_s

    def write(self, who: str, what: str, **facts: object) -> float:
        now_s = self.now_s()
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{now_s:8.3f} {who:<10} {what} {text}\n")
        self._file.flush()
        return now_s


def pick_block() -> str:
    """Return the first two bytes of loopback addresses that nobody uses now."""
    for _ in range(50):
        block = f"127.{random.randint(20, 199)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{block}.1", 8144))
            except OSError:
                continue
        return block
    raise RuntimeError("no free block of loopback addresses")


def pick_ports(host: str) -> dict[str, int]:
    """Return free ports; they are the same on all machines of a day."""
    sockets = []
    try:
        for _ in PORT_NAMES:
            each = socket.socket()
            sockets.append(each)
            each.bind((host, 0))
        numbers = [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()
    return dict(zip(PORT_NAMES, numbers, strict=True))


class Node:
    """One machine of the class edge with its one process."""

    def __init__(
        self,
        name: str,
        host: str,
        ports: dict[str, int],
        seeds: list[str],
        store: Address,
        folder: Path,
    ) -> None:
        self.name = name
        self.front = Address(host, ports["front"])
        self.ready = Address(host, ports["ready"])
        self._settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self._metrics_port = ports["metrics"]
        self.process: subprocess.Popen[bytes] | None = None
        lines = {
            "nodeName": name,
            "role": "node",
            "machineClass": "edge",
            "serves": "edge,control_plane,registry",
            "ip": host,
            "zone": "a",
            "region": "r",
            "zones.a": "r",
            "listen.front": f"{host}:{ports['front']}",
            "listen.ready": f"{host}:{ports['ready']}",
            "listen.directory": f"{host}:{ports['directory']}",
            "listen.control": f"{host}:{ports['control']}",
            "portRange": f"{ports['peer']},{ports['peer'] + 15}",
            "seedNodes": ",".join(f"{seed}:{ports['control']}" for seed in seeds),
            "bootstrap": "true",
            "limits.cpuShare": "0.717",
            "limits.cpuCores": "3",
            "limits.memoryMb": "330",
            "limits.maxFds": "8200",
            "heartbeatMs": "1200",
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
            "provider.address": str(store),
            "provider.form": "table",
            "provider.writesPerS": "800",
            "provider.readsPerS": "2000",
            "provider.rowBytes": "65536",
        }
        self._settings.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))

    def start(self) -> None:
        environment = {
            **{k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TAMARACKSHELF_CONFIG": str(self._settings),
            "TAMARACKSHELF_METRICS_PORT": str(self._metrics_port),
        }
        with self.log.open("ab") as log:
            # The command of deploy/system.toml.
            self.process = subprocess.Popen(
                ["python3", "deploy/node.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.is_running():
            self.process.send_signal(number)

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        if self.process is not None:
            if self.is_running():
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


@dataclass
class Run:
    """One arrival of a request at a worker."""

    worker: str
    request_id: str
    at_s: float
    after: str = ""
    outcome: str = "running"
    ended_s: float = float("inf")


class Engine:
    """A model worker: streams events, `slots` items at once, queues a few more."""

    def __init__(
        self,
        name: str,
        address: Address,
        lab: Lab,
        *,
        slots: int,
        events: int,
        pause_s: float,
        models: tuple[str, ...],
        queue: int = 24,
    ) -> None:
        self.name, self.address, self._lab = name, address, lab
        self.queue = queue
        self.slots, self.events, self.pause_s = slots, events, pause_s
        self.versions = dict.fromkeys(models, 1)
        self.born = int(time.time() * 1000)
        self.running = self.waiting = self.sequence = self.fence = 0
        self.beats = 0
        self.is_loading = False
        # Whether it sends late copies of the answers in `lab.copied_late`.
        self.is_garbling = False
        self._copies: dict[asyncio.StreamWriter, bytes] = {}
        self._free = asyncio.Semaphore(slots)

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, self.address.host, self.address.port
        )
        self._lab.spawn(self._beat())

    async def _beat(self) -> None:
        while True:
            if not self._lab.store.faults.is_down:
                self.beats += 1
                row = {
                    "upstream": "models",
                    "address": str(self.address),
                    "zone": "a",
                    "version": "s1",
                    "state": "ready",
                    "capacity": self.slots,
                    "born": self.born,
                    "sequence": self.beats,
                    "coldLeftMs": 0,
                    "stage": "both",
                    "models": [
                        {"name": m, "version": v, "adapters": []}
                        for m, v in self.versions.items()
                    ],
                }
                value = json.dumps(row).encode()
                self._lab.store.rows.put("servers", self.name, value)
            await asyncio.sleep(1.2)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A second copy of an answer, which comes where the next one is expected.
        self._copies[writer] = b""
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if self._copies[writer]:
                    self._lab.record.write(
                        self.name,
                        "sends a late copy",
                        first_line=self._copies[writer][:24],
                    )
                    writer.write(self._copies[writer])
                    self._copies[writer] = b""
                await self._answer(request, reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            del self._copies[writer]
            writer.close()

    async def _answer(
        self,
        request: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.path == "/v1/report":
            body = {
                "stage": "both",
                "busy": self.is_loading,
                "sequence": self.sequence,
                "models": [
                    {"name": m, "version": v, "adapters": []}
                    for m, v in self.versions.items()
                ],
                "waiting": self.waiting,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 100000,
                "handles": 0,
                "born": self.born,
            }
            await send(writer, 200, {"x-request-id": request.id}, json.dumps(body))
            return
        if request.headers.get("x-expect-instance", self.name) != self.name:
            headers = {"x-request-id": request.id, "x-not-run": "1"}
            await send(writer, 421, headers, "")
            return
        if request.path == "/v1/order":
            order = json.loads(request.body)
            status = self._take_order(order)
            self._lab.record.write(
                self.name,
                "order",
                status=status,
                holder=order.get("holder"),
                fence=order.get("fence"),
                model=order.get("model"),
                version=order.get("version"),
            )
            await send(writer, status, {"x-request-id": request.id}, "")
            return
        await self._run(request, reader, writer)

    def _take_order(self, order: dict) -> int:
        model, version = order["model"], order["version"]
        if "holder" not in order or "fence" not in order:
            return 400
        if version > self._lab.named.get(model, 1):
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if self.versions.get(model) == version:
            return 200
        if self.is_loading or order.get("expectedRev", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.is_loading = True
        self._lab.orders.append((self._lab.record.now_s(), self.name, order["holder"]))
        asyncio.get_running_loop().call_later(0.9, self._finish_load, model, version)
        return 202

    def _finish_load(self, model: str, version: int) -> None:
        self.versions[model] = version
        self.is_loading = False

    async def _run(
        self,
        request: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        after = request.headers.get("last-event-id", "")
        load = f"{self.running},{self.waiting},{self.slots}"
        headers = {"x-request-id": request.id, "x-worker-load": load}
        run = Run(self.name, request.id, self._lab.record.now_s(), after)
        if self._free.locked() and self.waiting >= self.queue:
            await send(writer, 503, {**headers, "x-not-run": "1"}, "")
            return
        self._lab.runs.append(run)
        self._lab.record.write(
            self.name, "arrival", item=request.id, after=after or "-"
        )
        closed = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self._work(request, run, headers, writer))
        try:
            # A worker drops the request when the channel closes.
            await asyncio.wait({closed, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                run.outcome = "dropped, as the channel closed"
                raise ConnectionResetError
            work.result()
        finally:
            closed.cancel()
            work.cancel()
            await asyncio.gather(closed, work, return_exceptions=True)
            run.ended_s = self._lab.record.write(
                self.name, "run ended", item=request.id, outcome=run.outcome
            )

    async def _work(
        self,
        request: HttpRequest,
        run: Run,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            planned = self._lab.failures.get(request.id, [])
            if planned:
                status = planned[0]
                await asyncio.sleep(self.pause_s)
                run.outcome = f"answered {status}"
                planned.pop(0)
                data = await send(writer, status, headers, "failed")
                self._lab.count_answer(self)
                if self._lab.may_copy(self, request.id):
                    self._copies[writer] = data
                return
            model = request.headers.get("x-model", "")
            head = {
                **headers,
                "x-server-stamp": f"stamp.{request.id}",
                "x-weight-versions": str(self.versions.get(model, 1)),
                "content-type": "text/event-stream",
                "transfer-encoding": "chunked",
            }
            first = int(request.headers.get("last-event-id", "-1")) + 1
            writer.write(build_head(200, head))
            for number in range(first, self.events):
                await asyncio.sleep(self.pause_s)
                event = f"id: {number}\ndata: {request.id}.{number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run.outcome = "complete"
            self._lab.count_answer(self)
        finally:
            self.running -= 1
            self._free.release()


@dataclass
class HttpRequest:
    """A request that a stand-in has read."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        return self.headers.get("x-request-id", "")


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpRequest(method, path, headers, body)


def build_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def send(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: str
) -> bytes:
    data = build_head(status, {**headers, "content-length": str(len(body))})
    data += body.encode()
    writer.write(data)
    await writer.drain()
    return data


@dataclass
class Answer:
    """What a client got: status 0 means no answer."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class Lab:
    """The deployment of one script."""

    def __init__(self, folder: Path, nodes: int) -> None:
        self.record = Record(folder)
        self.store = StoreServer()
        self.runs: list[Run] = []
        self.workers: list[Engine] = []
        self.config_version = 1
        # The statuses of the first answers to an item, by its id.
        self.failures: dict[str, list[int]] = {}
        # Ids of items after whose next failure a second copy of the answer comes late.
        self.copied_late: set[str] = set()
        # Share of the faulty workers' answers that may be copied.
        self.copied_share = 0.0
        self.faulty_answers = self.copies = 0
        # The newest version that a trainer has named, by model, and accepted orders.
        self.named: dict[str, int] = {}
        self.orders: list[tuple[float, str, str]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.block = pick_block()
        ports = pick_ports(f"{self.block}.1")
        with socket.socket() as probe:
            probe.bind((f"{self.block}.250", 0))
            self.store_address = Address(f"{self.block}.250", probe.getsockname()[1])
        hosts = [f"{self.block}.{n + 1}" for n in range(nodes)]
        self.nodes = [
            Node(
                f"edge-a-{n + 1}",
                host,
                ports,
                hosts[:3],
                self.store_address,
                Path(self._folder.name),
            )
            for n, host in enumerate(hosts)
        ]

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def count_answer(self, worker: Engine) -> None:
        self.faulty_answers += worker.is_garbling

    def may_copy(self, worker: Engine, request_id: str) -> bool:
        """Return whether a copy of this answer stays within the share."""
        within = self.copies + 1 <= self.copied_share * self.faulty_answers
        if not (worker.is_garbling and within and request_id in self.copied_late):
            return False
        self.copied_late.discard(request_id)
        self.copies += 1
        return True

    def worker_address(self, number: int) -> Address:
        host = f"{self.block}.{100 + number}"
        with socket.socket() as probe:
            probe.bind((host, 0))
            return Address(host, probe.getsockname()[1])

    def put_config(self, routes: list[dict], upstreams: list[dict]) -> None:
        config = {
            "version": self.config_version,
            "routes": routes,
            "upstreams": upstreams,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 33554432,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.rows.put("op", "config", json.dumps(config).encode())

    def name_version(self, model: str, version: int) -> None:
        self.named[model] = version
        row = json.dumps({"model": model, "version": version}).encode()
        self.store.rows.put("op", f"version/{model}", row)
        self.record.write("trainer", "names", model=model, version=version)

    async def start(self) -> None:
        await self.store.start(self.store_address, "-", "-")
        for worker in self.workers:
            await worker.start()
        for node in self.nodes:
            node.start()
        until_s = self.record.now_s() + 20.0
        while not all([await self.is_ready(node) for node in self.nodes]):
            if self.record.now_s() > until_s:
                raise RuntimeError("the nodes are not ready")
            await asyncio.sleep(0.1)
        # Let them find each other before traffic starts.
        await asyncio.sleep(3.0)
        self.record.write("operator", "all nodes are ready")

    async def is_ready(self, node: Node) -> bool:
        answer = await self.call(node.ready, "GET", "/v1/ready", quiet=True)
        return answer.status == 200

    async def call(
        self,
        address: Address,
        method: str,
        path: str,
        *,
        headers=None,
        body=b"",
        timeout_s: float = 2.0,
        quiet: bool = False,
        who: str = "client",
    ) -> Answer:
        """Send one request on a new channel."""
        http = HttpClient(connect_timeout_s=1.0)
        try:
            got = await http.request(
                address,
                method,
                path,
                headers=headers or {},
                body=body,
                timeout_s=timeout_s,
                new_connection=True,
            )
            answer = Answer(got.status, got.body, got.headers)
        except Exception as error:
            answer = Answer(0, repr(error).encode())
        finally:
            await http.close()
        if not quiet:
            self.record.write(
                who,
                f"{method} {path}",
                node=address.host,
                status=answer.status,
                body=answer.body[:100],
            )
        return answer

    async def close(self) -> None:
        for node in self.nodes:
            node.kill()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.store.close()

    def discard_files(self) -> None:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                (Path(keep) / node.log.name).write_bytes(node.log.read_bytes())
        self._folder.cleanup()


def main(folder: Path, nodes: int, play) -> None:
    """Play a case and exit with its status; REVIEW_FOLDER gets the record instead."""
    lab = Lab(Path(os.environ.get("REVIEW_FOLDER", folder)), nodes)

    def stop(*_: object) -> None:
        for node in lab.nodes:
            node.kill()
        os._exit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, stop)

    async def run() -> int:
        try:
            async with asyncio.timeout(112):
                return await play(lab)
        finally:
            await lab.close()

    try:
        status = asyncio.run(run())
    except Exception as error:
        lab.record.write("script", "could not run", error=repr(error))
        status = COULD_NOT_RUN
    finally:
        lab.discard_files()
    lab.record.write("script", "exit", status=status, trouble=TROUBLE)
    sys.exit(status)
