"""Renders the report of a demo run as plain text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.standins.demo_scenario import DemoReport


def render_report(report: DemoReport) -> str:
    """Return three tables: latency by service, outcomes by client account, promises."""
    return "\n".join([*_latencies(report), *_accounts(report), *_promises(report)])


def _latencies(report: DemoReport) -> list[str]:
    lines = ["", f"{'service':14}{'served':>8}{'p50 ms':>10}{'p99 ms':>10}{'p99.9 ms':>10}"]
    for item in report.record.latencies():
        numbers = f"{item.p50_ms:10.1f}{item.p99_ms:10.1f}{item.p999_ms:10.1f}"
        lines.append(f"{item.service:14}{item.count:8}{numbers}")
    return lines


def _accounts(report: DemoReport) -> list[str]:
    lines = ["", f"{'client account':24}{'offered':>8}{'served':>8}{'wrongful':>9}  refused"]
    for name, tally in sorted(report.record.accounts.items()):
        reasons = ", ".join(f"{reason} {count}" for reason, count in sorted(tally.refused.items()))
        counts = f"{tally.offered_count:8}{tally.served_count:8}{tally.wrongful_count:9}"
        lines.append(f"{name:24}{counts}  {reasons or '-'}")
    return lines


def _promises(report: DemoReport) -> list[str]:
    lines = [""]
    for promise in report.promises:
        verdict = "kept  " if promise.is_kept else "BROKEN"
        lines.append(f"{verdict}  {promise.text} ({promise.seen})")
    return lines
