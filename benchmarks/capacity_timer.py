"""Measures one turn of a VM's timer up to the two-year size, without any peer or platform.

Run as ``python benchmarks/capacity_timer.py``. For each size of the configuration it prints the
share of a core that 20 turns a second use.
"""

from __future__ import annotations

import time

import curio
from _capacity_layout import Layout
from _capacity_layout import planned_vms
from _capacity_layout import render_configuration
from _capacity_layout import render_settings

from siskinward.daemon.node import TIMER_INTERVAL_S
from siskinward.daemon.node import Node
from siskinward.daemon.serving_state import create_serving_state
from siskinward.state.configuration import parse_configuration
from siskinward.state.settings import parse_settings

SIZES = (Layout(2, 5), Layout(6, 5), Layout(6, 15), Layout(10, 20), Layout(20, 30))
TURNS = 200


async def time_turns(layout: Layout) -> float:
    """Return the processor time of one timer turn in seconds."""
    settings = parse_settings(render_settings(planned_vms(layout)[0], "-"), "settings").ok
    configuration = parse_configuration(render_configuration(layout), "configuration").ok
    node = Node(settings, await curio.clock())
    state = create_serving_state(1, configuration)
    await node._on_configuration_activated(state)
    start_s = time.process_time()
    for turn in range(TURNS):
        await node.run_timer_once(1e6 + turn * TIMER_INTERVAL_S)
    return (time.process_time() - start_s) / TURNS


def main() -> None:
    """Print one line for each size."""
    for layout in SIZES:
        turn_s = curio.run(time_turns, layout)
        share = 100 * turn_s / TIMER_INTERVAL_S
        print(f"{layout.vms} VMs, {layout}: {turn_s * 1e6:.0f} us a turn, {share:.2f} % of a core")


if __name__ == "__main__":
    main()
