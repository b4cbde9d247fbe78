"""Metrics page of an entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.outbound_connection import OutboundConnection

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"


def test_metrics_show_requests_refusals_and_ages(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await site.call(VM)
        await site.call(VM, key="stolen")
        address = site.vms[VM].steering.entry.metrics
        connection = OutboundConnection(address.host, address.port)
        await connection.connect(1.0)
        request = HttpRequest("GET", "/metrics", ((b"host", b"vm"),))
        text = (await connection.exchange(request, 1.0)).body.decode()
        await connection.close()
        requests = 'siskinward_entry_requests_total{service="listings",status="200"} 1.0'
        assert requests in text
        assert 'siskinward_entry_refusals_total{reason="key-unknown",service=""} 1.0' in text
        assert 'siskinward_entry_latency_seconds_bucket{le="+Inf",service="listings"} 1.0' in text
        assert 'siskinward_entry_table_age_seconds{table="targets"}' in text
        assert "siskinward_entry_vms_live 4.0" in text
        assert 'siskinward_entry_targets{service="listings",state="usable"} 4.0' in text

    run_site(scenario)
