"""Watch of the controller's view; the last one is kept while it is unreachable."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tamarackshelf.contracts import RefusedByTarget, TargetFault, call_json
from tamarackshelf.errors import NotReady
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.peers.view import Report, Role, View, ViewAnswer
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Address

LONG_POLL_WAIT_S = 1.0
RETRY_INTERVAL_S = 0.2
MAX_REPORT_ATTEMPTS = 3

CALL_ERRORS = (ConnectFailed, ConnectionLost, RefusedByTarget, TargetFault)


class ViewWatch:
    """Long-polls the controller of this VM and keeps its newest view in `view`.

    Until `stop_announcing` is called, each poll also tells the controller that the
    program `role` runs.
    """

    def __init__(self, http: HttpClient, controller: Address, role: Role) -> None:
        self.view = View()
        self._http = http
        self._controller = controller
        self._role = role
        self._is_announcing = True
        self._listeners: list[Callable[[View], None]] = []
        self._task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()

    def on_change(self, listener: Callable[[View], None]) -> None:
        """Call the listener with each new view."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Start to follow the controller."""
        self._task = start_task("view_watch", self._run)

    async def close(self) -> None:
        """Stop following the controller."""
        await stop_tasks(self._task)

    def stop_announcing(self) -> None:
        """Stop announcing the program as running; keep following the controller."""
        self._is_announcing = False

    def get_ready_view(self) -> View:
        """Return the view; raise NotReady until the controller sends a ready one."""
        if not self.view.ready:
            raise NotReady(
                "this process has no configuration yet; use another entry VM",
                retry_after_s=1.0,
            )
        return self.view

    async def wait_ready(self, timeout_s: float) -> bool:
        """Wait for the first ready view; return False if there is none in time."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while not self.view.ready:
            self._changed.clear()
            try:
                async with asyncio.timeout_at(deadline_s):
                    await self._changed.wait()
            except TimeoutError:
                return False
        return True

    async def report(self, report: Report) -> bool:
        """Send a report to the controller; return False if all attempts fail."""
        for _ in range(MAX_REPORT_ATTEMPTS):
            try:
                await call_json(
                    self._http, self._controller, "POST", "/v1/reports", dict, report
                )
            except CALL_ERRORS:
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                return True
        return False

    async def _run(self) -> None:
        while True:
            try:
                await self._poll()
            except CALL_ERRORS:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _poll(self) -> None:
        role = self._role.value if self._is_announcing else ""
        query = f"after={self.view.number}&role={role}&wait_s={LONG_POLL_WAIT_S}"
        answer = await call_json(
            self._http,
            self._controller,
            "GET",
            f"/v1/view?{query}",
            ViewAnswer,
            timeout_s=LONG_POLL_WAIT_S + 2.0,
        )
        if answer.view is None:
            return
        self.view = answer.view
        self._changed.set()
        for listener in self._listeners:
            listener(answer.view)


__all__ = ["CALL_ERRORS", "ViewWatch"]
