"""Command line interface of tamarackshelf-demo."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

from tamarackshelf.cli.program import DeferredCommand, run_command
from tamarackshelf.demo.deployments import DEPLOYMENTS, Deployment
from tamarackshelf.demo.report import render_report
from tamarackshelf.demo.run import RunResult, RunSettings, run_deployment
from tamarackshelf.demo.scenarios import SCENARIOS
from tamarackshelf.observe import set_up_logs
from tamarackshelf.observe.timeline_html import render_timeline_html
from tamarackshelf.trials.routing import measure_routing
from tamarackshelf.trials.scaling import measure_scaling
from tamarackshelf.trials.simulated_members import run_simulated_members

EXIT_GUARANTEE_VIOLATED = 1
EXIT_USAGE = 2


def demo(
    scenario: str = "calm",
    seed: int = 1,
    duration_s: float = 20.0,
    deployment: str = "all",
    report_path: str = "",
    timeline_path: str = "",
    record_path: str = "",
    measure: str = "",
    members: int = 380,
    targets: int = 3700,
) -> DeferredCommand:
    """Run both demo deployments in one process, over loopback and with stand-ins.

    Args:
        scenario: faults to inject; `list` prints all scenarios.
        seed: seed of the random number generators.
        duration_s: how long customers and trainers send requests, in seconds.
        deployment: name of one deployment, or all.
        report_path: HTML file to write the report to.
        timeline_path: HTML file to write the merged timeline to.
        record_path: JSON lines file to record decisions in, for tamarackshelf-replay.
        measure: a measurement to run instead of a scenario. `slopes` measures costs
            at several sizes; `routing` runs each router under the same load; `crowd`
            simulates the other gossip members for one real controller process.
        members: number of entry VMs, for `crowd`.
        targets: number of targets in the VM list, for `crowd`.
    """

    def run() -> None:
        if measure == "slopes":
            measure_scaling(lambda measurement: print(measurement.format(), flush=True))
            return
        if measure == "routing":
            asyncio.run(measure_routing(seed, print))
            return
        if measure == "crowd":
            asyncio.run(run_simulated_members(members, targets, duration_s, print))
            return
        if scenario == "list":
            for name, action in SCENARIOS.items():
                print(f"{name:16} {action.__doc__}")
            return
        chosen = [d for d in DEPLOYMENTS if deployment in ("all", d.name)]
        if scenario not in SCENARIOS or not chosen:
            print(
                "unknown scenario or deployment; run --scenario=list", file=sys.stderr
            )
            sys.exit(EXIT_USAGE)
        set_up_logs("text", "WARNING")
        with contextlib.ExitStack() as stack:
            write = None
            if record_path:
                write = stack.enter_context(open(record_path, "wb")).write
            settings = RunSettings(seed, duration_s, write_trace=write)
            results = asyncio.run(_run_all(chosen, scenario, settings))
        _write_pages(results, report_path, timeline_path)
        _print_counts(results)

    return DeferredCommand(run)


async def _run_all(
    chosen: list[Deployment], scenario: str, settings: RunSettings
) -> list[RunResult]:
    started_s = time.monotonic()

    def say(text: str) -> None:
        print(f"{time.monotonic() - started_s:6.1f} s  {text}", flush=True)

    runs = [run_deployment(d, SCENARIOS[scenario], settings, say) for d in chosen]
    return list(await asyncio.gather(*runs))


def _write_pages(results: list[RunResult], report: str, timeline: str) -> None:
    if timeline:
        events = [event for result in results for event in result.events]
        Path(timeline).write_text(render_timeline_html(events))
    if report:
        Path(report).write_text(render_report(results))


def _print_counts(results: list[RunResult]) -> None:
    violations = False
    for result in results:
        print(result.counts.format())
        for name in result.violations:
            print(f"guarantee violated: {name}", file=sys.stderr)
        violations = violations or bool(result.violations)
    if violations:
        sys.exit(EXIT_GUARANTEE_VIOLATED)


def main() -> None:
    """Run the program."""
    run_command(demo, "tamarackshelf-demo")


if __name__ == "__main__":
    main()
