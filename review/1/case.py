"""A zone is cut off and back ends lose answers: a booking runs twice.

``TROUBLE=cut`` and ``TROUBLE=lost`` cause only one of the two.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import Backend  # noqa: E402
from deployment import Connection  # noqa: E402
from deployment import CouldNotRunError  # noqa: E402
from deployment import Deployment  # noqa: E402
from deployment import route  # noqa: E402
from deployment import send  # noqa: E402

REGIONS = ("harju", "tartu", "parnu")
ZONES = {f"{region}-{letter}": region for region in REGIONS for letter in "abc"}
CUT_ZONE = "harju-a"
MACHINES = 10
BACKENDS_PER_ZONE = 3
SERVICE = "makse"
PATHS = 24
LOAD_PER_S = 30.0
DEADLINE_MS = 6000
TIMEOUT_MS = 3000
ROUNDS = 6
BEFORE_S = 2.0
# The doses of ``zone_cut`` (for_s), and of ``answer_lost`` with ``reset`` (share, x, for_s).
CUT_S = 5.0
SHARE = 0.6
LOST = 0.4
LOST_FOR_S = 4.0
NOT_RUN = (408, 421, 429, 503)
TROUBLE = os.environ.get("TROUBLE", "1")
CUTS = TROUBLE in ("1", "cut")
LOSES = TROUBLE in ("1", "lost")


class BookingBackend(Backend):
    """While faulty, loses the answers of some of the requests that it ran: it resets instead."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.slots = 5
        self.work_s = 0.8
        self.faulty_until_s = 0.0
        self.faulty_runs = 0
        self.lost = 0

    def answer(self, connection: Connection, attempt: str) -> None:
        """Answer a request that was run, or reset the connection."""
        if self._loses_answer():
            self.record.write(f"{self.name} has run {attempt} and loses the answer (reset)")
            connection.reset()
        else:
            super().answer(connection, attempt)

    def _loses_answer(self) -> bool:
        """Choose answers at random, but never more than the share of the dose."""
        if time.monotonic() >= self.faulty_until_s:
            return False
        self.faulty_runs += 1
        if self.lost + 1 > LOST * self.faulty_runs or random.random() < 0.2:
            return False
        self.lost += 1
        return True


async def play_round(deployment: Deployment) -> None:
    """Cut the zone, and let back ends lose answers meanwhile."""
    await asyncio.sleep(BEFORE_S)
    if CUTS:
        deployment.cut_zone(CUT_ZONE)
    await asyncio.sleep(CUT_S - LOST_FOR_S)
    if LOSES:
        count = int(len(deployment.backends) * SHARE)
        # The back ends that the cut machines still reach come first.
        for backend in sorted(deployment.backends, key=lambda item: item.zone != CUT_ZONE)[:count]:
            backend.faulty_until_s = time.monotonic() + LOST_FOR_S
            deployment.record.write(f"answer_lost (reset) at {backend.name} for {LOST_FOR_S} s")
    await asyncio.sleep(LOST_FOR_S)
    deployment.heal_zone(CUT_ZONE)


async def run() -> int:
    """Run the case and return the exit code."""
    deployment = Deployment(FOLDER, ZONES)
    record = deployment.record
    machines = [deployment.add_machine(CUT_ZONE) for _ in range(MACHINES)]
    for zone in ZONES:
        for _ in range(BACKENDS_PER_ZONE):
            deployment.add_backend(BookingBackend, SERVICE, zone)
    tasks: list[asyncio.Task] = []

    async def call() -> None:
        while True:
            path = f"/{SERVICE}/{random.randrange(PATHS)}"
            request = send(random.choice(machines), record, "POST", path, DEADLINE_MS, b"slot=9")
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(random.expovariate(LOAD_PER_S))

    try:
        await deployment.start([route(SERVICE, "unsafe", TIMEOUT_MS)])
        calls = asyncio.create_task(call())
        for _ in range(ROUNDS):
            await play_round(deployment)
        await asyncio.sleep(BEFORE_S)
        calls.cancel()
        answers = await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        broken = 0
        for attempt, runs in deployment.runs().items():
            if len(runs) > 1:
                broken += 1
                places = ", ".join(run.backend for run in runs)
                record.write(f"BROKEN: TWICE: {attempt} ran {len(runs)} times: {places}")
        for answer in answers:
            # Seen besides: the rule of this case is TWICE, which alone decides the exit code.
            if answer.status in NOT_RUN and answer.attempt in deployment.runs():
                record.write(f"also REFUSED: {answer.attempt} got {answer.status} and has run")
        served = sum(answer.status == 200 for answer in answers)
        cut_off = sum(len(machine.log_lines("targets-cut-off")) for machine in machines)
        record.write(f"the machines took themselves for cut off {cut_off} times")
        summary = f"{len(answers)} bookings, {served} served, {broken} ran more than once"
        record.write(summary)
        print(summary)
        if served < len(answers) / 10:
            raise CouldNotRunError("hardly any booking was served")
        return 1 if broken else 0
    finally:
        await deployment.stop()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(run()))
    except CouldNotRunError as error:
        print(f"could not run: {error}")
        sys.exit(2)
