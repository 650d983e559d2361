"""Command line interface of tamarackshelf-replay."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import msgspec

from tamarackshelf.cli.program import DeferredCommand, run_command
from tamarackshelf.observe.decision_trace import read_trace
from tamarackshelf.trials.replay import replay_trace

EXIT_DIFFERENT = 1
EXIT_USAGE = 2


def replay(trace: str) -> DeferredCommand:
    """Repeat the decisions of a recorded trace and compare the outcomes.

    Args:
        trace: file written by tamarackshelf-demo --record-path.
    """

    def run() -> None:
        try:
            lines = read_trace(Path(trace).read_bytes())
        except (OSError, msgspec.DecodeError) as error:
            print(
                f"cannot read {trace}: {error}; record the trace again", file=sys.stderr
            )
            sys.exit(EXIT_USAGE)
        mismatches = replay_trace(lines)
        for found in mismatches:
            print(
                f"line {found.line}: {found.kind}: expected {found.expected}, "
                f"got {found.got}"
            )
        counts = Counter(line.kind for line in lines)
        kinds = " ".join(f"{kind}={count}" for kind, count in sorted(counts.items()))
        print(f"decisions={len(lines)} different={len(mismatches)} {kinds}")
        if mismatches:
            sys.exit(EXIT_DIFFERENT)

    return DeferredCommand(run)


def main() -> None:
    """Run the program."""
    run_command(replay, "tamarackshelf-replay")


if __name__ == "__main__":
    main()
