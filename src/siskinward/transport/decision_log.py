"""Structured log on standard output that never blocks the process.

Each kind of line has a rate limit. Lines beyond it, or beyond the buffer while the reader stalls,
are left out and counted.
"""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import define
from attrs import frozen

from siskinward.coordination.token_bucket import TokenBucket
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Mapping


Output = Callable[[bytes], int]
"""Writes without blocking and returns the number of bytes; raises ``BlockingIOError`` for none."""


def open_nonblocking_output(descriptor: int) -> Output:
    """Make a descriptor non-blocking and return an output that writes to it."""
    os.set_blocking(descriptor, False)
    return lambda data: os.write(descriptor, data)


@frozen
class LogSettings:
    """Limits on the log's volume; each kind of line has its own token bucket."""

    lines_per_s: float = 200.0
    burst_lines: float = 400.0
    buffer_limit_bytes: int = 256 * 1024
    flush_interval_s: float = 0.1


class RuntimeLogHandler(logging.Handler):
    """Writes records of ``logging``, such as curio's of a crashed task, as structured lines."""

    def __init__(self, log: DecisionLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        fields = {"logger": record.name, "level": record.levelname, "text": record.getMessage()}
        if record.exc_info:
            fields["error"] = logging.Formatter().formatException(record.exc_info)
        self._log.write("runtime", fields)


@define
class _KindBucket(TokenBucket):
    """Token bucket of one kind, and the lines left out since the last one was written."""

    left_out: int = 0


class DecisionLog:
    """Writes one JSON object per line: the time, the VM, the kind of decision and its fields."""

    def __init__(self, settings: LogSettings, vm: str, output: Output) -> None:
        self._settings = settings
        self._vm = vm
        self._output = output
        self._buckets: dict[str, _KindBucket] = {}
        self._buffer = bytearray()
        self.lines_left_out = 0

    def write(self, kind: str, fields: Mapping[str, Any]) -> None:
        """Write a line unless its kind is over its rate limit or the buffer is full."""
        now_s = read_clock_s()
        bucket = self._refilled_bucket(kind, now_s)
        has_room = len(self._buffer) <= self._settings.buffer_limit_bytes
        if not has_room or not bucket.try_take():
            bucket.left_out += 1
            self.lines_left_out += 1
            return
        line: dict[str, Any] = {"at_s": round(now_s, 4), "vm": self._vm, "kind": kind}
        if bucket.left_out:
            line["left_out"] = bucket.left_out
            bucket.left_out = 0
        line.update(fields)
        self._buffer += json.dumps(line, separators=(",", ":"), default=str).encode() + b"\n"

    async def flush_periodically(self) -> None:
        """Flush the buffer at the flush interval until cancelled."""
        while True:
            await curio.sleep(self._settings.flush_interval_s)
            self.flush()

    def flush(self) -> None:
        """Write out as much of the buffer as the reader accepts without blocking."""
        if not self._buffer:
            return
        try:
            written = self._output(bytes(self._buffer))
        except BlockingIOError:
            # The reader is slow; lines that do not fit into the buffer are counted as left out.
            return
        except OSError:
            # The reader has closed its end: discard the buffer.
            written = len(self._buffer)
        del self._buffer[:written]

    def _refilled_bucket(self, kind: str, now_s: float) -> _KindBucket:
        settings = self._settings
        bucket = self._buckets.get(kind)
        if bucket is None:
            bucket = self._buckets[kind] = _KindBucket(settings.burst_lines, now_s)
        bucket.refill(settings.lines_per_s, settings.burst_lines, now_s)
        return bucket
