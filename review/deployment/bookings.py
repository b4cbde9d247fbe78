"""Clients that send bookings one after the other on kept connections, and what they lose."""

from __future__ import annotations

import asyncio

from deployment.client import HOST_NAME
from deployment.client import KEY
from deployment.http import read_response
from deployment.record import Record
from deployment.vms import FRONT_PORT
from deployment.vms import Vm

BOOKING_CLIENTS = 10
BOOKING_WORK_S = 0.6
BOOKING_TIME_LIMIT_S = 4.0


def encode_head(method: str, path: str, attempt: str, time_left_s: float, length: int) -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Ms: {int(time_left_s * 1000)}\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def start_bookings(
    vm: Vm, end_s: float, lost: list[str], record: Record, route: str = "bookings"
) -> list[asyncio.Task[None]]:
    """Start the clients; ``lost`` gets the requests whose kept connection ends unanswered."""
    return [
        asyncio.create_task(_book_again_and_again(number, vm, end_s, lost, record, route))
        for number in range(BOOKING_CLIENTS)
    ]


async def _book_again_and_again(
    number: int, vm: Vm, end_s: float, lost: list[str], record: Record, route: str
) -> None:
    """Send bookings one after the other on a kept connection."""
    await asyncio.sleep(number * BOOKING_WORK_S / BOOKING_CLIENTS)
    reader, writer = await asyncio.open_connection(vm.host, FRONT_PORT)
    count = 0
    while record.now_s() < end_s:
        count += 1
        attempt = f"{route}-{number}-{count}"
        record.write(f"client sends {attempt} to {vm.name}")
        try:
            async with asyncio.timeout(BOOKING_TIME_LIMIT_S):
                path = f"/{route}/{number}"
                writer.write(
                    encode_head("POST", path, attempt, BOOKING_TIME_LIMIT_S, 9) + b"a booking"
                )
                response = await read_response(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            record.write(f"no answer to {attempt}: {type(error).__name__}")
            if count > 1 and not isinstance(error, TimeoutError):
                lost.append(attempt)
            break
        record.write(f"client gets {response.status} for {attempt}")
        if response.headers.get("connection") == "close":
            break
    writer.close()
