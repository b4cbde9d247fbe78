"""One malformed row of the store costs at most itself: VMs go on following the others."""

from __future__ import annotations

import json
from math import inf
from math import nan
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from site_calls import call_all

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

SETTLE_S = 3.0
# An error that stopped a reader of the store would stop the next one when the row is written again.
RETURNS = 4
TARGET_ROWS = [
    {"info": {"slots": inf}},
    {"info": {"slots": nan}},
    {"info": {"slots": 10**400}},
    {"status": {"seq": inf}},
    {"status": {"warmup_left": "nans"}},
    {"status": {"warmup_left": "1e999s"}},
    {"born": inf},
    {"address": "10.1.64.1:99999"},
    {"address": "10.1.64.1:" + "9" * 5000},
    {"address": "\x00:80"},
]


@pytest.mark.parametrize("changes", TARGET_ROWS, ids=lambda item: str(item)[:40])
def test_malformed_target_row_names_no_target_and_stops_nothing(
    run_site: Any, changes: dict[str, Any]
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        entry = json.loads(site.targets["listings-bud-a-0"].encode_entry())
        for name, value in changes.items():
            entry[name] = {**entry[name], **value} if isinstance(value, dict) else value
        for _ in range(RETURNS):
            await site.store.put("servers", "bad", json.dumps(entry).encode())
            await curio.sleep(SETTLE_S)
        assert {site.vms[vm].steering.targets.get("bad") for vm in site.vms} == {None}
        site.targets["listings-bud-a-0"].slots = 7
        await site.report(site.targets["listings-bud-a-0"])
        await curio.sleep(SETTLE_S)
        for process in site.vms.values():
            target = process.steering.targets.get("listings-bud-a-0")
            assert target is not None
            assert target.record.slots == 7
        assert set(await call_all(site, 3)) == {200}

    run_site(scenario)


def test_deeply_nested_rows_stop_nothing(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for _ in range(RETURNS):
            await site.store.put("servers", "bad", b"[" * 60_000)
            await site.store.put("op", "config", b"[" * 60_000)
            await curio.sleep(SETTLE_S)
        site.configuration.spec("routes", "r-listings")["prefix"] = "/moved/"
        await site.publish()
        await curio.sleep(SETTLE_S)
        assert set(await call_all(site, 1, "/moved/{}")) == {200}

    run_site(scenario)
