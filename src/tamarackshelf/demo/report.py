"""HTML report of a run with its counts and charts of latency and staleness."""

from __future__ import annotations

import html
from collections import Counter
from dataclasses import fields

from tamarackshelf.demo.checkers import MUST_BE_ZERO, compute_staleness
from tamarackshelf.demo.run import RunResult

WIDTH_PX = 640
HEIGHT_PX = 160
BIN_COUNT = 40

_HEAD = """<!doctype html><html lang="en"><meta charset="utf-8">
<title>tamarackshelf report</title><style>
body{font:14px system-ui,sans-serif;margin:24px;color:#222;max-width:760px}
td{padding:1px 14px 1px 0}.bad{color:#b00020}svg{background:#f6f6f6}
</style><h1>Report</h1>
"""


def render_report(results: list[RunResult]) -> str:
    """Return an HTML page with a section for each deployment."""
    return _HEAD + "".join(_render_section(result) for result in results)


def _render_section(result: RunResult) -> str:
    rows = []
    for field in fields(result.counts):
        value = getattr(result.counts, field.name)
        is_bad = field.name in MUST_BE_ZERO and value
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
        mark = ' class="bad"' if is_bad else ""
        rows.append(f"<tr{mark}><td>{field.name}</td><td>{html.escape(text)}</td></tr>")
    latencies_ms = [value * 1000 for value in result.observations.latencies_s]
    stalenesses = Counter(compute_staleness(s) for s in result.observations.samples)
    return (
        f"<h2>{html.escape(result.counts.deployment)}</h2><table>{''.join(rows)}</table>"
        f"<h3>Latency of completions in ms</h3>{_render_histogram(latencies_ms)}"
        f"<h3>Staleness of samples in versions</h3>{_render_bars(stalenesses)}"
    )


def _render_histogram(values: list[float]) -> str:
    if not values:
        return "<p>no values</p>"
    step = max(max(values) / BIN_COUNT, 1e-9)
    bins = Counter(int(min(BIN_COUNT - 1, value // step)) for value in values)
    named = {round(i * step): bins.get(i, 0) for i in range(BIN_COUNT)}
    return _render_bars(Counter(named))


def _render_bars(counts: Counter[int]) -> str:
    if not counts:
        return "<p>no values</p>"
    keys = sorted(counts)
    width = WIDTH_PX / len(keys)
    highest = max(counts.values())
    bars = []
    for i, key in enumerate(keys):
        height = (HEIGHT_PX - 30) * counts[key] / max(1, highest)
        x, y = i * width, HEIGHT_PX - 16 - height
        bars.append(
            f'<rect x="{x:.1f}" y="{y:.1f}" width="{width * 0.9:.1f}" '
            f'height="{height:.1f}" fill="#3b6ea5"><title>{key}: {counts[key]}'
            "</title></rect>"
        )
        if i % max(1, len(keys) // 8) == 0:
            bars.append(
                f'<text x="{x:.1f}" y="{HEIGHT_PX - 3}" font-size="11">{key}</text>'
            )
    return f'<svg width="{WIDTH_PX}" height="{HEIGHT_PX}">{"".join(bars)}</svg>'


__all__ = ["render_report"]
