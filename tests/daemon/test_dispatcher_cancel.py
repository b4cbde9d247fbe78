from __future__ import annotations

from random import Random
from typing import Any

import curio
import pytest

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.retries import RetrySettings
from siskinward.coordination.routing import Choice
from siskinward.coordination.routing import OwnerLoad
from siskinward.coordination.routing import Router
from siskinward.coordination.routing import RoutingSettings
from siskinward.coordination.routing import ServiceLoad
from siskinward.daemon.dispatcher import Dispatcher
from siskinward.daemon.metrics import NodeMetrics
from siskinward.daemon.retry_controller import RetryController
from siskinward.daemon.work import Work
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName
from siskinward.state.objects import Configuration
from siskinward.state.objects import FailureDomain

SERVICE = ServiceName("listings")
DOMAIN = DomainName("a")
OWN = VmIdentity(VmName("vm"), DOMAIN, IncarnationId("1"))
SLOTS = 3


class SilentLocalExecutor:
    """Never answers."""

    async def run(self, work: Work) -> Any:
        await curio.sleep(3600.0)


async def expected_s(router: Router) -> float:
    now_s = await curio.clock()
    choice = router.choose(SERVICE, request_bytes=1, excluded=(), now_s=now_s)
    assert isinstance(choice, Choice)
    return choice.predicted_s


def test_cancelled_attempts_no_longer_count_as_outstanding(paused_kernel: Any) -> None:
    configuration = Configuration(
        failure_domains={DOMAIN: FailureDomain(DOMAIN, RegionName("north"))}
    )
    router = Router(RoutingSettings(ramp_s=0.0), OWN, configuration, Random(1))
    local: Any = SilentLocalExecutor()
    dispatcher = Dispatcher(
        OWN.vm, local, RetryController(RetrySettings(), Random(1)), NodeMetrics()
    )
    dispatcher.router = router
    dispatcher.forwarder = local
    work = Work(SERVICE, AccountName("zoo"), "GET", "/", (), b"", None, "f", True, 5000.0)
    report = OwnerLoad(1, (ServiceLoad(SERVICE, SLOTS, 0, 0, 0.02),))

    async def main() -> None:
        router.on_owner_load(report, OWN, await curio.clock())
        idle_s = await expected_s(router)
        tasks = [await curio.spawn(dispatcher.run, work) for _ in range(2 * SLOTS)]
        await curio.sleep(0.1)
        assert await expected_s(router) > idle_s
        for task in tasks:
            await task.cancel()
        assert await expected_s(router) == pytest.approx(idle_s, rel=1e-3)

    paused_kernel.run(main)
