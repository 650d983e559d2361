"""Calls between gateways and runners: gRPC with msgspec MessagePack bodies."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import grpc
import msgspec

from tamarackshelf.errors import ShelfError
from tamarackshelf.world import Address

SERVICE = "tamarackshelf.Peer"
SECRET_FIELD = "x-fleet-secret"
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

T = TypeVar("T")
RpcHandler = Callable[[Any], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class RpcMethod:
    """The name and the message types of one call."""

    name: str
    request: type[Any]
    response: type[Any]


class PeerUnreachable(Exception):
    """The peer did not answer; try the next one."""


class PeerRefused(Exception):
    """The peer answered with a typed error."""

    def __init__(self, kind: str, message: str) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message


class RpcServer:
    """Serves calls of processes that know the fleet's secret."""

    def __init__(self, handlers: dict[RpcMethod, RpcHandler], secret: str) -> None:
        self._handlers = handlers
        self._secret = secret
        self._server: Any = None

    async def start(self, address: Address) -> Address:
        """Listens and returns the bound address."""
        self._server = grpc.aio.server(options=_OPTIONS)
        methods = {
            method.name: _wrap(method, handler, self._secret)
            for method, handler in self._handlers.items()
        }
        generic = grpc.method_handlers_generic_handler(SERVICE, methods)
        self._server.add_generic_rpc_handlers((generic,))
        port = self._server.add_insecure_port(str(address))
        await self._server.start()
        return Address(address.host, port)

    async def close(self, grace_s: float = 1.0) -> None:
        """Refuses new calls and lets those in flight finish."""
        if self._server is not None:
            await self._server.stop(grace_s)


class RpcClient:
    """Calls other processes over one channel each."""

    def __init__(self, secret: str) -> None:
        self._metadata = ((SECRET_FIELD, secret),)
        self._channels: dict[Address, Any] = {}

    async def call(
        self, address: Address, method: RpcMethod, request: object, timeout_s: float
    ) -> Any:
        """Returns the answer; raises PeerUnreachable or PeerRefused."""
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(str(address), options=_OPTIONS)
            self._channels[address] = channel
        call = channel.unary_unary(
            f"/{SERVICE}/{method.name}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=_decoder(method.response),
        )
        try:
            return await call(request, timeout=timeout_s, metadata=self._metadata)
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.FAILED_PRECONDITION:
                kind, _, message = (error.details() or "").partition("|")
                raise PeerRefused(kind, message) from error
            raise PeerUnreachable(f"{address}: {error.code().name}") from error

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()


def _wrap(method: RpcMethod, handler: RpcHandler, secret: str) -> Any:
    async def serve(request: Any, context: Any) -> object:
        sent = dict(context.invocation_metadata()).get(SECRET_FIELD, "")
        if not hmac.compare_digest(str(sent), secret):
            text = "the fleet secret is wrong; set the same one on all processes"
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, text)
        try:
            return await handler(request)
        except ShelfError as error:
            details = f"{error.kind}|{error.message}"
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, details)
            raise

    return grpc.unary_unary_rpc_method_handler(
        serve,
        request_deserializer=_decoder(method.request),
        response_serializer=msgspec.msgpack.encode,
    )


def _decoder(kind: type[T]) -> Callable[[bytes], T]:
    return msgspec.msgpack.Decoder(kind).decode


_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
]

__all__ = [
    "RpcMethod",
    "PeerRefused",
    "PeerUnreachable",
    "RpcClient",
    "RpcHandler",
    "RpcServer",
]
