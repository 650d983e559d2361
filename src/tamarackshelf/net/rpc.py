"""gRPC calls between gateways and runners, with MessagePack bodies by msgspec."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import grpc
import msgspec

from tamarackshelf.decoding import decode_msgpack
from tamarackshelf.errors import ShelfError
from tamarackshelf.world import Address

SERVICE = "tamarackshelf.Peer"
SECRET_METADATA_KEY = "x-fleet-secret"
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

T = TypeVar("T")
RpcHandler = Callable[[Any], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class RpcMethod:
    """Name and message types of a gRPC method."""

    name: str
    request: type[Any]
    response: type[Any]


class PeerUnreachable(Exception):
    """The call to the peer failed without a typed error; another peer may be tried."""


class PeerRefused(Exception):
    """The peer rejected the call with a typed error."""

    def __init__(self, kind: str, message: str) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message


class RpcServer:
    """gRPC server for processes that send the fleet's shared secret."""

    def __init__(self, handlers: dict[RpcMethod, RpcHandler], secret: str) -> None:
        self._handlers = handlers
        self._secret = secret
        self._server: Any = None

    async def start(self, address: Address) -> Address:
        """Listen on the address and return the bound address."""
        self._server = grpc.aio.server(options=_OPTIONS)
        methods = {
            method.name: _build_method_handler(method, handler, self._secret)
            for method, handler in self._handlers.items()
        }
        generic = grpc.method_handlers_generic_handler(SERVICE, methods)
        self._server.add_generic_rpc_handlers((generic,))
        port = self._server.add_insecure_port(str(address))
        await self._server.start()
        return Address(address.host, port)

    async def close(self, grace_s: float = 1.0) -> None:
        """Reject new calls and wait up to `grace_s` for calls in flight."""
        if self._server is not None:
            await self._server.stop(grace_s)


class RpcClient:
    """gRPC client with one channel per peer address."""

    def __init__(self, secret: str) -> None:
        self._metadata = ((SECRET_METADATA_KEY, secret),)
        self._channels: dict[Address, Any] = {}

    async def call(
        self, address: Address, method: RpcMethod, request: object, timeout_s: float
    ) -> Any:
        """Call a peer's method and return its response.

        Raise PeerRefused for a typed error from the peer and PeerUnreachable for any
        other failure.
        """
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(str(address), options=_OPTIONS)
            self._channels[address] = channel
        call = channel.unary_unary(
            f"/{SERVICE}/{method.name}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=_build_decoder(method.response),
        )
        try:
            return await call(request, timeout=timeout_s, metadata=self._metadata)
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.FAILED_PRECONDITION:
                kind, _, message = (error.details() or "").partition("|")
                raise PeerRefused(kind, message) from error
            raise PeerUnreachable(f"{address}: {error.code().name}") from error

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()


def _build_method_handler(method: RpcMethod, handler: RpcHandler, secret: str) -> Any:
    async def serve(request: Any, context: Any) -> object:
        sent = dict(context.invocation_metadata()).get(SECRET_METADATA_KEY, "")
        if not hmac.compare_digest(str(sent), secret):
            text = "the fleet secret is wrong; set the same secret on all processes"
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, text)
        try:
            return await handler(request)
        except ShelfError as error:
            details = f"{error.kind}|{error.message}"
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, details)
            raise

    return grpc.unary_unary_rpc_method_handler(
        serve,
        request_deserializer=_build_decoder(method.request),
        response_serializer=msgspec.msgpack.encode,
    )


def _build_decoder(kind: type[T]) -> Callable[[bytes], T]:
    return lambda data: decode_msgpack(data, kind)


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
