"""Command line interface of tamarackshelf-controller."""

from __future__ import annotations

from tamarackshelf.cli import settings as s
from tamarackshelf.cli.program import (
    DeferredCommand,
    run_command,
    start_or_check,
    wall_ms,
)
from tamarackshelf.controller import Controller, ControllerSettings
from tamarackshelf.controller.reconciler import WeightUpdateSettings
from tamarackshelf.net import HttpClient
from tamarackshelf.observe import Timeline

WAVE_SHARE = s.Setting("wave_share", s.parse_positive, "0.5")
SETTINGS = (
    s.VM,
    s.DATA_CENTRE,
    s.LISTEN,
    s.GOSSIP,
    s.TABLE,
    s.VM_LIST,
    s.SECRET,
    WAVE_SHARE,
    s.LOG_FORMAT,
    s.SEED,
)


def controller(
    vm: str | None = None,
    data_centre: str | None = None,
    listen: str | None = None,
    gossip: str | None = None,
    table: str | None = None,
    vm_list: str | None = None,
    wave_share: float | None = None,
    log_format: str | None = None,
    seed: int | None = None,
    check: bool = False,
) -> DeferredCommand:
    """Run the process that manages the fleet's state on an entry VM.

    It tracks members and the configuration, and orders engines to load new weights
    while it holds the lease for their service.

    Each flag can also be set by an environment variable, such as TAMARACKSHELF_VM.
    The fleet's secret is read only from TAMARACKSHELF_SECRET.

    Args:
        vm: name of this VM.
        data_centre: name of this VM's data centre.
        listen: ip:port for the other programs of this VM and for other controllers.
        gossip: ip:port for gossip datagrams.
        table: ip:port of the platform's table service.
        vm_list: ip:port of the platform's VM list.
        wave_share: share of a service's engines that may load weights at the same time.
        log_format: format of the log, text or json.
        seed: seed of the random number generator.
        check: check the settings and exit.
    """
    values = s.require_settings(SETTINGS, locals())
    timeline = Timeline(f"controller@{values['vm']}", wall_ms)
    controller_settings = values.build(
        ControllerSettings,
        weight_update=WeightUpdateSettings(wave_share=values["wave_share"]),
    )

    return start_or_check(
        lambda: Controller(controller_settings, HttpClient(), timeline),
        timeline,
        values["log_format"],
        only_check=check,
    )


def main() -> None:
    """Run the program."""
    run_command(controller, "tamarackshelf-controller")


if __name__ == "__main__":
    main()
