"""Answers of the store that never end, or are huge, take a bounded part of a VM's memory."""

from __future__ import annotations

from typing import Any

import curio
import pytest
from fakes.raw_server import HOST
from fakes.raw_server import measure_peak_mb
from fakes.raw_server import start_endless_server

from siskinward.coordination.steering.rows import FOLLOWED_TABLES
from siskinward.coordination.steering.rows import HistoryDropped
from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.rows import StoreTable
from siskinward.platform._store import StoreClient
from siskinward.platform._store import StoreError
from siskinward.state.serving import ListenAddress

# Of the smallest VM's 200 MB, callers' bodies may take 72, targets' answers 48, the rest 40.
STORE_MEMORY_MB = 40
PIECE = b"x" * 65536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FORMS = {
    "length": (HEAD + b"Content-Length: 100000000000\r\n\r\n", PIECE),
    "until-close": (HEAD + b"\r\n", PIECE),
    "chunks": (CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
    "small-chunks": (CHUNKED, b"1\r\nx\r\n" * 8192),
    "chunk-size": (CHUNKED, b"0" * 65536),
    "trailers": (CHUNKED + b"0\r\n", b"X-T: y\r\n" * 8192),
    "head": (HEAD, b"X-A: b\r\n" * 8192),
    "head-line": (b"HTTP/1.1 200 ", PIECE),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2048),
    "huge": (HEAD + b"Content-Length: 60000000\r\n\r\n", b" " * 60_000_000),
}


def read_endless(form: str, read: Any) -> tuple[list[Any], float]:
    """Read all followed tables at once; return the outcomes and the peak memory in MB."""

    async def read_table(store: StoreClient, table: StoreTable) -> Any:
        try:
            return await read(store, table)
        except StoreError as error:
            return error

    async def main() -> list[Any]:
        port = await start_endless_server(*FORMS[form])
        store = StoreClient(ListenAddress(HOST, port))
        tasks = [await curio.spawn(read_table, store, table) for table in FOLLOWED_TABLES]
        return [await task.join() for task in tasks]

    return measure_peak_mb(main)


# A faulty target filled the memory of a machine on other systems; here the store could.
@pytest.mark.parametrize("form", FORMS)
def test_store_answer_without_end_takes_little_memory(form: str) -> None:
    async def read(store: StoreClient, table: StoreTable) -> Any:
        return await store.read_table(table)

    outcomes, peak_mb = read_endless(form, read)
    assert all(isinstance(outcome, StoreError) for outcome in outcomes)
    assert peak_mb < STORE_MEMORY_MB


@pytest.mark.parametrize("form", FORMS)
def test_changes_without_end_take_little_memory(form: str) -> None:
    async def read(store: StoreClient, table: StoreTable) -> Any:
        return await store.read_changes(table, Position(0, 1), 0.5)

    outcomes, peak_mb = read_endless(form, read)
    assert all(isinstance(outcome, StoreError | HistoryDropped) for outcome in outcomes)
    assert peak_mb < STORE_MEMORY_MB


def test_changes_that_are_too_many_are_read_page_by_page() -> None:
    async def read(store: StoreClient, table: StoreTable) -> Any:
        return await store.read_changes(table, Position(0, 1), 1.0)

    outcomes, _ = read_endless("length", read)
    assert outcomes == [HistoryDropped()] * len(FOLLOWED_TABLES)
