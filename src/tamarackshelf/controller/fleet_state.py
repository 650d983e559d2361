"""State of the fleet as the controller knows it; readers can wait for changes."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from tamarackshelf.controller.fleet_view import ViewInputs, build_view
from tamarackshelf.peers import View
from tamarackshelf.policy.membership import Membership
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.world import Configuration, EntryVm, Target, VmRow


class FleetState:
    """Inputs of the fleet view and the newest view; call `refresh` after a change."""

    def __init__(self, membership: Membership) -> None:
        self.configuration = Configuration()
        self.rows: tuple[VmRow, ...] = ()
        self.published: dict[str, int] = {}
        self.ready = False
        self.view = View()
        self._membership = membership
        self._changed = asyncio.Event()

    @property
    def entries(self) -> dict[str, EntryVm]:
        """The listed entry VMs by name."""
        return {row.entry.name: row.entry for row in self.rows if row.entry is not None}

    @property
    def targets(self) -> list[Target]:
        """The listed targets."""
        return [row.target for row in self.rows if row.target is not None]

    def find_rumour(self, subject: str) -> Rumour | None:
        """Return the newest rumour about a subject, or None."""
        return self._membership.rumours.get(subject)

    def refresh(self) -> None:
        """Rebuild the view; if it changed, increase its number and wake all waiters."""
        inputs = ViewInputs(
            configuration=self.configuration,
            rows=self.rows,
            members=tuple(self._membership.views()),
            published=self.published,
        )
        number = self.view.number
        view = build_view(number, self.ready, inputs, self._membership.rumours)
        if view == self.view:
            return
        self.view = replace(view, number=number + 1)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, after: int, timeout_s: float) -> View | None:
        """Return the view once its number is not `after`, or None after the timeout."""
        if self.view.number != after:
            return self.view
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return None
        return self.view


__all__ = ["FleetState"]
