"""View of the fleet that a controller serves to its VM's gateway and runner."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tamarackshelf.policy.admission import compute_limit
from tamarackshelf.world import Configuration, EntryVm, Target


class TargetStatus(enum.StrEnum):
    """Whether a target may get new requests."""

    LIVE = "live"
    LEAVING = "leaving"
    CRASHED = "crashed"
    OUT_OF_SERVICE = "out-of-service"


class EntryStatus(enum.StrEnum):
    """Status of an entry VM, as its controller knows it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Role(enum.StrEnum):
    """Program of an entry VM that announces itself to the VM's controller."""

    GATEWAY = "gateway"
    RUNNER = "runner"


def get_process_name(vm: str, role: Role) -> str:
    """Return the process name of a program on a VM, for example `gateway@vm1`."""
    return f"{role.value}@{vm}"


@dataclass(frozen=True, slots=True)
class TargetView:
    """Target with its status."""

    target: Target
    status: TargetStatus


@dataclass(frozen=True, slots=True)
class EntryView:
    """Entry VM with its status and the programs that run on it."""

    entry: EntryVm
    status: EntryStatus
    roles: tuple[Role, ...]

    def accepts_work(self, role: Role) -> bool:
        """Return whether this program runs on the VM and may be sent requests."""
        is_up = self.status in (EntryStatus.LIVE, EntryStatus.SUSPECT)
        return is_up and role in self.roles


@dataclass(frozen=True, slots=True)
class View:
    """Fleet as one controller sees it; `number` increases with each change.

    `published` holds the newest published weight version of each model.
    """

    number: int = 0
    ready: bool = False
    configuration: Configuration = field(default_factory=Configuration)
    targets: tuple[TargetView, ...] = ()
    entries: tuple[EntryView, ...] = ()
    published: dict[str, int] = field(default_factory=dict)

    def find_entries(self, role: Role) -> tuple[EntryVm, ...]:
        """Return the entry VMs whose program of this role accepts requests."""
        return tuple(view.entry for view in self.entries if view.accepts_work(role))

    def compute_limits(self) -> dict[str, int]:
        """Return how many requests per organisation may be in flight at a process."""
        process_count = len(self.list_dispatching_processes())
        organisations = self.configuration.organisations
        return {
            name: compute_limit(parameters.max_concurrent, process_count)
            for name, parameters in organisations.items()
        }

    def list_dispatching_processes(self) -> list[str]:
        """Return the names of all processes that send requests to targets."""
        return [
            get_process_name(view.entry.name, role)
            for view in self.entries
            for role in Role
            if view.accepts_work(role)
        ]


@dataclass(frozen=True, slots=True)
class ViewAnswer:
    """Newest view, or None if it has not changed since the number in the query."""

    view: View | None


class ReportKind(enum.StrEnum):
    """What a gateway or runner reports to its controller.

    PUBLISHED is a weight version of a model, ACCEPTED a revision of the configuration.
    """

    TARGET_LEAVING = "target-leaving"
    TARGET_CRASHED = "target-crashed"
    ROLE_LEAVING = "role-leaving"
    PUBLISHED = "published"
    ACCEPTED = "accepted"


@dataclass(frozen=True, slots=True)
class Report:
    """Observation; `version` is an incarnation, a weight version or a revision."""

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
