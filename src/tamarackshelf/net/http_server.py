"""HTTP/1.1 server on asyncio streams and h11."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import cast

import h11

from tamarackshelf.errors import BadRequest, OutcomeUnknown, ShelfError
from tamarackshelf.net.buffers import (
    BUDGET,
    FULL,
    Buffer,
    BuffersFull,
    hold_for_request,
)
from tamarackshelf.net.connections import ConnectionSlots
from tamarackshelf.net.http_types import (
    Request,
    Response,
    encode_headers,
    to_error_response,
)
from tamarackshelf.net.sockets import (
    USER_TIMEOUT_MS,
    count_unacknowledged_bytes,
    limit_receive_buffer,
    limit_send_buffer,
    reset_on_close,
    set_keep_alive,
    set_user_timeout,
)
from tamarackshelf.net.streams import (
    READ_SIZE_BYTES,
    BoundedStreamProtocol,
    WatchedReader,
)
from tamarackshelf.world import Address

Handler = Callable[[Request], Awaitable[Response]]
LimitsSource = Callable[[], "ServerLimits"]
RequestFilter = Callable[[Request], bool]

# A client may take a response of this size or more slowly. The system would otherwise
# end the connection after USER_TIMEOUT_MS without room at the client, which a client
# that reads 8 KB a second reaches.
SLOWLY_READ_BYTES = 16 * 1024
# A long body is sent in pieces of this size.
SENT_SIZE_BYTES = 64 * 1024
# HttpServer.close waits this long for the answers to requests that it gives up.
GIVE_UP_S = 0.2
# HttpServer.close stops waiting for connections when none arrived for this long.
ACCEPT_QUIET_S = 0.2
# Retry delay for a client whose request found no room in the buffers.
RETRY_AFTER_S = 0.3
# Shorter waits end without progress of the clock when differences are rounded.
MIN_WAIT_S = 0.001
# Connections that the system accepts before the server does.
BACKLOG = 128
# Connections accepted before the event loop runs other tasks: until their own tasks run
# and the bound of connections applies to them, they exceed it.
ACCEPTS_PER_TURN = 2
# What a request may hold beyond its body: its head and the answer of a target.
ANSWER_ALLOWANCE_BYTES = 8 * 1024 * 1024 + 128 * 1024

log = logging.getLogger("tamarackshelf")


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of the server.

    `connections` is the maximum number of open connections; the other limits apply to
    each request or connection. A head may take `head_read_s` from its first byte. A
    body may stand still for `request_read_s`, and may take as long in all and in
    addition the time that it would take at `body_bytes_per_s`.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    head_read_s: float = 60.0
    request_read_s: float = 10.0
    body_bytes_per_s: float = 16 * 1024
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
        slots: ConnectionSlots | None = None,
    ) -> None:
        """Create a server that does not listen yet.

        `limits` are fixed limits or a function that returns the limits in force.
        `slots` bound its connections together with those of other servers.
        `cancel_on_disconnect` ends a request whose client closes the connection or its
        sending side, until its response is sent: its handler is cancelled, or the
        generator of its response. It may be a function that returns whether to do so
        for a request.
        """
        self._handler = handler
        self._limits = _build_limits_source(limits)
        self._cancel_on_disconnect = cancel_on_disconnect
        if slots is None:
            slots = ConnectionSlots(self._limits().connections)
        self._slots = slots
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], _Connection] = {}
        self._closing = False
        self._aborted = False
        self._accepted_at_s = 0.0

    async def start(self, address: Address) -> Address:
        """Listen on the address and return the bound address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: BoundedStreamProtocol(WatchedReader(), self._accept),
            address.host,
            address.port,
            backlog=ACCEPTS_PER_TURN,
        )
        for listening in self._server.sockets:
            with socket.socket(fileno=os.dup(listening.fileno())) as copy:
                copy.listen(BACKLOG)
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
        if self._aborted:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        connection = _Connection(
            cast("WatchedReader", reader),
            writer,
            self._handler,
            self._limits,
            self._slots,
            close_after_response=self._closing,
            cancel_on_disconnect=self._cancel_on_disconnect,
        )
        if not self._slots.admit(connection, self._limits().connections):
            writer.transport.abort()
            return
        self._connections[task] = connection
        set_keep_alive(writer)
        limit_receive_buffer(writer)
        limit_send_buffer(writer)
        # What the system does not take at once waits here until the client reads; the
        # next request is read only when none is left.
        writer.transport.set_write_buffer_limits(high=0)
        try:
            await connection.serve()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._slots.remove(connection)
            del self._connections[task]
            writer.close()


class _Connection:
    """Accepted connection and its HTTP parser."""

    def __init__(
        self,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        limits: LimitsSource,
        slots: ConnectionSlots,
        *,
        close_after_response: bool,
        cancel_on_disconnect: bool | RequestFilter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._limits = limits
        self._slots = slots
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().head_bytes
        )
        self._idle = True
        self._close_after_response = close_after_response
        self._closes_when_idle = False
        self._wait: asyncio.Timeout | None = None
        self._handling: asyncio.Task[Response] | None = None
        self._is_given_up = False
        # Whether the request in progress ends when its client disconnects.
        self._ends_on_disconnect = False
        self._is_disconnected = False
        self._is_reading_body = False
        self._is_slow_reader_allowed = False
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

    def shed(self) -> None:
        """Refuse the request that is being read, or else reset the connection."""
        if self._is_reading_body:
            self._buffer.evict()
        else:
            self.abort()

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            allowance_bytes = self._limits().body_bytes + ANSWER_ALLOWANCE_BYTES
            with hold_for_request(allowance_bytes) as self._buffer:
                response = await self._read_and_answer()
                if response is None:
                    return
                await self._send_whole(response)
            if self._close_after_response or self._http.our_state is not h11.DONE:
                return
            if self._http.their_state is not h11.DONE:
                return
            self._http.start_next_cycle()
            self._idle = True
            self._slots.mark_idle(self)

    async def _read_and_answer(self) -> Response | None:
        # No reference to the request remains while its response is sent.
        request = await self._read_request()
        if request is None:
            return None
        self._slots.mark_busy(self)
        if self._is_slow_reader_allowed:
            set_user_timeout(self._writer, USER_TIMEOUT_MS)
            self._is_slow_reader_allowed = False
        return await self._answer(request)

    def _allow_slow_reader(self) -> None:
        """Let _drain judge the client's progress instead of the system.

        The system's limit also ends connections whose client reads, if its window stays
        smaller than the next segment.
        """
        if not self._is_slow_reader_allowed:
            set_user_timeout(self._writer, 0)
            self._is_slow_reader_allowed = True

    async def _read_request(self) -> Request | None:
        try:
            head = await self._read_head()
            if not isinstance(head, h11.Request):
                return None
            self._idle = False
            body = await self._read_body()
        except TimeoutError:
            if not self._idle:
                await self._reject(408, "the request took too long; send it faster")
            return None
        except BuffersFull as error:
            await self._reject(503, f"{error}; send it again later", RETRY_AFTER_S)
            return None
        except h11.RemoteProtocolError as error:
            # The parser's text contains the invalid line, which may be an API key.
            status = error.error_status_hint
            reason = "its head is too long" if status == 431 else "not valid HTTP"
            await self._reject(status, f"{reason}; correct the request")
            return None
        if body is None:
            limit = self._limits().body_bytes
            await self._reject(413, f"the body exceeds {limit} bytes; send less")
            return None
        return _to_request(head, body)

    async def _read_head(self) -> object:
        """Wait for the head of a request; raise TimeoutError after its limits.

        If a limit is raised during the wait, the new limit applies to this wait too.
        When the server closes, what has arrived is read before the wait ends.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        is_last_read = False
        leftover_bytes = len(self._http.trailing_data[0])
        began_s = started_s if leftover_bytes else None
        self._buffer.add(leftover_bytes)
        while (event := self._http.next_event()) is h11.NEED_DATA:
            now_s, limits = loop.time(), self._limits()
            left_s = started_s + limits.idle_s - now_s
            if began_s is not None:
                left_s = min(left_s, began_s + limits.head_read_s - now_s)
            if left_s < MIN_WAIT_S or (is_last_read and began_s is None):
                raise TimeoutError
            is_last_read = self._closes_when_idle and began_s is None
            if is_last_read:
                left_s = 0.0
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s) as wait:
                    self._wait = wait
                    with self._buffer.end_when_evicted(wait):
                        data = await self._read()
                self._http.receive_data(data)
                if began_s is None:
                    began_s = loop.time()
                self._buffer.count(len(data))
            if self._buffer.is_evicted:
                raise BuffersFull(FULL)
        return event

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
        # Pipelined requests stay in the reader, which holds few of them, until this one
        # is answered.
        self._reader.on_data = self._buffer.count
        self._ends_on_disconnect = cancels(request) if callable(cancels) else cancels
        if self._ends_on_disconnect:
            self._reader.on_end = self._cancel_handler
            if self._reader.has_ended:
                # The handler begins first; it may answer without a wait.
                loop.call_soon(self._cancel_handler)
        try:
            return await handler_task
        except asyncio.CancelledError:
            is_own = handler_task.cancelled() and not _is_being_cancelled()
            if is_own and self._is_disconnected:
                return None
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
            self._handling = self._reader.on_data = self._reader.on_end = None

    def _cancel_handler(self) -> None:
        """Cancel the handler of a request whose client has disconnected."""
        if self._handling is not None:
            self._is_disconnected = True
            self._handling.cancel()

    @contextlib.contextmanager
    def _cancelled_on_disconnect(self) -> Iterator[None]:
        """Cancel this task at its next wait in the block once the client disconnects.

        The connection's own task is cancelled, so a response costs no further one.
        """
        task = asyncio.current_task()
        assert task is not None

        def cancel() -> None:
            # The end may be reported again while the block is left.
            self._reader.on_end = None
            task.cancel()

        if self._ends_on_disconnect:
            self._reader.on_end = cancel
            if self._reader.has_ended:
                cancel()
        try:
            yield
        finally:
            self._reader.on_end = None

    async def _read_body(self) -> bytes | None:
        """Return the body, or None if it is too long.

        Raise TimeoutError if it makes too little progress, and BuffersFull if it has to
        give way.
        """
        event = self._http.next_event()
        if isinstance(event, h11.EndOfMessage):
            return b""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        limits = self._limits()
        body = bytearray()
        self._slots.mark_waiting(self)
        self._is_reading_body = True
        try:
            async with self._buffer.until_evicted(limits.request_read_s) as wait:
                while not isinstance(event, h11.EndOfMessage):
                    if event is h11.NEED_DATA:
                        await self._receive_body_data()
                    elif isinstance(event, h11.Data):
                        self._buffer.add(len(event.data))
                        body += event.data
                        if len(body) > limits.body_bytes:
                            return None
                        whole_s = len(body) / limits.body_bytes_per_s
                        until_s = min(started_s + whole_s, loop.time())
                        wait.reschedule(until_s + limits.request_read_s)
                        self._slots.mark_waiting(self)
                    else:
                        raise ConnectionError("the client disconnected in a request")
                    event = self._http.next_event()
            return bytes(body)
        finally:
            self._is_reading_body = False
            # The traceback of an error refers to this frame.
            body.clear()

    async def _receive_body_data(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
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
                self._write_whole(Response(status=status, body=body, headers=headers))
                if self._writer.transport.get_write_buffer_size():
                    # The client reads nothing, and the process must not wait for it.
                    self.abort()

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
        head = self._build_head(response)
        if isinstance(response.body, bytes):
            await self._send_body(head, response.body)
            return
        chunks = response.body
        try:
            with self._cancelled_on_disconnect():
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

    def _build_head(self, response: Response) -> h11.Response:
        headers = dict(response.headers)
        if response.content_type:
            headers.setdefault("content-type", response.content_type)
        if isinstance(response.body, bytes):
            headers["content-length"] = str(len(response.body))
        if self._close_after_response:
            headers["connection"] = "close"
        return h11.Response(
            status_code=response.status, headers=encode_headers(headers)
        )

    def _write_whole(self, response: Response) -> None:
        """Write a short response without waiting for the client."""
        assert isinstance(response.body, bytes)
        body = h11.Data(data=response.body)
        self._write(self._build_head(response), body, h11.EndOfMessage())

    async def _send_body(self, head: h11.Response, body: bytes) -> None:
        """Send a response with a whole body, a long one piece by piece."""
        if len(body) >= SLOWLY_READ_BYTES:
            self._allow_slow_reader()
        self._write(head, h11.Data(data=body[:SENT_SIZE_BYTES]))
        for start in range(SENT_SIZE_BYTES, len(body), SENT_SIZE_BYTES):
            await self._drain()
            self._write(h11.Data(data=body[start : start + SENT_SIZE_BYTES]))
        self._write(h11.EndOfMessage())
        await self._drain()

    async def _drain(self) -> None:
        """Wait until the client has taken what was written.

        Raise ConnectionError if it takes nothing for as long as it may be idle.
        """
        transport = self._writer.transport
        left_bytes = transport.get_write_buffer_size()
        if not left_bytes:
            await self._writer.drain()
            return
        self._buffer.count(left_bytes)
        self._allow_slow_reader()
        untaken_bytes = left_bytes + count_unacknowledged_bytes(self._writer)
        try:
            while True:
                self._slots.mark_waiting(self)
                try:
                    async with asyncio.timeout(self._limits().idle_s):
                        await self._writer.drain()
                    self._slots.mark_busy(self)
                    return
                except TimeoutError as error:
                    if transport.is_closing():
                        raise ConnectionError("the connection is lost") from error
                    before_bytes = untaken_bytes
                    untaken_bytes = transport.get_write_buffer_size()
                    untaken_bytes += count_unacknowledged_bytes(self._writer)
                    if untaken_bytes >= before_bytes:
                        self._break_off()
                        raise ConnectionError("the client reads nothing") from error
        finally:
            self._buffer.count(-left_bytes)

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


def _is_being_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


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
