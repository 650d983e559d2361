"""A resumed stream that a worker answers with its own 500 stops its node for good."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support-3"))

from stand_ins import (  # noqa: E402
    HOST,
    ROUTE_HOST,
    Deployment,
    Message,
    Node,
    Record,
    Run,
    Worker,
    build_configuration,
    build_response,
    call,
    has_trouble,
    read_chunk,
    read_head,
    run_case,
)

STREAMS = 20
EVENTS = 60
EVENT_S = 0.05
STREAM_TIMEOUT_MS = 10_000
PLAIN_TIMEOUT_MS = 2_000
# Plain requests to each machine afterwards, one after the other.
PLAIN_REQUESTS = 12
# A grey worker fails this share of its requests: two of each five.
FAILS = (True, False, False, True, False)


class StreamWorker(Worker):
    """A model worker; a grey one answers a part of its requests with its own 500."""

    is_grey = False
    counted = 0

    async def run(
        self, request: Message, writer: asyncio.StreamWriter, run: Run
    ) -> None:
        if self.is_grey:
            self.counted += 1
            if FAILS[self.counted % len(FAILS)]:
                self.record.add(f"500 {self.name} {run.request_id}")
                writer.write(build_response(500, b"failed", self.stamp(request)))
                return
        fields = {
            **self.stamp(request),
            "X-Weight-Versions": "1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        head = "".join(f"{n}: {v}\r\n" for n, v in fields.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        first = 0 if run.last_event_id is None else run.last_event_id + 1
        for number in range(first, EVENTS):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def read_stream(
    record: Record, node: Node, request_id: str, after: int | None
) -> tuple[int | None, str]:
    """Read a stream; return the id of the last event and how it ended."""
    last, end = after, "broken"
    writer = None
    try:
        async with asyncio.timeout(STREAM_TIMEOUT_MS / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(HOST, node.front)
            resumed = "" if after is None else f"Last-Event-Id: {after}\r\n"
            writer.write(
                f"POST /verse/{request_id} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
                f"X-Request-Id: {request_id}\r\nX-Model: m0\r\n"
                f"X-Deadline-Ms: {STREAM_TIMEOUT_MS}\r\n{resumed}"
                "Content-Length: 0\r\n\r\n".encode()
            )
            head = await read_head(reader)
            if head is None:
                return last, "closed"
            if head.status != 200:
                return last, f"status {head.status}"
            while data := await read_chunk(reader):
                for line in data.decode().split("\n"):
                    if line.startswith("id: "):
                        last = int(line[4:])
            end = "whole"
    except TimeoutError:
        end = "no answer"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return last, end


async def consume(record: Record, first: Node, second: Node, number: int) -> None:
    """Read a stream at a machine; after a broken channel resume it at another one."""
    last, end = await read_stream(record, first, f"s{number}a", None)
    record.add(f"stream s{number}a at {first.name}: {end}, last event {last}")
    if end in ("broken", "closed") and last is not None:
        last, end = await read_stream(record, second, f"s{number}b", last)
        record.add(f"stream s{number}b at {second.name}: {end}, last event {last}")


async def count_unanswered(record: Record, node: Node) -> int:
    """Send plain requests to a machine; return how many got no final answer in time."""
    limit_s = PLAIN_TIMEOUT_MS / 1000 + 0.5

    async def send(number: int) -> bool:
        await asyncio.sleep(0.1 * number)
        request_id = f"{node.name}-q{number}"
        answer = await call(
            node.front,
            "POST",
            f"/book/{number}",
            {"X-Request-Id": request_id, "X-Deadline-Ms": "8000"},
            b"a stall",
            timeout_s=limit_s + 2.0,
        )
        record.add(
            f"request {request_id}: status {answer.status} {answer.error} "
            f"after {answer.took_s:.2f} s"
        )
        return answer.took_s > limit_s or answer.error == "no answer"

    late = await asyncio.gather(*(send(n) for n in range(PLAIN_REQUESTS)))
    return sum(late)


async def main(record: Record) -> int:
    deployment = Deployment(record, node_count=3)
    n1, n2, n3 = deployment.nodes
    engines = [
        StreamWorker(f"i-e{n}", "verse-models", deployment.store, record)
        for n in range(3)
    ]
    for engine in engines:
        engine.models = [{"name": "m0", "version": 1, "adapters": []}]
    desks = [Worker(f"i-d{n}", "desk", deployment.store, record) for n in range(2)]
    deployment.workers = [*engines, *desks]
    configuration = build_configuration(
        [
            {
                "name": "verse",
                "pathPrefix": "/verse/",
                "routeType": "streaming",
                "resumable": True,
                "timeoutMs": STREAM_TIMEOUT_MS,
                "targetLatencyMs": 400,
                "priority": 0,
                "upstream": "verse-models",
                "maxAttempts": MAX_ATTEMPTS,
            },
            {
                "name": "book",
                "pathPrefix": "/book/",
                "routeType": "idempotent",
                "timeoutMs": PLAIN_TIMEOUT_MS,
                "targetLatencyMs": 500,
                "priority": 2,
                "upstream": "desk",
                "maxAttempts": 2,
            },
        ],
        ["verse-models", "desk"],
        {"verse-models": ["m0"]},
    )
    try:
        if not await deployment.start(configuration):
            record.add("the machines were not ready")
            return 2
        streams = [
            asyncio.ensure_future(consume(record, n1, (n2, n3)[n % 2], n))
            for n in range(STREAMS)
        ]
        await asyncio.sleep(1.0)
        if has_trouble():
            engines[0].is_grey = True
            record.add("trouble: srv_grey (errors) i-e0, and node_kill n1")
            n1.kill()
        await asyncio.sleep(1.0)
        if has_trouble():
            n1.start()
        await asyncio.sleep(3.5)
        engines[0].is_grey = False
        record.add("trouble ended")
        await asyncio.gather(*streams)
        # n2 and n3 had no disturbance; the store is calm since the start.
        late = {}
        for node in (n2, n3):
            late[node.name] = await count_unanswered(record, node)
            cpu = read_cpu_s(node)
            record.add(
                f"{node.name}: {late[node.name]} of {PLAIN_REQUESTS} requests without "
                f"an answer half a second after timeoutMs; processor time {cpu:.1f} s"
            )
        total = sum(late.values())
        broken = total >= 8 and total * 4 > 2 * PLAIN_REQUESTS
        return 1 if broken else 0
    finally:
        deployment.close()


def read_cpu_s(node: Node) -> float:
    """Return the processor time that a machine's process has used."""
    assert node.process is not None
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / 100


MAX_ATTEMPTS = 1

run_case(main, Path(__file__).resolve().parent)
