"""Command line interface of tamarackshelf-runner."""

from __future__ import annotations

from tamarackshelf.cli import settings as s
from tamarackshelf.cli.program import (
    DeferredCommand,
    run_command,
    start_or_check,
    wall_ms,
)
from tamarackshelf.net import HttpClient
from tamarackshelf.observe import Timeline
from tamarackshelf.runner import Runner, RunnerSettings

SETTINGS = (
    s.VM,
    s.DATA_CENTRE,
    s.LISTEN,
    s.PEER_LISTEN,
    s.CONTROLLER,
    s.TABLE,
    s.SECRET,
    s.LOG_FORMAT,
    s.SEED,
)


def runner(
    vm: str | None = None,
    data_centre: str | None = None,
    listen: str | None = None,
    peer_listen: str | None = None,
    controller: str | None = None,
    table: str | None = None,
    log_format: str | None = None,
    seed: int | None = None,
    check: bool = False,
) -> DeferredCommand:
    """Run the process that produces the samples of campaigns on an entry VM.

    Each flag can also be set by an environment variable, such as TAMARACKSHELF_VM.
    The fleet's secret is read only from TAMARACKSHELF_SECRET.

    Args:
        vm: name of this VM.
        data_centre: name of this VM's data centre.
        listen: ip:port for health checks, metrics and the timeline.
        peer_listen: ip:port for gateways and other runners.
        controller: ip:port of this VM's controller.
        table: ip:port of the platform's table service.
        log_format: format of the log, text or json.
        seed: seed of the random number generator.
        check: check the settings and exit.
    """
    values = s.require_settings(SETTINGS, locals())
    timeline = Timeline(f"runner@{values['vm']}", wall_ms)
    runner_settings = values.build(RunnerSettings)

    return start_or_check(
        lambda: Runner(runner_settings, HttpClient(), timeline),
        timeline,
        values["log_format"],
        only_check=check,
    )


def main() -> None:
    """Run the program."""
    run_command(runner, "tamarackshelf-runner")


if __name__ == "__main__":
    main()
