"""One deployment in this process: stand-ins and entry VMs, over loopback."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from tamarackshelf.controller import Controller, ControllerSettings
from tamarackshelf.demo.deployments import (
    ANY_PORT,
    Deployment,
    build_campaigns,
    build_parameters,
    build_targets,
)
from tamarackshelf.gateway import Gateway, GatewaySettings
from tamarackshelf.net import ConnectFailed, HttpClient
from tamarackshelf.observe import Timeline
from tamarackshelf.observe.decision_trace import (
    Recorder,
    build_recorder,
    record_nothing,
)
from tamarackshelf.policy.lease import LeaseTimes
from tamarackshelf.policy.routing import Router, route
from tamarackshelf.runner import Runner, RunnerSettings
from tamarackshelf.standin.group import StandinGroup, StandinGroupSettings
from tamarackshelf.world import (
    Address,
    EntryVm,
    VmState,
    build_delay_function,
    digest_token,
)

OPERATOR_TOKEN = "operator-of-the-demo"
SECRET = "secret-of-the-demo-fleet"
VALID_FOR_S = 0.5
LIST_LAG_S = 1.0
READY_TIMEOUT_S = 30.0
CHUNK_S = 0.05
SWAP_S = 0.15
LEASE_TIMES = LeaseTimes(
    lease_s=3.0, renew_every_s=1.0, margin_s=0.5, order_flight_s=1.0
)
CLIENT_LOCATION = "client"
PLATFORM_LOCATION = "platform"


@dataclass(slots=True)
class DemoVm:
    """The programs of one entry VM and the HTTP client that they share."""

    name: str
    data_centre: str
    http: HttpClient
    controller: Controller
    gateway: Gateway
    runner: Runner
    is_up: bool = True

    @property
    def entry(self) -> EntryVm:
        """The VM as the platform's list shows it."""
        return EntryVm(
            name=self.name,
            data_centre=self.data_centre,
            gateway=self.gateway.address,
            gateway_peer=self.gateway.peer_address,
            runner_peer=self.runner.peer_address,
            controller=self.controller.address,
            gossip=self.controller.gossip_address,
            runner=self.runner.address,
        )


class SimulatedNetwork:
    """Locations of all addresses, with the delays and cut links between them.

    An address is at PLATFORM_LOCATION unless its location is set.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._delay_s = build_delay_function(deployment.network_delays)
        self._locations: dict[Address, str] = {}
        self._cut_links: set[tuple[str, str]] = set()

    def set_location(self, address: Address, data_centre: str) -> None:
        """Set the data centre in which an address is."""
        self._locations[address] = data_centre

    def cut_link(self, origin: str, destination: str) -> None:
        """Refuse new connections over a link, as in a network partition."""
        self._cut_links.add((origin, destination))

    def restore_links(self) -> None:
        """Restore all links."""
        self._cut_links.clear()

    def build_delay(self, origin: str) -> Callable[[Address], float]:
        """Return a function for the delay in seconds from `origin` to an address.

        The function raises ConnectFailed if the link is cut.
        """

        def delay_s(address: Address) -> float:
            destination = self._locations.get(address, PLATFORM_LOCATION)
            if (origin, destination) in self._cut_links:
                raise ConnectFailed(f"the link from {origin} to {destination} is cut")
            return self._delay_s(origin, destination)

        return delay_s


class DemoFleet:
    """One deployment's entry VMs and stand-ins, with operations to inject faults."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        router: Router = route,
        straggler_share: float = 0.02,
        write_trace: Callable[[bytes], object] | None = None,
    ) -> None:
        self._write_trace = write_trace
        self.deployment = deployment
        self.network = SimulatedNetwork(deployment)
        self.vms: dict[str, DemoVm] = {}
        self.timelines: list[Timeline] = []
        self._seed = seed
        self._router = router
        self.standins = StandinGroup(
            StandinGroupSettings(
                table=ANY_PORT,
                platform=ANY_PORT,
                targets=build_targets(deployment),
                models=deployment.models,
                list_lag_s=LIST_LAG_S,
                chunk_s=CHUNK_S,
                swap_s=SWAP_S,
                straggler_share=straggler_share,
            )
        )

    async def start(self) -> None:
        """Start stand-ins and VMs, set the configuration and wait for the VMs.

        Raise RuntimeError if a VM is not ready within READY_TIMEOUT_S.
        """
        await self.standins.start()
        for standin in self.standins.targets.values():
            self.network.set_location(
                standin.target.address, standin.target.data_centre
            )
        centres = self.deployment.data_centres
        for i in range(self.deployment.entry_vms):
            await self.start_vm(
                f"{self.deployment.name}-vm{i}", centres[i % len(centres)]
            )
        self.standins.platform.skip_list_lag()
        await self._accept_configuration()
        await asyncio.gather(*(self._wait_ready(vm) for vm in self.vms.values()))

    async def close(self) -> None:
        """Stop all VMs gracefully, then the stand-ins."""
        await asyncio.gather(*(self._close_vm(vm) for vm in self.vms.values()))
        await self.standins.close()

    async def start_vm(self, name: str, data_centre: str) -> DemoVm:
        """Start an entry VM and add it to the platform's list."""
        delay_s = self.network.build_delay(data_centre)
        http = HttpClient(delay_s)
        controller = Controller(
            self._controller_settings(name, data_centre),
            http,
            self._timeline("controller", name),
            self._recorder("controller", name),
        )
        await controller.start()
        gateway = Gateway(
            GatewaySettings(
                vm=name,
                data_centre=data_centre,
                listen=ANY_PORT,
                peer_listen=ANY_PORT,
                controller=controller.address,
                table=self.standins.table_address,
                secret=SECRET,
                operator_digest=digest_token(OPERATOR_TOKEN),
                valid_for_s=VALID_FOR_S,
                seed=self._seed,
            ),
            http,
            self._timeline("gateway", name),
            self._router,
            self._recorder("gateway", name),
        )
        runner = Runner(
            RunnerSettings(
                vm=name,
                data_centre=data_centre,
                listen=ANY_PORT,
                peer_listen=ANY_PORT,
                controller=controller.address,
                table=self.standins.table_address,
                secret=SECRET,
                seed=self._seed,
            ),
            http,
            self._timeline("runner", name),
            self._router,
            self._recorder("runner", name),
        )
        await gateway.start()
        await runner.start()
        vm = DemoVm(name, data_centre, http, controller, gateway, runner)
        self.vms[name] = vm
        for address in (gateway.address, controller.address, runner.address):
            self.network.set_location(address, data_centre)
        self.standins.list_entry(vm.entry)
        return vm

    async def crash_vm(self, name: str) -> None:
        """Abort all programs of a VM; the platform's list keeps the VM."""
        vm = self.vms[name]
        vm.is_up = False
        await asyncio.gather(
            vm.gateway.abort(), vm.runner.abort(), vm.controller.abort()
        )

    async def crash_runner(self, name: str) -> None:
        """Abort only the runner of a VM."""
        await self.vms[name].runner.abort()

    async def stop_vm(self, name: str) -> None:
        """Stop a VM gracefully and remove it from the platform's list."""
        vm = self.vms[name]
        self.standins.list_entry(vm.entry, VmState.LEAVING)
        await asyncio.gather(vm.gateway.drain(), vm.runner.drain())
        await self._close_vm(vm)
        self.standins.platform.remove_vm(name)

    async def replace_vm(self, name: str) -> None:
        """Replace a VM that was stopped or crashed by a new one in its data centre."""
        old = self.vms.pop(name)
        self.standins.platform.remove_vm(name)
        await self.start_vm(f"{name}+", old.data_centre)

    def list_live_vms(self) -> list[DemoVm]:
        """Return the VMs that were neither stopped nor crashed."""
        return [vm for vm in self.vms.values() if vm.is_up]

    async def _close_vm(self, vm: DemoVm) -> None:
        if not vm.is_up:
            return
        vm.is_up = False
        await asyncio.gather(vm.gateway.close(), vm.runner.close())
        await vm.controller.close()
        await vm.http.close()

    async def _accept_configuration(self) -> None:
        edits: list[tuple[str, dict[str, object]]] = [
            ("templates", {"parameters": build_parameters(self.deployment)})
        ]
        edits += [
            ("campaigns", {"campaign": campaign})
            for campaign in build_campaigns(self.deployment)
        ]
        gateway = next(iter(self.vms.values())).gateway.address
        http = HttpClient(headers={"authorization": f"Bearer {OPERATOR_TOKEN}"})
        for revision, (path, edit) in enumerate(edits):
            body = msgspec.json.encode({"based_on": revision, "author": "demo", **edit})
            answer = await http.request(
                gateway, "POST", f"/v1/operator/{path}", body=body
            )
            if answer.status != 200:
                raise RuntimeError(
                    f"the gateway refused the configuration: {answer.body!r}"
                )
        await http.close()

    async def _wait_ready(self, vm: DemoVm) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        expected_revision = 1 + len(self.deployment.trained_models)
        entries = self.deployment.entry_vms
        while time.monotonic() < deadline_s:
            for watch in (vm.gateway.watch, vm.runner.watch):
                ready_entries = [v for v in watch.view.entries if len(v.roles) == 2]
                if (
                    watch.view.configuration.revision < expected_revision
                    or len(ready_entries) < entries
                ):
                    break
            else:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{vm.name} was not ready within {READY_TIMEOUT_S} s")

    def _controller_settings(self, name: str, data_centre: str) -> ControllerSettings:
        return ControllerSettings(
            vm=name,
            data_centre=data_centre,
            listen=ANY_PORT,
            gossip=ANY_PORT,
            table=self.standins.table_address,
            vm_list=self.standins.platform_address,
            secret=SECRET,
            seed=self._seed,
            lease=LEASE_TIMES,
        )

    def _recorder(self, program: str, vm: str) -> Recorder:
        if self._write_trace is None:
            return record_nothing
        return build_recorder(f"{program}@{vm}", self._write_trace)

    def _timeline(self, program: str, vm: str) -> Timeline:
        timeline = Timeline(f"{program}@{vm}", lambda: time.time_ns() // 1_000_000)
        self.timelines.append(timeline)
        return timeline


__all__ = ["CLIENT_LOCATION", "OPERATOR_TOKEN", "DemoFleet", "DemoVm"]
