"""Entry point of tamarackshelf-node, which composes one VM's node process."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from dataclasses import replace
from pathlib import Path

from tamarackshelf.entry.forwarder import Forwarder
from tamarackshelf.entry.streamer import Streamer
from tamarackshelf.jobs.manager import JobManager
from tamarackshelf.net import HttpClient
from tamarackshelf.net.allocator import return_large_blocks_to_system
from tamarackshelf.net.buffers import BUDGET
from tamarackshelf.net.sockets import raise_descriptor_limit
from tamarackshelf.node.configuration_view import ConfigurationView
from tamarackshelf.node.program import (
    MAX_PEER_BODY_BYTES,
    CallerHandler,
    HandlerFactories,
    NodeProgram,
)
from tamarackshelf.node.settings import InvalidSettings, NodeSettings
from tamarackshelf.node.settings_watch import SettingsLoader, SettingsWatch
from tamarackshelf.node.target_limits import TargetLimits
from tamarackshelf.node.target_paths import TargetPaths
from tamarackshelf.observe import Metrics, Timeline, set_up_bounded_logs
from tamarackshelf.organisations import KeyAuthenticator
from tamarackshelf.platform.caller_api import CallerApi
from tamarackshelf.platform.directory import build_ready_handler, build_resolve_handler
from tamarackshelf.platform.duty_client import PlatformDutyClient
from tamarackshelf.platform.row_handlers import build_platform_tables
from tamarackshelf.platform.rows import PlatformRowStore
from tamarackshelf.platform.settings import SETTINGS_VARIABLE, load_settings
from tamarackshelf.platform.target_client import PlatformTargetClient

# Connections within a region are established in a few milliseconds. If one is not
# established by this time, its link is cut or the peer is unreachable.
CONNECT_TIMEOUT_S = 0.5
# The TCP handshake with a target takes about a millisecond. If a target is unreachable,
# its request must be sent to another one before the response loses value to the caller.
TARGET_CONNECT_TIMEOUT_S = 0.2

# Larger than any text of an item, and small compared with the memory of a VM.
MAX_TARGET_BODY_BYTES = 8 * 1024 * 1024

# If this variable is unset, the node serves no metrics.
METRICS_PORT_VARIABLE = "TAMARACKSHELF_METRICS_PORT"


def main() -> None:
    """Run the node until SIGTERM or SIGINT; exit with 2 if the settings are invalid."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    metrics_port = int(os.environ.get(METRICS_PORT_VARIABLE, "0"))

    def load() -> NodeSettings:
        settings = load_settings(path)
        return replace(
            settings,
            metrics_port=metrics_port,
            max_descriptors=raise_descriptor_limit(settings.max_descriptors),
        )

    try:
        settings = load()
    except InvalidSettings as error:
        print(error, file=sys.stderr)
        raise SystemExit(2) from error
    # A SIGHUP must not end the process before the event loop handles the signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    set_up_bounded_logs()
    return_large_blocks_to_system()
    asyncio.run(_run(load, settings))


async def _run(load: SettingsLoader, settings: NodeSettings) -> None:
    timeline = Timeline(settings.vm, lambda: int(time.time() * 1000))
    program = build_program(settings, timeline)
    watch = SettingsWatch(load, settings, program.apply_settings, timeline)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    await watch.start()
    start = loop.create_task(program.start())
    stop = loop.create_task(stop_requested.wait())
    await asyncio.wait([start, stop], return_when=asyncio.FIRST_COMPLETED)
    if start.done() and (error := start.exception()) is not None:
        timeline.record("process_failed", settings.vm, str(error) or repr(error))
        await program.close()
        await watch.close()
        raise SystemExit(1)
    await stop
    if not start.done():
        start.cancel()
        await asyncio.wait([start])
    await program.stop()
    await watch.close()


def build_program(settings: NodeSettings, timeline: Timeline) -> NodeProgram:
    """Return a node program that uses the platform's interfaces."""
    if settings.memory_bytes is not None:
        BUDGET.set_memory(settings.memory_bytes, settings.buffer_bytes)
    elif settings.buffer_bytes is not None:
        BUDGET.limit_bytes = settings.buffer_bytes
    http = HttpClient(
        connect_timeout_s=CONNECT_TIMEOUT_S, max_body_bytes=MAX_PEER_BODY_BYTES
    )
    # Calls that peers relay have the limits of calls to targets.
    targets_http, relay_http = (
        HttpClient(
            connect_timeout_s=TARGET_CONNECT_TIMEOUT_S,
            max_body_bytes=MAX_TARGET_BODY_BYTES,
        )
        for _ in range(2)
    )
    metrics = Metrics()
    duty_platform = None
    if settings.duties is not None:
        duty_platform = PlatformDutyClient(http, settings.duties.address)
    BUDGET.count_event = metrics.count
    paths = TargetPaths(
        targets_http, relay_http, timeline, metrics, lambda: int(time.time() * 1000)
    )
    limits = TargetLimits(http, timeline, metrics)
    target_client = PlatformTargetClient(paths, limits)
    authenticator = KeyAuthenticator(timeline, metrics)

    def build_callers(
        view: ConfigurationView,
        forwarder: Forwarder,
        streamer: Streamer,
        manager: JobManager,
    ) -> CallerHandler:
        target_client.has_organisations = view.has_organisations
        return CallerApi(
            view.get_route_table, forwarder, streamer, manager, authenticator
        ).handle

    return NodeProgram(
        settings,
        PlatformRowStore(http, settings.store_address),
        target_client,
        paths,
        limits,
        build_platform_tables(metrics, checks_fencing=settings.targets_check_fencing),
        HandlerFactories(build_callers, build_resolve_handler, build_ready_handler),
        (http, targets_http, relay_http),
        timeline,
        metrics,
        duty_platform,
    )


if __name__ == "__main__":
    main()
