"""Permits for calls to targets with a rate limit, granted by one node per target."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.policy.rate_limit import (
    COUNT_WINDOW_S,
    Allowance,
    Claimant,
    LimitBelief,
    compute_limit_share,
)
from tamarackshelf.store.fleet_rows import NodeRecord

PERMIT_PATH = "/permits"
# Added to the time for which a call may wait. A live peer answers within milliseconds;
# one that does not may be frozen.
PERMIT_TIMEOUT_S = 0.1
# After this time a node asks again when the arbiter gave no usable answer.
ARBITER_RETRY_S = 0.25


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A node's request to send one call, with its own belief of the target's limit.

    `subject` names the target and its incarnation.
    """

    subject: str
    belief: LimitBelief
    claimant: Claimant
    max_wait_s: float


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """The arbiter's decision; `reason` explains it. Times are as in Permit."""

    is_granted: bool
    reason: str
    wait_s: float = 0.0
    return_s: float = 0.0


class PermitArbiter:
    """Grants the permits of the targets for which this node is the arbiter.

    The arbiter of a target follows from the live nodes, so no lease is needed: while
    nodes disagree on who lives, a node that was not the arbiter before starts without
    an allowance. `list_limits` returns the limits by subject. Times are those of the
    event loop's clock.
    """

    def __init__(
        self,
        fleet: Fleet,
        now_s: Callable[[], float],
        list_limits: Callable[[], Mapping[str, float]],
    ) -> None:
        self._fleet = fleet
        self._now_s = now_s
        self._list_limits = list_limits
        self._allowances: dict[str, Allowance] = {}
        fleet.gossip.on_change(self.update_roles)

    def find_arbiter(self, subject: str) -> NodeRecord | None:
        """Return the node that grants the permits of a target, or None without any."""
        by_name = {record.vm: record for record in self._fleet.list_live_nodes()}
        owner = find_owner(by_name, subject)
        return None if owner is None else by_name[owner]

    def grant(self, request: PermitRequest, per_s: float) -> PermitAnswer:
        """Grant or deny a permit under a limit of `per_s` for the whole fleet."""
        arbiter = self.find_arbiter(request.subject)
        if arbiter is None or arbiter.vm != self._fleet.own.vm:
            name = "no node" if arbiter is None else arbiter.vm
            return PermitAnswer(
                False,
                f"{name} grants the permits, as seen by {self._fleet.own.vm}",
                ARBITER_RETRY_S,
                ARBITER_RETRY_S,
            )
        if request.subject not in self._allowances:
            self.update_roles()
        now_s = self._now_s()
        allowance = self._allowances[request.subject]
        share = self._compute_share()
        admitted = allowance.count_admitted(now_s)
        permit = allowance.ask(
            request.claimant, request.max_wait_s, per_s * share, now_s
        )
        reason = (
            f"{arbiter.vm} shares out {per_s:g}/s and admitted {admitted} calls in "
            f"the last {COUNT_WINDOW_S:g} s"
        )
        if share < 1.0:
            reason += f"; {share:.0%} of it, as it reaches few of the nodes"
        return PermitAnswer(permit.is_granted, reason, permit.wait_s, permit.return_s)

    def update_roles(self) -> None:
        """Keep an allowance for each target with a limit whose arbiter this node is.

        It fills from now on; the allowances of other targets are dropped.
        """
        limits = self._list_limits()
        if not limits:
            self._allowances = {}
            return
        names = [record.vm for record in self._fleet.list_live_nodes()]
        share = self._compute_share()
        self._allowances = {
            subject: self._allowances.get(subject)
            or Allowance(self._now_s(), per_s * share)
            for subject, per_s in limits.items()
            if find_owner(names, subject) == self._fleet.own.vm
        }

    def _compute_share(self) -> float:
        live_nodes = len(self._fleet.list_live_nodes())
        return compute_limit_share(live_nodes, self._fleet.count_listed_nodes())


async def request_permit(
    http: HttpClient, arbiter: NodeRecord, request: PermitRequest
) -> PermitAnswer:
    """Ask a peer for a permit; a peer that gives no answer counts as a denial."""
    try:
        answer = await http.request(
            arbiter.peers,
            "POST",
            PERMIT_PATH,
            body=msgspec.msgpack.encode(request),
            timeout_s=request.max_wait_s + PERMIT_TIMEOUT_S,
            # A permit that was granted and lost must not be granted again.
            resend=False,
        )
        if answer.status == 200:
            return decode_msgpack(answer.body, PermitAnswer)
        reason = f"{arbiter.vm} answered status {answer.status}"
    except (ConnectFailed, ConnectionLost) as error:
        http.close_idle_connections(arbiter.peers)
        reason = f"{arbiter.vm} grants the permits and gave no answer: {error}"
    except InvalidInput as error:
        reason = f"{arbiter.vm} gave an unreadable answer: {error}"
    return PermitAnswer(False, reason, ARBITER_RETRY_S, ARBITER_RETRY_S)


__all__ = [
    "PERMIT_PATH",
    "PermitAnswer",
    "PermitArbiter",
    "PermitRequest",
    "request_permit",
]
