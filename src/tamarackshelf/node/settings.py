"""Settings of the node process."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.world import Address

# Fields that a running node reloads; changes of other fields apply at its next start.
RELOADABLE_FIELDS = frozenset(
    {"grace_s", "lease_s", "entries_valid_max_s", "results_kept_s", "store_budget"}
)


class InvalidSettings(Exception):
    """A field of the settings is missing or invalid; correct the settings."""


@dataclass(frozen=True, slots=True)
class StoreBudget:
    """The store's call rates for all nodes together, and the size limit of a row."""

    reads_per_s: float
    writes_per_s: float
    row_bytes: int


@dataclass(frozen=True, slots=True)
class DutySettings:
    """Calls to the platform that one node makes for all, and their bounds.

    The platform takes `calls_per_s` from all nodes together. Usage of each window of
    `report_window_s` is due `report_late_s` after its end.
    """

    address: Address
    calls_per_s: float
    reports_usage: bool
    orders_workers: bool
    checks_fencing: bool
    report_window_s: float
    report_late_s: float


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The identity, addresses and limits of a node."""

    vm: str
    data_centre: str
    region: str
    host: str
    callers_address: Address
    ready_address: Address
    directory_address: Address
    # The address at which nodes that know no peer yet reach this one, and the addresses
    # of a few nodes that this one asks while it knows no peer.
    seed_address: Address | None
    seeds: tuple[Address, ...]
    peer_ports: tuple[int, int]
    store_address: Address
    store_budget: StoreBudget
    grace_s: float
    lease_s: float
    entries_valid_max_s: float
    # How long results stay readable after their job was accepted.
    results_kept_s: float
    targets_check_fencing: bool
    # CPU capacity of the VM: its number of cores times the share of each it may use.
    cores: float = 1.0
    # The memory that the process may use, or None if only the VM's memory bounds it.
    memory_bytes: int | None = None
    # The descriptors that the process may have open, or None if only the system's limit
    # of the process bounds them.
    max_descriptors: int | None = None
    # Lower bounds than those derived from memory and descriptors, or None.
    max_caller_connections: int | None = None
    buffer_bytes: int | None = None
    # A caller that sends its body faster than this is not cut off.
    min_body_bytes_per_s: float = 16 * 1024
    metrics_port: int = 0
    # None if the platform takes no such calls.
    duties: DutySettings | None = None

    @property
    def peer_address(self) -> Address:
        """The address at which other nodes reach this one, by HTTP and by gossip."""
        return Address(self.host, self.peer_ports[0])

    @property
    def metrics_address(self) -> Address | None:
        """The address at which metrics are served, or None when they are not."""
        return Address(self.host, self.metrics_port) if self.metrics_port else None


__all__ = [
    "RELOADABLE_FIELDS",
    "DutySettings",
    "InvalidSettings",
    "NodeSettings",
    "StoreBudget",
]
