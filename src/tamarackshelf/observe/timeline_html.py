"""Rendering of the timeline as a self-contained HTML page."""

from __future__ import annotations

import msgspec

from tamarackshelf.observe.timeline import Event

_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>tamarackshelf time line</title>
<style>
body{font:13px system-ui,sans-serif;margin:0;color:#222}
header{position:sticky;top:0;background:#fff;padding:8px 12px;
border-bottom:1px solid #ccc;display:flex;gap:10px;align-items:center;flex-wrap:wrap}
h1{font-size:15px;margin:0}
input,select,button{font:inherit;padding:2px 6px}
#chart{display:block;width:100%}
#list{padding:0 12px;font:12px ui-monospace,monospace;white-space:pre-wrap}
.fault{color:#b00020}
</style></head><body>
<header><h1>Time line</h1>
<input id="text" placeholder="id, organisation or text" size="30">
<select id="kind"><option value="">all kinds</option></select>
<button id="in">zoom in</button><button id="out">zoom out</button>
<button id="left">&larr;</button><button id="right">&rarr;</button>
<span id="count"></span></header>
<canvas id="chart"></canvas><div id="list"></div>
<script id="events" type="application/json">__EVENTS__</script>
<script>
"use strict";
const all = JSON.parse(document.getElementById("events").textContent);
const byId = (id) => document.getElementById(id);
const faults = /crash|dead|suspect|failed|lost|doubt|too_old|unwritten|_out$/;
const first = all.length ? all[0].at_ms : 0;
const last = all.length ? all[all.length - 1].at_ms : 1;
let from = first, to = Math.max(last, first + 1), shown = all;
const lanes = [...new Set(all.map((e) => e.process))].sort();
for (const kind of [...new Set(all.map((e) => e.kind))].sort())
  byId("kind").add(new Option(kind, kind));
const colour = (kind) => {
  let hash = 0;
  for (const c of kind) hash = (hash * 31 + c.charCodeAt(0)) % 360;
  return `hsl(${hash} 55% 45%)`;
};
function filter() {
  const text = byId("text").value.toLowerCase(), kind = byId("kind").value;
  shown = all.filter((e) => (!kind || e.kind === kind) &&
    (!text || JSON.stringify(e).toLowerCase().includes(text)));
  draw();
}
function draw() {
  const canvas = byId("chart"), row = 16, label = 210, top = 18;
  const width = document.body.clientWidth, scale = window.devicePixelRatio || 1;
  canvas.width = width * scale; canvas.height = (lanes.length * row + top) * scale;
  canvas.style.height = `${lanes.length * row + top}px`;
  const g = canvas.getContext("2d"); g.scale(scale, scale);
  g.font = "11px system-ui"; g.fillStyle = "#555";
  for (let i = 0; i <= 8; i++) {
    const x = label + (width - label - 60) * i / 8;
    g.fillText(`${((from + (to - from) * i / 8 - first) / 1000).toFixed(2)} s`, x, 12);
  }
  lanes.forEach((name, i) => {
    const y = top + i * row;
    g.fillStyle = i % 2 ? "#f6f6f6" : "#fff"; g.fillRect(0, y, width, row);
    g.fillStyle = "#333"; g.fillText(name, 6, y + 12);
  });
  const at = new Map(lanes.map((name, i) => [name, top + i * row]));
  const visible = shown.filter((e) => e.at_ms >= from && e.at_ms <= to);
  for (const e of visible) {
    const x = label + (e.at_ms - from) / (to - from) * (width - label - 20);
    const fault = faults.test(e.kind);
    g.fillStyle = fault ? "#b00020" : colour(e.kind);
    g.fillRect(x, at.get(e.process) + (fault ? 1 : 4), fault ? 4 : 2, fault ? 14 : 9);
  }
  byId("count").textContent = `${visible.length} of ${all.length} events`;
  const list = byId("list"); list.textContent = "";
  for (const e of visible.slice(0, 500)) {
    const line = document.createElement("div");
    if (faults.test(e.kind)) line.className = "fault";
    const fields = Object.entries(e.fields).map(([k, v]) => ` ${k}=${v}`).join("");
    line.textContent = `${((e.at_ms - first) / 1000).toFixed(3).padStart(9)} ` +
      `${e.process}  ${e.kind}  ${e.subject}` +
      `${e.reason ? "  (" + e.reason + ")" : ""}${fields}`;
    list.append(line);
  }
}
function zoom(factor) {
  const middle = (from + to) / 2, half = (to - from) / 2 * factor;
  from = middle - half; to = middle + half; draw();
}
function move(part) { const d = (to - from) * part; from += d; to += d; draw(); }
byId("text").oninput = filter; byId("kind").onchange = filter;
byId("in").onclick = () => zoom(0.5); byId("out").onclick = () => zoom(2);
byId("left").onclick = () => move(-0.5); byId("right").onclick = () => move(0.5);
window.onresize = draw; draw();
</script></body></html>
"""


def render_timeline_html(events: list[Event]) -> str:
    """Return the HTML page with all events embedded as JSON."""
    data = msgspec.json.encode(events).decode()
    # A closing tag inside a JSON string would end the script element.
    return _PAGE.replace("__EVENTS__", data.replace("</", "<\\/"))


__all__ = ["render_timeline_html"]
