"""Rows that another VM sends take a bounded part of a VM's memory, whatever it sends."""

from __future__ import annotations

import zlib

import curio
import pytest
from fakes.raw_server import HOST
from fakes.raw_server import measure_peak_mb
from fakes.raw_server import start_endless_server

from siskinward.coordination.steering.rows import FOLLOWED_TABLES
from siskinward.coordination.steering.rows import Position
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.protocol.row_messages import RowsRequest
from siskinward.transport.peer_rows import RowServer
from siskinward.transport.peer_rows import fetch_rows
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import listen
from siskinward.transport.sockets import port_of

# Of the smallest VM's 200 MB, callers' bodies may take 72, targets' answers 48, the rest 40.
ROWS_MEMORY_MB = 40
PIECE = b"x" * 65536
# What expands to 100 MB.
EXPANDING = zlib.compress(b"\x00" * 100_000_000)
FORMS = {
    "endless": ((30 * 1024 * 1024).to_bytes(4, "big"), PIECE),
    "largest": ((8 * 1024 * 1024).to_bytes(4, "big"), PIECE),
    "expanding": (len(EXPANDING).to_bytes(4, "big"), EXPANDING),
}


@pytest.mark.parametrize("form", FORMS)
def test_rows_without_end_take_little_memory(form: str) -> None:
    async def fetch(port: int, request: RowsRequest) -> None:
        with pytest.raises((OSError, PeerMessageError)):
            await fetch_rows(HOST, port, request)

    async def main() -> None:
        port = await start_endless_server(*FORMS[form])
        requests = [RowsRequest(table, Position(0, 1), HOST) for table in FOLLOWED_TABLES]
        tasks = [await curio.spawn(fetch, port, request) for request in requests]
        for task in tasks:
            await task.join()

    _, peak_mb = measure_peak_mb(main)
    assert peak_mb < ROWS_MEMORY_MB


def test_requests_for_rows_without_end_take_little_memory() -> None:
    async def send_endlessly(port: int) -> None:
        sock = await connect(HOST, port)
        async with sock:
            try:
                await sock.sendall((30 * 1024 * 1024).to_bytes(4, "big"))
                while True:
                    await sock.sendall(PIECE)
            except OSError:
                # The VM has had enough.
                return

    async def main() -> None:
        listener = listen(HOST, 0)
        server = await curio.spawn(RowServer(lambda request: None).serve, listener, daemon=True)
        tasks = [await curio.spawn(send_endlessly, port_of(listener)) for _ in range(8)]
        for task in tasks:
            await task.join()
        await server.cancel()

    _, peak_mb = measure_peak_mb(main)
    assert peak_mb < ROWS_MEMORY_MB
