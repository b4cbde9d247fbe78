"""Answers of targets that never end harm neither the caller's time nor other callers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from cut_vms import relay_all
from steady_load import SteadyLoad

from siskinward.platform.standins import TargetFault
from siskinward.transport.answer_memory import AnswerLimits
from siskinward.transport.answer_memory import AnswerMemory
from siskinward.transport.answer_memory import AnswerShare
from siskinward.transport.answer_memory import AnswerTooLargeError
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

ENDLESS = (
    TargetFault.ENDLESS_HEAD,
    TargetFault.ENDLESS_INTERIM,
    TargetFault.ENDLESS_BODY,
    TargetFault.ENDLESS_CHUNKS,
)
ROUTE_TIMEOUT_S = 2.0
# The platform's bound on answers after the route's timeout.
LATE_S = 0.5
PARALLEL_ENDLESS = 8


@pytest.mark.parametrize("relays", [False, True], ids=["own", "relayed"])
@pytest.mark.parametrize("gap_s", [0.0, 0.3], ids=["fast", "slow"])
@pytest.mark.parametrize("fault", ENDLESS, ids=lambda fault: fault.value)
def test_answer_that_never_ends_fails_in_time_and_harms_no_other(
    run_site: Any, monkeypatch: pytest.MonkeyPatch, fault: TargetFault, gap_s: float, relays: bool
) -> None:
    totals: list[int] = []
    add_piece = AnswerShare.add_piece

    async def record(share: AnswerShare, size_bytes: int) -> None:
        await add_piece(share, size_bytes)
        totals.append(share._memory.total_bytes)

    async def scenario(site: Site, network: MemoryNetwork) -> None:
        monkeypatch.setattr(AnswerShare, "add_piece", record)
        for target in site.targets.values():
            if target.service == "bookings":
                target.fault = fault
                target.endless_gap_s = gap_s
        if relays:
            relay_all(next(iter(site.vms.values())))
        load = SteadyLoad(site, list(site.vms), 20.0, ("listings",))
        running = await curio.spawn(load.run)
        started_s = read_clock_s()
        endless = [
            await curio.spawn(site.call, next(iter(site.vms)), f"/bookings/{number}")
            for number in range(PARALLEL_ENDLESS)
        ]
        statuses = [(await call.join()).status for call in endless]
        assert read_clock_s() - started_s <= ROUTE_TIMEOUT_S + LATE_S
        assert set(statuses) <= {502, 503, 504}
        load.stop()
        await running.join()
        assert load.served_share(lambda call: True) == 1.0
        assert max(call.ended_s - call.sent_s for call in load.calls if call.ended_s) < LATE_S
        assert max(totals) <= AnswerLimits().total_bytes

    run_site(scenario)


def test_memory_fails_the_largest_answer_and_lets_the_growing_one_wait() -> None:
    events: list[str] = []

    async def main() -> int:
        memory = AnswerMemory(AnswerLimits(answer_bytes=10_000, total_bytes=12_000))
        is_failed = curio.Event()

        async def receive_large() -> None:
            async with memory.open_share(is_failed.set) as share:
                await share.add_piece(9_000)
                await is_failed.wait()
                events.append("failed")
                with pytest.raises(AnswerTooLargeError, match="to make room"):
                    await share.add_piece(1)

        large = await curio.spawn(receive_large)
        await curio.sleep(0)
        async with memory.open_share(curio.sleep) as small:
            await small.add_piece(2_000)
            await small.add_piece(2_000)
            events.append("grown")
        await large.join()
        return memory.total_bytes

    assert curio.run(main) == 0
    assert events == ["failed", "grown"]


def test_memory_fails_an_answer_of_many_small_pieces() -> None:
    async def main() -> None:
        memory = AnswerMemory(AnswerLimits(answer_bytes=10_000, min_piece_bytes=512))
        async with memory.open_share(curio.sleep) as share:
            for _ in range(20):
                await share.add_piece(1)

    with pytest.raises(AnswerTooLargeError, match="exceeds 10000 bytes"):
        curio.run(main)
