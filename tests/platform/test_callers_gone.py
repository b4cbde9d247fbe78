"""Callers that have gone by the time that a VM reads or sends their requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import h11
import pytest
from cut_vms import relay_all

from siskinward.daemon.entry.process import RELAY_PORT_OFFSET
from siskinward.daemon.entry.quota_enforcer import QuotaEnforcer
from siskinward.platform.standins import FRONT_PORT
from siskinward.platform.standins._site import TARGET_PORT
from siskinward.state.identifiers import TargetName
from siskinward.transport.client_protocol import encode_request
from siskinward.transport.frames import send_frame
from siskinward.transport.relay_messages import RelayRequest
from siskinward.transport.relay_messages import encode_relay_request
from siskinward.transport.sockets import connect

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"
SETTLE_S = 2.0
PATHS = ("/listings/1", "/bookings/1")


async def send_and_leave(site: Site, path: str) -> None:
    """Send a request and close the connection, before the VM has read either."""
    request = site.request(path)
    sock = await connect(site.vms[VM].steering.entry.host, FRONT_PORT)
    async with sock:
        await sock.sendall(encode_request(h11.Connection(h11.CLIENT), request, request.headers))


async def arrivals_after(site: Site, path: str) -> int:
    """Return how many requests reach targets after a caller has left, with connections kept."""
    await site.call(VM, path)
    await curio.sleep(SETTLE_S)
    before = site.runs()
    await send_and_leave(site, path)
    await curio.sleep(SETTLE_S)
    return site.runs() - before


# GONE in hunts: a VM that lagged behind read requests whose callers had left, and sent them on.
@pytest.mark.parametrize("is_relayed", [False, True], ids=["own", "relayed"])
@pytest.mark.parametrize("path", PATHS)
def test_request_whose_caller_has_left_before_it_was_read_reaches_no_target(
    run_site: Any, path: str, is_relayed: bool
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        if is_relayed:
            relay_all(site.vms[VM])
        assert await arrivals_after(site, path) == 0
        assert (await site.call(VM, path)).status == 200

    run_site(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_relayed_request_whose_vm_has_gone_before_it_was_read_reaches_no_target(
    run_site: Any, path: str
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await site.call(VM, path)
        before = site.runs()
        service = path.split("/")[1]
        target = next(item for item in site.targets.values() if item.service == service)
        relayed = RelayRequest(
            TargetName(target.name), target.host, TARGET_PORT, 3.0, False, site.request(path)
        )
        settings = site.vms[VM].steering.entry
        sock = await connect(settings.host, settings.peer_port + RELAY_PORT_OFFSET)
        async with sock:
            await send_frame(sock, encode_relay_request(relayed))
        await curio.sleep(SETTLE_S)
        assert site.runs() == before

    run_site(scenario)


# The same, for a caller that leaves in the moment in which the request need not wait any longer.
@pytest.mark.parametrize("path", PATHS)
def test_request_whose_caller_leaves_as_its_token_comes_reaches_no_target(
    run_site: Any, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        try_take = QuotaEnforcer.try_take
        granted = curio.Event()

        async def take_late(enforcer: QuotaEnforcer, *args: Any) -> Any:
            result = await try_take(enforcer, *args)
            await granted.wait()
            return result

        await site.call(VM, path)
        before = site.runs()
        monkeypatch.setattr(QuotaEnforcer, "try_take", take_late)
        request = site.request(path)
        sock = await connect(site.vms[VM].steering.entry.host, FRONT_PORT)
        async with sock:
            await sock.sendall(encode_request(h11.Connection(h11.CLIENT), request, request.headers))
            await curio.sleep(0.1)
            await granted.set()
        await curio.sleep(SETTLE_S)
        assert site.runs() == before
        assert not site.vms[VM].steering.targets.get(next(iter(site.targets))).in_flight

    run_site(scenario)
