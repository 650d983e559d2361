"""Smoke tests that run the programs as child processes and call them over HTTP."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time

import msgspec
import pytest

from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.standin.group import StandinGroupSettings
from tamarackshelf.world import (
    Address,
    Campaign,
    EntryVm,
    OrganisationParameters,
    Target,
    TargetKind,
    digest_token,
    parse_address,
)
from tests.conftest import find_free_address

SECRET = "a-secret-of-the-fleet"
OPERATOR_TOKEN = "operator-token"
CUSTOMER_TOKEN = "customer-token"
TIMEOUT_S = 60
VALID_FOR_S = 0.2


def build_target(name, service, kind):
    return Target(name, service, kind, "a", find_free_address(), 1, 8)


@pytest.fixture
def entry_count():
    return 2


@pytest.fixture
def scene(entry_count):
    entries = tuple(
        EntryVm(f"vm{i}", "a", *(find_free_address() for _ in range(6)))
        for i in range(entry_count)
    )
    return StandinGroupSettings(
        table=find_free_address(),
        platform=find_free_address(),
        targets=(
            build_target("e1", "models", TargetKind.ENGINE),
            build_target("e2", "models", TargetKind.ENGINE),
            build_target("p1", "desk", TargetKind.PLAIN),
            build_target("s1", "scorer", TargetKind.SCORER),
        ),
        entries=entries,
        models=("m",),
        list_lag_s=0.0,
        straggler_share=0.0,
    )


@pytest.fixture
def programs(scene, tmp_path):
    path = tmp_path / "scene.json"
    path.write_bytes(msgspec.json.encode(scene))
    environment = {
        **os.environ,
        "TAMARACKSHELF_SECRET": SECRET,
        "TAMARACKSHELF_TABLE": str(scene.table),
        "TAMARACKSHELF_VM_LIST": str(scene.platform),
        "TAMARACKSHELF_OPERATOR_DIGEST": digest_token(OPERATOR_TOKEN),
        "TAMARACKSHELF_VALID_FOR_S": str(VALID_FOR_S),
    }
    log = (tmp_path / "log").open("w")
    started = {}

    def start(name, *flags, vm=""):
        command = [sys.executable, "-m", f"tamarackshelf.cli.{name}", *flags]
        process = subprocess.Popen(command, env=environment, stderr=log)
        started[f"{name}@{vm}"] = process

    start("standin", f"--scene={path}")
    for entry in scene.entries:
        vm = entry.name
        vm_flags = (f"--vm={vm}", f"--data-centre={entry.data_centre}")
        controller = f"--controller={entry.controller}"
        start(
            "controller",
            *vm_flags,
            f"--listen={entry.controller}",
            f"--gossip={entry.gossip}",
            vm=vm,
        )
        start(
            "gateway",
            *vm_flags,
            f"--listen={entry.gateway}",
            f"--peer-listen={entry.gateway_peer}",
            controller,
            vm=vm,
        )
        start(
            "runner",
            *vm_flags,
            f"--listen={entry.runner}",
            f"--peer-listen={entry.runner_peer}",
            controller,
            vm=vm,
        )
    yield started
    for process in started.values():
        if process.poll() is None:
            process.kill()
        process.wait()
    log.close()


async def call(address, method, path, body=None, token=CUSTOMER_TOKEN, **headers):
    http = HttpClient(headers={"authorization": f"Bearer {token}", **headers})
    data = b"" if body is None else msgspec.json.encode(body)
    try:
        answer = await http.request(address, method, path, body=data, timeout_s=30)
    finally:
        await http.close()
    return answer.status, msgspec.json.decode(answer.body)


async def call_until(address, method, path, body, is_accepted, **options):
    deadline = time.monotonic() + TIMEOUT_S
    last = None
    while time.monotonic() < deadline:
        try:
            last = await call(address, method, path, body, **options)
            if is_accepted(*last):
                return last
        except (ConnectFailed, ConnectionLost) as error:
            last = error
        await asyncio.sleep(0.1)
    raise AssertionError(f"{path} was not as expected in {TIMEOUT_S} s: {last}")


async def accept_configuration(gateway: Address):
    parameters = OrganisationParameters(
        organisation="org",
        services=("models", "desk"),
        models=("m",),
        token_digests=(digest_token(CUSTOMER_TOKEN),),
        non_idempotent_routes=("desk/book",),
    )
    edits = [
        ("templates", {"parameters": parameters}),
        ("campaigns", {"campaign": Campaign("c", "org", "models", "m", "scorer")}),
    ]
    for i in range(len(edits)):
        path, edit = edits[i]
        edit = {"based_on": i, "author": "test", **edit}
        await call_until(
            gateway,
            "POST",
            f"/v1/operator/{path}",
            edit,
            lambda status, body: status == 200,
            token=OPERATOR_TOKEN,
        )


async def pull_complete_step(gateway: Address, step: str, allow_refusals: bool = False):
    """Pull until the step is complete and return its samples.

    With `allow_refusals`, repeat pulls that a gateway refuses with status 503 and
    `not_run`, as it does until a killed owner of the step is replaced.
    """
    samples, cursor = [], None
    while True:
        path = f"/v1/steps/{step}/pull"
        status, answer = await call(gateway, "POST", path, {"cursor": cursor})
        if allow_refusals and status == 503 and answer["not_run"]:
            await asyncio.sleep(0.1)
            continue
        assert status == 200, answer
        samples += answer["samples"]
        cursor = answer["cursor"]
        if answer["is_complete"]:
            return samples


async def start_fleet(scene):
    gateways = [entry.gateway for entry in scene.entries]
    await accept_configuration(gateways[0])

    def lists_all_entries(status, body):
        return status == 200 and len(body["entries"]) == len(gateways)

    for gateway in gateways:
        await call_until(gateway, "GET", "/v1/entries", None, lists_all_entries)


async def use_every_interface(scene):
    first, second = (entry.gateway for entry in scene.entries)
    await start_fleet(scene)
    status, answer = await call(
        second, "POST", "/v1/services/models/completions", {"model": "m", "prompt": "x"}
    )
    assert status == 200
    assert answer["length"] == len(answer["tokens"]) > 0
    for gateway in (first, second):
        status, booked = await call(
            gateway,
            "POST",
            "/v1/services/desk/call/book",
            {"mare": 1},
            **{"idempotency-key": "k1"},
        )
        assert status == 200, booked
    status, history = await call(
        second, "GET", "/v1/operator/history", token=OPERATOR_TOKEN
    )
    assert [entry["changed"] for entry in history] == [["campaign c"], ["template org"]]
    status, opened = await call(
        first,
        "POST",
        "/v1/campaigns/c/steps",
        {"name": "s1", "prompts": ["p", "q"], "group_size": 4, "weight_version": 0},
    )
    assert (status, opened) == (200, {"step": "c.s1", "slot_count": 8})
    samples = await pull_complete_step(second, "c.s1")
    assert sorted(sample["slot"] for sample in samples) == list(range(8))
    service = next(t for t in scene.targets if t.name == "p1")
    _, runs = await call(service.address, "GET", "/standin/runs")
    assert list(runs.values()) == [1]


def test_separate_processes_serve_completions_calls_and_steps(scene, programs):
    asyncio.run(use_every_interface(scene))
    for process in reversed(programs.values()):
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0


async def open_step(gateway, name, prompts):
    body = {"name": name, "prompts": prompts, "group_size": 8, "weight_version": 0}
    status, opened = await call(gateway, "POST", "/v1/campaigns/c/steps", body)
    assert status == 200, opened
    return opened


async def publish(gateway, version):
    status, _ = await call(
        gateway, "POST", "/v1/models/m/published", {"version": version}
    )
    assert status == 200


async def wait_for_version(scene, version):
    for target in scene.targets:
        if target.kind is TargetKind.ENGINE:
            await call_until(
                target.address,
                "GET",
                "/v1/state",
                None,
                lambda status, body: body["versions"]["m"] == version,
            )


async def kill_runner_and_pause_controller(scene, programs):
    """Kill a runner in the middle of a step; pause the controller with the lease."""
    names = [entry.name for entry in scene.entries]
    entries = {entry.name: entry for entry in scene.entries}
    await start_fleet(scene)
    holder = find_owner(names, "models#0")
    killed = next(name for name in names if name != holder)
    untouched = next(name for name in names if name not in (holder, killed))
    gateway = entries[untouched].gateway
    opened = await open_step(gateway, "s1", [f"p{i}" for i in range(12)])
    programs[f"runner@{killed}"].kill()
    samples = await pull_complete_step(gateway, opened["step"], allow_refusals=True)
    slots = sorted(sample["slot"] for sample in samples)
    assert slots == list(range(opened["slot_count"]))

    await call(scene.platform, "POST", "/v1/weights", {"model": "m", "version": 9})
    await publish(gateway, 1)
    await wait_for_version(scene, 1)
    programs[f"controller@{holder}"].send_signal(signal.SIGSTOP)
    await publish(gateway, 2)
    await wait_for_version(scene, 2)
    programs[f"controller@{holder}"].send_signal(signal.SIGCONT)
    await publish(gateway, 3)
    await wait_for_version(scene, 3)


@pytest.mark.parametrize("entry_count", [3])
def test_fleet_survives_a_killed_runner_and_a_paused_controller(scene, programs):
    asyncio.run(kill_runner_and_pause_controller(scene, programs))


async def request_entries(scene, caller):
    """Return the caller's list of entries from the first gateway that gives one."""
    for entry in scene.entries:
        try:
            path = f"/v1/entries?caller={caller}"
            status, answer = await call(entry.gateway, "GET", path)
        except (ConnectFailed, ConnectionLost):
            continue
        if status == 200:
            return [parse_address(text) for text in answer["entries"]]
    raise AssertionError("no gateway answers")


async def send_completions(scene, stop, caller):
    """Send completions until `stop` is set and return their statuses.

    Send each request just before the validity of its list of entries ends, so that it
    may go to a gateway that is about to close.
    """
    statuses = []
    while not stop.is_set():
        entries = await request_entries(scene, caller)
        await asyncio.sleep(VALID_FOR_S * 0.9)
        body = {"model": "m", "prompt": f"p{len(statuses)}", "max_tokens": 400}
        path = "/v1/services/models/completions"
        status, _ = await call(entries[0], "POST", path, body)
        statuses.append(status)
    return statuses


async def stop_gateways_under_load(scene, programs):
    await start_fleet(scene)
    stop = asyncio.Event()
    callers = [
        asyncio.ensure_future(send_completions(scene, stop, i)) for i in range(8)
    ]
    for entry in scene.entries[:2]:
        await asyncio.sleep(0.5)
        process = programs[f"gateway@{entry.name}"]
        process.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(process.wait, TIMEOUT_S) == 0
    stop.set()
    for statuses in await asyncio.gather(*callers):
        assert statuses
        assert set(statuses) == {200}


@pytest.mark.parametrize("entry_count", [3])
def test_gateway_stopped_under_load_fails_no_request(scene, programs):
    asyncio.run(stop_gateways_under_load(scene, programs))
