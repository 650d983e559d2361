"""Settings of the composed process."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.world import Address

# Fields that a running node takes over; the others hold until its next start.
RELOADABLE_FIELDS = frozenset(
    {"grace_s", "lease_s", "entries_valid_max_s", "results_kept_s", "store_budget"}
)


class InvalidSettings(Exception):
    """The settings miss a field or hold a wrong one; mend them."""


@dataclass(frozen=True, slots=True)
class StoreBudget:
    """What all nodes together may ask of the row store, and its row size."""

    reads_per_s: float
    writes_per_s: float
    row_bytes: int


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Who this node is, where it listens and which bounds hold."""

    vm: str
    data_centre: str
    region: str
    host: str
    callers_address: Address
    ready_address: Address
    directory_address: Address
    # Where nodes that know no peer yet reach this one, and a few that they may ask.
    seed_address: Address | None
    seeds: tuple[Address, ...]
    peer_ports: tuple[int, int]
    store_address: Address
    store_budget: StoreBudget
    grace_s: float
    lease_s: float
    entries_valid_max_s: float
    # For how long results stay readable after their job was accepted.
    results_kept_s: float
    targets_check_fencing: bool
    # Part of a processor times its cores.
    cores: float = 1.0
    metrics_port: int = 0

    @property
    def peer_address(self) -> Address:
        """Returns where other nodes reach this one, by HTTP and by gossip."""
        return Address(self.host, self.peer_ports[0])

    @property
    def metrics_address(self) -> Address | None:
        """Returns where metrics are served, or None when they are not."""
        return Address(self.host, self.metrics_port) if self.metrics_port else None


__all__ = ["RELOADABLE_FIELDS", "InvalidSettings", "NodeSettings", "StoreBudget"]
