"""Clients of a node that break its limits or stay just inside, in their own process.

Called with the kind of client, their number and the host of the node. Prints "ready"
when all clients have been started.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys

from tests.soak.callers import HOST, ONCE_PATH

CALLERS_PORT = 8144
DIRECTORY_PORT = 8143
READY_PORT = 8140
PEER_PORT = 7660
MAX_BODY_BYTES = 32 * 1024 * 1024
SHORT_OF_END_BYTES = 100
PIECE = b"a" * 65536
# Requests that one client writes at a time, without reading a response.
PIPELINED = 200


async def connect(host, port=CALLERS_PORT):
    """Return a connected socket whose receive buffer is small."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    return sock


async def send(sock, data):
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def wait_for_end(sock):
    """Read until the node closes the connection."""
    while await asyncio.get_running_loop().sock_recv(sock, 65536):
        pass


async def send_body_but_its_end(sock):
    size = MAX_BODY_BYTES
    head = f"POST {ONCE_PATH}x HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {size}"
    await send(sock, f"{head}\r\n\r\n".encode())
    left = size - SHORT_OF_END_BYTES
    while left > 0:
        await send(sock, PIECE[:left])
        left -= len(PIECE)
    await wait_for_end(sock)


async def send_body_in_pieces(sock):
    head = f"POST {ONCE_PATH}x HTTP/1.1\r\nhost: {HOST}\r\ntransfer-encoding: chunked"
    await send(sock, f"{head}\r\n\r\n".encode())
    for _ in range(MAX_BODY_BYTES // len(PIECE) - 1):
        await send(sock, b"10000\r\n" + PIECE + b"\r\n")
        await asyncio.sleep(0)
    await wait_for_end(sock)


async def send_chunk_extensions(sock):
    """Send one chunk after another of a byte with an extension of 4 KB."""
    head = f"POST {ONCE_PATH}x HTTP/1.1\r\nhost: {HOST}\r\ntransfer-encoding: chunked"
    await send(sock, f"{head}\r\n\r\n".encode())
    while True:
        await send(sock, b"1;" + b"e" * 4000 + b"\r\na\r\n")


def pipeline_to(path_bytes):
    """Return a client that pipelines requests to unknown paths and reads nothing."""
    path = "/none/" + "a" * path_bytes

    async def pipeline(sock):
        request = f"GET {path} HTTP/1.1\r\nhost: {HOST}\r\n\r\n".encode()
        while True:
            await send(sock, request * max(1, PIPELINED * 100 // len(request)))

    return pipeline


async def send_unfinished_head(sock):
    await send(sock, b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"a" * 16_000)
    await wait_for_end(sock)


async def send_byte_by_byte(sock):
    for byte in b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"a" * 1000:
        await send(sock, bytes([byte]))
        await asyncio.sleep(1.0)


async def expect_continue(sock):
    head = f"POST {ONCE_PATH}x HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 33554432"
    await send(sock, f"{head}\r\nexpect: 100-continue\r\n\r\n".encode())
    await wait_for_end(sock)


async def end_early(sock):
    """Send a request with pipelined ones after it and reset the connection."""
    request = f"GET /none HTTP/1.1\r\nhost: {HOST}\r\n\r\n".encode()
    await send(sock, request * 20)
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


# The port and what a client does with its connection.
CLIENTS = {
    "bodies": (CALLERS_PORT, send_body_but_its_end),
    "pieces": (CALLERS_PORT, send_body_in_pieces),
    "extensions": (CALLERS_PORT, send_chunk_extensions),
    "pipelined": (CALLERS_PORT, pipeline_to(20)),
    "long paths": (CALLERS_PORT, pipeline_to(8000)),
    "heads": (CALLERS_PORT, send_unfinished_head),
    "silent": (CALLERS_PORT, wait_for_end),
    "slow heads": (CALLERS_PORT, send_byte_by_byte),
    "continue": (CALLERS_PORT, expect_continue),
    "early end": (CALLERS_PORT, end_early),
    "directory": (DIRECTORY_PORT, pipeline_to(20)),
    "readiness": (READY_PORT, pipeline_to(20)),
    "peers": (PEER_PORT, pipeline_to(20)),
    "silent at directory": (DIRECTORY_PORT, wait_for_end),
    "silent at readiness": (READY_PORT, wait_for_end),
    "silent at peers": (PEER_PORT, wait_for_end),
}


async def repeat(host, kind):
    """Repeat what a client does, whatever becomes of its connection."""
    port, act = CLIENTS[kind]
    while True:
        with contextlib.suppress(OSError):
            sock = await connect(host, port)
            with sock:
                await act(sock)
        await asyncio.sleep(0.05)


async def main(kinds, count, host):
    names = kinds.split("+")
    clients = [
        asyncio.create_task(repeat(host, names[number % len(names)]))
        for number in range(count)
    ]
    print("ready", flush=True)
    await asyncio.gather(*clients)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
