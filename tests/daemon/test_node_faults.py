"""Faults of VMs, targets, the store and the network in a deployment on a paused clock."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import curio
import msgpack
import pytest

from siskinward.state.errors import SiskinwardError
from siskinward.state.versions import content_hash_of
from siskinward.transport.http_client import HttpClientConnection
from siskinward.transport.http_messages import HttpRequest

if TYPE_CHECKING:
    from conftest import SmallDeployment

    from siskinward.transport.http_messages import HttpResponse

HEADERS = ((b"authorization", b"Bearer demo-alpha"),)
CRASH_HEADERS = (*HEADERS, (b"content-type", b"text/plain"))
ACTIVATION_LIMIT_S = 5.0
SERVICE_TIMEOUT_S = 3.0


def refusal(response: HttpResponse | None) -> tuple[int, str, str]:
    assert response is not None
    content = json.loads(response.body)
    return response.status, content["refused"], content["outcome"]


def test_booking_resent_through_another_vm_runs_once(deployment: SmallDeployment) -> None:
    async def body() -> None:
        for ticket in await deployment.tickets("vm-a", 5):
            first = await deployment.book("vm-a", ticket)
            again = await deployment.book("vm-b", ticket)
            assert first is not None and again is not None
            assert first.status == again.status == 200
            assert first.body == again.body
        assert deployment.booking_runs() == [1] * 5

    deployment.run(body)


def test_booking_resent_while_it_runs_runs_once(deployment: SmallDeployment) -> None:
    async def body() -> None:
        (ticket,) = await deployment.tickets("vm-a", 1)
        tasks = [
            await curio.spawn(deployment.book, vm, ticket)
            for vm in ("vm-a", "vm-b", "vm-a", "vm-b")
        ]
        responses = [await task.join() for task in tasks]
        assert {response.status for response in responses} == {200}
        assert deployment.booking_runs() == [1]

    deployment.run(body)


def test_booking_under_a_foreign_ticket_is_refused(deployment: SmallDeployment) -> None:
    async def body() -> None:
        (ticket,) = await deployment.tickets("vm-a", 1)
        await deployment.book("vm-a", ticket, b'{"organ": 1}')
        other = await deployment.book("vm-a", ticket, b'{"organ": 2}')
        assert refusal(other) == (400, "ticket-invalid", "not-run")
        forged = await deployment.book("vm-a", ticket[:-2] + "xx")
        assert refusal(forged) == (400, "ticket-invalid", "not-run")
        missing = await deployment.book("vm-a", None)
        assert refusal(missing) == (400, "ticket-required", "not-run")
        assert deployment.booking_runs() == [1]

    deployment.run(body)


def test_booking_at_a_crashing_target_is_unknown_and_stays_so(deployment: SmallDeployment) -> None:
    async def body() -> None:
        (ticket,) = await deployment.tickets("vm-a", 1)
        first = await deployment.book("vm-a", ticket, b"crash-target")
        again = await deployment.book("vm-b", ticket, b"crash-target")
        assert refusal(first)[2] == "unknown"
        assert refusal(again)[2] == "unknown"
        assert [t.state for t in deployment.targets.values()].count("crashed") == 1

    deployment.run(body)


def test_booking_at_a_lost_home_never_runs_again(deployment: SmallDeployment) -> None:
    async def body() -> None:
        (ticket,) = await deployment.tickets("vm-a", 1)
        first = await deployment.book("vm-a", ticket)
        assert first is not None and first.status == 200
        await deployment.kill_vm("vm-a")
        again = await deployment.book("vm-b", ticket)
        assert refusal(again)[2] == "unknown"
        assert deployment.booking_runs() == [1]

    deployment.run(body)


def test_store_outage_of_minutes_fails_no_request(deployment: SmallDeployment) -> None:
    async def body() -> None:
        deployment.platform.faults.is_out = True
        for _ in range(20):
            await curio.sleep(15.0)
            for vm in deployment.vms:
                response = await deployment.get(vm, "/listings/x", "alpha")
                assert response is not None and response.status == 200
                (ticket,) = await deployment.tickets(vm, 1)
                booked = await deployment.book(vm, ticket)
                assert booked is not None and booked.status == 200

    deployment.run(body)


def test_own_key_is_refused_while_the_store_is_unavailable(deployment: SmallDeployment) -> None:
    async def body() -> None:
        assert (await deployment.book("vm-a", "own-key-1")).status == 200  # type: ignore[union-attr]
        again = await deployment.book("vm-b", "own-key-1")
        assert again is not None and again.status == 200
        deployment.platform.faults.is_out = True
        refused = await deployment.book("vm-a", "own-key-2")
        assert refusal(refused) == (503, "store-unavailable", "not-run")
        assert deployment.booking_runs() == [1]

    deployment.run(body)


def test_own_key_claim_whose_answer_is_lost_runs_once(deployment: SmallDeployment) -> None:
    async def body() -> None:
        deployment.platform.faults.lost_answers = 1
        first = await deployment.book("vm-a", "own-key-1")
        again = await deployment.book("vm-b", "own-key-1")
        assert first is not None and again is not None
        assert first.status == again.status == 200
        assert deployment.booking_runs() == [1]

    deployment.run(body)


def test_cut_off_domain_serves_what_it_can(deployment: SmallDeployment) -> None:
    async def body() -> None:
        deployment.cut_domains = {"a"}
        await curio.sleep(20.0)
        for vm, target in (("vm-a", "listings-a-1"), ("vm-b", "listings-b-1")):
            response = await deployment.get(vm, "/listings/x", "alpha")
            assert response is not None and response.status == 200
            assert json.loads(response.body)["target"] == target
            (ticket,) = await deployment.tickets(vm, 1)
            booked = await deployment.book(vm, ticket)
            assert booked is not None and booked.status == 200

    deployment.run(body)


def test_booking_refused_for_its_rate_never_ran_and_names_a_fresh_ticket(
    deployment: SmallDeployment,
) -> None:
    async def body() -> None:
        tickets = await deployment.tickets("vm-a", 60) + await deployment.tickets("vm-a", 60)
        tasks = [await curio.spawn(deployment.book, "vm-a", ticket) for ticket in tickets]
        responses = [await task.join() for task in tasks]
        refused = [
            (ticket, json.loads(response.body))
            for ticket, response in zip(tickets, responses, strict=True)
            if response.status == 429
        ]
        served_count = sum(response.status == 200 for response in responses)
        assert refused and served_count + len(refused) == len(tickets)
        runs = {run_id for t in deployment.targets.values() for run_id in t.runs_by_id}
        for ticket, content in refused:
            assert (content["outcome"], content["scope"]) == ("not-run", "request")
            assert ticket not in runs
        await curio.sleep(ACTIVATION_LIMIT_S)
        again = await deployment.book("vm-b", refused[0][1]["ticket"])
        assert again is not None and again.status == 200

    deployment.run(body)


def test_resend_with_a_withdrawn_key_is_not_run_for_this_send_only(
    deployment: SmallDeployment,
) -> None:
    async def body() -> None:
        (ticket,) = await deployment.tickets("vm-a", 1)
        await deployment.book("vm-a", ticket)
        await deployment.withdraw_keys("alpha")
        await curio.sleep(ACTIVATION_LIMIT_S)
        again = await deployment.book("vm-a", ticket)
        assert again is not None
        content = json.loads(again.body)
        assert (content["refused"], content["scope"]) == ("key-unknown", "send")

    deployment.run(body)


def test_booking_with_an_unreachable_home_is_refused_at_once(deployment: SmallDeployment) -> None:
    async def body() -> None:
        tickets = await deployment.tickets("vm-a", 4)
        deployment.cut_domains = {"a"}
        for seconds in (0.0, 2.0, 6.0, 10.0):
            await curio.sleep(seconds)
            status, reason, _ = refusal(await deployment.book("vm-b", tickets.pop()))
            assert (status, reason) == (503, "claim-unavailable")
        assert deployment.booking_runs() == []

    deployment.run(body)


def test_isolated_domain_refuses_unconfirmed_keys(
    deployment: SmallDeployment,
) -> None:
    async def body() -> None:
        deployment.cut_domains = {"a"}
        deployment.platform_cut_domains = {"a"}
        await deployment.withdraw_keys("alpha")
        await curio.sleep(ACTIVATION_LIMIT_S + 1.0)
        refused = await deployment.get("vm-a", "/listings/x", "alpha")
        assert refusal(refused) == (503, "key-unvouched", "not-run")
        for path, account in (("/open/x", None), ("/listings/x", "beta")):
            response = await deployment.get("vm-a", path, account)
            assert response is not None and response.status == 200
        deployment.cut_domains = set()
        deployment.platform_cut_domains = set()
        await curio.sleep(ACTIVATION_LIMIT_S)
        assert refusal(await deployment.get("vm-a", "/listings/x", "alpha"))[1] == "key-unknown"

    deployment.run(body)


def test_domain_without_the_platform_receives_versions_from_others(
    deployment: SmallDeployment,
) -> None:
    async def body() -> None:
        deployment.platform_cut_domains = {"a"}
        await curio.sleep(ACTIVATION_LIMIT_S)
        await deployment.withdraw_keys("alpha")
        await curio.sleep(ACTIVATION_LIMIT_S)
        refused = await deployment.get("vm-a", "/listings/x", "alpha")
        assert refusal(refused)[1] == "key-unknown"
        assert (await deployment.health("vm-a"))["standing"] == "Connected"

    deployment.run(body)


def test_unparsable_version_leaves_keys_unconfirmed(deployment: SmallDeployment) -> None:
    async def body() -> None:
        content = b"[unknown kind]\n"
        name = content_hash_of(content)
        deployment.platform.objects[name] = content
        row_version, value = deployment.platform.rows["configuration"]
        pointer = {**msgpack.unpackb(value), "version": 99, "content_hash": name}
        deployment.platform.rows["configuration"] = (row_version + 1, msgpack.packb(pointer))
        await curio.sleep(ACTIVATION_LIMIT_S)
        refused = await deployment.get("vm-a", "/listings/x", "alpha")
        assert refusal(refused)[1] == "key-unvouched"
        response = await deployment.get("vm-a", "/open/x")
        assert response is not None and response.status == 200

    deployment.run(body)


def test_crashing_request_loses_two_targets_at_most(deployment: SmallDeployment) -> None:
    async def body() -> None:
        for _ in range(6):
            for vm in deployment.vms:
                await deployment.call(vm, "GET", "/listings/x", CRASH_HEADERS, b"crash-target")
                for target in deployment.targets.values():
                    target.state = "up"
        assert sum(target.crash_count for target in deployment.targets.values()) <= 2
        await curio.sleep(ACTIVATION_LIMIT_S)
        healthy = await deployment.get("vm-a", "/listings/y", "alpha")
        assert healthy is not None and healthy.status == 200

    deployment.run(body)


def test_withdrawn_key_is_refused_on_a_connected_caller(deployment: SmallDeployment) -> None:
    async def body() -> None:
        connection = HttpClientConnection("127.0.0.1", deployment.front_port("vm-a"))
        request = HttpRequest("GET", "/listings/x", HEADERS)
        first = await connection.exchange(request, 5.0)
        assert first.ok.status == 200
        await deployment.withdraw_keys("alpha")
        await curio.sleep(ACTIVATION_LIMIT_S)
        assert connection.is_reusable()
        second = await connection.exchange(request, 5.0)
        assert refusal(second.ok) == (401, "key-unknown", "not-run")
        await connection.close()

    deployment.run(body)


def test_killed_vm_is_replaced_within_seconds(deployment: SmallDeployment) -> None:
    async def body() -> None:
        await deployment.kill_vm("vm-a")
        await curio.sleep(10.0)
        response = await deployment.get("vm-b", "/lookup?service=listings")
        assert response is not None
        assert [vm["vm"] for vm in json.loads(response.body)["vms"]] == ["vm-b"]
        await deployment.start_vm("vm-a")
        await deployment.wait_for("vm-a", lambda health: health.get("owned_targets") == 2)
        answer = await deployment.get("vm-a", "/listings/x", "alpha")
        assert answer is not None and answer.status == 200

    deployment.run(body)


def test_silent_connections_are_replaced_while_new_ones_work(
    deployment: SmallDeployment,
) -> None:
    async def body() -> None:
        for _ in range(20):
            await deployment.get("vm-a", "/open/x")
        for target in deployment.targets.values():
            target.silent_ports |= target.seen_ports
        for _ in range(5):
            start_s = await curio.clock()
            response = await deployment.get("vm-a", "/open/x")
            assert response is not None and response.status == 200
            assert await curio.clock() - start_s < SERVICE_TIMEOUT_S

    deployment.run(body)


@pytest.mark.parametrize("state", ["crashed", "shedding"])
def test_read_at_a_broken_target_is_served_elsewhere(
    deployment: SmallDeployment, state: str
) -> None:
    async def body() -> None:
        deployment.targets["listings-a-1"].state = state
        for _ in range(5):
            response = await deployment.get("vm-a", "/listings/x", "alpha")
            assert response is not None and response.status == 200
            assert json.loads(response.body)["target"] == "listings-b-1"

    deployment.run(body)


def test_slots_are_never_exceeded_under_load(deployment: SmallDeployment) -> None:
    async def body() -> None:
        tasks = [
            await curio.spawn(deployment.get, vm, "/open/x")
            for _ in range(40)
            for vm in deployment.vms
        ]
        statuses = [(await task.join()).status for task in tasks]
        assert statuses.count(200) == len(tasks)
        for target in deployment.targets.values():
            assert target.peak_count <= target.settings.slots
            assert target.shed_count == 0

    deployment.run(body)


def test_draining_target_gets_no_new_work(deployment: SmallDeployment) -> None:
    async def body() -> None:
        deployment.targets["listings-a-1"].state = "draining"
        await curio.sleep(ACTIVATION_LIMIT_S)
        for _ in range(10):
            response = await deployment.get("vm-a", "/open/x")
            assert response is not None and response.status == 200
        assert deployment.targets["listings-a-1"].work_while_draining_count == 0

    deployment.run(body)


def test_shutdown_under_load_cuts_no_request(deployment: SmallDeployment) -> None:
    async def body() -> None:
        results: list[int] = []

        async def call_often() -> None:
            for _ in range(100):
                response = await deployment.get("vm-a", "/open/x")
                if response is None:
                    return
                results.append(response.status)
                await curio.sleep(0.01)

        task = await curio.spawn(call_often)
        await curio.sleep(0.1)
        await deployment.stop_vm("vm-a")
        await task.join()
        await deployment.vms["vm-a"].task.join()
        assert len(results) > 10
        assert set(results) == {200}

    deployment.run(body)


def test_node_says_which_port_it_cannot_open(deployment: SmallDeployment) -> None:
    async def body() -> None:
        with pytest.raises(SiskinwardError) as caught:
            await deployment.vms["vm-a"].node.serve(curio.Event().wait)
        assert caught.value.error.step == "listen"
        assert caught.value.error.peer == f"127.0.0.1:{deployment.front_port('vm-a')}"

    deployment.run(body)
