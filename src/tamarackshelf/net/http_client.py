"""HTTP/1.1 client on asyncio streams and h11, with a connection pool per address."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import h11

from tamarackshelf.net.buffers import BuffersFull, hold
from tamarackshelf.net.http_types import Headers, encode_headers, is_final_status
from tamarackshelf.net.sockets import limit_receive_buffer, set_keep_alive
from tamarackshelf.net.streams import (
    READ_SIZE_BYTES,
    READER_LIMIT_BYTES,
    BoundedStreamProtocol,
)
from tamarackshelf.world import Address

SENT_SIZE_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0
POOL_SIZE_PER_ADDRESS = 16
# A connection is closed after this many requests with an id, which it remembers.
MAX_REMEMBERED_IDS = 512
MAX_BODY_BYTES = 64 * 1024 * 1024
# Idle connections are discarded this long before the peer's keep-alive timeout, so that
# no request is sent on a connection that the peer is about to close.
KEEP_ALIVE_MARGIN_S = 0.5
# A timer that expires this late shows that the process did not run, or was too busy to
# read what had arrived.
MIN_STANDSTILL_S = 0.25
STANDSTILL_GRACE_S = 0.05


class ConnectFailed(Exception):
    """No connection was opened, so no byte was sent; another address may be tried."""


class ConnectRefused(ConnectFailed):
    """The address refused the connection, so no process listens there."""


class ConnectionLost(Exception):
    """The request was sent without a complete response; its outcome is unknown."""


class ResponseOverdue(ConnectionLost):
    """The response was not complete at the deadline; the connection may be open."""


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """HTTP response with its complete body."""

    status: int
    headers: Headers
    body: bytes


class HttpClient:
    """HTTP client with a pool of idle connections for each address.

    `delay_s` returns the one-way network delay in seconds to simulate for an address;
    `headers` are sent with every request. A response whose body exceeds
    `max_body_bytes` is lost, also when it is read chunk by chunk.
    """

    def __init__(
        self,
        delay_s: Callable[[Address], float] | None = None,
        headers: Headers | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._connect_timeout_s = connect_timeout_s
        self._delay_s = delay_s or (lambda address: 0.0)
        self._headers = headers or {}
        self._idle: dict[Address, list[_Connection]] = {}

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle_connections(address)

    def has_idle_connection(self, address: Address) -> bool:
        """Return whether the pool holds a usable connection to the address."""
        return any(each.is_usable() for each in self._idle.get(address, []))

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to the address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    async def probe(self, address: Address, timeout_s: float) -> None:
        """Open a connection and close it; raise ConnectFailed if that fails."""
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        connection = await self._connect(address, deadline_s)
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
        request_id: str = "",
    ) -> ClientResponse:
        """Send a request and return the complete response.

        Raise ConnectFailed when no byte was sent and ConnectionLost when the request
        was sent but no complete response arrived within `timeout_s`. If a pooled
        connection is lost before the response, the request is sent again on a new
        connection, unless `resend` is false. `new_connection` bypasses the pool, so the
        request is never sent twice. A connection carries no `request_id` twice, as a
        late copy of the first response would pass for the second one.
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
            request_id=request_id,
        ) as response:
            body = await collect(response.chunks())
            return ClientResponse(response.status, response.headers, body)

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
        request_id: str = "",
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and yield a response whose body is read chunk by chunk.

        Take the same parameters as `request` and raise the same errors.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        fields = {**self._headers, **(headers or {})}
        head = _build_head(address, method, path, fields, body)
        delay_s = self._delay_s(address)
        connection = (
            self._take_idle(address, request_id) if not new_connection else None
        )
        if connection is None:
            connection = await self._connect(address, deadline_s)
        try:
            if delay_s:
                await asyncio.sleep(delay_s)
            try:
                response = await connection.send(head, body, deadline_s, request_id)
            except ConnectionLost:
                if not connection.reused or not resend:
                    raise
                # The peer may have closed the pooled connection while it was idle.
                connection.close()
                try:
                    connection = await self._connect(address, deadline_s)
                except ConnectFailed as error:
                    # The request was sent before, so it may have run.
                    raise ConnectionLost(str(error)) from error
                response = await connection.send(head, body, deadline_s, request_id)
            if not is_final_status(response.status):
                response.disable_reuse()
                raise ConnectionLost(f"{response.status} is not a status of HTTP")
            if delay_s:
                await asyncio.sleep(delay_s)
            response.max_body_bytes = self._max_body_bytes
            yield response
        finally:
            self._release(address, connection)

    def _take_idle(self, address: Address, request_id: str) -> _Connection | None:
        """Return the newest usable connection that has not carried the request id."""
        idle = self._idle.get(address, [])
        for connection in reversed(list(idle)):
            if not connection.is_usable():
                idle.remove(connection)
                connection.close()
            elif request_id not in connection.carried_ids:
                idle.remove(connection)
                connection.reused = True
                return connection
        return None

    async def _connect(self, address: Address, deadline_s: float) -> _Connection:
        loop = asyncio.get_running_loop()
        deadline_s = min(deadline_s, loop.time() + self._connect_timeout_s)
        return await _connect(address, deadline_s)

    def _release(self, address: Address, connection: _Connection) -> None:
        idle = self._idle.setdefault(address, [])
        if connection.reset_for_reuse() and len(idle) < POOL_SIZE_PER_ADDRESS:
            idle.append(connection)
        else:
            connection.close()


class StreamedResponse:
    """Response whose head was received; its body can be read once."""

    def __init__(
        self, connection: _Connection, head: h11.Response, deadline_s: float
    ) -> None:
        self._connection = connection
        self._deadline_s = deadline_s
        self.max_body_bytes = MAX_BODY_BYTES
        connection.apply_keep_alive(head)
        self.status: int = head.status_code
        self.headers: Headers = _decode_headers(head)

    def disable_reuse(self) -> None:
        """Close the connection after this response instead of pooling it."""
        self._connection.is_reusable = False

    def set_deadline(self, deadline_s: float) -> None:
        """Set the deadline of the next chunk, in seconds of the event loop's clock."""
        self._deadline_s = deadline_s

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raise ConnectionLost if it ends before its end marker or is too long.
        """
        received_bytes = 0
        while True:
            event = await self._connection.next_event(self._deadline_s)
            if isinstance(event, h11.Data):
                received_bytes += len(event.data)
                if received_bytes > self.max_body_bytes:
                    raise ConnectionLost(
                        f"the body exceeds {self.max_body_bytes} bytes"
                    )
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionLost("the response ended before its end marker")


async def collect(chunks: AsyncIterator[bytes]) -> bytes:
    """Return all bytes of a body; raise ConnectionLost if it holds too many."""
    body = bytearray()
    try:
        with hold() as buffer:
            async with buffer.until_evicted():
                async for chunk in chunks:
                    buffer.add(len(chunk))
                    body += chunk
            return bytes(body)
    except BuffersFull as error:
        raise ConnectionLost(str(error)) from error
    finally:
        # An error's traceback refers to this frame, often until the next collection
        # of cycles, while the budget counts these bytes no longer.
        body.clear()


class _Connection:
    """Connection and its HTTP parser; carries one request at a time."""

    def __init__(
        self,
        protocol: BoundedStreamProtocol,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._protocol = protocol
        self._reader = reader
        self._writer = writer
        self._read_bytes = 0
        self._http = h11.Connection(h11.CLIENT)
        self.carried_ids: set[str] = set()
        self.reused = False
        self.is_reusable = True
        self._had_grace = False
        self._idle_timeout_s = self._idle_until_s = float("inf")

    def apply_keep_alive(self, head: h11.Response) -> None:
        """Apply the idle timeout from the peer's Keep-Alive header."""
        for name, value in head.headers:
            match = _KEEP_ALIVE_TIMEOUT.search(value) if name == b"keep-alive" else None
            if match is not None:
                self._idle_timeout_s = float(match.group(1)) - KEEP_ALIVE_MARGIN_S

    def is_usable(self) -> bool:
        """Return whether the connection may carry a request.

        It must be open and within its idle timeout. Bytes that have arrived meanwhile
        are no answer to a request that is yet to be sent.
        """
        now_s = asyncio.get_running_loop().time()
        has_unread = self._protocol.received_bytes != self._read_bytes
        return self.is_open() and not has_unread and now_s < self._idle_until_s

    def is_open(self) -> bool:
        """Return whether neither side has closed the connection."""
        return not self._reader.at_eof() and not self._writer.is_closing()

    def reset_for_reuse(self) -> bool:
        """Reset the parser for the next request; return False if that is impossible."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        if not self.is_reusable or self._http.trailing_data[0]:
            return False
        if len(self.carried_ids) >= MAX_REMEMBERED_IDS:
            return False
        self._http.start_next_cycle()
        self._had_grace = False
        self._idle_until_s = asyncio.get_running_loop().time() + self._idle_timeout_s
        return self.is_usable()

    def close(self) -> None:
        """Abort the connection without waiting for unsent data."""
        self._writer.transport.abort()

    async def send(
        self, head: h11.Request, body: bytes, deadline_s: float, request_id: str
    ) -> StreamedResponse:
        """Send a request and wait for the head of its response."""
        if request_id:
            self.carried_ids.add(request_id)
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._write(head, body)
        except TimeoutError as error:
            raise ResponseOverdue("the peer reads nothing") from error
        except OSError as error:
            raise ConnectionLost(str(error)) from error
        event = await self.next_event(deadline_s)
        while isinstance(event, h11.InformationalResponse):
            event = await self.next_event(deadline_s)
        if not isinstance(event, h11.Response):
            raise ConnectionLost("the connection closed before a response")
        return StreamedResponse(self, event, deadline_s)

    async def _write(self, head: h11.Request, body: bytes) -> None:
        """Write a request, a long body piece by piece."""
        data = self._http.send(head) or b""
        for start in range(0, len(body), SENT_SIZE_BYTES):
            piece = h11.Data(data=body[start : start + SENT_SIZE_BYTES])
            self._writer.write(data + (self._http.send(piece) or b""))
            data = b""
            await self._writer.drain()
        self._writer.write(data + (self._http.send(h11.EndOfMessage()) or b""))
        await self._writer.drain()

    async def next_event(self, deadline_s: float) -> object:
        """Return the parser's next event; raise ConnectionLost after the deadline."""
        try:
            event = self._http.next_event()
            while event is h11.NEED_DATA:
                data = await self._read(deadline_s)
                self._read_bytes += len(data)
                self._http.receive_data(data)
                event = self._http.next_event()
        except TimeoutError as error:
            raise ResponseOverdue("no response before the deadline") from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise ConnectionLost(str(error)) from error
        return event

    async def _read(self, deadline_s: float) -> bytes:
        """Read some bytes; raise TimeoutError after the deadline.

        If this process did not run when the deadline passed, the answer may have come
        meanwhile. Once for each call, it then gets STANDSTILL_GRACE_S to be read.
        """
        try:
            async with asyncio.timeout_at(deadline_s):
                return await self._reader.read(READ_SIZE_BYTES)
        except TimeoutError:
            now_s = asyncio.get_running_loop().time()
            if self._had_grace or now_s - deadline_s < MIN_STANDSTILL_S:
                raise
            self._had_grace = True
            async with asyncio.timeout_at(now_s + STANDSTILL_GRACE_S):
                return await self._reader.read(READ_SIZE_BYTES)


def _build_head(
    address: Address, method: str, path: str, headers: Headers, body: bytes
) -> h11.Request:
    fields = {"host": str(address), "content-length": str(len(body)), **headers}
    return h11.Request(method=method, target=path, headers=encode_headers(fields))


def _decode_headers(head: h11.Response) -> Headers:
    """Return the headers; the values of a repeated one are joined by commas."""
    headers: Headers = {}
    for raw_name, raw_value in head.headers:
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


async def _connect(address: Address, deadline_s: float) -> _Connection:
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout_at(deadline_s):
            reader = asyncio.StreamReader(limit=READER_LIMIT_BYTES)
            transport, protocol = await loop.create_connection(
                lambda: BoundedStreamProtocol(reader),
                address.host,
                address.port,
            )
    except ConnectionRefusedError as error:
        raise ConnectRefused(f"cannot connect to {address}: {error}") from error
    except (OSError, TimeoutError) as error:
        raise ConnectFailed(f"cannot connect to {address}: {error}") from error
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    set_keep_alive(writer)
    limit_receive_buffer(writer)
    return _Connection(protocol, reader, writer)


_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")

__all__ = [
    "ClientResponse",
    "ConnectFailed",
    "ConnectRefused",
    "ConnectionLost",
    "HttpClient",
    "ResponseOverdue",
    "StreamedResponse",
    "collect",
]
