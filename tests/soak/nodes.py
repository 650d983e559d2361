"""Node processes that the soak starts, signals and kills."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from tamarackshelf.world import Address

if TYPE_CHECKING:
    import signal

# The platform starts nodes with this file, too.
LAUNCHER = Path(__file__).parents[2] / "deploy" / "node.py"
GRACE_S = 8
DRAIN_MS = 2000
LEASE_MS = 3000

_SETTINGS_TEMPLATE = """\
nodeName={name}
zone=a
region=r
ip={host}
listen.front={host}:8144
listen.ready={host}:8140
listen.directory={host}:8143
listen.control={host}:8146
seedNodes={seeds}
portRange=7660,7675
bootstrap=true
limits.memoryMb=200
bounds.gracePeriodS={grace_s}
bounds.drainMs={drain_ms}
bounds.leaseTtlMs={lease_ms}
bounds.ttl_max_s=5
bounds.statusS=120
bounds.fencing=true
provider.address={store}
provider.writesPerS=800
provider.readsPerS=2000
provider.rowBytes=65536
"""


class NodeProcess:
    """One node's process, which can be restarted; all starts share one log file."""

    def __init__(
        self, name: str, host: str, seeds: list[str], store: Address, folder: Path
    ) -> None:
        self.name = name
        self.caller_address = Address(host, 8144)
        self.ready_address = Address(host, 8140)
        self.directory_address = Address(host, 8143)
        self.should_run = False
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        text = _SETTINGS_TEMPLATE.format(
            name=name,
            host=host,
            seeds=",".join(f"{seed}:8146" for seed in seeds),
            store=store,
            grace_s=GRACE_S,
            drain_ms=DRAIN_MS,
            lease_ms=LEASE_MS,
        )
        self._settings.write_text(text)

    def start(self) -> None:
        """Start the process and set `should_run`."""
        environment = {**os.environ, "TAMARACKSHELF_CONFIG": str(self._settings)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(LAUNCHER)],
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.should_run = True

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running():
            assert self._process is not None
            self._process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """Clear `should_run`, kill the process and wait for its exit."""
        self.should_run = False
        if self._process is not None:
            self._process.kill()
            self._process.wait()


__all__ = ["GRACE_S", "NodeProcess"]
