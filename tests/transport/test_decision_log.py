"""The decision log's limits, and a reader that stalls."""

from __future__ import annotations

import json
import logging
import os

from siskinward.transport.decision_log import DecisionLog
from siskinward.transport.decision_log import LogSettings
from siskinward.transport.decision_log import RuntimeLogHandler
from siskinward.transport.decision_log import open_nonblocking_output


def test_log_kind_beyond_its_rate_limit_is_left_out_and_counted() -> None:
    written = bytearray()

    def write_output(data: bytes) -> int:
        written.extend(data)
        return len(data)

    log = DecisionLog(LogSettings(lines_per_s=0.0, burst_lines=3), "vm-1", write_output)
    for number in range(10):
        log.write("request-answered", {"id": number})
    log.write("request-refused", {"id": "kept"})
    log.flush()
    lines = [json.loads(line) for line in written.splitlines()]
    assert [line["id"] for line in lines] == [0, 1, 2, "kept"]
    assert log.lines_left_out == 7


def test_log_reader_that_stalls_never_blocks_the_process() -> None:
    reader, writer = os.pipe()
    settings = LogSettings(lines_per_s=1e9, burst_lines=1e9, buffer_limit_bytes=100_000)
    log = DecisionLog(settings, "vm-1", open_nonblocking_output(writer))
    for number in range(20_000):
        log.write("request-answered", {"id": number, "filler": "x" * 50})
        log.flush()
    assert log.lines_left_out > 0
    os.close(reader)
    log.flush()
    os.close(writer)


def test_log_resumes_when_the_reader_resumes() -> None:
    reader, writer = os.pipe()
    settings = LogSettings(lines_per_s=1e9, burst_lines=1e9, buffer_limit_bytes=1 << 20)
    log = DecisionLog(settings, "vm-1", open_nonblocking_output(writer))
    read = b""
    for number in range(2000):
        log.write("request-answered", {"id": number, "filler": "x" * 50})
    for _ in range(200):
        log.flush()
        read += os.read(reader, 65536)
        if read.count(b"\n") == 2000:
            break
    assert [json.loads(line)["id"] for line in read.splitlines()] == list(range(2000))
    os.close(reader)
    os.close(writer)


def test_log_writes_records_of_the_logging_module() -> None:
    written = bytearray()

    def write_output(data: bytes) -> int:
        written.extend(data)
        return len(data)

    log = DecisionLog(LogSettings(), "vm-1", write_output)
    logger = logging.Logger("curio.test")
    logger.addHandler(RuntimeLogHandler(log))
    try:
        raise ValueError("broken")
    except ValueError:
        logger.exception("Task Crash: %s", "task 7")
    log.flush()
    line = json.loads(written)
    assert (line["kind"], line["text"]) == ("runtime", "Task Crash: task 7")
    assert "ValueError: broken" in line["error"]
