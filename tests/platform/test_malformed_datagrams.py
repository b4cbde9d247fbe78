"""One malformed datagram costs at most itself: the VM goes on hearing the others."""

from __future__ import annotations

from math import inf
from math import nan
from typing import TYPE_CHECKING
from typing import Any

import curio
import msgpack
import pytest
from site_calls import call_all

from siskinward.transport.clock import read_clock_s
from siskinward.transport.sockets import open_datagrams

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"
STRANGER = "10.1.0.99"
SETTLE_S = 3.0
GOOD_VM = ["vm-x", "a", "10.1.0.77", 80, "bud-a", "budapest", 1.0]
DATAGRAMS = [
    [3, inf, "account-1", 1],
    [4, 1, "account-1", nan, inf],
    [5, 1, "listings-bud-a-0", inf, 1.0, 0],
    [6, inf, True, 1],
    [2, "a", inf, [0, 0], [0, 0], {}],
    [1, GOOD_VM, 1, 1, {}, {"targets": "old"}, {}, {"account-1": "many"}, {"f": "x"}],
    [1, [["vm-x"], "a", 5, "80", {}, None, "wide"], 1, 1, {}, {}, {}, {}, {}],
    [1, ["vm-x", "a", "not an address", 80, "bud-a", "budapest", nan], 1, 1, {}, {}, {}, {}, {}],
    [1, GOOD_VM, 1, 1, {"targets": [1]}, {}, {"warm": [1]}, {}, {}],
    [[]],
    [],
    {"a": 1},
    "text",
]


@pytest.mark.parametrize("message", DATAGRAMS, ids=str)
def test_malformed_datagram_does_not_stop_a_vm_from_hearing(run_site: Any, message: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        entry = site.vms[VM].steering.entry
        stranger = open_datagrams(STRANGER, entry.peer_port)
        await stranger.sendto(msgpack.packb(message), (entry.host, entry.peer_port))
        await curio.sleep(SETTLE_S)
        live = {vm.vm for vm in site.vms[VM].steering.fleet.live(read_clock_s())}
        assert set(site.vms) <= live
        assert set(await call_all(site, 2)) == {200}

    run_site(scenario)
