"""Workers send a late second copy of an answer of 500 on the channel that they keep."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import uuid
from pathlib import Path

from review.support.lab import BROKEN, HELD, HOST, TROUBLE, Engine, Lab, main

LOTS = 10
# All places of the engines are taken by one step.
GROUPS, GROUP_SIZE = 10, 4
EVENTS = 20
PAUSE_S = 0.04
MAX_ATTEMPTS = 3
# The site's largest dose: 0.6 of the workers, 0.03 of their answers.
GARBLING = 3
WORKERS = 5
COPIED_SHARE = 0.03


async def play(lab: Lab) -> int:
    for number in range(WORKERS):
        engine = Engine(
            f"i-{number}",
            lab.worker_address(number),
            lab,
            slots=8,
            events=EVENTS,
            pause_s=PAUSE_S,
            models=("m0",),
        )
        engine.is_garbling = TROUBLE and number < GARBLING
        lab.workers.append(engine)
    lab.put_config(
        [
            {
                "name": "round",
                "host": HOST,
                "pathPrefix": "/round/",
                "routeType": "rollout",
                "upstream": "models",
                "timeoutMs": 10000,
                "targetLatencyMs": 500,
                "maxAttempts": MAX_ATTEMPTS,
                "dueMs": 7500,
                "maxWaitS": 60,
                "priority": 0,
            }
        ],
        [
            {
                "name": "models",
                "maxConnections": 150,
                "backend": {"models": [{"name": "m0"}]},
            }
        ],
    )
    lab.copied_share = COPIED_SHARE
    await lab.start()
    terminated_early = 0
    for _ in range(LOTS):
        terminated_early += await play_lot(lab)
    answers = sum(r.outcome.startswith(("answered", "complete")) for r in lab.runs)
    lab.record.write(
        "check",
        "terminated early",
        items=terminated_early,
        answers=answers,
        answers_of_faulty_workers=lab.faulty_answers,
        copies=lab.copies,
    )
    return BROKEN if terminated_early else HELD


async def play_lot(lab: Lab) -> int:
    """Play one step; return the number of items that are terminated too early.

    One item gets 500 twice and would be completed by its third run.
    """
    lot = uuid.uuid4().hex[:16]
    items = [uuid.uuid4().hex[:16] for _ in range(GROUPS * GROUP_SIZE)]
    failing = random.choice(items)
    lab.failures[failing] = [500, 500]
    lab.copied_late.add(failing)
    body = json.dumps(
        {
            "step": 0,
            "model": "m0",
            "minVersion": 1,
            "groupCount": GROUPS,
            "requests": [
                {
                    "id": item,
                    "path": f"/round/{item}",
                    "tokens": 2000,
                    "headers": {"X-Model": "m0", "X-Token-Count": "1000,1000"},
                    "body": base64.b64encode(item.encode()).decode(),
                    "group": f"{lot}-{n // GROUP_SIZE}",
                }
                for n, item in enumerate(items)
            ],
        }
    ).encode()
    node = random.choice(lab.nodes)
    answer = await lab.call(
        node.front,
        "POST",
        f"/round/{lot}",
        body=body,
        who="trainer",
        headers={"host": HOST, "x-request-id": lot, "content-type": "application/json"},
    )
    if answer.status != 202:
        raise RuntimeError("a batch submission was not accepted")
    results = await read_all(lab, lot, len(items))
    early = 0
    for result in results:
        runs = [r.outcome for r in lab.runs if r.request_id == result["id"]]
        failures = runs.count("answered 500")
        if result["id"] == failing or result["state"] != "completed":
            lab.record.write(
                "trainer", "result", item=result["id"], state=result["state"], runs=runs
            )
        early += result["state"] == "terminated" and failures < MAX_ATTEMPTS
    await lab.call(
        node.front, "DELETE", f"/v1/lots/{lot}", headers={"host": HOST}, who="trainer"
    )
    return early


async def read_all(lab: Lab, lot: str, count: int) -> list[dict]:
    results: list[dict] = []
    until_s = lab.record.now_s() + 12.0
    while len(results) < count and lab.record.now_s() < until_s:
        answer = await lab.call(
            random.choice(lab.nodes).front,
            "GET",
            f"/v1/lots/{lot}?after={len(results)}",
            headers={"host": HOST, "x-wait-ms": "1000"},
            timeout_s=2.5,
            quiet=True,
        )
        if answer.status == 200:
            results += json.loads(answer.body)["results"]
        await asyncio.sleep(0.3)
    lab.record.write("trainer", "has read", lot=lot, results=len(results), of=count)
    return results


main(Path(__file__).parent, 4, play)
