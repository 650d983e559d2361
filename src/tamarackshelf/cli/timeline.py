"""Command line interface of tamarackshelf-timeline."""

from __future__ import annotations

import asyncio
import os
import sys

import msgspec

from tamarackshelf.cli.fetch import FetchFailed, fetch_json, fetch_pages
from tamarackshelf.cli.program import DeferredCommand, run_command
from tamarackshelf.observe import Event, EventPage, merge_pages
from tamarackshelf.observe.timeline_html import render_timeline_html
from tamarackshelf.peers import View
from tamarackshelf.world import parse_address

EXIT_REFUSED = 1
EXIT_USAGE = 2
FORMATS = ("text", "json", "html")


def timeline(gateway: str, output: str = "text", subject: str = "") -> DeferredCommand:
    """Print the events of all processes as one merged timeline.

    The operator's token is read from TAMARACKSHELF_TOKEN and the fleet's secret
    from TAMARACKSHELF_SECRET.

    Args:
        gateway: ip:port of any gateway.
        output: text, json (one event per line) or html (a self-contained page).
        subject: only show events whose subject begins with this prefix.
    """

    def run() -> None:
        if output not in FORMATS:
            _exit(
                f"unknown output {output}; use one of {', '.join(FORMATS)}", EXIT_USAGE
            )
        try:
            pages, silent = asyncio.run(_read(gateway))
        except (FetchFailed, ValueError) as error:
            _exit(str(error), EXIT_REFUSED)
        events = [e for e in merge_pages(pages) if e.subject.startswith(subject)]
        sys.stdout.write(format_events(events, output))
        for name in silent:
            print(f"gap: {name} does not respond", file=sys.stderr)

    return DeferredCommand(run)


def format_events(events: list[Event], output: str) -> str:
    """Return the events as text, JSON lines or an HTML page."""
    if output == "html":
        return render_timeline_html(events)
    if output == "json":
        return "".join(msgspec.json.encode(e).decode() + "\n" for e in events)
    return "".join(_format(event) + "\n" for event in events)


def _format(event: Event) -> str:
    fields = "".join(f" {name}={value}" for name, value in event.fields.items())
    reason = f" ({event.reason})" if event.reason else ""
    return f"{event.at_ms} {event.process} {event.kind} {event.subject}{reason}{fields}"


async def _read(gateway: str) -> tuple[list[EventPage], list[str]]:
    token = os.environ.get("TAMARACKSHELF_TOKEN", "")
    headers = {"authorization": f"Bearer {token}"}
    address = parse_address(gateway)
    view = await fetch_json(address, "GET", "/v1/operator/status", View, headers, None)
    return await fetch_pages(view, token)


def _exit(message: str, status: int) -> None:
    print(message, file=sys.stderr)
    sys.exit(status)


def main() -> None:
    """Run the program."""
    run_command(timeline, "tamarackshelf-timeline")


if __name__ == "__main__":
    main()
