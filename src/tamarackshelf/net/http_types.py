"""Request and response types of the HTTP server, and encoding of error bodies."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import TypeVar
from urllib.parse import parse_qs

import h11
import msgspec

from tamarackshelf.decoding import InvalidInput, decode_json
from tamarackshelf.errors import BadRequest, ErrorBody, ShelfError, to_error_body

T = TypeVar("T")
Body = bytes | AsyncIterator[bytes]
Headers = dict[str, str]


@dataclass(frozen=True, slots=True)
class Request:
    """HTTP request with its complete body; header names are lower case."""

    method: str
    path: str
    query: str = ""
    headers: Headers = field(default_factory=dict)
    body: bytes = b""

    def parameter(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter, or the default if absent."""
        return parse_qs(self.query).get(name, [default])[0]

    def decode(self, kind: type[T]) -> T:
        """Decode the JSON body; raise BadRequest with the reason if it is invalid."""
        try:
            return decode_json(self.body, kind)
        except InvalidInput as error:
            raise BadRequest(
                f"the body is not valid: {error}; send the JSON that "
                "docs/reference describes"
            ) from error


@dataclass(frozen=True, slots=True)
class Response:
    """HTTP response; a body that is an iterator is sent chunk by chunk."""

    status: int
    body: Body = b""
    content_type: str = "application/json"
    headers: Headers = field(default_factory=dict)


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers as they were received: values may go beyond ASCII."""
    return [
        (name.encode("latin-1"), value.encode("latin-1", "replace"))
        for name, value in headers.items()
    ]


def is_sendable(path: str, headers: Headers) -> bool:
    """Return whether a request with this path and these headers can be written."""
    try:
        h11.Request(
            method="POST",
            target=path,
            headers=[(b"host", b"-"), *encode_headers(headers)],
        )
    except (h11.LocalProtocolError, UnicodeEncodeError):
        return False
    return True


def is_final_status(status: int) -> bool:
    """Return whether a status may end a response (RFC 9110, section 15)."""
    return 200 <= status <= 599


def to_json_response(value: object, status: int = 200) -> Response:
    """Return a response with the value encoded as JSON."""
    return Response(status=status, body=msgspec.json.encode(value))


def to_error_response(error: ShelfError, entries: tuple[str, ...] = ()) -> Response:
    """Return the response that describes the error to a caller."""
    headers = {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    body = msgspec.json.encode(to_error_body(error, entries))
    return Response(status=error.status, body=body, headers=headers)


def decode_error(body: bytes) -> ErrorBody | None:
    """Decode an error body; return None if the bytes are not an error body."""
    try:
        return decode_json(body, ErrorBody)
    except InvalidInput:
        return None


__all__ = [
    "Body",
    "Headers",
    "Request",
    "Response",
    "decode_error",
    "encode_headers",
    "is_final_status",
    "is_sendable",
    "to_error_response",
    "to_json_response",
]
