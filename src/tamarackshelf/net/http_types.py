"""Requests and responses shared by the HTTP server and client."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import TypeVar
from urllib.parse import parse_qs

import msgspec

from tamarackshelf.errors import BadRequest, ErrorBody, ShelfError, to_error_body

T = TypeVar("T")
Body = bytes | AsyncIterator[bytes]
Headers = dict[str, str]


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request with its whole body; header names are lower case."""

    method: str
    path: str
    query: str = ""
    headers: Headers = field(default_factory=dict)
    body: bytes = b""

    def parameter(self, name: str, default: str = "") -> str:
        """Returns the first value of a query parameter."""
        return parse_qs(self.query).get(name, [default])[0]

    def decode(self, kind: type[T]) -> T:
        """Decodes the JSON body; raises BadRequest that names the fault."""
        try:
            return msgspec.json.decode(self.body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise BadRequest(
                f"the body is not valid: {error}; send the JSON that "
                "docs/reference describes"
            ) from error


@dataclass(frozen=True, slots=True)
class Response:
    """One HTTP response; an iterator as body is sent as it comes."""

    status: int
    body: Body = b""
    content_type: str = "application/json"
    headers: Headers = field(default_factory=dict)


def to_json_response(value: object, status: int = 200) -> Response:
    """Returns a response with the value as JSON."""
    return Response(status=status, body=msgspec.json.encode(value))


def to_error_response(error: ShelfError, entries: tuple[str, ...] = ()) -> Response:
    """Returns the response that tells a caller about the error."""
    headers = {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    body = msgspec.json.encode(to_error_body(error, entries))
    return Response(status=error.status, body=body, headers=headers)


def decode_error(body: bytes) -> ErrorBody | None:
    """Decodes an error body, or returns None when it is none."""
    try:
        return msgspec.json.decode(body, type=ErrorBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


__all__ = [
    "Body",
    "Headers",
    "Request",
    "Response",
    "decode_error",
    "to_error_response",
    "to_json_response",
]
