"""Versions of software that the targets of each service had, and when."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class SoftwareSpan:
    """Unix times between which targets of a service had a version of their software."""

    service: str
    software: str
    first_s: float
    last_s: float


class SoftwareHistory:
    """The span of each version; one that left and came back counts as there all along.

    Versions have no order.
    """

    def __init__(self) -> None:
        self._spans: dict[tuple[str, str], SoftwareSpan] = {}

    def observe(self, listed: Mapping[str, Iterable[str]], now_s: float) -> bool:
        """Record which versions each service has now; return whether one is new."""
        is_new = False
        for service, versions in listed.items():
            for software in versions:
                is_new |= (service, software) not in self._spans
                self.merge(SoftwareSpan(service, software, now_s, now_s))
        return is_new

    def merge(self, span: SoftwareSpan) -> None:
        """Extend the span of a version by one that another node observed."""
        key = (span.service, span.software)
        known = self._spans.get(key, span)
        self._spans[key] = replace(
            known,
            first_s=min(known.first_s, span.first_s),
            last_s=max(known.last_s, span.last_s),
        )

    def forget(self, before_s: float) -> None:
        """Remove the versions that no target has had since then."""
        old = [key for key, span in self._spans.items() if span.last_s < before_s]
        for key in old:
            del self._spans[key]

    def list_spans(self, service: str, since_s: float) -> list[SoftwareSpan]:
        """Return the spans of the versions that a service has had since then."""
        return [
            replace(span, first_s=max(span.first_s, since_s))
            for span in self._spans.values()
            if span.service == service and span.last_s >= since_s
        ]

    def list_all(self) -> list[SoftwareSpan]:
        """Return the spans of all versions of all services."""
        return list(self._spans.values())

    def find_sole(self, service: str, since_s: float) -> str | None:
        """Return the only version that was the service's only one at some time.

        Return None if there was no such version since then, or more than one.
        """
        spans = self.list_spans(service, since_s)
        bounds = sorted(
            {edge for span in spans for edge in (span.first_s, span.last_s)}
        )
        sole = set()
        for start_s, end_s in zip(bounds, bounds[1:], strict=False):
            active = {
                span.software
                for span in spans
                if span.first_s <= start_s and span.last_s >= end_s
            }
            if len(active) == 1:
                sole |= active
        if len(spans) == 1:
            sole = {spans[0].software}
        return sole.pop() if len(sole) == 1 else None


__all__ = ["SoftwareHistory", "SoftwareSpan"]
