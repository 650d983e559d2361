"""Description of the events of one subject in sentences."""

from __future__ import annotations

from datetime import UTC, datetime

from tamarackshelf.observe import Event, EventPage, merge_pages

SENTENCES = {
    "request_dispatched": "{subject} was sent to {target}, because of {reason}",
    "request_retried": "{subject} was retried: {reason}",
    "request_suspected": "{subject} is suspected to crash targets: {reason} ({target})",
    "key_refused": (
        "{subject} was refused with 401: {reason}, in configuration {configuration} of "
        "this node ({omitted} earlier refusals were only counted)"
    ),
    "configuration_taken": "{subject} came into force: {reason}",
    "sample_produced": "sample {subject} was produced on version {version}",
    "sample_restarted": "sample {subject} was restarted: {reason}",
    "sample_too_old": "sample {subject} was not delivered: {reason}",
    "samples_handed_over": "{subject} delivered slots {slots} to pull {pull}",
    "order_sent": "{subject} was ordered to load weights: {reason}",
    "order_done": "{subject} now serves {model} version {version}",
    "order_failed": "{subject} failed to execute its order: {reason}",
    "lease_taken": "lease {subject} was acquired: {reason}",
    "target_crashed": "{subject} was reported as crashed",
    "target_leaving": "{subject} reported that it is leaving",
    "member_suspect": "{subject} is suspected to be dead",
    "member_dead": "{subject} is considered dead",
    "member_left": "{subject} left in a planned stop",
    "member_alive": "{subject} is alive again",
}


class _EventValues(dict[str, str]):
    """Values of an event by field name; a missing field reads as a question mark."""

    def __missing__(self, key: str) -> str:
        return "?"


def explain_subject(
    kind: str, name: str, pages: list[EventPage], silent: list[str]
) -> list[str]:
    """Return a heading, a line for each event of the subject, and a line for each gap.

    Gaps are processes that did not respond (`silent`) and events that a process has
    overwritten.
    """
    events = [event for event in merge_pages(pages) if _concerns(event, name)]
    lines = [f"{kind} {name}: {len(events)} events in {len(pages)} processes"]
    lines += [_format(event) for event in events]
    lines += [f"gap: {process} does not respond" for process in silent]
    for page in pages:
        if page.dropped:
            lines.append(f"gap: {page.process} has overwritten {page.dropped} events")
    return lines


def _concerns(event: Event, name: str) -> bool:
    step, _, slot = name.rpartition(".")
    if event.subject == step and slot in event.fields.get("slots", "").split(","):
        return True
    is_part = event.subject.startswith((f"{name}.", f"{name}/"))
    return event.subject == name or is_part or name in event.fields.values()


def _format(event: Event) -> str:
    at = datetime.fromtimestamp(event.at_ms / 1000, UTC)
    values = _EventValues(subject=event.subject, reason=event.reason, **event.fields)
    pattern = SENTENCES.get(event.kind)
    if pattern is None:
        reason = f": {event.reason}" if event.reason else ""
        text = f"{event.kind.replace('_', ' ')} {event.subject}{reason}"
    else:
        text = pattern.format_map(values)
    stamp = at.strftime("%H:%M:%S.%f")[:-3]
    return f"{stamp} {event.process}: {text}"


__all__ = ["explain_subject"]
