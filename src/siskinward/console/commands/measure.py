"""``siskinward measure``: prints the five measures of deployments under load."""

from __future__ import annotations

import json
from pathlib import Path

import attrs
import click

from siskinward.console._sources import load_file
from siskinward.measures import LoadPlan
from siskinward.measures import MeasureSettings
from siskinward.measures import measure_baseline
from siskinward.measures import measure_system
from siskinward.measures import render_html
from siskinward.measures import render_text
from siskinward.standins.paused_clock import paused_kernel

DEFAULT_LEVELS = (0.7, 1.0, 1.5, 3.0)
DEFAULT_DURATION_S = 8.0
DEFAULT_SERVICE_TIME_MS = 100.0


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.option(
    "--level",
    "levels",
    multiple=True,
    type=float,
    help="Offered load as a multiple of capacity; may be repeated.",
)
@click.option("--duration-s", default=DEFAULT_DURATION_S, show_default=True)
@click.option("--service-time-ms", default=DEFAULT_SERVICE_TIME_MS, show_default=True)
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Write JSON here.")
@click.option("--html", "html_path", type=click.Path(path_type=Path), help="Write a page here.")
def measure(
    files: tuple[str, ...],
    levels: tuple[float, ...],
    duration_s: float,
    service_time_ms: float,
    json_path: Path | None,
    html_path: Path | None,
) -> None:
    """Measure the configurations FILES on the paused clock, against random target choice."""
    results = []
    for file in files:
        configuration = load_file(file)
        settings = MeasureSettings(Path(file).stem)
        for level in levels or DEFAULT_LEVELS:
            plan = LoadPlan(level, duration_s, service_time_ms / 1000)
            for run in (measure_system, measure_baseline):
                with paused_kernel() as kernel:
                    results.append(kernel.run(run, settings, configuration, plan))
                click.echo(render_text(results[-1:]))
    if json_path is not None:
        content = [attrs.asdict(result) for result in results]
        json_path.write_text(json.dumps(content, indent=1) + "\n", encoding="utf-8")
    if html_path is not None:
        html_path.write_text(render_html(results), encoding="utf-8")
