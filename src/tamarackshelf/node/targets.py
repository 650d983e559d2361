"""The listed targets with the load, speed and health that this node observed."""

from __future__ import annotations

import asyncio
import statistics
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Protocol

from tamarackshelf.contracts.targets import (
    CallKind,
    NotRun,
    TargetChanged,
    TargetLimited,
    TargetLoad,
    TargetRecord,
)
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.ejection import TargetHealth, compute_healthy_share
from tamarackshelf.policy.item_placement import EngineCandidate
from tamarackshelf.policy.load_estimate import (
    LoadEstimate,
    LoadReport,
    compute_usual_others,
    compute_usual_slowdown,
)
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.routing import Candidate, TargetRequirements, route
from tamarackshelf.policy.shared_loads import ExpectedLoads, build_key
from tamarackshelf.world import Address, Target, TargetKind

# A target that refused a request because it is busy gets no new work for this long.
AVOID_S = 0.3
# The weight of a load report falls linearly with its age and is zero from this age on.
REPORT_DECAY_S = 1.0
# Reports of engines count for longer: generating a text takes seconds, so the reported
# runs last longer than the reported requests of other targets.
ENGINE_REPORT_DECAY_S = 2.0
# An engine's report counts for about this long beside what the nodes tell each other;
# without that, and at other targets, the others' requests then approach their mean.
ENGINE_HOLD_S = 1.0
PLAIN_HOLD_S = 0.2
# Engines queue three times what they run; higher totals are taken for this many times
# their concurrency.
MAX_REPORTED_FACTOR = 4
# Share of a target's concurrency that other nodes are expected to use at most, without
# news from them: a node that sends nothing to a target gets no report from it either.
MAX_EXPECTED_SHARE = 0.75
# An estimate of others' requests counts as wrong if it differs from the next report by
# more than this share of the target's concurrency.
WRONG_SHARE = 0.34
# Numbers of last durations whose median is used at most and at least; a median is not
# affected by single pauses.
MAX_DURATIONS = 7
MIN_DURATIONS = 3
# Durations of a target without work for this long are ignored, because its speed may
# have changed.
DURATIONS_TTL_S = 3.0
MAX_SLOWNESS = 8.0
# A target that disappeared from the list while the store was unreachable may be listed
# again within this time after the store has recovered.
RECOVERY_GRACE_S = 2.2
# A missing target gets new work only when all targets of its service are missing, and
# only for this long: it may have left, and a target that left may receive new work for
# two seconds at most.
MISSING_TARGET_USE_S = 1.4
# What a target said about leaving is kept this long after it was unlisted: its row may
# lapse and come back while the store is unreachable.
LEAVING_MEMORY_S = 600.0


class LimitView(Protocol):
    """What the registry asks about the rate limits of targets."""

    def is_limited(self, target: Target) -> bool:
        """Return whether the target is believed to have a limit."""

    def find_limit(self, target: Target) -> float | None:
        """Return the calls per second that the target takes, None without a limit."""

    def compute_wait_s(self, target: Target, kind: CallKind) -> float:
        """Return the seconds until the limit may admit a call, 0.0 for now."""

    def plan_return_s(self, targets: Iterable[Target]) -> float:
        """Return in how many seconds a refused caller should come back."""

    def explain(self, target: Target) -> str:
        """Return the limit, its age and why a call was denied."""


class NoLimits:
    """LimitView of a registry whose targets have no rate limits."""

    def is_limited(self, target: Target) -> bool:
        """Return False."""
        return False

    def find_limit(self, target: Target) -> float | None:
        """Return None."""
        return None

    def compute_wait_s(self, target: Target, kind: CallKind) -> float:
        """Return 0.0."""
        return 0.0

    def plan_return_s(self, targets: Iterable[Target]) -> float:
        """Return 0.0."""
        return 0.0

    def explain(self, target: Target) -> str:
        """Return no reason."""
        return ""


@dataclass(slots=True)
class TargetState:
    """One listed target and what this node has observed of it.

    `others_in_flight` estimates the requests of other nodes from the last load report;
    `estimate` does so for services whose targets report how long work takes.
    """

    record: TargetRecord
    in_flight: int = 0
    others_in_flight: int = 0
    reported_at_s: float = float("-inf")
    avoid_until_s: float = float("-inf")
    avoid_reason: str = ""
    missing_since_s: float | None = None
    durations: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_DURATIONS))
    measured_at_s: float = float("-inf")
    versions: dict[str, int] = field(default_factory=dict)
    health: TargetHealth = field(default_factory=TargetHealth)
    estimate: LoadEstimate = field(init=False)

    def __post_init__(self) -> None:
        is_engine = self.target.kind is TargetKind.ENGINE
        self.estimate = LoadEstimate(ENGINE_HOLD_S if is_engine else PLAIN_HOLD_S)

    @property
    def target(self) -> Target:
        """The target without its list data."""
        return self.record.target

    def median_duration(self) -> float | None:
        """Return the median of the last durations, or None if too old or too few."""
        is_old = _now_s() - self.measured_at_s > DURATIONS_TTL_S
        if is_old or len(self.durations) < MIN_DURATIONS:
            return None
        return statistics.median(self.durations)

    def find_version(self, model: str) -> int | None:
        """Return the newest version of a model observed on this target, or None."""
        known = [self.versions.get(model), self.record.versions.get(model)]
        seen = [version for version in known if version is not None]
        return max(seen, default=None)


class TargetRegistry:
    """The listed targets; `recovered_at_s` returns when the store last recovered.

    All times are those of the event loop's clock.
    """

    def __init__(
        self, timeline: Timeline, recovered_at_s: Callable[[], float], rng: Random
    ) -> None:
        self.rng = rng
        # Returns whether an idle connection to a target exists.
        self.is_connected: Callable[[Target], bool] = lambda target: False
        # Returns the model that an engine is assigned to, or "" when it is not known.
        self.find_assigned_model: Callable[[str], str] = lambda engine: ""
        # Returns whether the list shows every target as it is, but for short delays.
        self.is_list_current: Callable[[], bool] = lambda: True
        # Returns what the other nodes told of their requests, or None without any news.
        self.estimate_shared: Callable[[float], ExpectedLoads | None] = lambda now_s: (
            None
        )
        self.metrics = Metrics()
        # The name of this node.
        self.node = ""
        self._limits: LimitView = NoLimits()
        self._timeline = timeline
        self._recovered_at_s = recovered_at_s
        self._states: dict[str, TargetState] = {}
        self._listeners: list[Callable[[], None]] = []
        # When this node learned, other than by its row, that a target's start leaves.
        self._leaving: dict[tuple[str, int], float] = {}

    def set_limits(self, limits: LimitView) -> None:
        """Set what is known of the targets' rate limits."""
        self._limits = limits

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener when a target is added, updated or removed."""
        self._listeners.append(listener)

    def put(self, record: TargetRecord) -> None:
        """Add or update a listed target; discard the state of another incarnation."""
        name = record.target.name
        if (name, record.target.incarnation) in self._leaving:
            record = replace(record, is_leaving=True)
        state = self._states.get(name)
        if state is None or state.target.incarnation != record.target.incarnation:
            self._timeline.record(
                "target_listed",
                name,
                "the target is new in the list",
                service=record.target.service,
                software=record.target.software,
                leaving=record.is_leaving,
            )
            state = self._states[name] = TargetState(record)
        elif record.is_leaving and not state.record.is_leaving:
            self._timeline.record("target_leaving", name, "its row says so")
        state.record = record
        state.missing_since_s = None
        self._notify_listeners()

    def remove(self, name: str) -> None:
        """Remove a target that is no longer listed.

        Mark it as missing instead when the store recovered within RECOVERY_GRACE_S.
        """
        state = self._states.get(name)
        if state is None:
            return
        if _now_s() - self._recovered_at_s() < RECOVERY_GRACE_S:
            state.missing_since_s = _now_s()
            self._timeline.record(
                "target_missing",
                name,
                "the target may be listed again, as the store has just recovered",
            )
            return
        self._remove(name)

    def drop_missing(self) -> None:
        """Remove missing targets that were not listed again within RECOVERY_GRACE_S."""
        for name, state in list(self._states.items()):
            missing_s = state.missing_since_s
            if missing_s is not None and _now_s() - missing_s >= RECOVERY_GRACE_S:
                self._remove(name)

    def record_leaving(self, name: str, incarnation: int, reason: str) -> bool:
        """Record that a start of a target leaves, whatever its row says from now on.

        Return False if that was known.
        """
        key = name, incarnation
        if key in self._leaving:
            return False
        self._leaving[key] = _now_s()
        state = self._states.get(name)
        if state is not None and state.target.incarnation == incarnation:
            state.record = replace(state.record, is_leaving=True)
        self._timeline.record("target_leaving", name, reason, incarnation=incarnation)
        self._notify_listeners()
        return True

    def list_leaving(self) -> set[tuple[str, int]]:
        """Return the names and starts recorded as leaving, and forget old ones."""
        oldest_s = _now_s() - LEAVING_MEMORY_S
        self._leaving = {
            (name, incarnation): at_s
            for (name, incarnation), at_s in self._leaving.items()
            if at_s > oldest_s or name in self._states
        }
        return set(self._leaving)

    def get(self, name: str) -> TargetState | None:
        """Return the state of a target, or None when it is not listed."""
        return self._states.get(name)

    def list_available(self, service: str) -> list[TargetState]:
        """Return the targets of a service that may get new work."""
        staying = [
            state
            for state in self._states.values()
            if state.target.service == service and not state.record.is_leaving
        ]
        listed = [state for state in staying if state.missing_since_s is None]
        if listed:
            return listed
        # The list entries of a service expire together while the store is unreachable.
        oldest_s = _now_s() - MISSING_TARGET_USE_S
        return [
            state
            for state in staying
            if state.missing_since_s is not None and state.missing_since_s > oldest_s
        ]

    def list_all(self) -> list[Target]:
        """Return all targets, with the leaving and missing ones."""
        return [state.target for state in self._states.values()]

    def list_newest_by_address(self) -> dict[Address, Target]:
        """Return the listed target that started last at each address.

        The row of a target that crashed stays for a while, also when another one has
        started at its address.
        """
        newest: dict[Address, Target] = {}
        for target in self.list_all():
            other = newest.get(target.address)
            if other is None or other.incarnation < target.incarnation:
                newest[target.address] = target
        return newest

    def list_software(self) -> dict[str, set[str]]:
        """Return by service the software of its targets, with leaving and missing."""
        found: dict[str, set[str]] = {}
        for state in self._states.values():
            found.setdefault(state.target.service, set()).add(state.target.software)
        return found

    def has_software(self, service: str, software: str) -> bool:
        """Return whether a target of the service that may get work has the software."""
        available = self.list_available(service)
        return any(state.target.software == software for state in available)

    def is_limited(self, name: str) -> bool:
        """Return whether a target is listed and believed to have a rate limit."""
        state = self._states.get(name)
        return state is not None and self._limits.is_limited(state.target)

    def compute_limit_wait_s(self, service: str, kind: CallKind) -> float:
        """Return the seconds until the limits of a service's targets admit a call.

        Return 0.0 if some target may admit one now, or none is available.
        """
        waits_s = [
            self._limits.compute_wait_s(state.target, kind)
            for state in self.list_available(service)
        ]
        return min(waits_s, default=0.0)

    def plan_return_s(self, service: str, default_s: float) -> float:
        """Return in how many seconds a refused caller should come back.

        It is `default_s` unless the limits of all targets refuse the caller.
        """
        if self.compute_limit_wait_s(service, CallKind.REQUEST) == 0.0:
            return default_s
        return self._limits.plan_return_s(
            state.target for state in self.list_available(service)
        )

    def list_targets(self, services: Iterable[str]) -> list[TargetState]:
        """Return the targets of some services, with the leaving and missing ones."""
        wanted = set(services)
        return [s for s in self._states.values() if s.target.service in wanted]

    def avoid(self, name: str, reason: str, duration_s: float = AVOID_S) -> None:
        """Give a target no new work for `duration_s`, because it is busy."""
        state = self._states.get(name)
        if state is not None:
            state.avoid_until_s = max(state.avoid_until_s, _now_s() + duration_s)
            state.avoid_reason = reason

    def record_fault(self, name: str, reason: str) -> None:
        """Record that a target broke off an answer, gave none or was unreachable.

        The target is ejected for a while, unless it is ejected already.
        """
        state = self._states.get(name)
        if state is not None and state.health.record_fault(reason, _now_s()):
            health = state.health
            self._timeline.record(
                "target_out",
                name,
                reason,
                strikes=health.consecutive_faults,
                pause_ms=round(
                    (health.ejected_until_s - health.last_fault_at_s) * 1000
                ),
            )

    def record_not_run(self, name: str, error: NotRun, busy_s: float = AVOID_S) -> None:
        """Record why a target did not run a request.

        A busy target gets no new work for `busy_s`, and one that was unreachable or
        replaced counts as faulty. A denial by the target's rate limit says nothing
        about it.
        """
        if isinstance(error, TargetLimited):
            return
        if isinstance(error, TargetChanged) or type(error) is NotRun:
            self.record_fault(name, str(error))
        else:
            state = self._states.get(name)
            if state is not None:
                self.metrics.count(f"{state.target.kind}_calls_not_run")
                if not self.is_full(name):
                    # It may be loading weights.
                    self.metrics.count(f"{state.target.kind}_calls_not_run_while_free")
            self.avoid(name, str(error), busy_s)

    def is_full(self, name: str) -> bool:
        """Return whether all slots of a target are taken by what is known of it."""
        state = self._states.get(name)
        return (
            state is not None
            and state.estimate.others + state.in_flight >= state.target.concurrency
        )

    def is_on_probation(self, name: str) -> bool:
        """Return whether a target has not yet succeeded again after a fault."""
        state = self._states.get(name)
        return state is not None and not state.health.is_healthy(_now_s())

    def record_success(self, name: str) -> None:
        """Record that a target answered correctly, and end its probation."""
        state = self._states.get(name)
        if state is not None and state.health.consecutive_faults:
            state.health.record_success()
            self._timeline.record("target_sound", name, "the target answers again")

    def record_load(self, target: Target, load: TargetLoad, has_ended: bool) -> None:
        """Record the load that a response of a target reports.

        `has_ended` tells that the response is that of a call in flight which it ends.
        """
        state = self._states.get(target.name)
        if state is None or state.target.incarnation != target.incarnation:
            return
        own = state.in_flight - has_ended
        now_s = _now_s()
        total = None
        if load.running is not None or load.waiting is not None:
            total = (load.running or 0) + (load.waiting or 0)
            # A figure beyond what a target can queue must not keep work away for long.
            total = min(total, MAX_REPORTED_FACTOR * state.target.concurrency)
            self._count_report(state, total - own, now_s)
            state.others_in_flight = max(0, total - own)
            state.reported_at_s = now_s
        state.estimate.record(LoadReport(now_s, total, load.slowdown), own)

    def record_queue(self, name: str) -> None:
        """Record that a run is queued at an engine, so its whole capacity is in use."""
        state = self._states.get(name)
        if state is not None:
            taken = state.target.concurrency - state.in_flight
            state.others_in_flight = max(state.others_in_flight, taken)
            state.reported_at_s = _now_s()
            report = LoadReport(_now_s(), state.target.concurrency)
            state.estimate.record(report, state.in_flight)

    def record_duration(self, name: str, duration: float) -> None:
        """Record how long a request or an event took at a target.

        `duration` is in seconds per event for an engine. For any other target it is the
        time of a request divided by the target latency of its route.
        """
        state = self._states.get(name)
        if state is not None:
            state.durations.append(duration)
            state.measured_at_s = _now_s()

    def record_min_duration(self, name: str, duration: float) -> None:
        """Record how long a request took until it was stopped early.

        It is ignored unless it exceeds the median, since it is only a lower bound.
        """
        state = self._states.get(name)
        if state is not None and duration > (state.median_duration() or 0.0):
            self.record_duration(name, duration)

    def record_version(self, name: str, model: str, version: int) -> None:
        """Record a weight version that a target has loaded; ignore an older one."""
        state = self._states.get(name)
        if state is not None:
            known = state.versions.get(model, 0)
            state.versions[model] = max(known, version)

    def list_candidates(
        self,
        service: str,
        excluded: frozenset[str],
        kind: CallKind = CallKind.REQUEST,
    ) -> list[Candidate]:
        """Return the targets of a service as candidates for the router."""
        states = self.list_available(service)
        fastest = _find_fastest(states)
        now_s = _now_s()
        healthy_share = compute_healthy_share([state.health for state in states], now_s)
        expected = self._expect_others(states, now_s)
        usual_slowdown = compute_usual_slowdown(state.estimate for state in states)
        if expected is not None:
            # The router compares the first connected target with the random ones, which
            # must not be the same one at all nodes.
            ranked = rank_owners([s.target.name for s in states], self.node)
            position = {name: index for index, name in enumerate(ranked)}
            states.sort(key=lambda state: position[state.target.name])
        return [
            Candidate(
                target=state.target,
                own_in_flight=state.in_flight,
                others_in_flight=round(_decay_load(state, now_s))
                if expected is None
                else state.estimate.estimate_others(now_s, expected[state.target.name]),
                share=state.target.concurrency,
                ruled_out=_explain_exclusion(state, healthy_share, now_s)
                or self._explain_limit(state.target, kind),
                slowness=_compute_slowness(state.median_duration(), fastest)
                if expected is None
                else _estimate_slowness(state, fastest, usual_slowdown, now_s),
                is_connected=self.is_connected(state.target),
            )
            for state in states
            if state.target.name not in excluded
        ]

    def list_isolatable(
        self, service: str, tried: frozenset[str], software: str | None = None
    ) -> tuple[tuple[str, ...], str]:
        """Return targets that may run a suspect request, least loaded first.

        With `software`, only targets with this version of their software are returned.

        Return none, and the reason, while all other targets of the service are out: the
        request might crash the last one.
        """
        usable = [
            candidate
            for candidate in self.list_candidates(service, frozenset())
            if not candidate.ruled_out
        ]
        if len(usable) < 2 and len(self.list_available(service)) > 1:
            return (), f"only {len(usable)} targets are left for a suspect request"
        usable.sort(key=lambda candidate: candidate.load)
        names = [
            candidate.target.name
            for candidate in usable
            if software in (None, candidate.target.software)
        ]
        return tuple(name for name in names if name not in tried), ""

    def choose(
        self,
        service: str,
        data_centre: str,
        tried: frozenset[str],
        kind: CallKind = CallKind.REQUEST,
        *,
        needs_capacity: bool = False,
        software: str | None = None,
    ) -> tuple[TargetState | None, str]:
        """Return a target for a plain request, or None, and the reason.

        With `software`, only targets with this version of their software are chosen.
        When all targets are full, choose the least loaded one, because targets queue a
        few requests themselves; with `needs_capacity`, choose none.
        """
        candidates = self.list_candidates(service, tried, kind)
        requirements = TargetRequirements(
            service, data_centre=data_centre, software=software
        )
        decision = route(candidates, requirements, self.rng)
        if decision.target is not None:
            return self._states.get(decision.target.name), decision.reason
        if needs_capacity or not decision.is_full:
            return None, decision.reason
        allowed = [
            candidate
            for candidate in candidates
            if not candidate.ruled_out and software in (None, candidate.target.software)
        ]
        least_loaded = min(allowed, key=lambda c: c.load)
        return self._states.get(least_loaded.target.name), decision.reason

    def list_engine_candidates(self, service: str, model: str) -> list[EngineCandidate]:
        """Return the engines of a service that may get new work now, for an item.

        The version of a candidate is that of the given model.
        """
        states = self.list_available(service)
        fastest = _find_fastest(states)
        now_s = _now_s()
        healthy_share = compute_healthy_share([state.health for state in states], now_s)
        expected = self._expect_others(states, now_s)
        usual_slowdown = compute_usual_slowdown(state.estimate for state in states)
        return [
            EngineCandidate(
                name=state.target.name,
                # On probation, a single run shows whether the engine works again.
                concurrency=state.target.concurrency
                if state.health.is_healthy(now_s)
                else 1,
                in_use=state.in_flight
                + round(
                    _decay_load(state, now_s)
                    if expected is None
                    else state.estimate.estimate_others(
                        now_s, expected[state.target.name]
                    )
                ),
                version=state.find_version(model),
                slowness=_compute_slowness(state.median_duration(), fastest)
                if expected is None
                else _estimate_usual_slowness(state, fastest, usual_slowdown, now_s),
                is_connected=self.is_connected(state.target),
                serves_other_model=self.find_assigned_model(state.target.name)
                not in ("", model),
                limit_per_s=self._limits.find_limit(state.target),
                software=state.target.software,
            )
            for state in states
            if not _explain_exclusion(state, healthy_share, now_s)
            and not self._explain_limit(state.target, CallKind.ITEM)
        ]

    def median_event_s(self, name: str) -> float | None:
        """Return the median seconds per event of one engine, or None."""
        state = self._states.get(name)
        return None if state is None else state.median_duration()

    def fastest_event_s(self, service: str) -> float | None:
        """Return the median seconds per event of the fastest engine, or None."""
        return _find_fastest(self.list_available(service))

    def list_own_loads(self) -> dict[str, int]:
        """Return this node's requests in flight at engines that report a slowdown.

        The keys are those of SharedLoads.
        """
        return {
            build_key(state.target): state.in_flight
            for state in self._states.values()
            if state.in_flight
            and state.target.kind is TargetKind.ENGINE
            and state.estimate.reports_slowdown
        }

    def _count_report(self, state: TargetState, others: int, now_s: float) -> None:
        """Count a report, its distance from the one before, and a wrong estimate."""
        self.metrics.count("load_reports")
        if not state.estimate.has_report:
            return
        self.metrics.observe_s("load_report_gap", now_s - state.estimate.others_at_s)
        states = self.list_available(state.target.service)
        expected = self._expect_others(states, now_s)
        if expected is None or state.target.name not in expected:
            return
        estimated = state.estimate.estimate_others(now_s, expected[state.target.name])
        if abs(estimated - others) > WRONG_SHARE * state.target.concurrency:
            self.metrics.count("load_estimates_wrong")

    def _expect_others(
        self, states: list[TargetState], now_s: float
    ) -> dict[str, float] | None:
        """Return by target the requests expected of other nodes without a report.

        Return None for a service whose targets do not report how long work takes.
        """
        estimates = [state.estimate for state in states]
        if not any(estimate.reports_slowdown for estimate in estimates):
            return None
        usual = compute_usual_others(estimates)
        told = self.estimate_shared(now_s)
        expected = {}
        for state in states:
            target = state.target
            if told is not None and target.kind is TargetKind.ENGINE:
                expected[target.name] = told.find(target)
            else:
                # A target counts as full by a report only, and only for a short time.
                mean = state.estimate.expect_others(now_s, usual)
                expected[target.name] = min(
                    mean, MAX_EXPECTED_SHARE * target.concurrency
                )
        return expected

    def _explain_limit(self, target: Target, kind: CallKind) -> str:
        """Return why the target's rate limit admits no call now, or ""."""
        if self._limits.compute_wait_s(target, kind) > 0.0:
            return self._limits.explain(target)
        return ""

    def _remove(self, name: str) -> None:
        del self._states[name]
        self._timeline.record("target_gone", name, "the target is no longer listed")
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()


def _explain_exclusion(state: TargetState, healthy_share: float, now_s: float) -> str:
    """Return why a target gets no new work now, or "" when it may get some."""
    if state.avoid_until_s > now_s:
        return state.avoid_reason
    if state.health.is_ejected(healthy_share, now_s):
        return state.health.reason
    if not state.health.is_healthy(now_s) and state.in_flight:
        return "a probation request is still in flight"
    return ""


def _decay_load(state: TargetState, now_s: float) -> float:
    age_s = now_s - state.reported_at_s
    is_engine = state.target.kind is TargetKind.ENGINE
    decay_s = ENGINE_REPORT_DECAY_S if is_engine else REPORT_DECAY_S
    return state.others_in_flight * max(0.0, 1.0 - age_s / decay_s)


def _find_fastest(states: Iterable[TargetState]) -> float | None:
    known = (state.median_duration() for state in states)
    return min(
        (duration for duration in known if duration is not None),
        default=None,
    )


def _compute_slowness(median_duration: float | None, fastest: float | None) -> float:
    if median_duration is None or not fastest:
        return 1.0
    return min(MAX_SLOWNESS, max(1.0, median_duration / fastest))


def _estimate_usual_slowness(
    state: TargetState, fastest: float | None, usual_slowdown: float, now_s: float
) -> float:
    """Return the time of work on a target relative to the fastest one.

    It is measured if this node has sent enough there lately, else as reported, or the
    usual one of the service.
    """
    measured = state.median_duration()
    if measured is not None:
        return _compute_slowness(measured, fastest)
    return min(
        MAX_SLOWNESS, max(1.0, state.estimate.expect_slowdown(now_s, usual_slowdown))
    )


def _estimate_slowness(
    state: TargetState, fastest: float | None, usual_slowdown: float, now_s: float
) -> float:
    """Return the time of work on a target at this moment, relative to the fastest."""
    usual = _estimate_usual_slowness(state, fastest, usual_slowdown, now_s)
    return min(MAX_SLOWNESS, usual * state.estimate.compare_slowdown(now_s))


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = [
    "AVOID_S",
    "RECOVERY_GRACE_S",
    "LimitView",
    "TargetRegistry",
    "TargetState",
]
