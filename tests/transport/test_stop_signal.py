"""A stop signal reaches the event loop, and the previous handlers are restored."""

from __future__ import annotations

import os
import signal

import curio
import pytest

from siskinward.transport.stop_signal import wait_for_stop_signal


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_ends_the_wait(number: signal.Signals) -> None:
    before = signal.getsignal(number)

    async def main() -> None:
        task = await curio.spawn(wait_for_stop_signal)
        await curio.sleep(0.02)
        os.kill(os.getpid(), number)
        await curio.timeout_after(10.0, task.join)

    curio.run(main)
    assert signal.getsignal(number) == before
