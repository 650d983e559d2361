"""A worker goes dark; the consumers of its streams leave, and the streams go on."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

from small_deployment import (
    BROKEN,
    HELD,
    CaseNotRun,
    Record,
    SmallDeployment,
    is_troubled,
    run_case,
)

from tamarackshelf.net import ConnectFailed, ConnectionLost
from tests.soak import responses, workers
from tests.soak.callers import HOST, MODEL, STREAM_PATH, build_configuration

CONSUMERS = 24
# A consumer leaves a stream after a gap of 2 s, four times the objective (0.4 s) or
# eight times the pause that the sheet allows (0.12 s), whichever is longest.
GAP_S = 2.0
TIMEOUT_S = 12.0
# `srv_crash` of kis-barge: dark, for_s = 4.5.
DARK_S = 4.5
# The store removes an entry after three ping intervals of silence.
ENTRY_S = 3.6
ROUNDS = 2
LATE_S = 0.5
# What the rule calls a few.
FEW = 3


@dataclass
class Consumer:
    """A consumer's stream, and when it closed its channel before the stream's end."""

    request_id: str
    left_s: float | None = None


async def play(record: Record) -> int:
    """Play the case; return its exit status."""
    responses.EVENT_COUNT_RANGE = (60, 100)
    workers.EVENT_INTERVAL_S = 0.06
    deployment = SmallDeployment(
        record, engines=4, configuration=build_configuration(1, timeout_ms=10_000)
    )
    consumers: list[Consumer] = []
    try:
        await deployment.start()
        await asyncio.sleep(3.0)
        for number in range(ROUNDS):
            tasks = []
            for n in range(CONSUMERS):
                consumer = Consumer(f"s{number}c{n}")
                consumers.append(consumer)
                node = f"n{n % len(deployment.nodes) + 1}"
                read = read_stream(deployment, node, consumer)
                tasks.append(asyncio.create_task(read))
                await asyncio.sleep(0.03)
            await asyncio.sleep(1.0)
            if is_troubled():
                await go_dark(deployment, number)
            await asyncio.gather(*tasks)
            await asyncio.sleep(2.0)
        late = list_late_runs(deployment, consumers)
        left = sum(consumer.left_s is not None for consumer in consumers)
        for line in late:
            record.note(line)
        text = f"{left} consumers left, {len(late)} requests reached a worker later"
        record.note(text)
        print(text)
        if is_troubled() and not left:
            raise CaseNotRun("no consumer left its stream")
        return BROKEN if len(late) > FEW else HELD
    finally:
        for run in deployment.history.runs:
            record.note(f"run {run.request_id} at {run.worker}")
        await deployment.close()


async def go_dark(deployment: SmallDeployment, number: int) -> None:
    """Let one of the engines send and take nothing for DARK_S, and start it anew."""
    worker = deployment.workers[number]
    index = deployment.workers.index(worker)
    paths = [paths[index] for paths in deployment.paths.values()]
    deployment.record.note(f"{worker.name} goes dark")
    for path in paths:
        path.faults.is_cut_up = path.faults.is_cut_down = True
        path.stop_listening()
    versions = worker.state.versions
    await worker.crash()
    await asyncio.sleep(ENTRY_S)
    deployment.store.rows.put("servers", worker.name, None)
    deployment.record.note(f"store: the entry of {worker.name} is removed")
    await asyncio.sleep(DARK_S - ENTRY_S)
    for path in paths:
        path.reset_all()
        path.faults.is_cut_up = path.faults.is_cut_down = False
    await deployment.start_worker(worker, versions)
    for path in paths:
        await path.start()
    deployment.record.note(f"{worker.name} has started again and resets old channels")


async def read_stream(
    deployment: SmallDeployment, node: str, consumer: Consumer
) -> None:
    """Read a stream to its end, or until it has had no event for GAP_S."""
    record = deployment.record
    headers = {
        "host": HOST,
        "x-request-id": consumer.request_id,
        "x-model": MODEL,
        "x-deadline-ms": str(int(TIMEOUT_S * 1000)),
    }
    record.note(f"open {consumer.request_id} at {node}")
    events = 0
    try:
        async with deployment.http.stream(
            deployment.nodes[node].caller_address,
            "POST",
            f"{STREAM_PATH}x",
            headers=headers,
            timeout_s=TIMEOUT_S,
            new_connection=True,
        ) as answer:
            chunks = answer.chunks()
            while True:
                async with asyncio.timeout(GAP_S):
                    chunk = await anext(chunks, None)
                if chunk is None:
                    break
                events += chunk.count(b"\n\n")
        record.note(f"{consumer.request_id} is whole after {events} events")
    except TimeoutError:
        consumer.left_s = time.monotonic()
        record.note(f"{consumer.request_id} is left after {events} events and a gap")
    except (ConnectFailed, ConnectionLost) as error:
        record.note(f"{consumer.request_id} is broken off after {events}: {error}")


def list_late_runs(
    deployment: SmallDeployment, consumers: list[Consumer]
) -> list[str]:
    """Return what reached a worker over LATE_S after its consumer's close."""
    left = {c.request_id: c.left_s for c in consumers if c.left_s is not None}
    return [
        f"GONE: {run.request_id} reaches {run.worker} "
        f"{run.received_s - left[run.request_id]:.2f} s after its consumer left"
        for run in deployment.history.runs
        if run.request_id in left and run.received_s > left[run.request_id] + LATE_S
    ]


run_case(play, Path(__file__).parent)
