"""In-memory HTTP and RPC clients with hooks that cause failures."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

from tamarackshelf.errors import ShelfError
from tamarackshelf.net import (
    ClientResponse,
    ConnectionLost,
    ConnectRefused,
    Request,
)
from tamarackshelf.net.http_types import to_error_response
from tamarackshelf.net.rpc import PeerRefused, PeerUnreachable
from tamarackshelf.world import Address

_ports = itertools.count(10_000)


def new_address() -> Address:
    return Address("127.0.0.1", next(_ports))


class Network:
    """In-memory network that dispatches calls to handlers by address.

    The hooks in `before` and `after` run before and after each call. A hook gets
    (origin, address, path); it may sleep, or raise to fail the call.
    """

    def __init__(self):
        self.handlers = {}
        self._removed = {}
        self.before = []
        self.after = []
        self.calls = []

    def add(self, handler, address=None):
        address = address or new_address()
        self.handlers[address] = handler
        return address

    def remove(self, address):
        """Refuse new calls to the address and fail those in flight."""
        self.handlers.pop(address, None)
        self._removed.pop(address, asyncio.Event()).set()

    async def wait_for_peer(self, address, awaitable):
        """Await a result of a peer; raise ConnectionLost once the peer is removed."""
        removed = self._removed.setdefault(address, asyncio.Event())
        task = asyncio.ensure_future(awaitable)
        removal = asyncio.ensure_future(removed.wait())
        try:
            await asyncio.wait([task, removal], return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                raise ConnectionLost("the peer was removed from the network")
            return task.result()
        finally:
            for each in (task, removal):
                each.cancel()
            await asyncio.wait([task, removal])

    async def connect(self, origin, address, path):
        """Run the hooks before a call; raise ConnectRefused if nothing listens."""
        for hook in list(self.before):
            await hook(origin, address, path)
        if address not in self.handlers:
            raise ConnectRefused(f"nothing listens at {address}")

    async def open(
        self, origin, address, method, path, headers, body, *, is_open=False
    ):
        path, _, query = path.partition("?")
        if not is_open:
            await self.connect(origin, address, path)
        self.calls.append((origin, address, path))
        request = Request(method, path, query, headers, body)
        try:
            response = await self.wait_for_peer(
                address, self.handlers[address](request)
            )
        except ShelfError as error:
            response = to_error_response(error)
        except ConnectionError as error:
            raise ConnectionLost(str(error)) from error
        for hook in list(self.after):
            await hook(origin, address, path)
        return response


class MemoryHttp:
    """Stand-in for HttpClient that calls the handlers of a Network."""

    def __init__(self, network, origin="", headers=None):
        self.network = network
        self.origin = origin
        self._headers = headers or {}
        # Addresses to which a connection is open; calls there skip the hooks `before`.
        self.idle = set()

    async def close(self):
        """Do nothing; no connection is open."""

    def has_idle_connection(self, address):
        return address in self.idle

    def close_idle_connections(self, address):
        self.idle.discard(address)

    async def probe(self, address, timeout_s):
        async with asyncio.timeout(timeout_s):
            await self.network.connect(self.origin, address, "")

    async def request(self, address, method, path, **options):
        async with self.stream(address, method, path, **options) as answer:
            parts = [chunk async for chunk in answer.chunks()]
        return ClientResponse(answer.status, answer.headers, b"".join(parts))

    @contextlib.asynccontextmanager
    async def stream(
        self,
        address,
        method,
        path,
        *,
        headers=None,
        body=b"",
        timeout_s=10.0,
        new_connection=False,
        resend=True,
        request_id="",
    ):
        del resend, request_id
        is_open = address in self.idle and not new_connection
        sent = {**self._headers, **(headers or {})}
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.network.open(
                    self.origin, address, method, path, sent, body, is_open=is_open
                )
        except TimeoutError:
            raise ConnectionLost("no answer before the deadline") from None
        answer = _MemoryResponse(self.network, address, response)
        try:
            yield answer
        finally:
            await answer.close()


class _MemoryResponse:
    def __init__(self, network, address, response):
        self.status = response.status
        self.headers = response.headers
        self._network = network
        self._address = address
        self._body = response.body

    def disable_reuse(self):
        """Do nothing; no connection is kept."""

    def set_deadline(self, deadline_s):
        """Do nothing; the body of a response comes in time."""

    async def chunks(self):
        if isinstance(self._body, bytes):
            yield self._body
            return
        try:
            while True:
                chunk = anext(self._body, None)
                chunk = await self._network.wait_for_peer(self._address, chunk)
                if chunk is None:
                    return
                yield chunk
        except (ConnectionError, ShelfError) as error:
            raise ConnectionLost(str(error)) from error

    async def close(self):
        if not isinstance(self._body, bytes):
            await self._body.aclose()


class MemoryRpc:
    """Stand-in for RpcClient that finds handlers by address and method."""

    def __init__(self, handlers, delay_s=0.0):
        self._handlers = handlers
        self._delay_s = delay_s

    async def call(self, address, method, request, timeout_s):
        handlers = self._handlers.get(address)
        if handlers is None:
            raise PeerUnreachable(str(address))
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(self._delay_s)
                return await handlers[method](request)
        except ShelfError as error:
            raise PeerRefused(error.kind, error.message) from error
        except TimeoutError:
            raise PeerUnreachable(str(address)) from None

    async def close(self):
        """Do nothing; no connection is open."""
