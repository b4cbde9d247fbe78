"""Drains that move callers in steps, in a deployment on a paused clock."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs
import curio
import pytest
from conftest import SmallDeployment
from conftest import configuration_text

from siskinward.coordination.demand import DemandRoute
from siskinward.standins.deployment import DeploymentSettings
from siskinward.state.configuration import parse_configuration
from siskinward.state.identifiers import VmName
from siskinward.state.objects import Drain
from siskinward.state.objects import DrainKind

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

SHARE_LIMIT = 0.2
INTERVAL_S = 20.0
LOOK_UP_S = 1.0
CLIENTS = tuple(f"10.{site}.{number}.1" for site in (1, 2) for number in range(16))
MEASURED_S = 60.0
DRAINED_LIMIT_S = 400.0


def shift_text() -> str:
    lines = ["[client-block block-a]", "prefix = 10.1.0.0/16", "site = site-a"]
    lines += ["[client-block block-b]", "prefix = 10.2.0.0/16", "site = site-b"]
    lines += ["[shift-cap listings]", "service = listings", f"share_limit = {SHARE_LIMIT}"]
    lines += [f"interval_s = {INTERVAL_S}"]
    return configuration_text() + "\n".join(lines) + "\n"


class Callers:
    """Callers that look up once a second; records when the first VM in an answer changes."""

    def __init__(self, deployment: SmallDeployment) -> None:
        self._deployment = deployment
        self.first: dict[str, str] = {}
        self.moved_s: list[float] = []
        self.quiet: frozenset[str] = frozenset()

    async def run(self) -> None:
        while True:
            for client in CLIENTS:
                if client in self.quiet:
                    continue
                await self._look_up(client)
            await curio.sleep(LOOK_UP_S)

    async def _look_up(self, client: str) -> None:
        path = f"/lookup?service=listings&client={client}"
        response = await self._deployment.call("vm-b", "GET", path)
        assert response is not None and response.status == 200
        first = json.loads(response.body)["vms"][0]["vm"]
        if self.first.get(client, first) != first:
            self.moved_s.append(await curio.clock())
        self.first[client] = first

    def at(self, vm: str) -> int:
        return list(self.first.values()).count(vm)

    def largest_shift(self) -> float:
        """Return the largest share of callers that moved within any interval of the cap."""
        windows = (
            sum(start <= moved < start + INTERVAL_S for moved in self.moved_s)
            for start in self.moved_s
        )
        return max(windows, default=0) / len(CLIENTS)


@pytest.fixture
def shifting(paused_kernel: Any) -> SmallDeployment:
    parsed = parse_configuration(shift_text(), "test")
    assert parsed.is_ok(), str(parsed.error)
    settings = DeploymentSettings(service_time_s=0.002, has_latency=False, look_up_ttl_s=0.2)
    return SmallDeployment(settings, parsed.ok, kernel=paused_kernel)


async def drain(deployment: SmallDeployment, subject: str, duration_s: float) -> None:
    drains: Mapping[str, Drain] = {
        "night": Drain("night", DrainKind.FAILURE_DOMAIN, subject, 0.0, duration_s)
    }
    await deployment.publish(attrs.evolve(deployment.configuration, drains=dict(drains)))


async def wait_moved(callers: Callers, count: int) -> None:
    async with curio.timeout_after(DRAINED_LIMIT_S):
        while len(callers.moved_s) < count:
            await curio.sleep(LOOK_UP_S)


@pytest.mark.parametrize(
    ("subject", "other", "duration_s"),
    [("a", "vm-b", 1.0), ("b", "vm-a", 2 * DRAINED_LIMIT_S)],
)
def test_drain_moves_callers_in_steps_under_the_cap(
    shifting: SmallDeployment, subject: str, other: str, duration_s: float
) -> None:
    async def body() -> None:
        callers = Callers(shifting)
        await curio.spawn(callers.run, daemon=True)
        await curio.sleep(MEASURED_S)
        assert callers.at(other) == len(CLIENTS) // 2
        await drain(shifting, subject, duration_s)
        await wait_moved(callers, len(CLIENTS) // 2)
        assert callers.at(other) == len(CLIENTS)
        assert callers.largest_shift() <= SHARE_LIMIT

    shifting.run(body)


def test_targets_of_a_drained_domain_serve_its_callers_until_the_shift_is_over(
    shifting: SmallDeployment,
) -> None:
    async def runs_at_a(vm: str) -> int:
        before = shifting.targets["listings-a-1"].served_count
        for _ in range(10):
            response = await shifting.get(vm, "/open/x")
            assert response is not None and response.status == 200
        return shifting.targets["listings-a-1"].served_count - before

    async def body() -> None:
        callers = Callers(shifting)
        await curio.spawn(callers.run, daemon=True)
        await curio.sleep(MEASURED_S)
        await drain(shifting, "a", 1.0)
        await wait_moved(callers, 1)
        assert await runs_at_a("vm-a") > 0
        assert await runs_at_a("vm-b") == 0
        await wait_moved(callers, len(CLIENTS) // 2)
        await curio.sleep(LOOK_UP_S)
        assert await runs_at_a("vm-a") == 0

    shifting.run(body)


def test_drain_completes_although_some_callers_stop_looking_up(shifting: SmallDeployment) -> None:
    async def body() -> None:
        callers = Callers(shifting)
        await curio.spawn(callers.run, daemon=True)
        await curio.sleep(MEASURED_S)
        callers.quiet = frozenset(CLIENTS[:2])
        await curio.sleep(MEASURED_S)
        await drain(shifting, "a", 1.0)
        await wait_moved(callers, len(CLIENTS) // 2 - len(callers.quiet))
        await curio.sleep(2 * INTERVAL_S)
        callers.quiet = frozenset()
        await curio.sleep(2 * LOOK_UP_S)
        assert callers.at("vm-b") == len(CLIENTS)

    shifting.run(body)


def test_steps_freeze_while_the_platform_is_unreachable_and_resume_after(
    shifting: SmallDeployment,
) -> None:
    async def body() -> None:
        callers = Callers(shifting)
        await curio.spawn(callers.run, daemon=True)
        await curio.sleep(MEASURED_S)
        await drain(shifting, "a", 2 * DRAINED_LIMIT_S)
        await wait_moved(callers, 1)
        shifting.platform.faults.is_out = True
        await curio.sleep(LOOK_UP_S * 5)
        moved = len(callers.moved_s)
        await curio.sleep(2 * INTERVAL_S + MEASURED_S)
        assert len(callers.moved_s) == moved < len(CLIENTS) // 2
        shifting.platform.faults.is_out = False
        await wait_moved(callers, len(CLIENTS) // 2)
        assert callers.at("vm-b") == len(CLIENTS)
        assert callers.largest_shift() <= SHARE_LIMIT

    shifting.run(body)


def test_two_planners_at_once_stay_under_the_cap(shifting: SmallDeployment) -> None:
    async def body() -> None:
        callers = Callers(shifting)
        await curio.spawn(callers.run, daemon=True)
        await curio.sleep(MEASURED_S)
        nodes = [shifting.vms[name].node for name in ("vm-a", "vm-b")]
        first, second = (node._shift_controller for node in nodes)
        # The VM of the drained domain keeps planning, with the demands and capacities of the other.
        first._route = lambda now_s: DemandRoute(VmName("vm-a"), VmName("vm-a"))  # type: ignore[method-assign]
        first.exchange.demands = second.exchange.demands  # type: ignore[method-assign]
        first.exchange.domain_capacities = second.exchange.domain_capacities  # type: ignore[method-assign]
        await drain(shifting, "a", 2 * DRAINED_LIMIT_S)
        await wait_moved(callers, len(CLIENTS) // 2)
        assert any(b"siskinward_shift_conflicts_total 0.0" not in n.metrics.render() for n in nodes)
        assert callers.largest_shift() <= SHARE_LIMIT

    shifting.run(body)
