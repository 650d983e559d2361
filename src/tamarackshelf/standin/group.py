"""Group of stand-ins that run together."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.standin.engine import EngineSpeed, EngineStandin
from tamarackshelf.standin.platform import PlatformStandin
from tamarackshelf.standin.services import ServiceStandin
from tamarackshelf.standin.table import TableStandin
from tamarackshelf.world import Address, EntryVm, Target, TargetKind, VmRow, VmState

TargetStandin = EngineStandin | ServiceStandin


@dataclass(frozen=True, slots=True)
class StandinGroupSettings:
    """Stand-ins of a group, their addresses and their behaviour."""

    table: Address
    platform: Address
    targets: tuple[Target, ...]
    entries: tuple[EntryVm, ...] = ()
    models: tuple[str, ...] = ()
    list_lag_s: float = 1.0
    chunk_s: float = 0.01
    swap_s: float = 0.05
    straggler_share: float = 0.02


class StandinGroup:
    """The stand-ins of one deployment: the platform, the table service and targets."""

    def __init__(self, settings: StandinGroupSettings) -> None:
        self.table = TableStandin()
        self.platform = PlatformStandin()
        self.platform.faults.lag_s = settings.list_lag_s
        self.targets: dict[str, TargetStandin] = {}
        self.table_address = settings.table
        self.platform_address = settings.platform
        self._settings = settings
        speed = EngineSpeed(chunk_s=settings.chunk_s, swap_s=settings.swap_s)
        versions = dict.fromkeys(settings.models, 0)
        for target in settings.targets:
            if target.kind is TargetKind.ENGINE:
                self.targets[target.name] = EngineStandin(
                    target,
                    versions,
                    speed,
                    self.platform.fetch_weights,
                    settings.straggler_share,
                )
            else:
                self.targets[target.name] = ServiceStandin(target)

    async def start(self) -> None:
        """Start all stand-ins and add targets and entry VMs to the VM list."""
        self.table_address = await self.table.start(self._settings.table)
        self.platform_address = await self.platform.start(self._settings.platform)
        for name, standin in self.targets.items():
            await standin.start()
            self.list_target(name)
        for entry in self._settings.entries:
            self.list_entry(entry)
        self.platform.skip_list_lag()

    async def close(self) -> None:
        """Stop all stand-ins."""
        for standin in self.targets.values():
            await standin.close()
        await self.platform.close()
        await self.table.close()

    def list_target(self, name: str, state: VmState = VmState.LIVE) -> None:
        """Add a target to the VM list, or change its state there."""
        target = self.targets[name].target
        self.platform.put_vm(VmRow(f"vm-{name}", state, target=target))

    def list_entry(self, entry: EntryVm, state: VmState = VmState.LIVE) -> None:
        """Add an entry VM to the VM list, or change its state there."""
        self.platform.put_vm(VmRow(entry.name, state, entry=entry))

    async def restart_target(self, name: str) -> None:
        """Restart a crashed target as a new incarnation and list it."""
        await self.targets[name].restart()
        self.list_target(name)

    def find_engines(self, service: str) -> list[EngineStandin]:
        """Return the engines of a service."""
        return [
            standin
            for standin in self.targets.values()
            if isinstance(standin, EngineStandin) and standin.target.service == service
        ]


__all__ = ["StandinGroup", "StandinGroupSettings", "TargetStandin"]
