"""HTTP and RPC links in memory with hooks that cause failures."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

from tamarackshelf.errors import ShelfError
from tamarackshelf.net import ClientResponse, ConnectFailed, ConnectionLost, Request
from tamarackshelf.net.http_types import to_error_response
from tamarackshelf.net.rpc import PeerRefused, PeerUnreachable
from tamarackshelf.world import Address

_ports = itertools.count(10_000)


def new_address() -> Address:
    return Address("127.0.0.1", next(_ports))


class Network:
    """Handlers by address and hooks that run before and after each call.

    A hook gets (origin, address, path) and may sleep, or raise to fail the call.
    """

    def __init__(self):
        self.handlers = {}
        self.cuts = {}
        self.before = []
        self.after = []
        self.calls = []

    def add(self, handler, address=None):
        address = address or new_address()
        self.handlers[address] = handler
        return address

    def remove(self, address):
        """Refuses new calls and cuts those in flight."""
        self.handlers.pop(address, None)
        self.cuts.pop(address, asyncio.Event()).set()

    async def until_cut(self, address, awaitable):
        """Awaits something of a peer; raises when the peer is removed."""
        cut = self.cuts.setdefault(address, asyncio.Event())
        task = asyncio.ensure_future(awaitable)
        gone = asyncio.ensure_future(cut.wait())
        try:
            await asyncio.wait([task, gone], return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                raise ConnectionLost("the peer is gone")
            return task.result()
        finally:
            for each in (task, gone):
                each.cancel()
            await asyncio.wait([task, gone])

    async def open(self, origin, address, method, path, headers, body):
        path, _, query = path.partition("?")
        if address not in self.handlers:
            raise ConnectFailed(f"nothing listens at {address}")
        for hook in list(self.before):
            await hook(origin, address, path)
        if address not in self.handlers:
            raise ConnectFailed(f"nothing listens at {address}")
        self.calls.append((origin, address, path))
        request = Request(method, path, query, headers, body)
        try:
            response = await self.until_cut(address, self.handlers[address](request))
        except ShelfError as error:
            response = to_error_response(error)
        except ConnectionError as error:
            raise ConnectionLost(str(error)) from error
        for hook in list(self.after):
            await hook(origin, address, path)
        return response


class MemoryHttp:
    """Stands in for HttpClient."""

    def __init__(self, network, origin="", headers=None):
        self.network = network
        self.origin = origin
        self._headers = headers or {}

    async def close(self):
        """Has nothing to close."""

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
    ):
        del new_connection
        sent = {**self._headers, **(headers or {})}
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.network.open(
                    self.origin, address, method, path, sent, body
                )
        except TimeoutError:
            raise ConnectionLost("no answer before the deadline") from None
        answer = _MemoryAnswer(self.network, address, response)
        try:
            yield answer
        finally:
            await answer.close()


class _MemoryAnswer:
    def __init__(self, network, address, response):
        self.status = response.status
        self.headers = response.headers
        self._network = network
        self._address = address
        self._body = response.body

    async def chunks(self):
        if isinstance(self._body, bytes):
            yield self._body
            return
        try:
            while True:
                chunk = anext(self._body, None)
                chunk = await self._network.until_cut(self._address, chunk)
                if chunk is None:
                    return
                yield chunk
        except (ConnectionError, ShelfError) as error:
            raise ConnectionLost(str(error)) from error

    async def close(self):
        if not isinstance(self._body, bytes):
            await self._body.aclose()


class MemoryRpc:
    """Stands in for RpcClient; handlers are found by address and method."""

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
        """Has nothing to close."""
