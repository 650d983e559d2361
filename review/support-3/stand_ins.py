"""Stand-ins for the platform's store, its workers and its callers, and node processes.

They use the standard library only and follow PROTOCOL.md. Where the pages are silent
they behave like a sound store, worker or caller. All addresses are on 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ROUTE_HOST = "desk.example"
# The bounds of the site that the cases name (kis-barge).
GRACE_S = 8
DRAIN_MS = 2000
LEASE_TTL_MS = 3000
RECOVER_S = 12.0

_used_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            if port in _used_ports:
                continue
            try:
                udp.bind((HOST, port))
            except OSError:
                continue
            _used_ports.add(port)
            return port


class Record:
    """What was sent, answered and run, one line each, in record.txt."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self._file = path.open("w")

    def add(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Message:
    """An HTTP request or response."""

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; return None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; b"" is the last one."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the whole body of a message with a length or in chunks."""
    if "chunked" in message.headers.get("transfer-encoding", ""):
        while data := await read_chunk(reader):
            message.body += data
    else:
        size = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(size)


def build_response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return a whole response with a length."""
    fields = {**(headers or {}), "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\n{head}\r\n".encode() + body


class Server:
    """A server that answers one request at a time on each connection."""

    def __init__(self) -> None:
        self.port = free_port()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=4 * 1024 * 1024
        )

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        work: asyncio.Future[None] | None = None
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                # The end of the connection ends the work on its request.
                work = asyncio.ensure_future(self.answer(request, writer))
                watch = asyncio.ensure_future(_wait_for_end(reader))
                await asyncio.wait([work, watch], return_when=asyncio.FIRST_COMPLETED)
                watch.cancel()
                if not work.done():
                    work.cancel()
                    return
                with contextlib.suppress(OSError):
                    await work
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if work is not None:
                await asyncio.gather(work, return_exceptions=True)
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Write the response to a request."""
        raise NotImplementedError


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        if reader.exception() is not None:
            return
        await asyncio.sleep(0.01)


class Store(Server):
    """The platform's store: rows, transactions and the feed."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[tuple[str, str, str], bytes | None, int]] = []
        self.version = 0
        self._changed = asyncio.Event()
        self._started = time.monotonic()

    def put(self, table: str, key: str, value: dict[str, Any] | None) -> None:
        """Write a row as the operator or a worker does."""
        at = (table, "", key)
        self._apply([(at, None if value is None else json.dumps(value).encode())])

    def _apply(self, writes: list[tuple[tuple[str, str, str], bytes | None]]) -> None:
        self.version += 1
        for at, value in writes:
            if value is None:
                if self.rows.pop(at, None) is None:
                    continue
            else:
                self.rows[at] = (value, self.version)
            self.history.append((at, value, self.version))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a call after the usual 4 ms."""
        await asyncio.sleep(0.004)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-tx":
            status, answer = self._transact(json.loads(request.body))
        elif url.path == "/v1/rows-get":
            status, answer = 200, self._read(query)
        elif url.path == "/v1/rows-parts":
            after = query.get("after", "")
            parts = {at[1] for at in self.rows if at[0] == query["table"]}
            status, answer = 200, {"parts": sorted(p for p in parts if p > after)}
        elif url.path == "/v1/rows-feed":
            status, answer = 200, await self._feed(query)
        else:
            status, answer = 404, {}
        now_ms = int((time.monotonic() - self._started) * 1000)
        answer = {"rowVersion": self.version, "serverTimeMs": now_ms, **answer}
        writer.write(
            build_response(
                status,
                json.dumps(answer).encode(),
                {"Content-Type": "application/json"},
            )
        )

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for entry in [*body["writes"], *body["remove"]]:
            if entry["table"] in ("op", "servers"):
                return 403, {}
        conditions = [(_key(e), e["rowVersion"]) for e in body["expectedRev"]]
        if any(self.rows.get(at, (b"", 0))[1] != v for at, v in conditions):
            found = [_record(at, *self.rows[at]) for at, _ in conditions if at in self.rows]
            return 412, {"records": found}
        writes = [(_key(e), base64.b64decode(e["value"])) for e in body["writes"]]
        self._apply([*writes, *((_key(e), None) for e in body["remove"])])
        return 200, {}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        first, limit = query.get("from", ""), min(500, int(query.get("limit", "500")))
        keys = sorted(
            at for at in self.rows if at[:2] == (table, part) and at[2] >= first
        )
        page = [_record(at, *self.rows[at]) for at in keys[:limit]]
        return {"records": page, "hasMore": len(keys) > limit}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changes = [
                _record(at, value, version)
                for at, value, version in self.history
                if at[0] == query["table"] and version > int(query["after"])
            ]
            left_s = until - time.monotonic()
            if changes or left_s <= 0:
                return {"records": changes}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


def _key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry["part"], entry["key"]


def _record(
    at: tuple[str, str, str], value: bytes | None, version: int
) -> dict[str, Any]:
    record = {"table": at[0], "part": at[1], "key": at[2], "rowVersion": version}
    if value is None:
        return {**record, "deleted": True}
    return {**record, "value": base64.b64encode(value).decode()}


@dataclass
class Run:
    """A request that a worker began to work on."""

    worker: str
    request_id: str
    at_s: float
    last_event_id: int | None = None
    events: list[int] = field(default_factory=list)


class Worker(Server):
    """A worker that serves plain requests and streams."""

    def __init__(
        self, name: str, service: str, store: Store, record: Record, slots: int = 8
    ) -> None:
        super().__init__()
        self.name, self.service, self.slots = name, service, slots
        self.record = record
        self.runs: list[Run] = []
        self.running = 0
        self.models: list[dict[str, Any]] = []
        self.born = int(time.time() * 1000)
        self._store = store
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and write the row every 1.2 s."""
        await super().start()
        self._beat = asyncio.ensure_future(self._write_rows())

    def stop(self) -> None:
        """Crash."""
        if self._beat is not None:
            self._beat.cancel()
        super().stop()

    async def _write_rows(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            self._store.put(
                "servers",
                self.name,
                {
                    "upstream": self.service,
                    "address": f"{HOST}:{self.port}",
                    "zone": "a",
                    "version": "v1",
                    "capacity": self.slots,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "sequence": sequence,
                    "born": self.born,
                    **({"models": self.models, "stage": "both"} if self.models else {}),
                },
            )
            await asyncio.sleep(1.2)

    def headers(self, request: Message) -> dict[str, str]:
        """Return the headers of all responses."""
        request_id = request.headers.get("x-request-id", "")
        return {
            "X-Request-Id": request_id,
            "X-Instance-Id": self.name,
            "X-Worker-Load": f"{self.running},0,{self.slots}",
        }

    def stamp(self, request: Message) -> dict[str, str]:
        """Return the headers of the responses to requests that ran."""
        request_id = request.headers.get("x-request-id", "")
        stamp = {"X-Server-Stamp": f"{self.name}.{request_id}"}
        return {**self.headers(request), **stamp}

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request; one for another worker or beyond the slots doesn't run."""
        path = urlsplit(request.target).path
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(
                build_response(421, b"", {**self.headers(request), "X-Not-Run": "1"})
            )
            return
        if path == "/health":
            writer.write(build_response(200, b"", self.headers(request)))
            return
        if path == "/v1/report":
            report = {
                "stage": "both",
                "models": self.models,
                "busy": False,
                "sequence": 0,
                "waiting": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 90000,
                "handles": 0,
                "born": self.born,
            }
            writer.write(
                build_response(200, json.dumps(report).encode(), self.headers(request))
            )
            return
        if self.running >= self.slots:
            writer.write(
                build_response(503, b"", {**self.headers(request), "X-Not-Run": "1"})
            )
            return
        last_id = request.headers.get("last-event-id")
        run = Run(
            self.name,
            request.headers.get("x-request-id", ""),
            time.monotonic(),
            None if last_id is None else int(last_id),
        )
        self.runs.append(run)
        self.running += 1
        self.record.add(
            f"run {self.name} {run.request_id} {request.target} after={last_id}"
        )
        try:
            await self.run(request, writer, run)
        finally:
            self.running -= 1

    async def run(
        self, request: Message, writer: asyncio.StreamWriter, run: Run
    ) -> None:
        """Answer a plain request after 20 ms."""
        await asyncio.sleep(0.02)
        body = f"answer to {run.request_id}".encode()
        writer.write(build_response(200, body, self.stamp(request)))


class Node:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, name: str, store_port: int, folder: Path) -> None:
        self.name = name
        self.front, self.ready = free_port(), free_port()
        self.directory, self.control = free_port(), free_port()
        self.peer, self.metrics = free_port(), free_port()
        self.store_port = store_port
        self.seeds: list[int] = []
        # Settings that differ from those of kis-barge.
        self.settings: dict[str, str] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = folder

    def write_settings(self) -> None:
        """Write the settings file, with the figures of the site kis-barge."""
        other = "".join(f"{name}={text}\n" for name, text in self.settings.items())
        seeds = ",".join(f"{HOST}:{port}" for port in self.seeds)
        (self._folder / f"{self.name}.conf").write_text(
            f"""nodeName={self.name}
role=node
machineClass=edge
serves=edge,control_plane,registry
ip={HOST}
zone=a
region=r
zones.a=r
listen.front={HOST}:{self.front}
listen.ready={HOST}:{self.ready}
listen.control={HOST}:{self.control}
listen.directory={HOST}:{self.directory}
portRange={self.peer},{self.peer}
seedNodes={seeds}
bootstrap=true
limits.cpuShare=0.717
limits.cpuCores=3
limits.memoryMb=330
limits.maxFds=8200
limits.bandwidthMbps=1000.0
heartbeatMs=1200
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableWindowMs=3000
bounds.ackMs=4000
bounds.drainMs={DRAIN_MS}
bounds.gracePeriodS={GRACE_S}
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.recoverS=12
bounds.finishS=10
bounds.statusS=120
bounds.cancelMs=3000
bounds.settleMs=1000
bounds.fencing=true
bounds.leaseTtlMs={LEASE_TTL_MS}
bounds.thawMs=300
bounds.ttl_max_s=5
provider.address={HOST}:{self.store_port}
provider.form=table
provider.writesPerS=800
provider.readsPerS=2000
provider.txnTimeoutMs=8.0
provider.appendsPerS=150
provider.rowBytes=65536
provider.across=false
provider.retentionS=20
{other}"""
        )

    def start(self) -> None:
        """Start the process; the bench puts target/deps on Python's path."""
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TAMARACKSHELF_CONFIG": str(self._folder / f"{self.name}.conf"),
            "TAMARACKSHELF_METRICS_PORT": str(self.metrics),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/node.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def read_log(self) -> str:
        """Return what the process wrote."""
        return (self._folder / f"{self.name}.log").read_text()


@dataclass
class Answer:
    """What a caller got: a status and body, or an error; `took_s` counts the wait."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    took_s: float = 0.0


async def call(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Make a call on a new channel and read the whole answer."""
    started = time.monotonic()
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                HOST, port, limit=4 * 1024 * 1024
            )
            fields = {"Host": ROUTE_HOST, **headers, "Content-Length": str(len(body))}
            head = "".join(f"{n}: {v}\r\n" for n, v in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            response = await read_head(reader)
            if response is None:
                answer.error = "closed"
            else:
                answer.status, answer.headers = response.status, response.headers
                await read_body(reader, response)
                answer.body = response.body
    except TimeoutError:
        answer.error = "no answer"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = f"broken: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    answer.took_s = time.monotonic() - started
    return answer


async def wait_ready(nodes: list[Node], timeout_s: float = 25.0) -> bool:
    """Wait until the nodes are ready."""
    until = time.monotonic() + timeout_s
    waiting = list(nodes)
    while waiting and time.monotonic() < until:
        still = []
        for node in waiting:
            answer = await call(node.ready, "GET", "/v1/ready", {}, timeout_s=1.0)
            if answer.status != 200:
                still.append(node)
        waiting = still
        await asyncio.sleep(0.1)
    return not waiting


def build_configuration(
    routes: list[dict[str, Any]], services: list[str], models: dict[str, list[str]]
) -> dict[str, Any]:
    """Return the operator's configuration with the limits of the site kis-barge."""
    upstreams: list[dict[str, Any]] = []
    for name in services:
        entry: dict[str, Any] = {
            "name": name,
            "healthCheck": "/health",
            "maxConnections": 150,
            "protocol": "h1",
            "tls": False,
        }
        if name in models:
            entry["backend"] = {
                "capacity": 8,
                "models": [{"name": model} for model in models[name]],
            }
        upstreams.append(entry)
    return {
        "version": 7,
        "routes": [{"host": ROUTE_HOST, **route} for route in routes],
        "upstreams": upstreams,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Deployment:
    """The store, workers and nodes of one script, which all end with it."""

    def __init__(self, record: Record, node_count: int) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.workers: list[Worker] = []
        self.nodes = [
            Node(f"n{n + 1}", self.store.port, self.folder) for n in range(node_count)
        ]
        for node in self.nodes:
            node.seeds = [each.control for each in self.nodes[:3]]

    async def start(self, configuration: dict[str, Any]) -> bool:
        """Start everything; return whether all nodes are ready."""
        await self.store.start()
        self.store.put("op", "config", configuration)
        for worker in self.workers:
            await worker.start()
        for node in self.nodes:
            node.start()
        if not await wait_ready(self.nodes):
            return False
        # Traffic starts once the machines know each other.
        await asyncio.sleep(3.0)
        return True

    def close(self) -> None:
        """End all processes and servers."""
        for node in self.nodes:
            node.kill()
        for worker in self.workers:
            worker.stop()
        self.store.stop()


def has_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main: Any, folder: Path) -> None:
    """Run a case and exit with 1 if the rule broke, 0 if it held, 2 if it can't run."""
    record = Record(folder / "record.txt")
    record.add(f"trouble={int(has_trouble())}")

    async def run() -> int:
        def report(_: object, context: dict[str, Any]) -> None:
            # Connections that end with the script are no failure of it.
            if not isinstance(context.get("exception"), asyncio.CancelledError):
                record.add(f"background: {context}")

        asyncio.get_running_loop().set_exception_handler(report)
        return await asyncio.wait_for(main(record), 112.0)

    try:
        status = asyncio.run(run())
    except BaseException as error:  # noqa: BLE001 - any error means that it can't run
        record.add(f"the case could not run: {error!r}")
        status = 2
    record.add(f"exit {status}")
    sys.exit(status)
