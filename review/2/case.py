"""Extra copies of refusals: a booking is answered 503 although it runs."""

from __future__ import annotations

import asyncio
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
from deployment import has_trouble  # noqa: E402
from deployment import route  # noqa: E402
from deployment import send  # noqa: E402

ZONES = {"bud-a": "budapest", "deb-a": "debrecen", "pec-a": "pecs"}
SERVICE = "foglalas"
BACKENDS = 5
PATHS = 24
LOAD_PER_S = 215.0
LENGTH_S = 80.0
DEADLINE_MS = 4000
TIMEOUT_MS = 2000
# The largest dose of ``garble`` with ``extra late``: share, x and for_s.
SHARE = 0.6
SPOILT = 0.03
FOR_S = 5.0
PAUSE_S = 1.0
NOT_RUN = (408, 421, 429, 503)


class BookingBackend(Backend):
    """Does not tell its load. While faulty, it sends some of its answers a second time.

    The copy arrives where the next answer on the connection is expected.
    """

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.tells_load = False
        self.slots = 6
        self.work_s = 0.15
        self.queue = 1
        self.faulty_until_s = 0.0
        self.copies = 0
        self.faulty_answers = 0

    def answer(self, connection: Connection, attempt: str) -> None:
        """Answer a request that was run."""
        self._write(connection, self.success(attempt), f"the answer to {attempt}")

    def refuse(self, connection: Connection, attempt: str) -> None:
        """Answer a request that was not run."""
        self._write(connection, self.refusal(attempt), f"the refusal of {attempt}")

    def _write(self, connection: Connection, data: bytes, what: str) -> None:
        connection.writer.write(data)
        if self._is_spoilt():
            self.copies += 1
            connection.pending = data
            self.record.write(f"{self.name} will send {what} a second time")

    def _is_spoilt(self) -> bool:
        """Choose answers at random, but never more than the share of the dose."""
        if time.monotonic() >= self.faulty_until_s:
            return False
        self.faulty_answers += 1
        return self.copies + 1 <= SPOILT * self.faulty_answers and random.random() < 0.2


async def make_faulty(deployment: Deployment) -> None:
    """Let the share of the back ends be faulty, again and again."""
    count = int(len(deployment.backends) * SHARE)
    while True:
        for backend in random.sample(deployment.backends, count):
            backend.faulty_until_s = time.monotonic() + FOR_S
            deployment.record.write(f"garble (extra late) at {backend.name} for {FOR_S} s")
        await asyncio.sleep(FOR_S + PAUSE_S)


async def run() -> int:
    """Run the case and return the exit code."""
    deployment = Deployment(FOLDER, ZONES)
    record = deployment.record
    machines = [deployment.add_machine(zone) for zone in ZONES for _ in range(2)]
    for number in range(BACKENDS):
        deployment.add_backend(BookingBackend, SERVICE, list(ZONES)[number % len(ZONES)])
    tasks = []
    try:
        await deployment.start([route(SERVICE, "unsafe", TIMEOUT_MS)])
        trouble = asyncio.create_task(make_faulty(deployment)) if has_trouble() else None
        end_s = time.monotonic() + LENGTH_S
        while time.monotonic() < end_s:
            path = f"/{SERVICE}/{random.randrange(PATHS)}"
            request = send(random.choice(machines), record, "POST", path, DEADLINE_MS, b"slot=9")
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(random.expovariate(LOAD_PER_S))
        answers = await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        if trouble is not None:
            trouble.cancel()
        runs = deployment.runs()
        broken = 0
        for answer in answers:
            ran = runs.get(answer.attempt, [])
            if answer.status in NOT_RUN and ran:
                broken += 1
                record.write(f"BROKEN: REFUSED: {answer.attempt} got {answer.status} and has run")
            if len(ran) > 1:
                broken += 1
                record.write(f"BROKEN: TWICE: {answer.attempt} ran {len(ran)} times")
        served = sum(answer.status == 200 for answer in answers)
        copies = sum(backend.copies for backend in deployment.backends)
        refused = sum(backend.refused for backend in deployment.backends)
        record.write(
            f"{len(answers)} bookings, {served} served, {refused} refusals of back ends, "
            f"{copies} answers sent twice, {broken} promises broken"
        )
        print(
            f"{len(answers)} bookings, {served} served, {refused} refusals of back ends, "
            f"{copies} answers sent twice, {broken} broken"
        )
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
