"""Headers in which callers send their API key and targets receive the organisation."""

from __future__ import annotations

from tamarackshelf.net.http_types import Headers

CREDENTIAL_HEADER = "x-credential"
ORGANISATION_HEADER = "x-tenant"


def remove_identity(headers: Headers) -> Headers:
    """Return the headers without the key and without any name that the caller sent."""
    removed = (CREDENTIAL_HEADER, ORGANISATION_HEADER)
    return {n: v for n, v in headers.items() if n.lower() not in removed}


def set_organisation(headers: Headers, organisation: str) -> None:
    """Name the organisation in lower-case headers; "" sets nothing.

    Header values are written as latin-1, so a name beyond ASCII is sent as UTF-8.
    """
    if organisation:
        headers[ORGANISATION_HEADER] = organisation.encode().decode("latin-1")


__all__ = [
    "CREDENTIAL_HEADER",
    "ORGANISATION_HEADER",
    "remove_identity",
    "set_organisation",
]
