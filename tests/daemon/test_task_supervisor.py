"""A long-lived task that ends by an error is logged, counted and started again with backoff."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from siskinward.daemon.task_supervisor import RestartSettings
from siskinward.daemon.task_supervisor import TaskFailure
from siskinward.daemon.task_supervisor import TaskSupervisor
from siskinward.transport.clock import read_clock_s

SETTINGS = RestartSettings(first_pause_s=0.2, longest_pause_s=1.0, steady_s=2.0)
NAME = "follow targets"


class FailingTask:
    """Fails each time that it is started, after a while; ``starts_s`` holds the times."""

    def __init__(self, error: BaseException, works_s: float = 0.0) -> None:
        self.error = error
        self.works_s = works_s
        self.starts_s: list[float] = []

    async def run(self) -> None:
        self.starts_s.append(read_clock_s())
        await curio.sleep(self.works_s)
        raise self.error


def create() -> tuple[TaskSupervisor, list[TaskFailure]]:
    reported: list[TaskFailure] = []
    return TaskSupervisor(SETTINGS, reported.append), reported


async def supervise(supervisor: TaskSupervisor, task: Any, for_s: float) -> None:
    running = await curio.spawn(supervisor.run, NAME, task, daemon=True)
    await curio.sleep(for_s)
    await running.cancel()


@pytest.mark.parametrize(
    "error", [ValueError("odd"), OSError("no descriptors"), curio.TaskTimeout(1.0)], ids=repr
)
def test_supervisor_restarts_a_failed_task_with_backoff(
    paused_kernel: Any, error: BaseException
) -> None:
    task = FailingTask(error)
    supervisor, reported = create()
    paused_kernel.run(supervise, supervisor, task.run, 4.0)
    gaps_s = [b - a for a, b in zip(task.starts_s, task.starts_s[1:], strict=False)]
    assert gaps_s[:4] == pytest.approx([0.2, 0.4, 0.8, 1.0], abs=0.01)
    assert supervisor.failures == {NAME: len(task.starts_s)}
    assert [failure.count for failure in reported] == list(range(1, len(task.starts_s) + 1))
    assert {failure.task for failure in reported} == {NAME}
    assert "raise self.error" in reported[0].origin


def test_supervisor_starts_the_backoff_anew_after_a_steady_time(paused_kernel: Any) -> None:
    task = FailingTask(ValueError("odd"), works_s=2.5)

    supervisor, _ = create()
    paused_kernel.run(supervise, supervisor, task.run, 9.0)
    gaps_s = [b - a for a, b in zip(task.starts_s, task.starts_s[1:], strict=False)]
    assert gaps_s == pytest.approx([2.7] * len(gaps_s), abs=0.01)


def test_supervisor_says_that_a_task_does_not_run_until_it_is_steady_again(
    paused_kernel: Any,
) -> None:
    async def main() -> list[bool]:
        supervisor, _ = create()
        seen = []
        fails = True

        async def task() -> None:
            if fails:
                raise ValueError("odd")
            await curio.sleep(100.0)

        running = await curio.spawn(supervisor.run, NAME, task, daemon=True)
        await curio.sleep(0.1)
        seen.append(supervisor.is_running(NAME))
        fails = False
        for _ in range(2):
            await curio.sleep(1.5)
            seen.append(supervisor.is_running(NAME))
        await running.cancel()
        return seen

    assert paused_kernel.run(main) == [False, False, True]


def test_supervisor_ends_with_a_task_that_returns_or_is_cancelled(paused_kernel: Any) -> None:
    async def main() -> None:
        supervisor, _ = create()

        async def task() -> None:
            return

        await supervisor.run(NAME, task)
        assert supervisor.failures == {NAME: 0}
        await supervise(supervisor, lambda: curio.sleep(100.0), 1.0)
        assert supervisor.failures == {NAME: 0}

    paused_kernel.run(main)
