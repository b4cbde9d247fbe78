"""Large request bodies that come at once, to a VM that runs as a process of its own."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from attrs import define
from attrs import field
from loopback_site import HOST_PREFIX
from loopback_site import TARGET_PORT
from loopback_site import ZONES
from loopback_site import ScriptedTarget

from siskinward.platform._headers import HEADERS
from siskinward.platform.standins import FRONT_PORT
from siskinward.platform.standins import HOST_NAME
from siskinward.platform.standins import StoreStandIn
from siskinward.platform.standins import create_configuration
from siskinward.platform.standins import render_settings
from siskinward.platform.standins._settings_text import READINESS_PORT
from siskinward.platform.standins._settings_text import STORE_PORT
from siskinward.transport.sockets import connect
from soak.vm_process import VmProcess

if TYPE_CHECKING:
    from pathlib import Path

MIB = 1 << 20
# The smallest VM of the users' deployments.
MEMORY_MB = 300
BODY_LIMIT_BYTES = 64 * MIB
CHUNK = bytes(65536)
TIMEOUT_S = 30.0
VM_HOST = f"{HOST_PREFIX}.1"


@define(eq=False)
class DiscardingTarget(ScriptedTarget):
    """A target that reads bodies without keeping them, and answers how long they were."""

    async def _serve_connection(self, sock: Any) -> None:
        try:
            async with sock:
                while await self._serve_request(sock):
                    pass
        except OSError:
            # The VM has closed the connection.
            return
        finally:
            self._sockets.discard(sock)

    async def _serve_request(self, sock: Any) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            received = await sock.recv(len(CHUNK))
            if not received:
                return False
            data += received
        head, _, rest = data.partition(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        missing_bytes = int(fields.get(b"content-length", b"0")) - len(rest)
        while missing_bytes > 0:
            missing_bytes -= len(await sock.recv(len(CHUNK)))
        echo = fields.get(HEADERS.attempt_id, b"")
        await sock.sendall(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s\r\n"
            b"Content-Length: 0\r\n\r\n" % echo
        )
        return True


@define
class Result:
    """Statuses, and the head of the last response."""

    statuses: list[int] = field(factory=list)
    heads: list[bytes] = field(factory=list)

    def add(self, head: bytes) -> None:
        self.statuses.append(int(head.split(b" ", 2)[1]) if head else 0)
        self.heads.append(head.lower())


def head_of(path: str, number: int, length: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAuthorization: Bearer key-1\r\n"
        f"X-Attempt-Id: attempt-{number}\r\nX-Deadline-Ms: {int(TIMEOUT_S * 1000)}\r\n"
        f"{length}\r\n\r\n"
    ).encode()


async def send_body(sock: Any, size_bytes: int, *, is_chunked: bool) -> None:
    with suppress(OSError):
        for _ in range(size_bytes // len(CHUNK)):
            await sock.sendall(b"%x\r\n%b\r\n" % (len(CHUNK), CHUNK) if is_chunked else CHUNK)
        if is_chunked:
            await sock.sendall(b"0\r\n\r\n")


async def upload(number: int, size_bytes: int, is_chunked: bool, result: Result) -> None:
    """Send a body, read its response meanwhile, and record it."""
    length = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size_bytes}"
    sock = await connect(VM_HOST, FRONT_PORT)
    async with sock:
        await sock.sendall(head_of(f"/bookings/{number}", number, length))
        sending = await curio.spawn(lambda: send_body(sock, size_bytes, is_chunked=is_chunked))
        data = b""
        async with curio.timeout_after(TIMEOUT_S):
            while b"\r\n\r\n" not in data:
                received = await sock.recv(65536)
                if not received:
                    break
                data += received
        await sending.cancel()
    result.add(data)


async def call_small(until: list[bool], result: Result) -> None:
    """Send small requests on one connection, one after the other, until told to stop."""
    sock = await connect(VM_HOST, FRONT_PORT)
    async with sock:
        number = 1000
        while not until:
            number += 1
            await sock.sendall(head_of(f"/listings/{number}", number, "Content-Length: 3") + b"abc")
            data = b""
            while b"\r\n\r\n" not in data:
                data += await sock.recv(65536)
            result.add(data)
            await curio.sleep(0.05)


async def start_site() -> list[DiscardingTarget]:
    store = StoreStandIn(f"{HOST_PREFIX}.200", STORE_PORT)
    await curio.spawn(store.run, daemon=True)
    configuration = create_configuration(("listings", "bookings"), 0.0, 0.0)
    for service in ("listings", "bookings"):
        configuration.spec("routes", f"r-{service}")["timeout"] = f"{TIMEOUT_S:.0f}s"
    (limits,) = (item["spec"] for item in configuration.resources if item["type"] == "limits")
    limits["max_body_bytes"] = BODY_LIMIT_BYTES
    await store.publish(configuration)
    targets = []
    for number, service in enumerate(("listings", "bookings")):
        host = f"{HOST_PREFIX}.{100 + number}"
        target = DiscardingTarget(f"t-{number}", service, host, TARGET_PORT, "bud-a", 64)
        await target.start()
        await store.report(target)
        targets.append(target)
    return targets


async def wait_ready() -> None:
    async with curio.timeout_after(TIMEOUT_S):
        while True:
            await curio.sleep(0.1)
            with suppress(OSError):
                sock = await connect(VM_HOST, READINESS_PORT)
                async with sock:
                    await sock.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if b" 200 " in await sock.recv(65536):
                        return


# Seen by the review: three bodies of 60 MB at once took 465 MB, and the VM was killed.
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_large_uploads_at_once_do_not_take_more_memory_than_a_vm_has(
    tmp_path: Path, is_chunked: bool
) -> None:
    settings_file = tmp_path / "vm.toml"
    store_host = f"{HOST_PREFIX}.200"
    settings_file.write_text(render_settings("vm-0", VM_HOST, "bud-a", ZONES, store_host))
    vm = VmProcess("vm-0", VM_HOST, settings_file, tmp_path / "vm.log", "bud-a")
    large, small = Result(), Result()

    async def main() -> None:
        targets = await start_site()
        vm.start()
        try:
            await wait_ready()
            stop: list[bool] = []
            calling = await curio.spawn(call_small, stop, small)
            uploads = [
                await curio.spawn(upload, number, 60 * MIB, is_chunked, large)
                for number in range(4)
            ]
            for task in uploads:
                await task.join()
            stop.append(True)
            await calling.join()
            peak_mb = vm.peak_memory_mb()
        finally:
            vm.destroy()
            for target in targets:
                await target.crash()
        assert 0 < peak_mb < MEMORY_MB
        assert set(large.statuses) <= {200, 503}
        assert 200 in large.statuses
        assert all(b"retry-after" in head for head in large.heads if b" 503 " in head)
        assert set(small.statuses) == {200}

    curio.run(main)
    assert not vm.unexpected_exits
