"""A VM's replica of a versioned state, with ``VersionSync`` and ``Freshness`` behind one API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field
from attrs import frozen

from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowRead
from siskinward.coordination.freshness import Freshness
from siskinward.coordination.freshness import FreshnessSettings
from siskinward.coordination.version_messages import Activated
from siskinward.coordination.version_messages import FreshnessBeat
from siskinward.coordination.version_sync import VersionSync
from siskinward.coordination.version_sync import VersionSyncSettings

if TYPE_CHECKING:
    from random import Random

    from siskinward.coordination.events import TableAnswer
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.freshness import Standing
    from siskinward.coordination.membership import Membership
    from siskinward.coordination.version_messages import ObjectAnswer
    from siskinward.coordination.version_sync import SyncEffect
    from siskinward.coordination.version_sync import SyncMessage
    from siskinward.state.identifiers import DomainName
    from siskinward.state.versions import VersionTracker


@frozen
class StateReplicaSettings:
    """Settings of the freshness tracking and of the version sync."""

    freshness: FreshnessSettings = field(factory=FreshnessSettings)
    sync: VersionSyncSettings = field(factory=VersionSyncSettings)


class StateReplica:
    """Keep a versioned state up to date and report whether it is confirmed.

    Besides ``Send`` and ``ReadRow`` it returns ``FetchObject``, answered by ``on_object``, and
    ``Activated``. Call ``on_membership`` whenever ``Membership.revision`` changes.
    """

    def __init__(
        self,
        settings: StateReplicaSettings,
        own: VmIdentity,
        state: str,
        randomness: Random,
        started_s: float,
    ) -> None:
        self.freshness = Freshness(settings.freshness, own, state, started_s)
        self.sync = VersionSync(settings.sync, state, randomness, started_s)
        self._requested_s: dict[int, float] = {}
        self._answer_bound_s = settings.freshness.bound_s

    @property
    def tracker(self) -> VersionTracker:
        """The active version and the newest known one."""
        return self.sync.tracker

    def standing(self, now_s: float) -> Standing:
        """Return whether the active version is confirmed, see ``Freshness.standing``."""
        return self.freshness.standing(now_s)

    def on_membership(
        self, membership: Membership, known: frozenset[DomainName], now_s: float
    ) -> None:
        """Set the peers to exchange messages with; ``known`` are all configured failure domains."""
        sync_peers = membership.sync_peers(now_s)
        self.freshness.on_sync_peers(sync_peers, now_s)
        self.freshness.on_reachable_domains(membership.reachable_domains(now_s), known, now_s)
        self.sync.on_sync_peers(sync_peers, is_relay=membership.is_relay(now_s), now_s=now_s)

    def on_timer(self, now_s: float) -> list[SyncEffect]:
        """Poll the platform and send heartbeats to the peers when they are due."""
        polls = self.sync.on_timer(now_s)
        if polls:
            self._requested_s = {
                request_id: asked_s
                for request_id, asked_s in self._requested_s.items()
                if now_s - asked_s <= self._answer_bound_s
            }
        for effect in polls:
            match effect:
                case ReadRow(request_id=request_id):
                    self._requested_s[request_id] = now_s
        return [*self.freshness.on_timer(now_s), *polls]

    def on_message(
        self, message: SyncMessage, sender: VmIdentity, now_s: float
    ) -> list[SyncEffect]:
        """Handle a message of another VM."""
        if isinstance(message, FreshnessBeat):
            self.freshness.on_message(message, sender, now_s)
        return self._record_activations(self.sync.on_message(message, sender, now_s), now_s)

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> list[SyncEffect]:
        """Handle the answer to a poll; it confirms the version as of the time of the request."""
        asked_s = self._requested_s.pop(answer.request_id, None)
        effects = self.sync.on_table_answer(answer, now_s)
        newest = self.tracker.newest
        if isinstance(answer, RowRead) and newest is not None and asked_s is not None:
            self.freshness.on_platform_read(newest.version, asked_s, now_s)
        return effects

    def on_object(self, answer: ObjectAnswer, now_s: float) -> list[SyncEffect]:
        """Handle the answer to ``FetchObject``."""
        return self._record_activations(self.sync.on_object(answer, now_s), now_s)

    def _record_activations(self, effects: list[SyncEffect], now_s: float) -> list[SyncEffect]:
        for effect in effects:
            match effect:
                case Activated(pointer=pointer):
                    self.freshness.on_activated(pointer.version, now_s)
        return effects
