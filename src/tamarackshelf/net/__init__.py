"""HTTP/1.1 client and server based on h11, and gRPC calls between processes."""

from __future__ import annotations

from tamarackshelf.net.http_client import (
    ClientResponse,
    ConnectFailed,
    ConnectionLost,
    ConnectRefused,
    HttpClient,
    ResponseOverdue,
    StreamedResponse,
    collect,
)
from tamarackshelf.net.http_server import HttpServer, ServerLimits
from tamarackshelf.net.http_types import (
    Request,
    Response,
    decode_error,
    is_final_status,
    is_sendable,
    to_error_response,
    to_json_response,
)

__all__ = [
    "ClientResponse",
    "ConnectFailed",
    "ConnectRefused",
    "ConnectionLost",
    "HttpClient",
    "HttpServer",
    "Request",
    "Response",
    "ResponseOverdue",
    "ServerLimits",
    "StreamedResponse",
    "collect",
    "decode_error",
    "is_final_status",
    "is_sendable",
    "to_error_response",
    "to_json_response",
]
