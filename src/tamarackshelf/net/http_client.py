"""HTTP/1.1 client on asyncio streams with h11 and a small connection pool."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import h11

from tamarackshelf.net.http_types import Headers
from tamarackshelf.net.sockets import set_keep_alive
from tamarackshelf.world import Address

READ_SIZE_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0
POOL_SIZE_PER_ADDRESS = 16
MAX_BODY_BYTES = 64 * 1024 * 1024
# An idle connection is dropped this long before the peer says that it closes it.
KEEP_ALIVE_MARGIN_S = 0.5


class ConnectFailed(Exception):
    """No byte of the request left; connect to another address."""


class ConnectionLost(Exception):
    """Bytes left and no whole answer came; the outcome is not known."""


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A whole HTTP answer."""

    status: int
    headers: Headers
    body: bytes


class HttpClient:
    """Sends requests from one place.

    `delay_s` is the one-way link delay; `headers` go with every request.
    """

    def __init__(
        self,
        delay_s: Callable[[Address], float] | None = None,
        headers: Headers | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._delay_s = delay_s or (lambda address: 0.0)
        self._headers = headers or {}
        self._idle: dict[Address, list[_Connection]] = {}

    async def close(self) -> None:
        """Closes the idle connections."""
        for address in list(self._idle):
            self.close_idle_connections(address)

    def has_idle_connection(self, address: Address) -> bool:
        """Tells whether a request to this address needs no new connection."""
        return any(each.is_fresh() for each in self._idle.get(address, []))

    def close_idle_connections(self, address: Address) -> None:
        """Closes the idle connections to one address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    async def request(
        self,
        address: Address,
        method: str,
        path: str,
        *,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout_s: float = 10.0,
        new_connection: bool = False,
        resend: bool = True,
    ) -> ClientResponse:
        """Returns the whole answer.

        Raises ConnectFailed when nothing was sent and ConnectionLost when bytes
        left without a whole answer. `fresh` forbids a pooled connection and thus
        any second send; without `resend` a pooled connection may be used, but its
        loss is reported.
        """
        async with self.stream(
            address,
            method,
            path,
            headers=headers,
            body=body,
            timeout_s=timeout_s,
            new_connection=new_connection,
            resend=resend,
        ) as answer:
            data = bytearray()
            async for chunk in answer.chunks():
                data += chunk
                if len(data) > MAX_BODY_BYTES:
                    raise ConnectionLost(f"{address} sent over {MAX_BODY_BYTES} bytes")
            return ClientResponse(answer.status, answer.headers, bytes(data))

    @contextlib.asynccontextmanager
    async def stream(
        self,
        address: Address,
        method: str,
        path: str,
        *,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout_s: float = 10.0,
        new_connection: bool = False,
        resend: bool = True,
    ) -> AsyncIterator[StreamedResponse]:
        """Opens an answer whose chunks are read as they come."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        fields = {**self._headers, **(headers or {})}
        head = _build_head(address, method, path, fields, body)
        delay_s = self._delay_s(address)
        connection = await self._take(address, new_connection, deadline_s)
        try:
            if delay_s:
                await asyncio.sleep(delay_s)
            try:
                answer = await connection.send(head, body, deadline_s)
            except ConnectionLost:
                if not connection.reused or not resend:
                    raise
                # A pooled connection may have been closed while it was idle.
                connection.close()
                connection = await self._connect(address, deadline_s)
                answer = await connection.send(head, body, deadline_s)
            if delay_s:
                await asyncio.sleep(delay_s)
            yield answer
        finally:
            self._give_back(address, connection)

    async def _take(
        self, address: Address, new_connection: bool, deadline_s: float
    ) -> _Connection:
        idle = self._idle.get(address)
        while idle and not new_connection:
            connection = idle.pop()
            if connection.is_fresh():
                connection.reused = True
                return connection
            connection.close()
        return await self._connect(address, deadline_s)

    async def _connect(self, address: Address, deadline_s: float) -> _Connection:
        loop = asyncio.get_running_loop()
        deadline_s = min(deadline_s, loop.time() + self._connect_timeout_s)
        return await _connect(address, deadline_s)

    def _give_back(self, address: Address, connection: _Connection) -> None:
        idle = self._idle.setdefault(address, [])
        if connection.make_reusable() and len(idle) < POOL_SIZE_PER_ADDRESS:
            idle.append(connection)
        else:
            connection.close()


class StreamedResponse:
    """An answer whose head has come; the body is read once."""

    def __init__(
        self, connection: _Connection, head: h11.Response, deadline_s: float
    ) -> None:
        self._connection = connection
        self._deadline_s = deadline_s
        connection.note_keep_alive(head)
        self.status: int = head.status_code
        self.headers: Headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in head.headers
        }

    def disable_reuse(self) -> None:
        """Closes the connection after this answer."""
        self._connection.is_trusted = False

    def set_deadline(self, deadline_s: float) -> None:
        """Moves the deadline of the next chunk; seconds of the loop's clock."""
        self._deadline_s = deadline_s

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; raises ConnectionLost when its end marker is missing."""
        while True:
            event = await self._connection.next_event(self._deadline_s)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionLost("the answer ended early")


class _Connection:
    """One connection and its parser; carries one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self.reused = False
        self.is_trusted = True
        self._keep_s = self._idle_until_s = float("inf")

    def note_keep_alive(self, head: h11.Response) -> None:
        """Takes over how long the peer keeps the connection when idle."""
        for name, value in head.headers:
            match = _TIMEOUT.search(value) if name == b"keep-alive" else None
            if match is not None:
                self._keep_s = float(match.group(1)) - KEEP_ALIVE_MARGIN_S

    def is_fresh(self) -> bool:
        """Tells whether the connection is open and not about to be closed."""
        now_s = asyncio.get_running_loop().time()
        return self.is_open() and now_s < self._idle_until_s

    def is_open(self) -> bool:
        """Tells whether neither side has closed."""
        return not self._reader.at_eof() and not self._writer.is_closing()

    def make_reusable(self) -> bool:
        """Prepares for the next request, or returns False."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        if not self.is_trusted or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self._idle_until_s = asyncio.get_running_loop().time() + self._keep_s
        return self.is_open()

    def close(self) -> None:
        """Closes at once."""
        self._writer.transport.abort()

    async def send(
        self, head: h11.Request, body: bytes, deadline_s: float
    ) -> StreamedResponse:
        """Sends a request and waits for the head of its answer."""
        data = self._http.send(head) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            self._writer.write(data)
            await self._writer.drain()
        except ConnectionError as error:
            raise ConnectionLost(str(error)) from error
        event = await self.next_event(deadline_s)
        while isinstance(event, h11.InformationalResponse):
            event = await self.next_event(deadline_s)
        if not isinstance(event, h11.Response):
            raise ConnectionLost("the connection closed before an answer")
        return StreamedResponse(self, event, deadline_s)

    async def next_event(self, deadline_s: float) -> object:
        """Returns the next event from the peer before the deadline."""
        try:
            event = self._http.next_event()
            while event is h11.NEED_DATA:
                async with asyncio.timeout_at(deadline_s):
                    data = await self._reader.read(READ_SIZE_BYTES)
                self._http.receive_data(data)
                event = self._http.next_event()
        except TimeoutError as error:
            raise ConnectionLost("no answer before the deadline") from error
        except (ConnectionError, h11.RemoteProtocolError) as error:
            raise ConnectionLost(str(error)) from error
        return event


def _build_head(
    address: Address, method: str, path: str, headers: Headers, body: bytes
) -> h11.Request:
    fields = {"host": str(address), "content-length": str(len(body)), **headers}
    return h11.Request(method=method, target=path, headers=list(fields.items()))


async def _connect(address: Address, deadline_s: float) -> _Connection:
    try:
        async with asyncio.timeout_at(deadline_s):
            reader, writer = await asyncio.open_connection(
                address.host, address.port, limit=READ_SIZE_BYTES
            )
    except (OSError, TimeoutError) as error:
        raise ConnectFailed(f"cannot connect to {address}: {error}") from error
    set_keep_alive(writer)
    return _Connection(reader, writer)


_TIMEOUT = re.compile(rb"timeout=(\d+)")

__all__ = [
    "ClientResponse",
    "ConnectFailed",
    "ConnectionLost",
    "HttpClient",
    "StreamedResponse",
]
