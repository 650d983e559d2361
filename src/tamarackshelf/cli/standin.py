"""Command line of tamarackshelf-standin."""

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
    """Reads a scene from a JSON file."""
    try:
        return msgspec.json.decode(Path(text).read_bytes(), type=StandinGroupSettings)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(str(error)) from error


SETTINGS = (s.Setting("scene", parse_scene), s.LOG_FORMAT)


class StandinProgram:
    """Runs a scene as a program."""

    def __init__(self, settings: StandinGroupSettings) -> None:
        self._standins = StandinGroup(settings)

    async def start(self) -> None:
        """Starts the stand-ins."""
        await self._standins.start()

    async def drain(self) -> None:
        """Has nothing to prepare."""

    async def close(self) -> None:
        """Stops the stand-ins."""
        await self._standins.close()


def standin(
    scene: str | None = None, log_format: str | None = None, check: bool = False
) -> DeferredCommand:
    """Runs stand-ins for the platform and for targets, for trials only.

    Args:
        scene: JSON file that names the stand-ins and their addresses.
        log_format: text or json.
        check: only checks the settings.
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
    """Runs the program."""
    run_command(standin, "tamarackshelf-standin")


if __name__ == "__main__":
    main()
