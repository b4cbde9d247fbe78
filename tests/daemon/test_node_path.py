"""A request from a caller to a target and back, through real sockets on loopback."""

from __future__ import annotations

import io
import json
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest

from siskinward.daemon.trace_recorder import TraceRecorder
from siskinward.standins.replay._trace import parse_trace

if TYPE_CHECKING:
    from conftest import SmallDeployment


def test_node_serves_a_keyed_request_without_its_key(deployment: SmallDeployment) -> None:
    async def body() -> None:
        response = await deployment.get("vm-a", "/listings/x?d=1", "alpha")
        assert response is not None and response.status == 200
        assert json.loads(response.body)["target"] == "listings-a-1"
        assert sum(target.key_seen_count for target in deployment.targets.values()) == 0

    deployment.run(body)


@pytest.mark.parametrize(
    ("path", "account", "status", "reason"),
    [
        ("/listings/x", None, 401, "key-missing"),
        ("/listings/x", "nobody", 401, "key-unknown"),
        ("/listings/x?k=demo-alpha", "alpha", 400, "key-exposed"),
        ("/listings/x?k=demo%2Dalpha", "alpha", 400, "key-exposed"),
        ("/unknown", "alpha", 404, "no-route"),
        ("/listingsx", "alpha", 404, "no-route"),
    ],
)
def test_node_refuses_as_not_run(
    deployment: SmallDeployment, path: str, account: str | None, status: int, reason: str
) -> None:
    async def body() -> None:
        response = await deployment.get("vm-a", path, account)
        assert response is not None and response.status == status
        content = json.loads(response.body)
        assert (content["refused"], content["outcome"]) == (reason, "not-run")
        metrics = await deployment.get("vm-a", "/metrics")
        assert metrics is not None and f'reason="{reason}"'.encode() in metrics.body
        assert sum(target.served_count for target in deployment.targets.values()) == 0

    deployment.run(body)


def test_node_forwards_to_another_domain_when_its_targets_are_gone(
    deployment: SmallDeployment,
) -> None:
    async def body() -> None:
        deployment.targets["listings-a-1"].state = "shedding"
        response = await deployment.get("vm-a", "/listings/x", "alpha")
        assert response is not None and response.status == 200
        assert json.loads(response.body)["target"] == "listings-b-1"

    deployment.run(body)


def test_node_refuses_a_withdrawn_key_on_a_live_connection(deployment: SmallDeployment) -> None:
    async def body() -> None:
        await deployment.withdraw_keys("alpha")
        for vm in deployment.vms:
            await deployment.wait_for(vm, lambda health: health["version"] == 2)
            response = await deployment.get(vm, "/listings/x", "alpha")
            assert response is not None and response.status == 401

    deployment.run(body)


def test_node_shutdown_finishes_running_requests(deployment: SmallDeployment) -> None:
    async def body() -> None:
        task = await curio.spawn(_call_slowly, deployment)
        await curio.sleep(0.05)
        await deployment.stop_vm("vm-a")
        response = await task.join()
        assert response is not None and response.status == 200

    deployment.run(body)


async def _call_slowly(deployment: SmallDeployment) -> Any:
    target = deployment.targets["listings-a-1"]
    object.__setattr__(target.settings, "service_time_s", 0.6)
    return await deployment.get("vm-a", "/listings/x", "alpha")


def test_node_records_a_trace_without_keys(deployment: SmallDeployment) -> None:
    file = io.StringIO()

    async def body() -> None:
        node = deployment.vms["vm-a"].node
        node.handler.recorder = TraceRecorder(file, await curio.clock())
        await deployment.get("vm-a", "/listings/x", "alpha")
        await deployment.get("vm-a", "/open/x")
        (ticket,) = await deployment.tickets("vm-a", 1)
        await deployment.book("vm-a", ticket)
        assert ticket not in file.getvalue()

    deployment.run(body)
    trace = parse_trace(file.getvalue(), Path("recorded.jsonl")).ok
    recorded = [(line.event.account, line.event.service) for line in trace.lines]
    assert recorded == [
        ("alpha", "listings"),
        ("(open routes)", "listings"),
        ("alpha", "bookings"),
    ]
    assert trace.lines[2].event.ticket
    assert "demo-" not in file.getvalue()
