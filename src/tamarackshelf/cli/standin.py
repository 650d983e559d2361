"""Command line interface of tamarackshelf-standin."""

from __future__ import annotations

from pathlib import Path

import msgspec

from tamarackshelf.cli import settings as s
from tamarackshelf.cli.program import (
    DeferredCommand,
    run_command,
    start_or_check,
    wall_ms,
)
from tamarackshelf.observe import Timeline
from tamarackshelf.standin.group import StandinGroup, StandinGroupSettings


def parse_scene(text: str) -> StandinGroupSettings:
    """Read the settings of a group of stand-ins from a JSON file.

    Raise ValueError if the file cannot be read or decoded.
    """
    try:
        return msgspec.json.decode(Path(text).read_bytes(), type=StandinGroupSettings)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(str(error)) from error


SETTINGS = (s.Setting("scene", parse_scene), s.LOG_FORMAT)


class StandinProgram:
    """A group of stand-ins that is run as a program."""

    def __init__(self, settings: StandinGroupSettings) -> None:
        self._standins = StandinGroup(settings)

    async def start(self) -> None:
        """Start the stand-ins."""
        await self._standins.start()

    async def drain(self) -> None:
        """Do nothing; stand-ins need no preparation for a stop."""

    async def close(self) -> None:
        """Stop the stand-ins."""
        await self._standins.close()


def standin(
    scene: str | None = None, log_format: str | None = None, check: bool = False
) -> DeferredCommand:
    """Run stand-ins for the platform and the targets; not for production.

    Args:
        scene: JSON file that lists the stand-ins and their addresses.
        log_format: format of the log, text or json.
        check: check the settings and exit.
    """
    values = s.require_settings(SETTINGS, locals())
    timeline = Timeline("standin", wall_ms)

    return start_or_check(
        lambda: StandinProgram(values["scene"]),
        timeline,
        values["log_format"],
        only_check=check,
    )


def main() -> None:
    """Run the program."""
    run_command(standin, "tamarackshelf-standin")


if __name__ == "__main__":
    main()
