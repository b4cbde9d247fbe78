"""Calls to VMs of an in-memory deployment, and what its targets ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.outbound_connection import OutboundConnection

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.platform.standins import TargetStandIn


def runs_after(targets: list[TargetStandIn], since_s: float) -> int:
    """Return how many requests the targets started to run after a time."""
    return sum(run.started_s > since_s for target in targets for run in target.runs)


async def call_all(
    site: Site, rounds: int, path: str = "/listings/{}", key: str = "key-1"
) -> list[int]:
    """Send ``rounds`` requests for different objects to each VM, to spread them over targets."""
    statuses = []
    for number in range(rounds):
        for vm in site.vms:
            statuses.append((await site.call(vm, path.format(number), key=key)).status)
    return statuses


async def read_metrics(site: Site, vm: str) -> str:
    """Return a VM's page of metrics."""
    address = site.vms[vm].steering.entry.metrics
    connection = OutboundConnection(address.host, address.port)
    await connection.connect(1.0)
    request = HttpRequest("GET", "/metrics", ((b"host", b"vm"),))
    text = (await connection.exchange(request, 1.0)).body.decode()
    await connection.close()
    return text
