"""The rate limits that targets name, and the admission of calls under them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackshelf.contracts.targets import CallKind, NamedLimit, TargetLimited
from tamarackshelf.net import HttpClient
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.permits import (
    ARBITER_RETRY_S,
    PermitAnswer,
    PermitArbiter,
    PermitRequest,
    request_permit,
)
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.rate_limit import (
    CAUTIOUS_PER_S,
    MIN_PER_S,
    Claimant,
    LimitBelief,
    merge_beliefs,
    observe_limit,
)
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.world import Target

LIMIT_PREFIX = "limit:"
# The calls to a target with a limit are logged as one line of counts per interval.
USAGE_INTERVAL_S = 4.0
# A higher limit counts only once the target has named it for this long: the one that a
# target named first may be meant to hold until it names none.
RAISE_HOLD_S = 30.0
# How long a call may wait for its permit. Items and score calls wait for less than the
# time after which they count as late at their target; orders come before both.
MAX_WAIT_S = {
    CallKind.REQUEST: 0.05,
    CallKind.ITEM: 0.2,
    CallKind.SCORE: 0.2,
    CallKind.ORDER: 0.5,
    CallKind.REPORT: 0.5,
}
# A permit that reaches its caller later was held up, as by a freeze of the process.
MAX_PERMIT_AGE_S = 1.0


@dataclass(slots=True)
class _LimitedTarget:
    """What this node knows of a target's limit and has sent to it.

    Times are those of the event loop's clock: when the belief changed and when it was
    last confirmed. Until `blocked_until_s` a claimant gets no permit; a caller that is
    refused now should come back at `return_s`.
    """

    belief: LimitBelief
    changed_at_s: float
    confirmed_at_s: float
    usage_since_s: float
    usage: Counter[str] = field(default_factory=Counter)
    blocked_until_s: dict[Claimant, float] = field(default_factory=dict)
    return_s: dict[Claimant, float] = field(default_factory=dict)
    reason: str = ""
    # Since when the target has named a higher limit than the believed one.
    raised_since_s: float | None = None

    @property
    def has_limit(self) -> bool:
        """Whether the target has a limit now."""
        return self.belief.per_s is not None

    def must_keep(self, newer: LimitBelief, sent_at_s: float, now_s: float) -> bool:
        """Return whether a response does not yet end or raise the believed limit.

        It may be older than the belief if its call was sent before; a higher limit must
        have been named for RAISE_HOLD_S.
        """
        known_per_s = self.belief.per_s
        if known_per_s is None:
            return False
        is_raise = newer.per_s is not None and newer.per_s > known_per_s
        if newer.per_s is not None and not is_raise:
            return False
        if sent_at_s < self.changed_at_s:
            return True
        if not is_raise:
            return False
        if self.raised_since_s is None:
            self.raised_since_s = now_s
        return now_s - self.raised_since_s < RAISE_HOLD_S


class TargetLimits:
    """The CallGate of a node; beliefs spread to the other nodes by gossip.

    A belief holds until a response of the same incarnation says otherwise. It does not
    expire: a target with a limit still gets calls, and their responses tell.
    """

    def __init__(self, http: HttpClient, timeline: Timeline, metrics: Metrics) -> None:
        self._http = http
        self._timeline = timeline
        self._metrics = metrics
        self._targets: dict[str, _LimitedTarget] = {}
        self._fleet: Fleet | None = None
        self._arbiter: PermitArbiter | None = None

    def connect(self, fleet: Fleet) -> None:
        """Start to exchange beliefs and permits with the other nodes."""
        self._fleet = fleet
        self._arbiter = PermitArbiter(fleet, _now_s, self._list_limits)
        fleet.gossip.on_rumour(LIMIT_PREFIX, self._receive_rumour)

    def retain(self, targets: Iterable[Target]) -> None:
        """Forget all targets but these, here and in the gossip of this node."""
        subjects = {_to_subject(target) for target in targets}
        for subject in self._targets.keys() - subjects:
            self._forget(subject)
        if self._fleet is not None:
            rumours = self._fleet.gossip.membership.rumours
            rumours.discard(
                lambda name: (
                    name.startswith(LIMIT_PREFIX)
                    and name.removeprefix(LIMIT_PREFIX) not in subjects
                )
            )

    def is_limited(self, target: Target) -> bool:
        """Return whether the target is believed to have a limit."""
        limited = self._targets.get(_to_subject(target))
        return limited is not None and limited.has_limit

    def find_limit(self, target: Target) -> float | None:
        """Return the calls per second that the target takes, None without a limit."""
        limited = self._targets.get(_to_subject(target))
        return None if limited is None else limited.belief.per_s

    def compute_wait_s(self, target: Target, kind: CallKind) -> float:
        """Return the seconds until a call may get a permit; 0.0 if it may now."""
        limited = self._targets.get(_to_subject(target))
        if limited is None or not limited.has_limit:
            return 0.0
        blocked_until_s = limited.blocked_until_s.get(_to_claimant(kind), 0.0)
        return max(0.0, blocked_until_s - _now_s())

    def plan_return_s(self, targets: Iterable[Target]) -> float:
        """Return in how many seconds a refused caller should come back.

        Callers that are refused after each other get later times, as one target admits
        one after the other.
        """
        claimant = Claimant.CALLERS
        known = [self._targets.get(_to_subject(target)) for target in targets]
        limited = [each for each in known if each is not None and each.has_limit]
        now_s = _now_s()
        best = min(limited, key=lambda t: t.return_s.get(claimant, 0.0), default=None)
        if best is None:
            return 0.0
        return_s = max(now_s, best.return_s.get(claimant, 0.0))
        per_s = max(MIN_PER_S, best.belief.per_s or 0.0)
        best.return_s[claimant] = return_s + 1.0 / per_s
        return return_s - now_s

    def explain(self, target: Target) -> str:
        """Return the target's limit, its age and why the last permit was denied."""
        limited = self._targets.get(_to_subject(target))
        if limited is None or limited.belief.per_s is None:
            return ""
        age_ms = round((_now_s() - limited.confirmed_at_s) * 1000)
        return (
            f"it named a limit of {limited.belief.per_s:g}/s {age_ms} ms ago "
            f"(revision {limited.belief.revision}); {limited.reason}"
        )

    async def admit(self, target: Target, kind: CallKind) -> float:
        """Return the time when a call may be sent, or raise TargetLimited."""
        self._metrics.count(f"target_calls_{kind}")
        subject = _to_subject(target)
        limited = self._targets.get(subject)
        if limited is None or not limited.has_limit:
            return _now_s()
        wait_s = self.compute_wait_s(target, kind)
        if wait_s == 0.0:
            wait_s = await self._ask(target, kind, limited)
        if wait_s > 0.0 and limited.has_limit:
            self._metrics.count(f"target_calls_denied_{kind}")
            limited.usage["denied"] += 1
            raise TargetLimited(f"{target.name}: {self.explain(target)}", wait_s)
        limited.usage[f"{kind}s"] += 1
        if _now_s() - limited.usage_since_s >= USAGE_INTERVAL_S:
            self._log_usage(subject, limited)
        return _now_s()

    def answer_permit_request(self, request: PermitRequest) -> PermitAnswer:
        """Decide as the arbiter on a call of this or another node."""
        self._merge(request.subject, request.belief, "a node that asks for a permit")
        limited = self._targets.get(request.subject)
        if self._arbiter is None or limited is None:
            return PermitAnswer(
                False, "this node is starting", ARBITER_RETRY_S, ARBITER_RETRY_S
            )
        per_s = limited.belief.per_s
        if per_s is None:
            return PermitAnswer(True, "the target names no limit any more")
        return self._arbiter.grant(request, per_s)

    def record_response(
        self, target: Target, limit: NamedLimit | None, sent_at_s: float
    ) -> None:
        """Record the limit that a response of the target names, or None without one.

        The response to a call that was sent before the present belief may be older than
        it, so it does not raise or end the limit.
        """
        subject = _to_subject(target)
        known = self._targets.get(subject)
        per_s = None if limit is None else limit.per_s
        if limit is not None and per_s is None:
            per_s = CAUTIOUS_PER_S
            if known is not None and known.has_limit:
                per_s = known.belief.per_s
        belief = observe_limit(None if known is None else known.belief, per_s)
        if known is not None:
            if belief is None:
                known.raised_since_s, known.confirmed_at_s = None, _now_s()
            elif known.must_keep(belief, sent_at_s, _now_s()):
                return
        if belief is None:
            return
        text = "" if limit is None else limit.text
        self._set_belief(subject, belief, "a response of the target", text)
        self._publish(subject, belief)

    async def _ask(
        self, target: Target, kind: CallKind, limited: _LimitedTarget
    ) -> float:
        """Ask the arbiter for a permit and wait until it holds.

        Return 0.0 then, or the seconds after which the node may ask again.
        """
        claimant = _to_claimant(kind)
        request = PermitRequest(
            _to_subject(target), limited.belief, claimant, MAX_WAIT_S[kind]
        )
        asked_s = _now_s()
        answer = await self._request(request)
        if answer.is_granted:
            await asyncio.sleep(answer.wait_s)
            if _now_s() - asked_s <= MAX_PERMIT_AGE_S:
                return 0.0
            limited.reason = "the permit came too late to be used"
            return ARBITER_RETRY_S
        now_s = _now_s()
        limited.blocked_until_s[claimant] = now_s + answer.wait_s
        limited.return_s[claimant] = now_s + answer.return_s
        limited.reason = answer.reason
        return answer.wait_s

    async def _request(self, request: PermitRequest) -> PermitAnswer:
        arbiter = self._arbiter
        record = None if arbiter is None else arbiter.find_arbiter(request.subject)
        if self._fleet is None or record is None:
            return PermitAnswer(
                False, "no live node is known", ARBITER_RETRY_S, ARBITER_RETRY_S
            )
        if record.vm == self._fleet.own.vm:
            return self.answer_permit_request(request)
        return await request_permit(self._http, record, request)

    def _receive_rumour(self, rumour: Rumour) -> None:
        try:
            per_s = float(rumour.value) if rumour.value else None
        except ValueError:
            self._timeline.record("rumour_unreadable", rumour.subject, rumour.value)
            return
        subject = rumour.subject.removeprefix(LIMIT_PREFIX)
        self._merge(subject, LimitBelief(rumour.version, per_s), "gossip")

    def _merge(self, subject: str, other: LimitBelief, source: str) -> None:
        known = self._targets.get(subject)
        belief = merge_beliefs(None if known is None else known.belief, other)
        if belief is not None:
            self._set_belief(subject, belief, source)
            self._publish(subject, belief)

    def _publish(self, subject: str, belief: LimitBelief) -> None:
        if self._fleet is not None:
            value = "" if belief.per_s is None else repr(belief.per_s)
            self._fleet.gossip.publish(
                Rumour(f"{LIMIT_PREFIX}{subject}", belief.revision, value)
            )

    def _set_belief(
        self, subject: str, belief: LimitBelief, source: str, text: str = ""
    ) -> None:
        now_s = _now_s()
        known = self._targets.get(subject)
        was = None if known is None else known.belief.per_s
        if known is None:
            self._targets[subject] = _LimitedTarget(belief, now_s, now_s, now_s)
        else:
            known.belief, known.raised_since_s = belief, None
            known.changed_at_s = known.confirmed_at_s = now_s
            known.blocked_until_s.clear()
        if self._arbiter is not None:
            self._arbiter.update_roles()
        self._timeline.record(
            "target_limit_gone" if belief.per_s is None else "target_limit_named",
            subject.partition("/")[0],
            f"learnt from {source}",
            limit="" if belief.per_s is None else belief.per_s,
            text=text,
            was="" if was is None else was,
            revision=belief.revision,
        )

    def _forget(self, subject: str) -> None:
        self._log_usage(subject, self._targets.pop(subject))
        if self._arbiter is not None:
            self._arbiter.update_roles()

    def _list_limits(self) -> dict[str, float]:
        return {
            subject: target.belief.per_s
            for subject, target in self._targets.items()
            if target.belief.per_s is not None
        }

    def _log_usage(self, subject: str, limited: _LimitedTarget) -> None:
        now_s = _now_s()
        self._timeline.record(
            "limited_target_used",
            subject.partition("/")[0],
            "calls of this node to a target with a limit",
            limit=limited.belief.per_s,
            limit_age_ms=round((now_s - limited.confirmed_at_s) * 1000),
            over_ms=round((now_s - limited.usage_since_s) * 1000),
            **limited.usage,
        )
        limited.usage.clear()
        limited.usage_since_s = now_s


def _to_subject(target: Target) -> str:
    return f"{target.name}/{target.incarnation}"


def _to_claimant(kind: CallKind) -> Claimant:
    return Claimant.CALLERS if kind is CallKind.REQUEST else Claimant.JOBS


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["TargetLimits"]
