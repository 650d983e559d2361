"""The targets as this node sees them: listed, in use, slow or to be avoided."""

from __future__ import annotations

import asyncio
import statistics
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from tamarackshelf.contracts.targets import TargetLoad, TargetRecord
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.ejection import TargetHealth, compute_healthy_share
from tamarackshelf.policy.item_placement import EngineCandidate
from tamarackshelf.policy.routing import Candidate, TargetRequirements, route
from tamarackshelf.world import Target, TargetKind

# A target that refused or failed gets no new work for as long.
AVOID_S = 0.3
# A load report counts less and less until it is this old.
REPORT_FADES_S = 1.0
# Texts take seconds, so what others run at an engine is still there a little later.
ENGINE_REPORT_FADES_S = 2.0
# The median of the last durations passes over single pauses.
DURATIONS_KEPT = 7
DURATIONS_NEEDED = 3
# A target without work for as long may have changed its speed.
SPEED_FADES_S = 3.0
SLOWEST = 8.0
# An entry that vanished while the store was away may be back this long after.
RETURN_GRACE_S = 2.2
# Until then it gets work only when all others of its service are missing too, and no
# longer than this: it may also have left, and then new work may reach it for two
# seconds at most.
MISSING_USE_S = 1.4


@dataclass(slots=True)
class TargetState:
    """One listed target and what this node learnt of it."""

    record: TargetRecord
    in_flight: int = 0
    others_in_flight: int = 0
    reported_at_s: float = float("-inf")
    avoid_until_s: float = float("-inf")
    avoid_reason: str = ""
    missing_since_s: float | None = None
    durations: deque[float] = field(
        default_factory=lambda: deque(maxlen=DURATIONS_KEPT)
    )
    measured_at_s: float = float("-inf")
    versions: dict[str, int] = field(default_factory=dict)
    health: TargetHealth = field(default_factory=TargetHealth)

    @property
    def target(self) -> Target:
        """Returns the target itself."""
        return self.record.target

    def median_duration(self) -> float | None:
        """Returns the median of the last durations while they are recent."""
        is_old = _now_s() - self.measured_at_s > SPEED_FADES_S
        if is_old or len(self.durations) < DURATIONS_NEEDED:
            return None
        return statistics.median(self.durations)

    def find_version(self, model: str) -> int | None:
        """Returns the newest version of a model that was seen here."""
        known = [self.versions.get(model), self.record.versions.get(model)]
        seen = [version for version in known if version is not None]
        return max(seen, default=None)


class TargetRegistry:
    """Holds the targets; `recovered_at_s` tells when the store last came back."""

    def __init__(
        self, timeline: Timeline, recovered_at_s: Callable[[], float], rng: Random
    ) -> None:
        self.rng = rng
        # Tells whether an idle connection to a target is there.
        self.is_connected: Callable[[Target], bool] = lambda target: False
        # Returns the model that an engine follows, or nothing when it is not known.
        self.find_assigned_model: Callable[[str], str] = lambda engine: ""
        self._timeline = timeline
        self._recovered_at_s = recovered_at_s
        self._states: dict[str, TargetState] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls the listener when a target came, left or changed."""
        self._listeners.append(listener)

    def put(self, record: TargetRecord) -> None:
        """Takes a listed target; another incarnation starts with nothing known."""
        name = record.target.name
        state = self._states.get(name)
        if state is None or state.target.incarnation != record.target.incarnation:
            self._timeline.record(
                "target_listed",
                name,
                "it is new in the list",
                service=record.target.service,
                leaving=record.is_leaving,
            )
            state = self._states[name] = TargetState(record)
        elif record.is_leaving and not state.record.is_leaving:
            self._timeline.record("target_leaving", name, "it says so")
        state.record = record
        state.missing_since_s = None
        self._notify()

    def remove(self, name: str) -> None:
        """Takes that a target is listed no more."""
        state = self._states.get(name)
        if state is None:
            return
        if _now_s() - self._recovered_at_s() < RETURN_GRACE_S:
            state.missing_since_s = _now_s()
            self._timeline.record(
                "target_missing", name, "it may come back as the store has returned"
            )
            return
        self._drop(name)

    def drop_missing(self) -> None:
        """Drops targets that did not come back after the store's return."""
        for name, state in list(self._states.items()):
            missing_s = state.missing_since_s
            if missing_s is not None and _now_s() - missing_s >= RETURN_GRACE_S:
                self._drop(name)

    def get(self, name: str) -> TargetState | None:
        """Returns one target."""
        return self._states.get(name)

    def list_available(self, service: str) -> list[TargetState]:
        """Returns the targets of a service that may get new work."""
        staying = [
            state
            for state in self._states.values()
            if state.target.service == service and not state.record.is_leaving
        ]
        listed = [state for state in staying if state.missing_since_s is None]
        if listed:
            return listed
        # All entries of a service vanish together when they lapse with the store.
        soon_s = _now_s() - MISSING_USE_S
        return [
            state
            for state in staying
            if state.missing_since_s is not None and state.missing_since_s > soon_s
        ]

    def list_targets(self, services: Iterable[str]) -> list[TargetState]:
        """Returns the listed targets of some services, leaving ones too."""
        wanted = set(services)
        return [s for s in self._states.values() if s.target.service in wanted]

    def avoid(self, name: str, reason: str, duration_s: float = AVOID_S) -> None:
        """Gives a target that has no room no new work for a while."""
        state = self._states.get(name)
        if state is not None:
            state.avoid_until_s = max(state.avoid_until_s, _now_s() + duration_s)
            state.avoid_reason = reason

    def note_fault(self, name: str, reason: str) -> None:
        """Takes that a target broke off, stayed silent or was not there."""
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

    def is_on_probation(self, name: str) -> bool:
        """Tells whether a target has yet to show that it works again."""
        state = self._states.get(name)
        return state is not None and not state.health.is_healthy(_now_s())

    def note_success(self, name: str) -> None:
        """Takes that a target answered as it should."""
        state = self._states.get(name)
        if state is not None and state.health.consecutive_faults:
            state.health.record_success()
            self._timeline.record("target_sound", name, "it answers again")

    def note_load(self, name: str, load: TargetLoad | None) -> None:
        """Takes the load that a target reported."""
        state = self._states.get(name)
        if state is not None and load is not None:
            state.others_in_flight = max(
                0, load.running + load.waiting - state.in_flight
            )
            state.reported_at_s = _now_s()

    def note_queue(self, name: str) -> None:
        """Takes that a run waits at an engine, so all its places are taken."""
        state = self._states.get(name)
        if state is not None:
            taken = state.target.concurrency - state.in_flight
            state.others_in_flight = max(state.others_in_flight, taken)
            state.reported_at_s = _now_s()

    def note_duration(self, name: str, duration: float) -> None:
        """Takes how long a request or an event took at a target.

        Engines are compared by the seconds of an event, other targets by the time of
        a request in times of what its route aims at.
        """
        state = self._states.get(name)
        if state is not None:
            state.durations.append(duration)
            state.measured_at_s = _now_s()

    def note_min_duration(self, name: str, duration: float) -> None:
        """Takes that a request stopped early had already taken this long."""
        state = self._states.get(name)
        if state is not None and duration > (state.median_duration() or 0.0):
            self.note_duration(name, duration)

    def note_version(self, name: str, model: str, version: int) -> None:
        """Takes the version under which a target made an event."""
        state = self._states.get(name)
        if state is not None:
            known = state.versions.get(model, 0)
            state.versions[model] = max(known, version)

    def list_candidates(
        self, service: str, excluded: frozenset[str]
    ) -> list[Candidate]:
        """Returns the targets of a service for the router."""
        states = self.list_available(service)
        fastest = _find_fastest(states)
        now_s = _now_s()
        sound = compute_healthy_share([state.health for state in states], now_s)
        return [
            Candidate(
                target=state.target,
                own_in_flight=state.in_flight,
                others_in_flight=round(_fade(state, now_s)),
                share=state.target.concurrency,
                ruled_out=_rule_out(state, sound, now_s),
                slowness=_compare(state.median_duration(), fastest),
                is_connected=self.is_connected(state.target),
            )
            for state in states
            if state.target.name not in excluded
        ]

    def choose(
        self,
        service: str,
        data_centre: str,
        tried: frozenset[str],
        *,
        needs_room: bool = False,
    ) -> tuple[TargetState | None, str]:
        """Returns a target for a plain request, or None, and the reason.

        When all are full the least loaded one is taken, unless the request needs
        room: targets queue a few requests themselves.
        """
        candidates = self.list_candidates(service, tried)
        choice = route(
            candidates, TargetRequirements(service, data_centre=data_centre), self.rng
        )
        if choice.target is not None:
            return self._states.get(choice.target.name), choice.reason
        if needs_room or not choice.is_full:
            return None, choice.reason
        allowed = [c for c in candidates if not c.ruled_out]
        least = min(allowed, key=lambda c: c.load)
        return self._states.get(least.target.name), choice.reason

    def list_engine_places(self, service: str, model: str) -> list[EngineCandidate]:
        """Returns the engines of a service that may take an item now."""
        states = self.list_available(service)
        fastest = _find_fastest(states)
        now_s = _now_s()
        sound = compute_healthy_share([state.health for state in states], now_s)
        return [
            EngineCandidate(
                name=state.target.name,
                # One run tells whether the engine is back.
                concurrency=state.target.concurrency
                if state.health.is_healthy(now_s)
                else 1,
                in_use=state.in_flight + round(_fade(state, now_s)),
                version=state.find_version(model),
                slowness=_compare(state.median_duration(), fastest),
                is_connected=self.is_connected(state.target),
                serves_other_model=self.find_assigned_model(state.target.name)
                not in ("", model),
            )
            for state in states
            if not _rule_out(state, sound, now_s)
        ]

    def median_event_s(self, name: str) -> float | None:
        """Returns the usual time of an event at one engine."""
        state = self._states.get(name)
        return None if state is None else state.median_duration()

    def fastest_event_s(self, service: str) -> float | None:
        """Returns the usual time of an event at the fastest engine of a service."""
        return _find_fastest(self.list_available(service))

    def _drop(self, name: str) -> None:
        del self._states[name]
        self._timeline.record("target_gone", name, "it is listed no more")
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _rule_out(state: TargetState, sound_share: float, now_s: float) -> str:
    """Returns why a target gets nothing now, or nothing."""
    if state.avoid_until_s > now_s:
        return state.avoid_reason
    if state.health.is_ejected(sound_share, now_s):
        return state.health.reason
    if not state.health.is_healthy(now_s) and state.in_flight:
        return "a trial request is still there"
    return ""


def _fade(state: TargetState, now_s: float) -> float:
    age_s = now_s - state.reported_at_s
    is_engine = state.target.kind is TargetKind.ENGINE
    fades_s = ENGINE_REPORT_FADES_S if is_engine else REPORT_FADES_S
    return state.others_in_flight * max(0.0, 1.0 - age_s / fades_s)


def _find_fastest(states: Iterable[TargetState]) -> float | None:
    known = (state.median_duration() for state in states)
    return min(
        (median_duration for median_duration in known if median_duration is not None),
        default=None,
    )


def _compare(median_duration: float | None, fastest: float | None) -> float:
    if median_duration is None or not fastest:
        return 1.0
    return min(SLOWEST, max(1.0, median_duration / fastest))


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["AVOID_S", "TargetRegistry", "TargetState"]
