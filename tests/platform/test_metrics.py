"""Metrics page of an entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from site_calls import read_metrics as read_metrics_of

from siskinward.platform._headers import HEADERS
from siskinward.standins.memory_network import CutKind

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"
LOG_FLUSH_S = 1.0
# A target that states 1.5 requests a second accepts the next one after this time.
LIMIT_PAUSE_S = 1.0
SAME_OBJECT = ((HEADERS.object_key, b"1"),)


def test_metrics_show_requests_refusals_and_ages(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await site.call(VM)
        await site.call(VM, key="stolen")
        text = await read_metrics(site)
        requests = 'siskinward_entry_requests_total{service="listings",status="200"} 1.0'
        assert requests in text
        assert 'siskinward_entry_refusals_total{reason="key-unknown",service=""} 1.0' in text
        assert 'siskinward_entry_latency_seconds_bucket{le="+Inf",service="listings"} 1.0' in text
        assert 'siskinward_entry_table_age_seconds{table="targets"}' in text
        assert "siskinward_entry_vms_live 4.0" in text
        assert 'siskinward_entry_targets{service="listings",state="usable"} 4.0' in text

    run_site(scenario)


def test_stated_limit_is_logged_and_shown_until_it_ends(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in site.targets.values():
            target.rate_limit = "1.5"
        await site.call(VM, headers=SAME_OBJECT)
        name = next(target.name for target in site.targets.values() if target.runs)
        line = f'siskinward_entry_target_limit_per_second{{service="listings",target="{name}"}} 1.5'
        assert line in await read_metrics(site)
        for target in site.targets.values():
            target.rate_limit = "a few"
        await curio.sleep(LIMIT_PAUSE_S)
        await site.call(VM, headers=SAME_OBJECT)
        assert line in await read_metrics(site)
        for target in site.targets.values():
            target.rate_limit = None
        await curio.sleep(LIMIT_PAUSE_S)
        await site.call(VM, headers=SAME_OBJECT)
        assert line not in await read_metrics(site)
        await curio.sleep(LOG_FLUSH_S)
        logged = [item for item in site.lines(VM) if item["kind"].startswith("target-limit")]
        assert [item.get("rate_per_s", item.get("value")) for item in logged] == [
            1.5,
            "a few",
            None,
        ]

    run_site(scenario)


def test_metrics_show_a_cut_from_targets_and_relayed_requests(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        assert "targets_cut_off 0.0" in await read_metrics(site)
        host = site.vms[VM].steering.entry.host
        targets = [target.host for target in site.targets.values()]
        await network.cut_between([host], targets, CutKind.REFUSES)
        await site.call(VM)
        await curio.sleep(2.0)
        text = await read_metrics(site)
        assert "targets_cut_off 1.0" in text
        assert "requests_relayed_total 1.0" in text

    run_site(scenario)


async def read_metrics(site: Site) -> str:
    return await read_metrics_of(site, VM)
