"""What a controller tells the gateway and the runner of its VM."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tamarackshelf.policy.admission import compute_limit
from tamarackshelf.world import Configuration, EntryVm, Target


class TargetStatus(enum.StrEnum):
    """Whether a target may get new work."""

    LIVE = "live"
    LEAVING = "leaving"
    CRASHED = "crashed"
    OUT_OF_SERVICE = "out-of-service"


class EntryStatus(enum.StrEnum):
    """Whether an entry VM takes part."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Role(enum.StrEnum):
    """The programs of an entry VM that announce themselves."""

    GATEWAY = "gateway"
    RUNNER = "runner"


def get_process_name(vm: str, role: Role) -> str:
    """Returns the name of a VM's program among those that share targets."""
    return f"{role.value}@{vm}"


@dataclass(frozen=True, slots=True)
class TargetView:
    """A target and whether it may get new work."""

    target: Target
    status: TargetStatus


@dataclass(frozen=True, slots=True)
class EntryView:
    """An entry VM and which of its programs run."""

    entry: EntryVm
    status: EntryStatus
    roles: tuple[Role, ...]

    def accepts_work(self, role: Role) -> bool:
        """Tells whether the program may be given work."""
        is_up = self.status in (EntryStatus.LIVE, EntryStatus.SUSPECT)
        return is_up and role in self.roles


@dataclass(frozen=True, slots=True)
class View:
    """The fleet as one controller sees it; `number` rises at each change."""

    number: int = 0
    ready: bool = False
    configuration: Configuration = field(default_factory=Configuration)
    targets: tuple[TargetView, ...] = ()
    entries: tuple[EntryView, ...] = ()
    published: dict[str, int] = field(default_factory=dict)

    def find_entries(self, role: Role) -> tuple[EntryVm, ...]:
        """Returns the entry VMs whose program may be given work."""
        return tuple(view.entry for view in self.entries if view.accepts_work(role))

    def compute_limits(self) -> dict[str, int]:
        """Returns how many requests each organisation may have at one process."""
        processes = len(self.list_dispatching_processes())
        organisations = self.configuration.organisations
        return {
            name: compute_limit(parameters.max_concurrent, processes)
            for name, parameters in organisations.items()
        }

    def list_dispatching_processes(self) -> list[str]:
        """Returns the names of all processes that send work to targets."""
        return [
            get_process_name(view.entry.name, role)
            for view in self.entries
            for role in Role
            if view.accepts_work(role)
        ]


@dataclass(frozen=True, slots=True)
class ViewAnswer:
    """The view, or None when it has not changed since the asked number."""

    view: View | None


class ReportKind(enum.StrEnum):
    """What a gateway or runner tells its controller."""

    TARGET_LEAVING = "target-leaving"
    TARGET_CRASHED = "target-crashed"
    ROLE_LEAVING = "role-leaving"
    PUBLISHED = "published"
    ACCEPTED = "accepted"


@dataclass(frozen=True, slots=True)
class Report:
    """One observation; `version` is an incarnation or a weight version."""

    kind: ReportKind
    subject: str
    version: int = 0


__all__ = [
    "EntryStatus",
    "EntryView",
    "Report",
    "ReportKind",
    "Role",
    "TargetStatus",
    "TargetView",
    "View",
    "ViewAnswer",
    "get_process_name",
]
