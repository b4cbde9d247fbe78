"""Set of tasks that are cancelled together, such as those that serve connections."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio

if TYPE_CHECKING:
    from collections.abc import Callable


class TaskSet:
    """Spawns daemon tasks and tracks those that have not ended."""

    def __init__(self) -> None:
        self._tasks: set[Any] = set()

    async def spawn(self, call: Callable[..., Any], *args: Any) -> None:
        """Start a task."""
        self._tasks.add(await curio.spawn(call, *args, daemon=True))

    def discard_ended(self) -> None:
        """Stop tracking the tasks that have ended."""
        self._tasks = {task for task in self._tasks if not task.terminated}

    async def cancel(self) -> None:
        """Cancel the tasks that have not ended and wait for them."""
        tasks, self._tasks = self._tasks, set()
        for task in tasks:
            await task.cancel()
