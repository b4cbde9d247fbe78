"""What a relay says of a request that it sent is no leave to send it through another."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from attrs import evolve
from cut_vms import SITE
from cut_vms import check_promises
from cut_vms import cut
from cut_vms import relay_all
from steady_load import SteadyLoad

from siskinward.platform.standins import TargetFault
from siskinward.standins.memory_network import CutKind
from siskinward.state.identifiers import TargetName
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import SendPhase
from siskinward.transport.relay_messages import RelayFailure
from siskinward.transport.relay_pool import RelayPool

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork
    from siskinward.transport.relay_messages import RelayReply
    from siskinward.transport.relay_messages import RelayRequest

FIRST_VM = "vm-bud-a-0"
CHECK_S = 0.5


@pytest.mark.parametrize("phase", SendPhase, ids=lambda phase: phase.value)
def test_booking_that_a_relay_has_sent_is_asked_of_no_other(
    run_site: Any, monkeypatch: pytest.MonkeyPatch, phase: SendPhase
) -> None:
    asked: list[str] = []

    # As a VM of the last landing answers: its own fault, whatever it had sent.
    async def fail(self: RelayPool, host: str, request: RelayRequest) -> RelayReply:
        if request.request is not None:
            asked.append(host)
        return RelayFailure(ExchangeFailedError(phase, "closed"), is_relays_fault=True)

    async def scenario(site: Site, network: MemoryNetwork) -> None:
        monkeypatch.setattr(RelayPool, "exchange", fail)
        relay_all(site.vms[FIRST_VM])
        response = await site.call(FIRST_VM, "/bookings/1")
        if phase is SendPhase.NOT_CONNECTED:
            assert response.status == 503
            assert len(set(asked)) > 1
        else:
            assert response.status == 502
            assert len(asked) == 1

    run_site(scenario, SITE)


def test_relay_that_is_cut_off_while_it_waits_does_not_take_the_loss_for_its_own(
    run_site: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    replies: list[RelayReply] = []
    exchange = RelayPool.exchange

    async def record(self: RelayPool, host: str, request: RelayRequest) -> RelayReply:
        replies.append(await exchange(self, host, request))
        return replies[-1]

    async def scenario(site: Site, network: MemoryNetwork) -> None:
        monkeypatch.setattr(RelayPool, "exchange", record)
        relay_all(site.vms[FIRST_VM])
        for target in site.targets.values():
            target.work_s = 0.5
            target.fault = TargetFault.LOSES_ANSWERS
        call = await curio.spawn(site.call, FIRST_VM, "/bookings/1")
        await curio.sleep(0.3)
        for vm in site.vms.values():
            vm.steering.paths.on_checked((), list(site.targets), read_clock_s())
        assert (await call.join()).status == 502
        assert site.runs("bookings") == 1
        sent = [reply for reply in replies if isinstance(reply, RelayFailure)]
        assert sent
        assert not any(reply.is_relays_fault for reply in sent)

    run_site(scenario, SITE)


# review/1: the same with real processes.
@pytest.mark.parametrize("kind", CutKind, ids=lambda kind: kind.value)
def test_bookings_run_once_while_vms_are_cut_off_one_after_the_other_and_answers_are_lost(
    run_site: Any, kind: CutKind
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in site.targets.values():
            target.work_s = 0.4
        load = SteadyLoad(site, list(site.vms), 40.0, ("bookings",))
        running = await curio.spawn(load.run)
        names = list(site.vms)
        for number in range(8):
            for target in site.targets.values():
                target.fault = TargetFault.LOSES_ANSWERS
                target.remaining_faults = 4
            await cut(site, network, [names[number % len(names)]], kind)
            await curio.sleep(CHECK_S)
            if number % 4 == 3:
                network.heal_cuts()
                await curio.sleep(CHECK_S)
        load.stop()
        await running.join()
        check_promises(site, load)

    run_site(scenario, SITE)


# A relay of the last landing goes by the id alone, and uses its connections for any request.
def test_refusal_by_a_relay_is_no_leave_to_send_to_the_same_target_again(
    run_site: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked: list[str] = []

    async def refuse(self: RelayPool, host: str, request: RelayRequest) -> RelayReply:
        assert request.request is not None
        asked.append(request.target)
        attempt_id = request.request.header(b"x-attempt-id") or b""
        return HttpResponse(503, ((b"x-not-executed", b"1"), (b"x-attempt-id", attempt_id)))

    async def scenario(site: Site, network: MemoryNetwork) -> None:
        monkeypatch.setattr(RelayPool, "exchange", refuse)
        relay_all(site.vms[FIRST_VM])
        assert (await site.call(FIRST_VM, "/bookings/1")).status == 503
        assert len(asked) == 2
        assert len(set(asked)) == 2

    run_site(scenario, SITE)


def test_refusal_by_a_relay_of_a_request_without_an_id_is_no_proof(
    run_site: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def refuse(self: RelayPool, host: str, request: RelayRequest) -> RelayReply:
        return HttpResponse(503, ((b"x-not-executed", b"1"),))

    async def scenario(site: Site, network: MemoryNetwork) -> None:
        monkeypatch.setattr(RelayPool, "exchange", refuse)
        relay_all(site.vms[FIRST_VM])
        request = site.request("/bookings/1")
        headers = tuple(item for item in request.headers if item[0] != b"x-attempt-id")
        assert (await site.send(FIRST_VM, evolve(request, headers=headers))).status == 502

    run_site(scenario, SITE)


# A target that drains, asked after by a VM that is cut off, counted as crashed under the request.
@pytest.mark.parametrize("is_told", [False, True], ids=["by-its-entry", "by-its-answers"])
def test_relay_says_that_a_leaving_target_is_there(run_site: Any, is_told: bool) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        vm = site.vms[FIRST_VM]
        relay_all(vm)
        target = next(iter(site.targets.values()))
        if is_told:
            target.leaving = "1"
            for number in range(20):
                await site.call("vm-deb-a-0", f"/{target.service}/{number}")
        else:
            await site.report(target, "draining")
        await curio.sleep(1.0)
        known = vm.steering.targets.get(TargetName(target.name))
        assert known is not None
        assert not vm.steering.targets.accepts_requests(known)
        assert await vm._probes._links.can_connect(known) is True

    run_site(scenario, SITE)
