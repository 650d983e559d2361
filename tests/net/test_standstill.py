"""Calls of a client whose process does not run for a while."""

from __future__ import annotations

import asyncio
import socket
import threading
import time

import pytest

from tamarackshelf.net import HttpClient, ResponseOverdue
from tests.conftest import find_free_address

WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNK = b"1\r\na\r\n"


class ThreadServer:
    """Sends fixed parts after each request, from a thread that runs on meanwhile."""

    def __init__(self, parts, pause_s):
        self.address = find_free_address()
        self._parts, self._pause_s = parts, pause_s

    async def __aenter__(self):
        self._listener = await asyncio.to_thread(self._listen)
        threading.Thread(target=self._serve, daemon=True).start()
        return self.address

    async def __aexit__(self, *_):
        self._listener.close()

    def _listen(self):
        return socket.create_server((self.address.host, self.address.port))

    def _serve(self):
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(65536)
            try:
                for part in self._parts:
                    time.sleep(self._pause_s)
                    connection.sendall(part)
            except OSError:
                return


async def stand_still(duration_s):
    """Block the event loop, as a freeze of the process does."""
    time.sleep(duration_s)


def test_answer_that_came_while_the_process_stood_still_counts():
    """A frozen node took answers that were there for overdue and blamed the targets."""

    async def main():
        async with ThreadServer([WHOLE], 0.1) as address:
            client = HttpClient()
            call = client.request(address, "GET", "/", timeout_s=0.3)
            task = asyncio.create_task(call)
            await asyncio.sleep(0.05)
            await stand_still(0.8)
            assert (await task).body == b"whole"
            await client.close()

    asyncio.run(main())


def test_deadline_is_extended_only_once_for_a_standstill():
    """A body without end must not go on for ever because the process once slept."""

    async def main():
        async with ThreadServer([HEAD] + [CHUNK] * 2000, 0.005) as address:
            client = HttpClient()
            call = client.request(address, "GET", "/", timeout_s=0.3)
            task = asyncio.create_task(call)
            await asyncio.sleep(0.05)
            await stand_still(0.8)
            with pytest.raises(ResponseOverdue):
                await asyncio.wait_for(task, 5.0)
            await client.close()

    asyncio.run(main())
