"""Keeps this VM's assignments of cells up to date, from the platform or from other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.coordination.assignment_content import decode_assignments
from siskinward.coordination.freshness import FreshnessSettings
from siskinward.coordination.shift_board import ASSIGNMENT_ROW
from siskinward.coordination.state_replica import StateReplica
from siskinward.coordination.state_replica import StateReplicaSettings
from siskinward.coordination.version_messages import Adopted
from siskinward.coordination.version_messages import FetchObject
from siskinward.coordination.version_messages import ObjectFailed
from siskinward.coordination.version_messages import ObjectFetched

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from siskinward.coordination.assignment_content import Assignments
    from siskinward.coordination.events import TableAnswer
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.membership import Membership
    from siskinward.daemon.node_parts import NodeParts
    from siskinward.state.errors import StepError
    from siskinward.state.identifiers import DomainName

BEAT_INTERVAL_S = 2.0


class AssignmentReplica:
    """Drives the replica of the assignments; ``on_assignments`` gets those of all services."""

    def __init__(
        self,
        parts: NodeParts,
        on_assignments: Callable[[Assignments], None],
        on_error: Callable[[StepError], None],
        now_s: float,
    ) -> None:
        settings = StateReplicaSettings(FreshnessSettings(beat_interval_s=BEAT_INTERVAL_S))
        self._replica = StateReplica(settings, parts.own, ASSIGNMENT_ROW, parts.random, now_s)
        self._parts = parts
        self._on_assignments = on_assignments
        self._on_error = on_error

    def on_membership(
        self, membership: Membership, known: frozenset[DomainName], now_s: float
    ) -> None:
        """Take whom to exchange versions with; ``known`` are all configured failure domains."""
        self._replica.on_membership(membership, known, now_s)

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[Any]:
        """Take a message of another VM."""
        return self._replica.on_message(message, sender, now_s)

    def on_timer(self, now_s: float) -> Sequence[Any]:
        """Poll the platform and tell the peers when it is due."""
        return self._replica.on_timer(now_s)

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> Sequence[Any]:
        """Take the answer to a poll."""
        return self._replica.on_table_answer(answer, now_s)

    async def on_decision(self, decision: Any) -> None:
        """Fetch a content, or put one in force."""
        match decision:
            case FetchObject(content_hash):
                await curio.spawn(self._fetch, content_hash, daemon=True)
            case Adopted(content=content):
                self._adopt(content)

    async def _fetch(self, content_hash: str) -> None:
        result = await self._parts.platform.get(content_hash)
        answer: ObjectFetched | ObjectFailed = ObjectFailed(content_hash)
        if result.is_ok():
            answer = ObjectFetched(content_hash, result.ok)
        else:
            self._on_error(result.error)
        router = self._parts.router
        await router.run(self, self._replica.on_object(answer, await router.clock()))

    def _adopt(self, content: bytes) -> None:
        assignments = decode_assignments(content)
        if assignments.is_error():
            self._on_error(assignments.error)
            return
        self._on_assignments(assignments.ok)
