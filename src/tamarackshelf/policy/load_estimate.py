"""Estimate of a target's load and speed from reports that are some time old.

A report counts the requests of all nodes at one moment. Until the next one, the node
adds what it has sent itself since, and expects the others' requests to approach their
mean: from a low report, others send there as well, and a high one drains.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

# The mean of the reports follows them with this time constant, and is forgotten with
# the longer one: the load of a target without reports is unknown, not low.
MEAN_S = 2.0
FORGET_S = 10.0
# The reported slowdown changes many times a second, so a single one says little after
# this time.
SLOWDOWN_S = 0.4


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests at a target, running and waiting, at `at_s` on the node's clock.

    `slowdown` is how long work takes there relative to usual. A figure that was not
    reported is None.
    """

    at_s: float
    total: int | None
    slowdown: float | None = None


@dataclass(slots=True)
class LoadEstimate:
    """What one node knows of the load of one target from reports.

    After a report, the others' requests approach what is expected without it, by 1/e
    in `hold_s`.
    """

    hold_s: float
    others: int = 0
    mean_others: float = 0.0
    others_at_s: float = -math.inf
    slowdown: float = 1.0
    mean_slowdown: float = 1.0
    slowdown_at_s: float = -math.inf

    @property
    def reports_slowdown(self) -> bool:
        """Whether the target has reported how long work takes."""
        return self.slowdown_at_s > -math.inf

    @property
    def has_report(self) -> bool:
        """Whether the target has reported its requests."""
        return self.others_at_s > -math.inf

    def record(self, report: LoadReport, own: int) -> None:
        """Record a report that includes `own` requests of this node."""
        if report.total is not None:
            self.others = max(0, report.total - own)
            kept = math.exp(-(report.at_s - self.others_at_s) / MEAN_S)
            self.mean_others = kept * self.mean_others + (1 - kept) * self.others
            self.others_at_s = report.at_s
        if report.slowdown is not None:
            self.slowdown = report.slowdown
            kept = math.exp(-(report.at_s - self.slowdown_at_s) / MEAN_S)
            self.mean_slowdown = (
                kept * self.mean_slowdown + (1 - kept) * report.slowdown
            )
            self.slowdown_at_s = report.at_s

    def expect_others(self, now_s: float, usual: float) -> float:
        """Return the others' requests expected without the last report.

        It is their mean, and after some time without reports the `usual` number.
        """
        weight = math.exp(-max(0.0, now_s - self.others_at_s) / FORGET_S)
        return usual + (self.mean_others - usual) * weight

    def estimate_others(self, now_s: float, expected: float) -> float:
        """Return the others' requests by the last report and what is expected."""
        weight = math.exp(-max(0.0, now_s - self.others_at_s) / self.hold_s)
        return expected + (self.others - expected) * weight

    def expect_slowdown(self, now_s: float, usual: float) -> float:
        """Return how long work takes by the mean of the reports.

        After some time without reports it is the `usual` slowdown.
        """
        weight = math.exp(-max(0.0, now_s - self.slowdown_at_s) / FORGET_S)
        return usual + (self.mean_slowdown - usual) * weight

    def compare_slowdown(self, now_s: float) -> float:
        """Return how long work takes at this moment relative to its mean."""
        weight = math.exp(-max(0.0, now_s - self.slowdown_at_s) / SLOWDOWN_S)
        return 1.0 + (self.slowdown / self.mean_slowdown - 1.0) * weight


def compute_usual_others(estimates: Iterable[LoadEstimate]) -> float:
    """Return the mean of others' requests at the targets with reports, else 0.0."""
    known = [each.mean_others for each in estimates if each.has_report]
    return sum(known) / len(known) if known else 0.0


def compute_usual_slowdown(estimates: Iterable[LoadEstimate]) -> float:
    """Return the mean slowdown of the targets with reports, else 1.0.

    A target without reports must not look faster than those that report a slowdown:
    connections to it would be opened in vain.
    """
    known = [each.mean_slowdown for each in estimates if each.reports_slowdown]
    return sum(known) / len(known) if known else 1.0


__all__ = [
    "LoadEstimate",
    "LoadReport",
    "compute_usual_others",
    "compute_usual_slowdown",
]
