"""Construction of the fleet view from the VM list, the gossip and the table."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackshelf.peers import (
    EntryStatus,
    EntryView,
    Role,
    TargetStatus,
    TargetView,
    View,
)
from tamarackshelf.policy.membership import MemberStatus, MemberView
from tamarackshelf.policy.rumours import Rumour, RumourMap
from tamarackshelf.world import Configuration, EntryVm, Target, VmRow, VmState

TARGET_PREFIX = "target:"
SERVICE_PREFIX = "service:"
PUBLISHED_PREFIX = "published:"
HEAD_SUBJECT = "head:configuration"
# The version of a target rumour is the incarnation times this number plus the rank.
RANKS_PER_INCARNATION = 4


class TargetRank(enum.IntEnum):
    """State of one incarnation of a target in gossip.

    A higher rank replaces a lower one, so a crashed incarnation stays crashed.
    """

    LIVE = 0
    LEAVING = 1
    CRASHED = 2


@dataclass(frozen=True, slots=True)
class ViewInputs:
    """Everything that a view is built from, except the rumours."""

    configuration: Configuration
    rows: tuple[VmRow, ...]
    members: tuple[MemberView, ...]
    published: dict[str, int] = field(default_factory=dict)


def build_view(
    number: int, ready: bool, inputs: ViewInputs, rumours: RumourMap
) -> View:
    """Return the view that the inputs and rumours give."""
    targets = [(row.target, row.state) for row in inputs.rows if row.target is not None]
    entries = [(row.entry, row.state) for row in inputs.rows if row.entry is not None]
    members = {member.name: member for member in inputs.members}
    drained = inputs.configuration.drained_vms
    return View(
        number=number,
        ready=ready,
        configuration=inputs.configuration,
        targets=tuple(
            TargetView(target, _find_target_status(target, state, rumours))
            for target, state in targets
        ),
        entries=tuple(
            _build_entry(entry, state, members.get(entry.name), drained)
            for entry, state in entries
        ),
        published=_merge_published(inputs.published, rumours.all()),
    )


def build_target_rumour(target: str, incarnation: int, rank: TargetRank) -> Rumour:
    """Return a rumour that an incarnation of a target is in the state `rank`."""
    version = incarnation * RANKS_PER_INCARNATION + rank
    return Rumour(TARGET_PREFIX + target, version)


def _find_target_status(
    target: Target, state: VmState, rumours: RumourMap
) -> TargetStatus:
    rumour = rumours.get(TARGET_PREFIX + target.name)
    incarnation, rank = divmod(rumour.version if rumour else 0, RANKS_PER_INCARNATION)
    if incarnation > target.incarnation or (
        incarnation == target.incarnation and rank == TargetRank.CRASHED
    ):
        return TargetStatus.CRASHED
    is_leaving = incarnation == target.incarnation and rank == TargetRank.LEAVING
    if is_leaving or state is VmState.LEAVING:
        return TargetStatus.LEAVING
    service = rumours.get(SERVICE_PREFIX + target.name)
    if service is not None and service.value == "out":
        return TargetStatus.OUT_OF_SERVICE
    return TargetStatus.LIVE


def _build_entry(
    entry: EntryVm,
    state: VmState,
    member: MemberView | None,
    drained: tuple[str, ...],
) -> EntryView:
    flags = member.flags if member is not None else frozenset()
    roles = tuple(role for role in Role if role.value in flags)
    return EntryView(entry, _find_entry_status(entry, state, member, drained), roles)


def _find_entry_status(
    entry: EntryVm,
    state: VmState,
    member: MemberView | None,
    drained: tuple[str, ...],
) -> EntryStatus:
    if member is None or member.status is MemberStatus.DEAD:
        return EntryStatus.DEAD
    if state is VmState.LEAVING or entry.name in drained:
        return EntryStatus.LEAVING
    if member.status is MemberStatus.SUSPECT:
        return EntryStatus.SUSPECT
    return EntryStatus.LIVE


def _merge_published(
    published: dict[str, int], rumours: Iterable[Rumour]
) -> dict[str, int]:
    merged = dict(published)
    for rumour in rumours:
        if rumour.subject.startswith(PUBLISHED_PREFIX):
            model = rumour.subject.removeprefix(PUBLISHED_PREFIX)
            merged[model] = max(rumour.version, merged.get(model, 0))
    return merged


__all__ = [
    "HEAD_SUBJECT",
    "PUBLISHED_PREFIX",
    "SERVICE_PREFIX",
    "TargetRank",
    "ViewInputs",
    "build_target_rumour",
    "build_view",
]
