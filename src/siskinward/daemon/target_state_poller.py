"""Polls the owned targets for whether they report themselves as draining or leaving."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import curio

from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_client import HttpClientConnection
from siskinward.transport.http_messages import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.state.identifiers import TargetName
    from siskinward.state.objects import Target

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
LEAVING_STATES = ("draining", "leaving")


class TargetStatePoller:
    """Polls ``GET /load`` of each owned target; a target without a valid answer keeps its state.

    A reported state is a hint and may lag.
    """

    def __init__(
        self,
        owned_targets: Callable[[float], list[Target]],
        on_states: Callable[[frozenset[TargetName]], None],
    ) -> None:
        self._owned_targets = owned_targets
        self._on_states = on_states
        self._connections: dict[TargetName, HttpClientConnection] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        leaving: set[TargetName] = set()
        while True:
            targets = self._owned_targets(read_clock_s())
            leaving &= {target.name for target in targets}
            async with curio.TaskGroup() as group:
                tasks = [await group.spawn(self._read_state, target) for target in targets]
            for target, task in zip(targets, tasks, strict=True):
                state = task.result
                if state in LEAVING_STATES:
                    leaving.add(target.name)
                elif state is not None:
                    leaving.discard(target.name)
            self._on_states(frozenset(leaving))
            await curio.sleep(POLL_INTERVAL_S)

    async def _read_state(self, target: Target) -> str | None:
        connection = self._connections.get(target.name)
        if connection is None or not connection.is_reusable():
            connection = HttpClientConnection(target.host, target.port)
            self._connections[target.name] = connection
        result = await connection.exchange(HttpRequest("GET", "/load"), POLL_TIMEOUT_S)
        if result.is_error():
            return None
        try:
            return str(json.loads(result.ok.body)["state"])
        except (ValueError, KeyError, TypeError):
            return None
