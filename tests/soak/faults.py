"""Faults and planned work, drawn from a seed and carried out from outside."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from tests.soak.callers import build_configuration
from tests.soak.deployment import Site
from tests.soak.history import now_s
from tests.soak.nodes import GRACE_S, NodeProcess

if TYPE_CHECKING:
    from tests.soak.proxy import Proxy
    from tests.soak.workers import Worker

RESTART_S = 0.7
# The longest fault; half the length of the fault window of a run.
LONGEST_S = 6.0
# Closing a process's sockets after its grace takes up to a second.
STOP_SLACK_S = 1.0


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of a run: its kind, its start and length, and a draw for its place."""

    kind: str
    at_s: float
    for_s: float
    draw: int


Act = Callable[[Site, PlannedFault], Awaitable[None]]


def draw_faults(seed: int, window_s: float, count: int) -> list[PlannedFault]:
    """Returns faults in the order of their start; they may overlap."""
    random = Random(seed)
    faults = [
        PlannedFault(
            kind=random.choice(list(ACTS)),
            at_s=random.uniform(0.0, window_s),
            for_s=random.uniform(0.3, LONGEST_S),
            draw=random.getrandbits(30),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


async def carry_out(site: Site, faults: list[PlannedFault]) -> None:
    """Carries all faults out at their times and returns when the last is over."""
    started_s = now_s()

    async def wait_and_act(fault: PlannedFault) -> None:
        await asyncio.sleep(max(0.0, started_s + fault.at_s - now_s()))
        await ACTS[fault.kind](site, fault)

    await asyncio.gather(*(wait_and_act(fault) for fault in faults))


def _node(site: Site, fault: PlannedFault) -> NodeProcess:
    return site.nodes[fault.draw % len(site.nodes)]


def _worker(site: Site, fault: PlannedFault) -> Worker:
    return site.workers[fault.draw % len(site.workers)]


def _engine(site: Site, fault: PlannedFault) -> Worker:
    engines = [worker for worker in site.workers if worker.service == "models"]
    return engines[fault.draw % len(engines)]


def _store_fault(**changes: object) -> Act:
    """Returns a fault that changes fields of the store for its length."""

    async def act(site: Site, fault: PlannedFault) -> None:
        faults = site.store.faults
        before = {name: getattr(faults, name) for name in changes}
        with site.disrupted(f"store:{next(iter(changes))}", "store", fault.for_s):
            for name, value in changes.items():
                setattr(faults, name, value)
            await asyncio.sleep(fault.for_s)
            for name in changes:
                # Another fault of this kind may have begun meanwhile.
                setattr(faults, name, before[name] if not before[name] else False)

    return act


async def _forget_history(site: Site, fault: PlannedFault) -> None:
    with site.disrupted("store:forgets", "store", 0.0):
        site.store.rows.truncate_history()


async def _reset_store(site: Site, fault: PlannedFault) -> None:
    with site.disrupted("store:resets", "store", 0.0):
        for proxy in site.store_links.values():
            proxy.reset_all()


async def _silence_store(site: Site, fault: PlannedFault) -> None:
    with site.disrupted("store:silences", "store", 0.0):
        for proxy in site.store_links.values():
            proxy.silence_all()


def _link_fault(links: str, **changes: object) -> Act:
    """Returns a fault of one link of a kind for its length."""

    async def act(site: Site, fault: PlannedFault) -> None:
        of_kind: dict[str, Proxy] = getattr(site, links)
        name = sorted(of_kind)[fault.draw % len(of_kind)]
        proxy = of_kind[name]
        change = next(iter(changes))
        with site.disrupted(f"{links}:{change}", name, fault.for_s):
            for field, value in changes.items():
                setattr(proxy.faults, field, value)
            if change in ("refuses", "adds_bytes"):
                proxy.reset_all()
            await asyncio.sleep(fault.for_s)
            for field, value in changes.items():
                setattr(proxy.faults, field, type(value)(0))
            if change == "adds_bytes":
                proxy.reset_all()

    return act


def _silence_link(links: str) -> Act:
    async def act(site: Site, fault: PlannedFault) -> None:
        of_kind: dict[str, Proxy] = getattr(site, links)
        name = sorted(of_kind)[fault.draw % len(of_kind)]
        with site.disrupted(f"{links}:silenced", name, 0.0):
            of_kind[name].silence_all()

    return act


async def _kill(site: Site, fault: PlannedFault) -> None:
    await _kill_nodes(site, [_node(site, fault)])


async def _kill_all(site: Site, fault: PlannedFault) -> None:
    await _kill_nodes(site, site.nodes)


async def _kill_nodes(site: Site, nodes: list[NodeProcess]) -> None:
    on = nodes[0].name if len(nodes) == 1 else "all nodes"
    with site.disrupted("kill", on, RESTART_S):
        for node in nodes:
            node.kill()
        await asyncio.sleep(RESTART_S)
        for node in nodes:
            site.start_node(node)


async def _pause(site: Site, fault: PlannedFault) -> None:
    node = _node(site, fault)
    with site.disrupted("pause", node.name, fault.for_s):
        node.send(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        node.send(signal.SIGCONT)


async def _stop(site: Site, fault: PlannedFault) -> None:
    node = _node(site, fault)
    if node.name in site.stopping:
        return
    site.stopping.add(node.name)
    with site.disrupted("stop", node.name, GRACE_S + STOP_SLACK_S):
        node.is_meant_to_run = False
        node.send(signal.SIGTERM)
        until_s = now_s() + GRACE_S
        while node.is_running() and now_s() < until_s:
            await asyncio.sleep(0.05)
        node.kill()
        await asyncio.sleep(RESTART_S)
        site.start_node(node)
    site.stopping.discard(node.name)


async def _hang_up(site: Site, fault: PlannedFault) -> None:
    with site.disrupted("hang_up", _node(site, fault).name, 1.0):
        _node(site, fault).send(signal.SIGHUP)
        await asyncio.sleep(1.0)


async def _configure(site: Site, fault: PlannedFault) -> None:
    with site.disrupted("configuration", "all nodes", 1.0):
        for _ in range(1 + fault.draw % 4):
            site.configuration_version += 1 + fault.draw % 3
            timeout_ms = 1800 + fault.draw % 400
            value = build_configuration(site.configuration_version, timeout_ms)
            site.store.rows.put("op", "config", value)
            await asyncio.sleep(0.25)


async def _crash_worker(site: Site, fault: PlannedFault) -> None:
    """Crashes a worker; it starts again under the same name, its row comes later."""
    worker = _worker(site, fault)
    if worker.name in site.ended_workers:
        return
    with site.disrupted("worker:crash", worker.name, fault.for_s):
        await worker.crash()
        site.worker_links[worker.name].reset_all()
        await asyncio.sleep(fault.for_s)
        await site.start_worker(worker)


async def _leave_worker(site: Site, fault: PlannedFault) -> None:
    worker = _worker(site, fault)
    peers = [w for w in site.workers if w.service == worker.service]
    lasting = [w for w in peers if w.name not in site.ended_workers]
    if worker not in lasting or len(lasting) < 2:
        return
    site.ended_workers.add(worker.name)
    with site.disrupted("worker:leave", worker.name, LONGEST_S):
        await worker.leave()


def _worker_fault(engine_only: bool, **changes: object) -> Act:
    async def act(site: Site, fault: PlannedFault) -> None:
        worker = _engine(site, fault) if engine_only else _worker(site, fault)
        change = next(iter(changes))
        with site.disrupted(f"worker:{change}", worker.name, fault.for_s):
            healthy = {name: getattr(worker.faults, name) for name in changes}
            for name, value in changes.items():
                setattr(worker.faults, name, value)
            await asyncio.sleep(fault.for_s)
            for name, value in healthy.items():
                setattr(worker.faults, name, value)

    return act


ACTS: dict[str, Act] = {
    "store_down": _store_fault(is_down=True),
    "store_silent": _store_fault(is_silent=True),
    "store_slow": _store_fault(extra_s=0.4),
    "store_loses_answers": _store_fault(loses_answers=True),
    "store_writes_late": _store_fault(loses_answers=True, late_s=2.5),
    "store_forgets": _forget_history,
    "store_resets": _reset_store,
    "store_silences": _silence_store,
    "node_cut_from_store": _link_fault("store_links", is_cut_up=True),
    "store_cut_from_node": _link_fault("store_links", is_cut_down=True),
    "node_refused_by_store": _link_fault("store_links", refuses=True),
    "node_kill": _kill,
    "node_kill_again": _kill,
    "all_kill": _kill_all,
    "node_pause": _pause,
    "node_stop": _stop,
    "node_hang_up": _hang_up,
    "configuration": _configure,
    "worker_crash": _crash_worker,
    "worker_leave": _leave_worker,
    "worker_slow": _worker_fault(False, slowness=8.0),
    "worker_failing": _worker_fault(False, failing_share=0.5),
    "worker_silent": _worker_fault(False, is_silent=True),
    "engine_slow": _worker_fault(True, slowness=15.0),
    "worker_link_refuses": _link_fault("worker_links", refuses=True),
    "worker_link_adds_bytes": _link_fault("worker_links", adds_bytes=True),
    "worker_link_slow": _link_fault("worker_links", delay_s=0.3),
    "worker_link_cut_up": _link_fault("worker_links", is_cut_up=True),
    "worker_link_cut_down": _link_fault("worker_links", is_cut_down=True),
    "worker_link_silenced": _silence_link("worker_links"),
    "caller_link_slow": _link_fault("caller_links", delay_s=0.2),
    "caller_link_silenced": _silence_link("caller_links"),
}


__all__ = ["ACTS", "PlannedFault", "carry_out", "draw_faults"]
