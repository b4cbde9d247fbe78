"""A client's requests, as PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
from itertools import count

from deployment.http import Response
from deployment.http import read_response
from deployment.record import Record
from deployment.vms import FRONT_PORT
from deployment.vms import READY_PORT
from deployment.vms import Vm

HOST_NAME = "site.example"
KEY = "key-1"
_numbers = count(1)


async def call(
    vm: Vm,
    path: str,
    record: Record,
    *,
    method: str = "GET",
    body: bytes = b"",
    time_left_s: float = 4.0,
    thing: str = "",
) -> tuple[str, Response | None]:
    """Send a request on a new connection; return its id and the answer, None if there was none."""
    attempt = f"attempt-{next(_numbers):05}"
    headers = {
        "Host": HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(int(time_left_s * 1000)),
        "Authorization": f"Bearer {KEY}",
    }
    if thing:
        headers["X-Affinity-Key"] = thing
    if method != "GET":
        headers["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {text}" for name, text in headers.items())]
    record.write(f"client sends {attempt} ({method} {path}, {len(body)} bytes) to {vm.name}")
    response = None
    try:
        async with asyncio.timeout(time_left_s + 1.0):
            reader, writer = await asyncio.open_connection(vm.host, FRONT_PORT)
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                if body:
                    writer.write(body)
                    await writer.drain()
                response = await read_response(reader)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        record.write(f"client gets no answer to {attempt}: {type(error).__name__}")
        return attempt, None
    record.write(f"client gets {response.status} for {attempt}")
    return attempt, response


async def wait_ready(vms: list[Vm], limit_s: float = 15.0) -> bool:
    """Wait until all VMs say that they are ready."""
    async with asyncio.timeout(limit_s):
        for vm in vms:
            while not await _is_ready(vm):
                await asyncio.sleep(0.1)
    return True


async def _is_ready(vm: Vm) -> bool:
    try:
        reader, writer = await asyncio.open_connection(vm.host, READY_PORT)
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        response = await read_response(reader)
        writer.close()
        return response.status == 200
    except (OSError, asyncio.IncompleteReadError):
        return False
