"""Measures processor time and volume of the entry process's log against the same work without it.

Run as ``python benchmarks/decision_log.py``.
"""

from __future__ import annotations

import os
import time

import curio

from siskinward.standins.paused_clock import paused_kernel
from siskinward.transport.decision_log import DecisionLog
from siskinward.transport.decision_log import LogSettings

RATES_PER_S = (300, 900)
LENGTH_S = 20
REFUSED_EVERY = 10


def fields_of(number: int) -> dict[str, object]:
    """Return the fields of a request's log line, about as long as in a deployment."""
    send = {"target": "i-bfa941c720", "choice": 0, "load": 1, "slots": 3, "outcome": "200"}
    return {
        "id": f"{number:016x}",
        "status": 200,
        "took_ms": 190.9,
        "configuration": 13,
        "route": "r-fbkcmh9",
        "account": "cumi585",
        "service": "lode69a",
        "object": "41",
        "sends": [{**send, "took_ms": 190.9}],
        "waited_ms": 0.0,
        "targets_age_s": 0.78,
        "vms_heard": 10,
    }


def time_lines(rate_per_s: int, log: DecisionLog | None) -> float:
    """Return the processor time in seconds for ``LENGTH_S`` seconds of requests."""

    async def play() -> float:
        start_s = time.process_time()
        for number in range(rate_per_s * LENGTH_S):
            fields = fields_of(number)
            if log is not None:
                is_refused = number % REFUSED_EVERY == 0
                log.write("request-refused" if is_refused else "request-answered", fields)
            if number % rate_per_s == 0:
                if log is not None:
                    log.flush()
                await curio.sleep(1.0)
        return time.process_time() - start_s

    with paused_kernel() as kernel:
        took_s: float = kernel.run(play)
    return took_s


def main() -> None:
    """Print processor time, lines and bytes of the log for each request rate."""
    sink = os.open(os.devnull, os.O_WRONLY)
    for rate_per_s in RATES_PER_S:
        lines = 0
        size_bytes = 0

        def write(data: bytes) -> int:
            nonlocal lines, size_bytes
            written = os.write(sink, data)
            lines += data[:written].count(b"\n")
            size_bytes += written
            return written

        without_s = time_lines(rate_per_s, None)
        log = DecisionLog(LogSettings(), "vm-1", write)
        with_s = time_lines(rate_per_s, log)
        print(
            f"{rate_per_s} requests/s: {(with_s - without_s) / LENGTH_S:.2%} of a core for logs, "
            f"{lines / LENGTH_S:.0f} lines/s, {size_bytes / LENGTH_S / 1000:.0f} kB/s, "
            f"{log.lines_left_out} lines left out"
        )


if __name__ == "__main__":
    main()
