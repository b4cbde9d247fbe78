"""Structured lines on standard output that never hold the process up.

Lines of one kind beyond its allowance are left out and counted; a reader that stalls costs lines.
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
"""Takes as many bytes as it can without waiting; raises ``BlockingIOError`` if that is none."""


def open_nonblocking_output(descriptor: int) -> Output:
    """Write to a descriptor that is never waited for."""
    os.set_blocking(descriptor, False)
    return lambda data: os.write(descriptor, data)


@frozen
class LogSettings:
    """Bounds on the volume; each kind of line has its own allowance."""

    lines_per_s: float = 200.0
    burst_lines: float = 400.0
    buffer_limit_bytes: int = 256 * 1024
    flush_interval_s: float = 0.1


class RuntimeLogHandler(logging.Handler):
    """Writes what the runtime logs, such as a task that ended by an error, as structured lines."""

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
class _Allowance(TokenBucket):
    left_out: int = 0


class DecisionLog:
    """One JSON object a line: the time, the kind of decision, and its fields."""

    def __init__(self, settings: LogSettings, vm: str, output: Output) -> None:
        self._settings = settings
        self._vm = vm
        self._output = output
        self._allowances: dict[str, _Allowance] = {}
        self._buffer = bytearray()
        self.lines_left_out = 0

    def write(self, kind: str, fields: Mapping[str, Any]) -> None:
        """Write a line unless its kind has used up its allowance."""
        now_s = read_clock_s()
        allowance = self._allowance(kind, now_s)
        has_room = len(self._buffer) <= self._settings.buffer_limit_bytes
        if not has_room or not allowance.try_take():
            allowance.left_out += 1
            self.lines_left_out += 1
            return
        line: dict[str, Any] = {"at_s": round(now_s, 4), "vm": self._vm, "kind": kind}
        if allowance.left_out:
            line["left_out"] = allowance.left_out
            allowance.left_out = 0
        line.update(fields)
        self._buffer += json.dumps(line, separators=(",", ":"), default=str).encode() + b"\n"

    async def flush_periodically(self) -> None:
        """Write out what has gathered until cancelled."""
        while True:
            await curio.sleep(self._settings.flush_interval_s)
            self.flush()

    def flush(self) -> None:
        """Write out as much as the reader takes at once."""
        if not self._buffer:
            return
        try:
            written = self._output(bytes(self._buffer))
        except BlockingIOError:
            # The reader is slow; what does not fit the buffer is counted as left out.
            return
        except OSError:
            # Nobody reads any more.
            written = len(self._buffer)
        del self._buffer[:written]

    def _allowance(self, kind: str, now_s: float) -> _Allowance:
        settings = self._settings
        allowance = self._allowances.get(kind)
        if allowance is None:
            allowance = self._allowances[kind] = _Allowance(settings.burst_lines, now_s)
        allowance.refill(settings.lines_per_s, settings.burst_lines, now_s)
        return allowance
