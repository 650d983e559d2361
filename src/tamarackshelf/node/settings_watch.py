"""Reload of changed settings in a running node, after a signal or a periodic check."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import fields

from tamarackshelf.node.settings import RELOADABLE_FIELDS, InvalidSettings, NodeSettings
from tamarackshelf.observe import Timeline
from tamarackshelf.tasks import start_task, stop_tasks

# The file may change without a signal; reading it costs microseconds.
CHECK_INTERVAL_S = 2.0

SettingsLoader = Callable[[], NodeSettings]
SettingsConsumer = Callable[[NodeSettings], None]


class SettingsWatch:
    """The settings in force; `apply` is called with them after each change."""

    def __init__(
        self,
        load: SettingsLoader,
        current: NodeSettings,
        apply: SettingsConsumer,
        timeline: Timeline,
    ) -> None:
        self._load = load
        self._current = current
        self._apply = apply
        self._timeline = timeline
        self._last_error = ""
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to check the settings for changes."""
        self._task = start_task("settings", self._run)

    async def close(self) -> None:
        """Stop checking."""
        await stop_tasks(self._task)

    def reload(self) -> None:
        """Read the settings again after a signal; record the result in any case."""
        self._last_error = ""
        if not self._check():
            self._record("settings_reloaded", "unchanged")

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check()

    def _check(self) -> bool:
        """Apply changed settings or record invalid ones; return False if unchanged."""
        try:
            loaded = self._load()
        except InvalidSettings as error:
            # Invalid settings are recorded once, not at each check.
            if str(error) != self._last_error:
                self._last_error = str(error)
                self._record("settings_refused", self._last_error)
            return True
        self._last_error = ""
        changed = [
            field.name
            for field in fields(loaded)
            if getattr(loaded, field.name) != getattr(self._current, field.name)
        ]
        if not changed:
            return False
        self._current = loaded
        self._apply(loaded)
        reloaded = ", ".join(name for name in changed if name in RELOADABLE_FIELDS)
        deferred = ", ".join(name for name in changed if name not in RELOADABLE_FIELDS)
        reason = (
            f"in force: {reloaded or 'none'}; at the next start: {deferred or 'none'}"
        )
        self._record("settings_reloaded", reason)
        return True

    def _record(self, kind: str, reason: str) -> None:
        self._timeline.record(kind, self._current.vm, reason)


__all__ = ["SettingsLoader", "SettingsWatch"]
