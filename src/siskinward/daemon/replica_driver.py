"""Drives the replica of one versioned state: its messages, timers, table calls and objects."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.coordination.state_replica import StateReplica
from siskinward.coordination.version_messages import Activated
from siskinward.coordination.version_messages import FetchObject
from siskinward.coordination.version_messages import ObjectFailed
from siskinward.coordination.version_messages import ObjectFetched

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from siskinward.coordination.events import TableAnswer
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.freshness import Standing
    from siskinward.coordination.membership import Membership
    from siskinward.coordination.platform import ObjectStore
    from siskinward.coordination.state_replica import StateReplicaSettings
    from siskinward.daemon.node_components import NodeComponents
    from siskinward.state.errors import StepError
    from siskinward.state.identifiers import DomainName


class ReplicaDriver:
    """Drives one replica; passes the number and content of each activated version on."""

    def __init__(
        self,
        components: NodeComponents,
        settings: StateReplicaSettings,
        row: str,
        on_activated: Callable[[int, bytes], Awaitable[None]],
        on_error: Callable[[StepError], None],
        now_s: float,
    ) -> None:
        self._replica = StateReplica(settings, components.own, row, components.random, now_s)
        self._store: ObjectStore = components.platform
        self._router = components.router
        self._on_activated = on_activated
        self._on_error = on_error

    def standing(self, now_s: float) -> Standing:
        """Return whether the active version is confirmed as the newest, or since when not."""
        return self._replica.standing(now_s)

    def on_membership(
        self, membership: Membership, known: frozenset[DomainName], now_s: float
    ) -> None:
        """Update the peers to exchange versions with; ``known`` are all configured domains."""
        self._replica.on_membership(membership, known, now_s)

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[Any]:
        """Process a message from another VM."""
        return self._replica.on_message(message, sender, now_s)

    def on_timer(self, now_s: float) -> Sequence[Any]:
        """Poll the platform and send heartbeats to the peers when they are due."""
        return self._replica.on_timer(now_s)

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> Sequence[Any]:
        """Process the result of a poll."""
        return self._replica.on_table_answer(answer, now_s)

    async def on_decision(self, decision: Any) -> None:
        """Fetch the content of a version, or activate it."""
        match decision:
            case FetchObject(content_hash):
                await curio.spawn(self._fetch, content_hash, daemon=True)
            case Activated(pointer=pointer, content=content):
                await self._on_activated(pointer.version, content)

    async def _fetch(self, content_hash: str) -> None:
        result = await self._store.get(content_hash)
        answer: ObjectFetched | ObjectFailed = ObjectFailed(content_hash)
        if result.is_ok():
            answer = ObjectFetched(content_hash, result.ok)
        else:
            self._on_error(result.error)
        now_s = await self._router.clock()
        await self._router.run(self, self._replica.on_object(answer, now_s))
