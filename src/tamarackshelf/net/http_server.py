"""HTTP/1.1 server on asyncio streams and h11."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass

import h11

from tamarackshelf.errors import BadRequest, OutcomeUnknown, ShelfError
from tamarackshelf.net.buffers import (
    BUDGET,
    Buffer,
    BuffersFull,
    hold_for_request,
)
from tamarackshelf.net.http_types import (
    Request,
    Response,
    encode_headers,
    to_error_response,
)
from tamarackshelf.net.sockets import (
    limit_receive_buffer,
    reset_on_close,
    set_keep_alive,
)
from tamarackshelf.net.streams import (
    READ_SIZE_BYTES,
    BoundedStreamProtocol,
    create_reader,
)
from tamarackshelf.world import Address

Handler = Callable[[Request], Awaitable[Response]]
LimitsSource = Callable[[], "ServerLimits"]
RequestFilter = Callable[[Request], bool]

# A long body is sent in pieces of this size.
SENT_SIZE_BYTES = 64 * 1024
# HttpServer.close waits this long for the answers to requests that it gives up.
GIVE_UP_S = 0.2
# HttpServer.close stops waiting for connections when none arrived for this long.
ACCEPT_QUIET_S = 0.2
# Retry delay for a client whose request found no room in the buffers.
RETRY_AFTER_S = 0.3

log = logging.getLogger("tamarackshelf")


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of the server.

    `connections` is the maximum number of open connections; the other limits apply to
    each request or connection.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    request_read_s: float = 10.0
    idle_s: float = 60.0
    connections: int = 4096


class HttpServer:
    """HTTP server that passes every request to one handler."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | LimitsSource | None = None,
        *,
        cancel_on_disconnect: bool | RequestFilter = False,
    ) -> None:
        """Create a server that does not listen yet.

        `limits` are fixed limits or a function that returns the limits in force.
        `cancel_on_disconnect` cancels a handler whose client closes the connection; it
        may be a function that returns whether to do so for a request.
        """
        self._handler = handler
        self._limits = _build_limits_source(limits)
        self._cancel_on_disconnect = cancel_on_disconnect
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], _Connection] = {}
        self._closing = False
        self._aborted = False
        self._accepted_at_s = 0.0

    async def start(self, address: Address) -> Address:
        """Listen on the address and return the bound address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: BoundedStreamProtocol(create_reader(), self._accept),
            address.host,
            address.port,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def close(self, grace_s: float = 30.0, linger_s: float = 0.0) -> None:
        """Stop listening and close connections once their requests are finished.

        Requests still in flight after `grace_s` are cancelled and answered with
        OutcomeUnknown; a response that is being sent is broken off. Closing a listening
        socket resets the connections in its accept queue, so the server first keeps
        accepting until no connection arrived for ACCEPT_QUIET_S, but for `linger_s` at
        most.
        """
        self._closing = True
        await self._wait_until_no_accepts(linger_s)
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections.values()):
            connection.close_when_idle()
        tasks = list(self._connections)
        if tasks:
            _, pending = await asyncio.wait(tasks, timeout=grace_s)
            for task in pending:
                self._connections[task].give_up()
            if pending:
                _, pending = await asyncio.wait(pending, timeout=GIVE_UP_S)
            await _cancel_all(pending)

    def announce_close(self) -> None:
        """Close each connection after its next response; keep idle connections open."""
        self._closing = True
        for connection in list(self._connections.values()):
            connection.close_after_next_response()

    async def _wait_until_no_accepts(self, linger_s: float) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while loop.time() - started_s < linger_s:
            if loop.time() - max(started_s, self._accepted_at_s) >= ACCEPT_QUIET_S:
                return
            await asyncio.sleep(ACCEPT_QUIET_S / 4)

    async def abort(self) -> None:
        """Stop listening and reset every connection, as a crash would."""
        self._closing = self._aborted = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections.values()):
            connection.abort()
        await _cancel_all(set(self._connections))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted_at_s = asyncio.get_running_loop().time()
        limits = self._limits()
        if self._aborted or len(self._connections) >= limits.connections:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        set_keep_alive(writer)
        limit_receive_buffer(writer)
        connection = _Connection(
            reader,
            writer,
            self._handler,
            self._limits,
            close_after_response=self._closing,
            cancel_on_disconnect=self._cancel_on_disconnect,
        )
        self._connections[task] = connection
        try:
            await connection.serve()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            del self._connections[task]
            writer.close()


class _Connection:
    """Accepted connection and its HTTP parser."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        limits: LimitsSource,
        *,
        close_after_response: bool,
        cancel_on_disconnect: bool | RequestFilter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._limits = limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().head_bytes
        )
        self._idle = True
        self._close_after_response = close_after_response
        self._closes_when_idle = False
        self._wait: asyncio.Timeout | None = None
        self._handling: asyncio.Task[Response] | None = None
        self._is_given_up = False
        self._buffer = Buffer(BUDGET)
        self._cancel_on_disconnect = cancel_on_disconnect

    def close_when_idle(self) -> None:
        """Close now if no request is in flight, otherwise after its response.

        A request whose first bytes have arrived is still served.
        """
        self._close_after_response = self._closes_when_idle = True
        if self._idle and self._wait is not None:
            self._wait.reschedule(asyncio.get_running_loop().time())

    def give_up(self) -> None:
        """Cancel the handler of the request in flight, and answer in its place."""
        self._is_given_up = True
        if self._handling is not None:
            self._handling.cancel()

    def close_after_next_response(self) -> None:
        """Close the connection after its next response."""
        self._close_after_response = True

    def abort(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            with hold_for_request() as self._buffer:
                request = await self._read_request()
                response = None if request is None else await self._answer(request)
                if response is None:
                    return
                await self._send_whole(response)
            if self._close_after_response or self._http.our_state is not h11.DONE:
                return
            if self._http.their_state is not h11.DONE:
                return
            self._http.start_next_cycle()
            self._idle = True

    async def _read_request(self) -> Request | None:
        try:
            head = await self._read_head()
            if not isinstance(head, h11.Request):
                return None
            self._idle = False
            async with (
                asyncio.timeout(self._limits().request_read_s),
                self._buffer.until_evicted(),
            ):
                body = await self._read_body()
        except TimeoutError:
            if not self._idle:
                await self._reject(408, "the request took too long; send it faster")
            return None
        except BuffersFull as error:
            await self._reject(503, f"{error}; send it again later", RETRY_AFTER_S)
            return None
        except h11.RemoteProtocolError as error:
            await self._reject(
                error.error_status_hint, f"not valid HTTP: {error}; correct it"
            )
            return None
        if body is None:
            limit = self._limits().body_bytes
            await self._reject(413, f"the body exceeds {limit} bytes; send less")
            return None
        return _to_request(head, body)

    async def _read_head(self) -> object:
        """Wait for the head of a request; raise TimeoutError after the idle limit.

        If the limit is raised during the wait, the new limit applies to this wait too.
        When the server closes, what has arrived is read before the wait ends.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        is_last_read = False
        while True:
            left_s = started_s + self._limits().idle_s - loop.time()
            has_begun = bool(self._http.trailing_data[0])
            if left_s <= 0 or (is_last_read and not has_begun):
                raise TimeoutError
            is_last_read = self._closes_when_idle and not has_begun
            if is_last_read:
                left_s = 0.0
            with contextlib.suppress(TimeoutError):
                return await self._next_event(left_s)

    async def _answer(self, request: Request) -> Response | None:
        """Handle a request, but give it up if it keeps too many bytes."""
        try:
            async with self._buffer.until_evicted():
                return await self._handle(request)
        except BuffersFull as error:
            return to_error_response(
                OutcomeUnknown(
                    f"{error}; it may have run: send it again only if it may run twice"
                )
            )

    async def _handle(self, request: Request) -> Response | None:
        """Call the handler; return None if the client disconnected meanwhile."""
        cancels = self._cancel_on_disconnect
        loop = asyncio.get_running_loop()
        handler_task = loop.create_task(self._call_handler(request))
        self._handling = handler_task
        try:
            if not (cancels(request) if callable(cancels) else cancels):
                return await handler_task
            return await self._handle_while_connected(handler_task)
        except asyncio.CancelledError:
            if not (self._is_given_up and handler_task.cancelled()):
                handler_task.cancel()
                await asyncio.gather(handler_task, return_exceptions=True)
                raise
            return to_error_response(
                OutcomeUnknown(
                    "this process stops and the request may have run; send it again "
                    "only if it may run twice"
                )
            )
        finally:
            self._handling = None

    async def _handle_while_connected(
        self, handler_task: asyncio.Task[Response]
    ) -> Response | None:
        loop = asyncio.get_running_loop()
        read_task = loop.create_task(self._read())
        try:
            await asyncio.wait(
                [handler_task, read_task], return_when=asyncio.FIRST_COMPLETED
            )
            if read_task.done() and not handler_task.done():
                data = b"" if read_task.exception() else read_task.result()
                return await handler_task if data else None
            return handler_task.result()
        finally:
            for task in (handler_task, read_task):
                if not task.done():
                    task.cancel()
            await asyncio.gather(handler_task, read_task, return_exceptions=True)
            self._keep_pipelined_bytes(read_task)

    def _keep_pipelined_bytes(self, read_task: asyncio.Task[bytes]) -> None:
        # The read may have completed while it was being cancelled.
        if read_task.cancelled() or read_task.exception() is not None:
            return
        if read_task.result():
            self._http.receive_data(read_task.result())

    async def _read_body(self) -> bytes | None:
        body = bytearray()
        while True:
            event = await self._next_event(None)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits().body_bytes:
                    return None
                self._buffer.add(len(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise ConnectionError("the client disconnected during its request")

    async def _next_event(self, timeout_s: float | None) -> object:
        async with asyncio.timeout(timeout_s) as self._wait:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if self._http.they_are_waiting_for_100_continue:
                    proceed = h11.InformationalResponse(status_code=100, headers=[])
                    self._write(proceed)
                self._http.receive_data(await self._read())

    async def _read(self) -> bytes:
        try:
            return await self._reader.read(READ_SIZE_BYTES)
        except OSError as error:
            # Python raises ETIMEDOUT of a dead connection as TimeoutError, which
            # _read_head would take for an expired wait and read again.
            raise ConnectionError(str(error)) from error

    async def _call_handler(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except ShelfError as error:
            return to_error_response(error)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception:
            log.exception("handler_failed")
            text = "internal error; see the traceback in the log of this process"
            return to_error_response(ShelfError(text))

    async def _reject(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        body = to_error_response(BadRequest(message)).body
        headers = {} if retry_after_s is None else {"retry-after": str(retry_after_s)}
        self._close_after_response = True
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            with contextlib.suppress(ConnectionError, h11.LocalProtocolError):
                await self._send(Response(status=status, body=body, headers=headers))

    async def _send_whole(self, response: Response) -> None:
        """Send a response, but break it off if it waits too long in a full memory."""
        if self._buffer.is_evicted:
            # Nothing of what was collected is left; this is the answer that says so.
            await self._send(response)
            return
        try:
            if isinstance(response.body, bytes):
                self._buffer.add(len(response.body) - self._buffer.size_bytes)
            async with self._buffer.until_evicted():
                await self._send(response)
        except BuffersFull as error:
            self._break_off()
            raise ConnectionError(str(error)) from error

    async def _send(self, response: Response) -> None:
        headers = dict(response.headers)
        if response.content_type:
            headers.setdefault("content-type", response.content_type)
        if isinstance(response.body, bytes):
            headers["content-length"] = str(len(response.body))
        if self._close_after_response:
            headers["connection"] = "close"
        head = h11.Response(
            status_code=response.status, headers=encode_headers(headers)
        )
        if isinstance(response.body, bytes):
            await self._send_body(head, response.body)
            return
        chunks = response.body
        try:
            self._write(head)
            async for chunk in chunks:
                self._write(h11.Data(data=chunk))
                await self._drain()
        except (ShelfError, ConnectionError):
            self._break_off()
            raise ConnectionError("the handler's response failed midway") from None
        except BaseException:
            self._break_off()
            raise
        finally:
            if isinstance(chunks, AsyncGenerator):
                await chunks.aclose()
        self._write(h11.EndOfMessage())
        await self._drain()

    async def _send_body(self, head: h11.Response, body: bytes) -> None:
        """Send a response with a whole body, a long one piece by piece."""
        self._write(head, h11.Data(data=body[:SENT_SIZE_BYTES]))
        for start in range(SENT_SIZE_BYTES, len(body), SENT_SIZE_BYTES):
            await self._drain()
            self._write(h11.Data(data=body[start : start + SENT_SIZE_BYTES]))
        self._write(h11.EndOfMessage())
        await self._drain()

    async def _drain(self) -> None:
        """Wait until the client has taken what was written, but not for ever."""
        try:
            async with asyncio.timeout(self._limits().idle_s):
                await self._writer.drain()
        except TimeoutError as error:
            self._break_off()
            raise ConnectionError("the client reads nothing") from error

    def _break_off(self) -> None:
        """Close the connection so that the client sees an incomplete response.

        The end marker is missing; a client of HTTP/1.0 expects none and needs a reset.
        """
        if (self._http.their_http_version or b"") < b"1.1":
            reset_on_close(self._writer)
        self.abort()

    def _write(self, *events: h11.Event) -> None:
        data = b"".join(self._http.send(event) or b"" for event in events)
        self._writer.write(data)


def _to_request(head: h11.Request, body: bytes) -> Request:
    path, _, query = head.target.decode("latin-1").partition("?")
    headers: dict[str, str] = {}
    for raw_name, raw_value in head.headers:
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return Request(head.method.decode(), path, query, headers, body)


def _build_limits_source(limits: ServerLimits | LimitsSource | None) -> LimitsSource:
    if callable(limits):
        return limits
    fixed = limits or ServerLimits()
    return lambda: fixed


async def _cancel_all(tasks: set[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ["Handler", "HttpServer", "ServerLimits"]
