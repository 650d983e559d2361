"""HTTP client for the interfaces of running processes."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import msgspec

from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient, decode_error
from tamarackshelf.observe import EventPage
from tamarackshelf.peers import View
from tamarackshelf.world import Address

TIMEOUT_S = 10.0


class FetchFailed(Exception):
    """The process refused the request or did not respond; the text names a remedy."""


async def fetch_json(
    address: Address,
    method: str,
    path: str,
    kind: type[Any],
    headers: dict[str, str],
    body: object,
) -> Any:
    """Send one request and return the decoded response.

    Raise FetchFailed if the process does not respond or reports an error.
    """
    http = HttpClient(headers=headers)
    data = b"" if body is None else msgspec.json.encode(body)
    try:
        answer = await http.request(
            address, method, path, body=data, timeout_s=TIMEOUT_S
        )
    except (ConnectFailed, ConnectionLost) as error:
        raise FetchFailed(
            f"{address} does not respond: {error}; try another gateway"
        ) from error
    finally:
        await http.close()
    if answer.status != 200:
        fault = decode_error(answer.body)
        text = fault.message if fault else f"status {answer.status}"
        raise FetchFailed(f"{address} refused the request: {text}")
    return msgspec.json.decode(answer.body, type=kind)


async def fetch_pages(view: View, token: str) -> tuple[list[EventPage], list[str]]:
    """Return the events of all processes, and the processes that did not respond."""
    secret = os.environ.get("TAMARACKSHELF_SECRET", "")
    sources: dict[str, tuple[Address, dict[str, str]]] = {}
    for item in view.entries:
        entry = item.entry
        bearer = {"authorization": f"Bearer {token}"}
        fleet = {"x-fleet-secret": secret}
        sources[f"gateway@{entry.name}"] = (entry.gateway, bearer)
        sources[f"controller@{entry.name}"] = (entry.controller, fleet)
        if entry.runner is not None:
            sources[f"runner@{entry.name}"] = (entry.runner, fleet)

    async def fetch(address: Address, headers: dict[str, str]) -> EventPage | None:
        try:
            page: EventPage = await fetch_json(
                address, "GET", "/v1/timeline", EventPage, headers, None
            )
        except FetchFailed:
            return None
        return page

    answers = await asyncio.gather(*(fetch(*source) for source in sources.values()))
    pages = [page for page in answers if page is not None]
    named = zip(sources, answers, strict=True)
    return pages, [name for name, page in named if page is None]


__all__ = ["FetchFailed", "fetch_json", "fetch_pages"]
