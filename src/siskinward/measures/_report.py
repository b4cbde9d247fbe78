"""Renders measures as text and as an HTML page with a bar chart."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinward.measures._results import Measures

BAR_WIDTH_PX = 360
STYLE = (
    "body{font:15px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}"
    "td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}"
    "td:first-child,th:first-child{text-align:left}.bar{background:#3b7;height:.8em}"
    ".baseline .bar{background:#aaa}"
)


def render_text(results: Sequence[Measures]) -> str:
    """Return a block of lines for each run."""
    lines = []
    for run in results:
        served = f"{run.served_count} of {run.offered_count}"
        lines.append(f"{run.deployment}, load {run.level}, {run.way}: {served} served")
        for item in run.latencies:
            quantiles = f"p50 {item.p50_ms:.1f}, p99 {item.p99_ms:.1f}, p99.9 {item.p999_ms:.1f} ms"
            lines.append(f"  {item.service}: {quantiles} of {item.count}")
        drain = f", drain {run.drain_s:.2f} s" if run.drain_s >= 0 else ""
        lines.append(
            f"  headroom {run.headroom:.1%}{drain}, worst account {run.worst_served_account} "
            f"{run.worst_served_share:.1%}, wrongful refusals {run.wrongful_share:.3%}"
        )
    return "\n".join(lines)


def render_html(results: Sequence[Measures]) -> str:
    """Return a page with a table for each deployment; bars show the p99 of each service."""
    names = list(dict.fromkeys(run.deployment for run in results))
    tables = [_table(name, [run for run in results if run.deployment == name]) for name in names]
    head = f"<!doctype html><meta charset='utf-8'><title>siskinward measures</title><style>{STYLE}"
    return f"{head}</style><h1>Measures under load</h1>{''.join(tables)}\n"


def _table(name: str, runs: Sequence[Measures]) -> str:
    slowest_ms = max((item.p99_ms for run in runs for item in run.latencies), default=1.0)
    rows = []
    for run in runs:
        row_class = "" if run.way == "siskinward" else " class='baseline'"
        for item in run.latencies:
            width_px = round(BAR_WIDTH_PX * item.p99_ms / max(slowest_ms, 1e-9))
            bar = f"<div class='bar' style='width:{width_px}px'></div>"
            rows.append(
                f"<tr{row_class}><td>{escape(run.way)}<td>{run.level}<td>{escape(item.service)}"
                f"<td>{item.p50_ms:.1f}<td>{item.p99_ms:.1f}<td>{bar}"
                f"<td>{run.served_count / max(run.offered_count, 1):.1%}<td>{run.headroom:.1%}"
                f"<td>{run.worst_served_share:.1%}<td>{run.wrongful_share:.3%}</tr>"
            )
    head = (
        "<tr><th>way<th>load<th>service<th>p50 ms<th>p99 ms<th><th>served<th>headroom"
        "<th>worst account<th>wrongful</tr>"
    )
    return f"<h2>{escape(name)}</h2><table>{head}{''.join(rows)}</table>"
