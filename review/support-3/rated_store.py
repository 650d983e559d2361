"""The platform's store as a process of its own, with its limits of calls per second.

    python3 rated_store.py PORT OPERATOR_PORT READS_PER_S WRITES_PER_S

It answers reads after 4 ms and transactions after 8 ms, as the settings say, and calls
beyond `readsPerS` or `writesPerS` in the last second at once with 429. On OPERATOR_PORT
it takes one JSON object a line: {"put": [table, key, value]} writes a row as the operator
or a worker does, {"forget": true} discards the history: feeds hear nothing for a second
while changes are made, then the history is dropped. {"stats": true} returns how many calls
were answered 200 and 429 since the last time.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import json
import sys
import time
from collections import defaultdict, deque
from urllib.parse import parse_qsl, unquote

READ_S = 0.004
TRANSACTION_S = 0.008
MAX_ROWS = 500

Key = tuple[str, str, str]


class Rows:
    """All rows, their history, and the calls of the last second."""

    def __init__(self) -> None:
        self.parts: dict[tuple[str, str], dict[str, tuple[bytes, int]]] = defaultdict(
            dict
        )
        # By table the versions and records of all changes, in order.
        self.history: dict[str, tuple[list[int], list[dict]]] = defaultdict(
            lambda: ([], [])
        )
        self.version = 0
        self.kept_from = 0
        self.hears = asyncio.Event()
        self.hears.set()
        self.waiters: dict[str, set[asyncio.Future[None]]] = defaultdict(set)
        self.reads_per_s, self.writes_per_s = int(sys.argv[3]), int(sys.argv[4])
        self.calls: dict[str, deque[float]] = {"read": deque(), "write": deque()}
        self.stats: dict[str, int] = defaultdict(int)
        self.started = time.monotonic()

    def admit(self, kind: str, per_s: int) -> bool:
        """Count a call unless there were `per_s` in the last second."""
        now, calls = time.monotonic(), self.calls[kind]
        while calls and calls[0] <= now - 1.0:
            calls.popleft()
        if len(calls) >= per_s:
            self.stats[f"{kind} 429"] += 1
            return False
        calls.append(now)
        self.stats[f"{kind} 200"] += 1
        return True

    def find(self, at: Key) -> tuple[bytes, int]:
        """Return the value and version of a row; version 0 if there is none."""
        return self.parts.get(at[:2], {}).get(at[2], (b"", 0))

    def apply(self, writes: list[tuple[Key, bytes | None]]) -> None:
        """Write and remove rows in one transaction."""
        self.version += 1
        for at, value in writes:
            rows = self.parts[at[:2]]
            if value is None:
                if rows.pop(at[2], None) is None:
                    continue
                if not rows:
                    del self.parts[at[:2]]
            else:
                rows[at[2]] = (value, self.version)
            versions, records = self.history[at[0]]
            versions.append(self.version)
            records.append(encode(at, value, self.version))
        for table in {at[0] for at, _ in writes}:
            for waiter in self.waiters.pop(table, set()):
                if not waiter.done():
                    waiter.set_result(None)

    async def forget(self) -> None:
        """Let no feed hear anything for a second, then discard the history."""
        self.hears.clear()
        await asyncio.sleep(1.0)
        self.kept_from = self.version
        self.history.clear()
        self.hears.set()
        waiting, self.waiters = self.waiters, defaultdict(set)
        for waiters in waiting.values():
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def list_changes(self, table: str, after: int) -> list[dict]:
        """Return the changes of a table after a version."""
        if table not in self.history:
            return []
        versions, records = self.history[table]
        return records[bisect.bisect_right(versions, after) :]


def encode(at: Key, value: bytes | None, version: int) -> dict:
    """Return a record."""
    record = {"table": at[0], "part": at[1], "key": at[2], "rowVersion": version}
    if value is None:
        return {**record, "deleted": True}
    return {**record, "value": base64.b64encode(value).decode()}


def to_key(entry: dict) -> Key:
    """Return the key that an entry names."""
    return entry["table"], entry["part"], entry["key"]


class Connection(asyncio.Protocol):
    """A channel, on which one call is answered at a time."""

    def __init__(self, rows: Rows) -> None:
        self.rows = rows
        self.buffer = b""
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = self.buffer[:end].decode("latin-1")
            lines = head.split("\r\n")
            size = 0
            for line in lines[1:]:
                if line[:15].lower() == "content-length:":
                    size = int(line[15:])
            if len(self.buffer) < end + 4 + size:
                return
            body = self.buffer[end + 4 : end + 4 + size]
            self.buffer = self.buffer[end + 4 + size :]
            self.call(lines[0].split(" ")[1], body)

    def call(self, target: str, body: bytes) -> None:
        """Answer a call, or refuse it with 429."""
        path, _, text = target.partition("?")
        query = dict(parse_qsl(text))
        rows = self.rows
        loop = asyncio.get_running_loop()
        if path == "/v1/rows-tx":
            if not rows.admit("write", rows.writes_per_s):
                self.answer(429, {})
                return
            loop.call_later(TRANSACTION_S, self.transact, json.loads(body))
            return
        if not rows.admit("read", rows.reads_per_s):
            self.answer(429, {})
            return
        if path == "/v1/rows-feed":
            self.task = loop.create_task(self.feed(query))
        elif path == "/v1/rows-get":
            loop.call_later(READ_S, self.read, query)
        elif path == "/v1/rows-parts":
            loop.call_later(READ_S, self.list_parts, query)
        else:
            self.answer(404, {})

    def answer(self, status: int, value: dict) -> None:
        """Write the response."""
        if self.transport.is_closing():
            return
        now_ms = int((time.monotonic() - self.rows.started) * 1000)
        value = {"rowVersion": self.rows.version, "serverTimeMs": now_ms, **value}
        body = json.dumps(value).encode()
        self.transport.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (status, len(body), body)
        )

    def transact(self, body: dict) -> None:
        """Apply a transaction if its conditions hold."""
        rows = self.rows
        if any(e["table"] in ("op", "servers") for e in body["writes"] + body["remove"]):
            self.answer(403, {})
            return
        conditions = [(to_key(e), e["rowVersion"]) for e in body["expectedRev"]]
        if any(rows.find(at)[1] != version for at, version in conditions):
            found = [encode(at, *rows.find(at)) for at, _ in conditions]
            self.answer(412, {"records": [r for r in found if r["rowVersion"]]})
            return
        writes: list[tuple[Key, bytes | None]] = [
            (to_key(e), base64.b64decode(e["value"])) for e in body["writes"]
        ]
        rows.apply(writes + [(to_key(e), None) for e in body["remove"]])
        self.answer(200, {})

    def read(self, query: dict[str, str]) -> None:
        """Return rows of a part."""
        table, part = query["table"], query.get("part", "")
        rows = self.rows.parts.get((table, part), {})
        keys = sorted(key for key in rows if key >= query.get("from", ""))
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        found = [encode((table, part, key), *rows[key]) for key in keys[:limit]]
        self.answer(200, {"records": found, "hasMore": len(keys) > limit})

    def list_parts(self, query: dict[str, str]) -> None:
        """Return the parts of a table."""
        after = unquote(query.get("after", ""))
        parts = sorted(p for t, p in self.rows.parts if t == query["table"] and p > after)
        self.answer(200, {"parts": parts[:1000]})

    async def feed(self, query: dict[str, str]) -> None:
        """Return the changes after a version as soon as there are some."""
        await asyncio.sleep(READ_S)
        table, after, rows = query["table"], int(query["after"]), self.rows
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            await rows.hears.wait()
            if after < rows.kept_from:
                self.answer(410, {})
                return
            changes = rows.list_changes(table, after)
            left_s = until - time.monotonic()
            if changes or left_s <= 0:
                self.answer(200, {"records": changes})
                return
            waiter = asyncio.get_running_loop().create_future()
            rows.waiters[table].add(waiter)
            await asyncio.wait([waiter], timeout=left_s)
            rows.waiters[table].discard(waiter)


async def operate(
    rows: Rows, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Carry out what the operator, the workers and the script write."""
    tasks: set[asyncio.Task[None]] = set()
    while line := await reader.readline():
        order = json.loads(line)
        answer: object = rows.version
        if "put" in order:
            table, key, value = order["put"]
            data = None if value is None else json.dumps(value).encode()
            rows.apply([((table, "", key), data)])
        elif "forget" in order:
            # The workers go on to write their rows meanwhile.
            tasks.add(asyncio.ensure_future(rows.forget()))
        elif "stats" in order:
            answer, rows.stats = dict(rows.stats), defaultdict(int)
        writer.write(json.dumps(answer).encode() + b"\n")
        await writer.drain()
    writer.close()


async def main() -> None:
    """Serve until the process is ended."""
    rows = Rows()
    loop = asyncio.get_running_loop()
    await loop.create_server(
        lambda: Connection(rows), "127.0.0.1", int(sys.argv[1]), backlog=4096
    )
    server = await asyncio.start_server(
        lambda r, w: operate(rows, r, w), "127.0.0.1", int(sys.argv[2]), limit=1 << 22
    )
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
