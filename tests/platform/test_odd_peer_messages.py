"""A malformed message between VMs, or a malformed row of the VMs' own table, costs itself alone."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING
from typing import Any

import curio
import msgpack
import pytest
from site_calls import call_all

from siskinward.transport.clock import read_clock_s
from siskinward.transport.frames import send_frame
from siskinward.transport.sockets import connect

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"
VMS_TABLE = "siskinward_vms"
SETTLE_S = 3.0
RELAY_PORT_OFFSET = 1
FAILURE_KINDS = {"runtime", "task-failed"}
GOOD_VM = ["vm-x", "a", "10.1.0.77", 80, "bud-a", "budapest", 1.0]
ROWS_MESSAGES: dict[str, Any] = {
    "unknown-table": ["nothing", 5, "10.1.0.9"],
    "table-a-list": [["targets"], 5, "10.1.0.9"],
    "position-huge": ["targets", 2**64 - 1, "10.1.0.9"],
    "position-a-text": ["targets", "first", "10.1.0.9"],
    "a-number": 7,
}
RELAY_MESSAGES: dict[str, Any] = {
    "body-a-number": ["t-1", "10.1.64.1", 8080, 900, True, ["POST", "/a", [], 2**40]],
    "header-a-number": ["t-1", "10.1.64.1", 8080, 900, True, ["GET", "/a", [[2**40, b""]], b""]],
    "port-out-of-range": ["t-1", "10.1.64.1", 80800, 900, True, None],
    "time-huge": ["t-1", "10.1.64.1", 8080, 2**64 - 1, True, None],
}
VM_ROWS: dict[str, bytes] = {
    "no-bytes": b"",
    "no-msgpack": b"\xc1",
    "a-map-with-a-list-as-key": b"\x81\x91\x01\x02",
    "nested": b"\x91" * 2000 + b"\x01",
    "port-out-of-range": msgpack.packb([*GOOD_VM[:3], 70000, *GOOD_VM[4:]]),
    "host-with-null": msgpack.packb([*GOOD_VM[:2], "fe80::1%\x00", *GOOD_VM[3:]]),
    "name-a-list": msgpack.packb([["vm-x"], *GOOD_VM[1:]]),
    "link-not-a-number": msgpack.packb([*GOOD_VM[:6], float("nan")]),
}


async def send_to(site: Site, port: int, message: Any, *, is_compressed: bool = False) -> None:
    data = msgpack.packb(message)
    async with await connect(site.vms[VM].steering.entry.host, port) as sock:
        await send_frame(sock, zlib.compress(data) if is_compressed else data)
        await curio.sleep(0.5)


async def assert_all_is_well(site: Site) -> None:
    await curio.sleep(SETTLE_S)
    for vm, process in site.vms.items():
        assert not FAILURE_KINDS & {line["kind"] for line in site.lines(vm)}
        live = {peer.vm for peer in process.steering.fleet.live(read_clock_s())}
        assert set(site.vms) <= live
    assert set(await call_all(site, 2)) == {200}


@pytest.mark.parametrize("message", ROWS_MESSAGES.values(), ids=ROWS_MESSAGES)
def test_malformed_request_for_rows_costs_itself(run_site: Any, message: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await send_to(site, site.vms[VM].steering.entry.peer_port, message)
        await assert_all_is_well(site)

    run_site(scenario)


# A number in place of bytes once stood for so many zero bytes, which no VM has memory for.
@pytest.mark.parametrize("message", RELAY_MESSAGES.values(), ids=RELAY_MESSAGES)
def test_malformed_request_to_relay_costs_itself(run_site: Any, message: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        port = site.vms[VM].steering.entry.peer_port + RELAY_PORT_OFFSET
        await send_to(site, port, message)
        await assert_all_is_well(site)

    run_site(scenario)


@pytest.mark.parametrize("value", VM_ROWS.values(), ids=VM_ROWS)
def test_malformed_row_of_a_vm_costs_itself(run_site: Any, value: bytes) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await site.store.put(VMS_TABLE, "vm-x", value)
        for vm in list(site.vms):
            await site.restart_vm(vm)
        await assert_all_is_well(site)

    run_site(scenario)


# A heartbeat once confirmed a copy in the future, or named a position beyond what VMs can send.
@pytest.mark.parametrize(
    ("positions", "ages_s"),
    [({"targets": 5}, {"targets": -1e9}), ({"targets": 2**64 - 1}, {"targets": 0.0})],
    ids=["confirmed-in-the-future", "position-huge"],
)
def test_heartbeat_out_of_range_confirms_nothing(
    run_site: Any, positions: dict[str, int], ages_s: dict[str, float]
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        entry = site.vms[VM].steering.entry
        heartbeat = [1, GOOD_VM, 1, 1, positions, ages_s, {}, {}, {}]
        stranger = network.open_datagrams("10.1.0.77", entry.peer_port)
        await stranger.sendto(msgpack.packb(heartbeat), (entry.host, entry.peer_port))
        await curio.sleep(0.3)
        for copy in site.vms[VM].steering.tables.values():
            assert copy.confirmed_s <= read_clock_s()
        await assert_all_is_well(site)

    run_site(scenario)
