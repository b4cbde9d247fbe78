"""Keeps the long-lived tasks of a process running."""

from __future__ import annotations

import logging
from math import inf
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import define
from attrs import frozen

from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


@frozen
class RestartSettings:
    """Backoff of a task that ended by an error.

    It is started again after ``first_pause_s``, twice as long after each further error, up to
    ``longest_pause_s``. A task that has run for ``steady_s`` counts as sound again.
    """

    first_pause_s: float = 0.2
    longest_pause_s: float = 5.0
    steady_s: float = 2.0


@frozen
class TaskFailure:
    """An error that ended a task, with its origin in the code; ``count`` is that of the task."""

    task: str
    count: int
    restart_after_s: float
    origin: str


@define
class _TaskState:
    failures: int = 0
    pause_s: float = 0.0
    is_waiting: bool = False
    started_s: float = -inf


class TaskSupervisor:
    """Runs tasks by name, and starts one that ends by an error again.

    No input is known to cause such an error: each is reported with its origin, as a fault to mend.
    """

    def __init__(self, settings: RestartSettings, report: Callable[[TaskFailure], None]) -> None:
        self._settings = settings
        self._report = report
        self._states: dict[str, _TaskState] = {}

    @property
    def failures(self) -> dict[str, int]:
        """Number of errors that ended each task."""
        return {name: state.failures for name, state in self._states.items()}

    def is_running(self, name: str) -> bool:
        """Return whether a task runs, and has done so since its last error for some time."""
        state = self._states.get(name)
        if state is None or state.is_waiting:
            return False
        is_steady = read_clock_s() - state.started_s >= self._settings.steady_s
        return not state.failures or is_steady

    async def run(self, name: str, call: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run a task until it returns or is cancelled."""
        state = self._states.setdefault(name, _TaskState())
        while True:
            state.started_s = read_clock_s()
            state.is_waiting = False
            try:
                await call(*args)
                return
            except (Exception, curio.TaskTimeout) as error:
                self._record_failure(name, state, error)
            await curio.sleep(state.pause_s)

    def _record_failure(self, name: str, state: _TaskState, error: BaseException) -> None:
        settings = self._settings
        has_been_steady = read_clock_s() - state.started_s >= settings.steady_s
        is_first = has_been_steady or not state.failures
        state.failures += 1
        state.is_waiting = True
        state.pause_s = (
            settings.first_pause_s if is_first else min(2 * state.pause_s, settings.longest_pause_s)
        )
        origin = logging.Formatter().formatException((type(error), error, error.__traceback__))
        self._report(TaskFailure(name, state.failures, state.pause_s, origin))
