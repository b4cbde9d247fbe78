"""A zone's backends leave with notice while the store is down; see ``claim.txt``."""

from __future__ import annotations

import asyncio
from itertools import cycle
from pathlib import Path

from deployment.case import HAS_TROUBLE
from deployment.case import Deployment
from deployment.case import run_case
from deployment.client import call
from deployment.record import Record
from deployment.target import Target

ZONE = "bud-a"
DRAIN_S = 2.0
OUTAGE_S = 4.5
NOTICE_AFTER_S = 0.3
GONE_AFTER_S = 2.5
REQUESTS_PER_S = 60.0
SENDING_S = 6.0


async def play(record: Record) -> bool:
    deployment = Deployment(record, targets_per_zone=2, work_s=0.4)
    try:
        await deployment.start()
        return await _observe(deployment, record)
    finally:
        await deployment.vms.stop()


async def _observe(deployment: Deployment, record: Record) -> bool:
    leaving = [target for target in deployment.targets if target.zone == ZONE]
    sent: dict[str, tuple[str, float]] = {}
    answers: dict[str, tuple[float, str]] = {}
    begun_s = record.now_s()
    reclaim = asyncio.create_task(_reclaim(deployment, leaving, record))
    calls = []
    for vm in cycle(deployment.entries):
        if record.now_s() - begun_s > SENDING_S:
            break
        calls.append(asyncio.create_task(_book(vm, record, sent, answers)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    await asyncio.gather(*calls)
    await reclaim
    return _judge(leaving, sent, answers, record)


async def _book(vm, record, sent, answers) -> None:
    started_s = record.now_s()
    attempt, response = await call(vm, "/bookings/1", record, method="POST", body=b"a booking")
    sent[attempt] = (vm.host, started_s)
    if response is None:
        answers[attempt] = (record.now_s(), "none")
    elif response.status != 200:
        answers[attempt] = (record.now_s(), str(response.status))
    else:
        mark = "leaving" if response.headers.get("server-leaving") == "1" else "200"
        name = response.headers["x-response-signature"].partition(".")[0]
        answers[attempt] = (record.now_s(), f"{mark} {name}")


async def _reclaim(deployment: Deployment, leaving: list[Target], record: Record) -> None:
    if HAS_TROUBLE:
        record.write(f"the store is silent for {OUTAGE_S} s")
        deployment.silence_store(deployment.entries)
    begun_s = record.now_s()
    await asyncio.sleep(NOTICE_AFTER_S)
    for target in leaving:
        record.write(f"{target.name} gets notice: it says Server-Leaving from now on")
        target.is_leaving = True
        deployment.heartbeats[target.name].cancel()
        # While the store is down it does not take the report.
        if not HAS_TROUBLE:
            target.report(deployment.store, "draining")
    await asyncio.sleep(GONE_AFTER_S)
    for target in leaving:
        record.write(f"{target.name} is gone, {target.running} requests at work")
        target.stop()
    await asyncio.sleep(OUTAGE_S - (record.now_s() - begun_s))
    for target in leaving:
        deployment.store.put("servers", target.name, None)
    record.write("the store is back")
    deployment.restore_store()


def _judge(leaving, sent, answers, record) -> bool:
    """Apply the rule: no request sent later than ``drain`` after an answer with the header."""
    late = []
    for target in leaving:
        told: dict[str, float] = {}
        for attempt, (at_s, outcome) in answers.items():
            if outcome == f"leaving {target.name}":
                host = sent[attempt][0]
                told[host] = min(at_s, told.get(host, at_s))
        for host, attempt, at_s in target.arrivals:
            if attempt in sent and sent[attempt][1] > told.get(host, at_s) + DRAIN_S:
                late.append(attempt)
                record.write(
                    f"broken: {attempt}, sent by its client at {sent[attempt][1]:.3f} s, reached"
                    f" {target.name} from {host}, which had passed on Server-Leaving of it at"
                    f" {told[host]:.3f} s; the client got {answers[attempt][1]}"
                )
    lost = [attempt for attempt in late if answers[attempt][1] in ("502", "none")]
    record.write(f"{len(late)} requests reached a leaving backend late, {len(lost)} of them lost")
    return not late


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
