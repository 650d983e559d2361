"""Memory and descriptors of a real node under clients that nobody controls.

Such clients ended a process: it ran out of memory. Each test starts one node with the
memory of the smallest VM and one crowd of clients, and checks what does not depend on
the machine's speed: the process stays alive, its peak memory, its descriptors and its
log stay under a bound, and an ordinary request is answered afterwards.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

import pytest

from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tests.soak.callers import HOST, ONCE_PATH
from tests.soak.deployment import Deployment
from tests.soak.endless import ask

BLOCK = 121
# The memory of the smallest VM; the nodes are told so (limits.memoryMb).
VM_MEMORY_MB = 200
# Half of it for crowds, as in test_endless_bytes: the system's socket buffers and what
# ordinary callers need come in addition.
MAX_PEAK_MB = VM_MEMORY_MB / 2
# The nodes are told this bound of the platform (limits.maxFds), of which 200 are
# reserved for files. Real ones are at least ten times as high.
MAX_DESCRIPTORS = 400
RESERVED_DESCRIPTORS = 200
# A crowd of a few seconds may make a node log no more than this.
MAX_LOG_BYTES = 1024 * 1024
LOAD_S = 6.0
SAMPLE_S = 0.1
ANSWERED_WITHIN_S = 30.0
LARGE_BODY_BYTES = 31 * 1024 * 1024


class MeasuredNode:
    """A deployment with one node whose memory and descriptors are read."""

    def __init__(self, folder, settings=""):
        self.deployment = Deployment(1, folder, BLOCK, nodes=1, engines=0)
        self.node = self.deployment.nodes[0]
        self.peak_descriptors = 0
        self._log = folder / "n1.log"
        with (folder / "n1.conf").open("a") as file:
            file.write(f"limits.maxFds={MAX_DESCRIPTORS}\n{settings}")

    async def __aenter__(self):
        await self.deployment.start()
        return self

    async def __aexit__(self, *_):
        await self.deployment.close()

    async def be_loaded(self, kinds, count):
        """Let a crowd act for LOAD_S, and end it."""
        command = (sys.executable, "-m", "tests.soak.untrusted", kinds, str(count))
        log_bytes = self._log.stat().st_size
        load = await asyncio.create_subprocess_exec(
            *command, self.node.caller_address.host, stdout=asyncio.subprocess.PIPE
        )
        try:
            assert await load.stdout.readline() == b"ready\n"
            for _ in range(round(LOAD_S / SAMPLE_S)):
                with contextlib.suppress(OSError):
                    self.peak_descriptors = max(
                        self.peak_descriptors, self.count_descriptors()
                    )
                await asyncio.sleep(SAMPLE_S)
        finally:
            load.kill()
            await load.wait()
        self.log_bytes = self._log.stat().st_size - log_bytes

    async def is_served(self):
        """Return whether an ordinary request is answered, tried again at times."""
        async with contextlib.AsyncExitStack() as stack:
            http = HttpClient()
            stack.push_async_callback(http.close)
            deadline_s = asyncio.get_running_loop().time() + ANSWERED_WITHIN_S
            number = 0
            while asyncio.get_running_loop().time() < deadline_s:
                number += 1
                with contextlib.suppress(ConnectionLost, ConnectFailed):
                    host = self.node.caller_address.host
                    answer = await ask(http, host, f"{ONCE_PATH}x", f"after-{number}")
                    if answer.status == 200:
                        return True
                await asyncio.sleep(0.2)
        return False

    def read_peak_mb(self):
        text = Path(f"/proc/{self.node._process.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def count_descriptors(self):
        return len(list(Path(f"/proc/{self.node._process.pid}/fd").iterdir()))

    def check(self, name, max_peak_mb=MAX_PEAK_MB):
        peak_mb = self.read_peak_mb()
        print(
            f"{name}: peak {peak_mb:.0f} MB, {self.peak_descriptors} descriptors, "
            f"{self.log_bytes // 1024} KB of log"
        )
        assert self.deployment.history.unexpected_exits == []
        assert peak_mb <= max_peak_mb
        assert self.peak_descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
        assert self.log_bytes <= MAX_LOG_BYTES


async def load_node(kinds, count, folder):
    async with MeasuredNode(folder) as measured:
        await measured.be_loaded(kinds, count)
        is_served = await measured.is_served()
        measured.check(f"{kinds} {count}")
        assert is_served


@pytest.mark.parametrize(
    ("kinds", "count"),
    [
        ("bodies", 60),
        ("pieces", 60),
        ("extensions", 20),
        ("pipelined", 20),
        ("pipelined", 60),
        ("pipelined+bodies", 40),
        ("pipelined+pieces", 120),
        ("long paths", 20),
        ("heads", 600),
        ("silent", 600),
        ("slow heads", 600),
        ("continue", 600),
        ("early end", 100),
        ("directory", 60),
        ("readiness", 60),
        ("peers", 60),
        ("silent at directory", 600),
        ("silent at readiness", 600),
        ("silent at peers", 600),
        ("silent+silent at directory+silent at readiness+silent at peers", 1200),
    ],
)
def test_untrusted_clients_end_no_process(kinds, count, tmp_path):
    asyncio.run(load_node(kinds, count, tmp_path))


def test_largest_permitted_body_is_answered_in_calm(tmp_path):
    """A body of 31 MiB was reset without a response on a VM of 200 MB."""

    async def scenario():
        async with MeasuredNode(tmp_path) as measured:
            http = HttpClient()
            measured.log_bytes = 0
            answer = await http.request(
                measured.node.caller_address,
                "POST",
                f"{ONCE_PATH}x",
                headers={"host": HOST, "x-request-id": "large"},
                body=b"a" * LARGE_BODY_BYTES,
                timeout_s=30.0,
            )
            await http.close()
            measured.check("one body of 31 MiB", VM_MEMORY_MB)
            assert answer.status == 200

    asyncio.run(scenario())


def test_slow_but_steady_reader_gets_its_whole_response(tmp_path):
    """A reader that takes a few KB at a time is sound, and must not be cut."""

    async def scenario():
        async with MeasuredNode(tmp_path) as measured:
            measured.log_bytes = 0
            loop = asyncio.get_running_loop()
            request = f"GET /none HTTP/1.1\r\nhost: {HOST}\r\n\r\n".encode()
            last = f"GET /none HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n\r\n"
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
                sock.setblocking(False)
                host = measured.node.caller_address.host
                await loop.sock_connect(sock, (host, 8144))
                sending = asyncio.create_task(
                    loop.sock_sendall(sock, request * 300 + last.encode())
                )
                received = bytearray()
                while data := await loop.sock_recv(sock, 4096):
                    received += data
                    await asyncio.sleep(0.05)
                await sending
            measured.check("slow reader")
            assert received.count(b"HTTP/1.1 404") == 301

    asyncio.run(scenario())
