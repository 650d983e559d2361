"""Takes changes of the settings into the running node, told by a signal or not."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import fields

from tamarackshelf.node.settings import RELOADABLE_FIELDS, InvalidSettings, NodeSettings
from tamarackshelf.observe import Timeline
from tamarackshelf.tasks import start_task, stop_tasks

# The file may change without a signal; reading a page of text costs microseconds.
CHECK_INTERVAL_S = 2.0

SettingsLoader = Callable[[], NodeSettings]
Apply = Callable[[NodeSettings], None]


class SettingsWatch:
    """Holds the settings in force; `apply` gets them whenever they change."""

    def __init__(
        self,
        load: SettingsLoader,
        current: NodeSettings,
        apply: Apply,
        timeline: Timeline,
    ) -> None:
        self._load = load
        self._current = current
        self._apply = apply
        self._timeline = timeline
        self._refused = ""
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to look for changes."""
        self._task = start_task("settings", self._run)

    async def close(self) -> None:
        """Stops looking."""
        await stop_tasks(self._task)

    def reload(self) -> None:
        """Reads the settings because a signal says that they changed."""
        self._refused = ""
        if not self._check():
            self._record("settings_reloaded", "unchanged")

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check()

    def _check(self) -> bool:
        """Returns whether there was something to tell."""
        try:
            loaded = self._load()
        except InvalidSettings as error:
            # A wrong file is told once, not at each look.
            if str(error) != self._refused:
                self._refused = str(error)
                self._record("settings_refused", self._refused)
            return True
        self._refused = ""
        changed = [
            field.name
            for field in fields(loaded)
            if getattr(loaded, field.name) != getattr(self._current, field.name)
        ]
        if not changed:
            return False
        self._current = loaded
        self._apply(loaded)
        live = ", ".join(name for name in changed if name in RELOADABLE_FIELDS)
        later = ", ".join(name for name in changed if name not in RELOADABLE_FIELDS)
        reason = f"in force: {live or 'none'}; at the next start: {later or 'none'}"
        self._record("settings_reloaded", reason)
        return True

    def _record(self, kind: str, reason: str) -> None:
        self._timeline.record(kind, self._current.vm, reason)


__all__ = ["SettingsLoader", "SettingsWatch"]
