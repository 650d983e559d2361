"""Measurement of costs at several sizes.

docs/CAPACITY.md derives the costs at the target size from these figures.
"""

from __future__ import annotations

import asyncio
import gc
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import msgspec

from tamarackshelf.contracts import Row
from tamarackshelf.controller.fleet_view import ViewInputs, build_view
from tamarackshelf.peers import View
from tamarackshelf.policy.cursor import Cursor, encode_cursor
from tamarackshelf.policy.delivery import plan_delivery
from tamarackshelf.policy.membership import MemberStatus, MemberView
from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.policy.routing import Candidate, TargetRequirements, route
from tamarackshelf.policy.rumours import RumourMap
from tamarackshelf.policy.staleness import Freshness
from tamarackshelf.trials.gateway_cost import measure_gateway
from tamarackshelf.trials.gossip import measure_spread
from tamarackshelf.world import (
    Address,
    Configuration,
    EntryVm,
    OrganisationParameters,
    Sample,
    Segment,
    Target,
    TargetKind,
    VmRow,
    VmState,
)

GOSSIP_SIZES = (12, 50, 100, 380)
# Shares of lost datagrams.
LOSSES = (0.0, 0.05, 0.2)
# Numbers of entry VMs and targets.
FLEET_SIZES = ((12, 9), (100, 970), (380, 3700))
STEP_SIZES = (512, 1024, 2048)
CANDIDATE_SIZES = (4, 16, 64)
TOKENS_PER_SAMPLE = 512
REPEATS = 5


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measured value."""

    name: str
    size: str
    value: float
    unit: str

    def format(self) -> str:
        """Return the measurement as key=value pairs."""
        return (
            f"measure={self.name} size={self.size} value={self.value:.4g} "
            f"unit={self.unit}"
        )


def measure_scaling(report: Callable[[Measurement], None]) -> None:
    """Run all measurements in turn and report each result."""
    for measurement in _measure_gossip():
        report(measurement)
    for entries, targets in FLEET_SIZES:
        for measurement in _measure_view(entries, targets):
            report(measurement)
    for slots in STEP_SIZES:
        for measurement in _measure_step(slots):
            report(measurement)
    for count in CANDIDATE_SIZES:
        report(_measure_route(count))
    for name, size, value, unit in asyncio.run(measure_gateway()):
        report(Measurement(name, size, value, unit))


def _measure_gossip() -> list[Measurement]:
    measurements = []
    for members in GOSSIP_SIZES:
        for loss in LOSSES:
            size = f"{members}@{loss}"
            for name, result in measure_spread(members, loss, seed=1).items():
                if name != "quiet":
                    measurements.append(
                        Measurement(f"all_know_{name}", size, result.convergence_s, "s")
                    )
                measurements.append(
                    Measurement(
                        f"gossip_{name}", size, result.bytes_per_s, "bytes_per_s"
                    )
                )
                measurements.append(
                    Measurement(f"gossip_cpu_{name}", size, result.cpu_share, "cores")
                )
    return measurements


def _measure_view(entries: int, targets: int) -> list[Measurement]:
    inputs = build_view_inputs(entries, targets)
    rumours = RumourMap()
    size = f"{entries}x{targets}"
    view = build_view(1, True, inputs, rumours)
    data = msgspec.json.encode(view)
    names = [row.name for row in inputs.rows]
    return [
        Measurement(
            "view_build",
            size,
            _measure_cpu_s(lambda: build_view(1, True, inputs, rumours)),
            "s",
        ),
        Measurement(
            "view_encode", size, _measure_cpu_s(lambda: msgspec.json.encode(view)), "s"
        ),
        Measurement(
            "view_decode",
            size,
            _measure_cpu_s(lambda: msgspec.json.decode(data, type=View)),
            "s",
        ),
        Measurement("view_size", size, len(data), "bytes"),
        Measurement("list_size", size, len(msgspec.json.encode(inputs.rows)), "bytes"),
        Measurement(
            "view_memory",
            size,
            _measure_growth_bytes(
                lambda: [msgspec.json.decode(data, type=View) for _ in range(10)]
            )
            / 10,
            "bytes",
        ),
        Measurement(
            "find_owner", size, _measure_cpu_s(lambda: find_owner(names, "step/1")), "s"
        ),
    ]


def _measure_step(slots: int) -> list[Measurement]:
    samples = {slot: _build_sample(slot) for slot in range(slots)}
    parameters = OrganisationParameters("org", ("models",))
    cursor = Cursor("c.s1").with_slots(range(0, slots, 2))
    freshness = Freshness(1, 0.0)
    size = str(slots)
    encoded = msgspec.json.encode(samples[0])
    row = Row("slots/c.s1/00000", encoded.decode(), 1)
    return [
        Measurement(
            "hand_over",
            size,
            _measure_cpu_s(
                lambda: plan_delivery(samples, cursor, parameters, freshness, 256)
            ),
            "s",
        ),
        Measurement("cursor_size", size, len(encode_cursor(cursor)), "bytes"),
        Measurement("slot_row_size", size, len(msgspec.json.encode(row)), "bytes"),
        Measurement(
            "sample_encode",
            size,
            _measure_cpu_s(lambda: msgspec.json.encode(samples[0])),
            "s",
        ),
        Measurement(
            "step_memory",
            size,
            _measure_growth_bytes(
                lambda: {slot: _build_sample(slot) for slot in range(slots)}
            ),
            "bytes",
        ),
    ]


def _measure_route(count: int) -> Measurement:
    targets = _build_targets(count)
    candidates = [Candidate(target, 1, 2, 2) for target in targets]
    need = TargetRequirements("s0", affinity="prompt", data_centre="dc0")
    rng = Random(1)
    return Measurement(
        "route", str(count), _measure_cpu_s(lambda: route(candidates, need, rng)), "s"
    )


def build_view_inputs(entries: int, targets: int) -> ViewInputs:
    """Return the view inputs of a fleet with these numbers of VMs and targets."""
    address = Address("127.0.0.1", 7000)
    rows = [
        VmRow(
            f"vm-{i:04d}",
            VmState.LIVE,
            entry=EntryVm(f"vm-{i:04d}", f"dc{i % 16}", *(address for _ in range(6))),
        )
        for i in range(entries)
    ]
    rows += [
        VmRow(f"vm-{target.name}", VmState.LIVE, target=target)
        for target in _build_targets(targets)
    ]
    flags = frozenset({"gateway", "runner"})
    members = tuple(
        MemberView(row.name, MemberStatus.ALIVE, flags)
        for row in rows
        if row.entry is not None
    )
    return ViewInputs(Configuration(revision=1), tuple(rows), members)


def _build_targets(count: int) -> list[Target]:
    base = Target("", "", TargetKind.ENGINE, "", Address("127.0.0.1", 1), 1, 16)
    return [
        replace(
            base, name=f"engine-{i:04d}", service=f"s{i % 5}", data_centre=f"dc{i % 16}"
        )
        for i in range(count)
    ]


def _build_sample(slot: int) -> Sample:
    tokens = tuple(f"{slot:03x}{i:03x}" for i in range(TOKENS_PER_SAMPLE))
    segments = (Segment(0, TOKENS_PER_SAMPLE, 1),)
    return Sample("c.s1", slot, 0, "prompt", 1, tokens, segments, 0.5, 0.0)


def _measure_cpu_s(action: Callable[[], object]) -> float:
    """Return the median CPU time of one call in seconds."""
    times = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        count = 0
        while time.process_time() - started_s < 0.02:
            action()
            count += 1
        times.append((time.process_time() - started_s) / count)
    return sorted(times)[REPEATS // 2]


def _measure_growth_bytes(action: Callable[[], object]) -> float:
    """Return the growth of resident memory by the action's result, in bytes."""
    gc.collect()
    before = _resident_bytes()
    kept = action()
    grown = _resident_bytes() - before
    del kept
    return max(0.0, float(grown))


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as page:
        pages = int(page.read().split()[1])
    return pages * resource.getpagesize()


__all__ = ["Measurement", "build_view_inputs", "measure_scaling"]
