"""Workers and callers that send bytes without end, in a process of their own.

Called with the kind of bytes, the number of callers and the host of the node.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

from tamarackshelf.contracts.targets import CallKind, TargetCall
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.node.target_relay import PeerDeclined, open_relayed
from tamarackshelf.world import Address, Target, TargetKind
from tests.soak.callers import HOST, ONCE_PATH

WORKER_ADDRESS = Address("127.119.200.1", 7000)
CALLERS_PORT = 8144
PEER_PORT = 7660

HEAD = b"HTTP/1.1 200 OK\r\nx-server-stamp: s\r\n"
BLOB = b"a" * 65536
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
ANSWERS = {
    "head": (b"HTTP/1.1 200 OK\r\nx: ", BLOB),
    "body": (HEAD + b"\r\n", BLOB),
    "chunks": (HEAD + CHUNKED, b"10000\r\n" + BLOB + b"\r\n"),
    "error body": (b"HTTP/1.1 500 No\r\nx-server-stamp: s\r\n\r\n", BLOB),
    "event": (HEAD + b"content-type: text/event-stream\r\n\r\nid: 0\ndata: ", BLOB),
}


class EndlessWorker:
    """Answers each request with a start and then repeats some bytes."""

    def __init__(self, answer):
        self._start, self._repeated = ANSWERS[answer]

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, *_pair(WORKER_ADDRESS))

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = next(
                line for line in head.split(b"\r\n") if line.startswith(b"x-request-id")
            )
            status, _, rest = self._start.partition(b"\r\n")
            writer.write(status + b"\r\n" + request_id + b"\r\n" + rest)
            while True:
                writer.write(self._repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError, StopIteration):
            pass
        finally:
            writer.close()


def _pair(address):
    return address.host, address.port


async def repeat(call):
    """Repeat a call until it is cancelled, whatever becomes of it."""
    while True:
        with contextlib.suppress(ConnectionLost, ConnectFailed, PeerDeclined, OSError):
            await call()
        await asyncio.sleep(0.05)


async def ask(http, host, path, request_id):
    headers = {"host": HOST, "x-request-id": request_id, "x-deadline-ms": "2000"}
    return await http.request(
        Address(host, CALLERS_PORT),
        "POST",
        path,
        headers=headers,
        timeout_s=5.0,
        new_connection=True,
    )


def build_callers(kind, http, host, count):
    """Return the calls that cause the endless bytes, each to be repeated."""
    if kind == "requests":
        return [lambda: send_without_end(host) for _ in range(count)]
    if kind == "relayed":
        return [lambda n=n: relay(http, host, f"r{n}") for n in range(count)]
    path = "/tale/x" if kind == "event" else "/bad/x"
    return [lambda n=n: ask(http, host, path, f"b{n}") for n in range(count)]


async def send_without_end(host):
    """Send a request whose body does not end."""
    reader, writer = await asyncio.open_connection(host, CALLERS_PORT)
    try:
        head = f"POST {ONCE_PATH}x HTTP/1.1\r\nhost: {HOST}\r\n".encode()
        writer.write(head + CHUNKED)
        while not reader.at_eof():
            writer.write(b"10000\r\n" + BLOB + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        writer.close()


async def relay(http, host, request_id):
    """Let the node call the worker for a peer that reads nothing of the answer."""
    call = TargetCall(
        CallKind.REQUEST,
        "POST",
        "/x",
        {"x-request-id": request_id},
        b"",
        5.0,
        request_id,
    )
    target = Target("f1", "faulty", TargetKind.PLAIN, "a", WORKER_ADDRESS, 1, 300)
    peer = Address(host, PEER_PORT)
    async with open_relayed(http, peer, target, call):
        await asyncio.sleep(2.0)


async def main(kind, count, host):
    http = HttpClient()
    answer = "body" if kind in ("requests", "relayed") else kind
    async with EndlessWorker(answer):
        print("ready", flush=True)
        calls = build_callers(kind, http, host, count)
        await asyncio.gather(*(repeat(each) for each in calls))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
