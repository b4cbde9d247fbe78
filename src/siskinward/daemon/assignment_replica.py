"""Keeps this VM's copy of the cell assignments current, from the platform or from other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.assignment_content import decode_assignments
from siskinward.coordination.assignment_store import ASSIGNMENT_ROW
from siskinward.coordination.freshness import FreshnessSettings
from siskinward.coordination.state_replica import StateReplicaSettings
from siskinward.daemon.replica_driver import ReplicaDriver

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.assignment_content import Assignments
    from siskinward.daemon.node_components import NodeComponents
    from siskinward.state.errors import StepError

HEARTBEAT_INTERVAL_S = 2.0


class AssignmentReplica:
    """Decodes each version and passes the assignments of all services to ``on_assignments``."""

    def __init__(
        self,
        components: NodeComponents,
        on_assignments: Callable[[Assignments], None],
        on_error: Callable[[StepError], None],
        now_s: float,
    ) -> None:
        settings = StateReplicaSettings(
            FreshnessSettings(heartbeat_interval_s=HEARTBEAT_INTERVAL_S)
        )
        self.driver = ReplicaDriver(
            components, settings, ASSIGNMENT_ROW, self._activate, on_error, now_s
        )
        self._on_assignments = on_assignments
        self._on_error = on_error

    async def _activate(self, version: int, content: bytes) -> None:
        assignments = decode_assignments(content)
        if assignments.is_error():
            self._on_error(assignments.error)
            return
        self._on_assignments(assignments.ok)
