"""Command line interface of tamarackshelf-gateway."""

from __future__ import annotations

from tamarackshelf.cli import settings as s
from tamarackshelf.cli.program import (
    DeferredCommand,
    run_command,
    start_or_check,
    wall_ms,
)
from tamarackshelf.gateway import Gateway, GatewaySettings
from tamarackshelf.net import HttpClient
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.entries import VALID_FOR_S

VALID_FOR = s.Setting("valid_for_s", s.parse_positive, str(VALID_FOR_S))
SETTINGS = (
    s.VM,
    s.DATA_CENTRE,
    s.LISTEN,
    s.PEER_LISTEN,
    s.CONTROLLER,
    s.TABLE,
    s.SECRET,
    s.OPERATOR_DIGEST,
    VALID_FOR,
    s.LOG_FORMAT,
    s.SEED,
)


def gateway(
    vm: str | None = None,
    data_centre: str | None = None,
    listen: str | None = None,
    peer_listen: str | None = None,
    controller: str | None = None,
    table: str | None = None,
    operator_digest: str | None = None,
    valid_for_s: float | None = None,
    log_format: str | None = None,
    seed: int | None = None,
    check: bool = False,
) -> DeferredCommand:
    """Run the process that serves callers, trainers and operators on an entry VM.

    Each flag can also be set by an environment variable, such as TAMARACKSHELF_VM.
    The fleet's secret is read only from TAMARACKSHELF_SECRET.

    Args:
        vm: name of this VM.
        data_centre: name of this VM's data centre.
        listen: ip:port for callers.
        peer_listen: ip:port for other gateways and runners.
        controller: ip:port of this VM's controller.
        table: ip:port of the platform's table service.
        operator_digest: SHA-256 digest of the first operator's token.
        valid_for_s: how long callers may cache the list of entries, in seconds.
        log_format: format of the log, text or json.
        seed: seed of the random number generator.
        check: check the settings and exit.
    """
    values = s.require_settings(SETTINGS, locals())
    timeline = Timeline(f"gateway@{values['vm']}", wall_ms)
    gateway_settings = values.build(GatewaySettings)

    return start_or_check(
        lambda: Gateway(gateway_settings, HttpClient(), timeline),
        timeline,
        values["log_format"],
        only_check=check,
    )


def main() -> None:
    """Run the program."""
    run_command(gateway, "tamarackshelf-gateway")


if __name__ == "__main__":
    main()
