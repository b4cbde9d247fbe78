"""Distribute versioned state: relays poll the platform and push, other VMs receive and request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from expression import Result

from siskinward.coordination.events import Effect
from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowRead
from siskinward.coordination.events import Send
from siskinward.coordination.platform import Row
from siskinward.coordination.publishing import decode_pointer
from siskinward.coordination.version_messages import Activated
from siskinward.coordination.version_messages import FetchObject
from siskinward.coordination.version_messages import FreshnessBeat
from siskinward.coordination.version_messages import ObjectFetched
from siskinward.coordination.version_messages import VersionPush
from siskinward.coordination.version_messages import VersionRequest
from siskinward.state.content_delta import apply_delta
from siskinward.state.content_delta import make_delta
from siskinward.state.versions import Pointer
from siskinward.state.versions import VersionTracker

if TYPE_CHECKING:
    from random import Random

    from siskinward.coordination.events import TableAnswer
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.version_messages import ObjectAnswer
    from siskinward.state.errors import StepError
    from siskinward.state.identifiers import VmName

SyncMessage = FreshnessBeat | VersionRequest | VersionPush

PLATFORM = "platform"

SyncEffect = Effect | FetchObject | Activated


@frozen
class VersionSyncSettings:
    """A relay polls every ``poll_interval_s``, plus or minus up to ``poll_jitter_s``."""

    poll_interval_s: float = 1.0
    poll_jitter_s: float = 0.2
    request_timeout_s: float = 1.0


class VersionSync:
    """A VM's copy of one versioned state, such as the configuration with its keys.

    ``state`` is the key of the pointer row.
    """

    def __init__(
        self, settings: VersionSyncSettings, state: str, randomness: Random, started_s: float
    ) -> None:
        self._settings = settings
        self._state = state
        self._random = randomness
        self._sync_peers: tuple[VmName, ...] = ()
        self._is_relay = False
        self._request_id = 0
        # The first poll is spread over a whole interval, so that relays do not poll in lockstep.
        self._next_poll_s = started_s + randomness.uniform(0.0, settings.poll_interval_s)
        self._next_request_s = started_s
        self.tracker = VersionTracker(state)
        self.last_error: StepError | None = None

    def on_sync_peers(
        self, sync_peers: tuple[VmName, ...], *, is_relay: bool, now_s: float
    ) -> None:
        """Set the peers and whether this VM is a relay, as ``Membership`` reports them."""
        self._sync_peers = sync_peers
        self._is_relay = is_relay

    def on_timer(self, now_s: float) -> list[SyncEffect]:
        """Poll the pointer row when it is due; only relays do."""
        if not self._is_relay or now_s < self._next_poll_s:
            return []
        jitter_s = self._random.uniform(-1.0, 1.0) * self._settings.poll_jitter_s
        self._next_poll_s = now_s + self._settings.poll_interval_s + jitter_s
        self._request_id += 1
        return [ReadRow(self._state, self._request_id)]

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> list[SyncEffect]:
        """Fetch the content if the pointer row names a higher version."""
        if answer.row != self._state or not isinstance(answer, RowRead):
            return []
        published = decode_pointer(Row(answer.row, answer.version, answer.value))
        if published.is_error():
            self.last_error = published.error
            return []
        pointer = Pointer(published.ok.version, published.ok.content_hash)
        self._record_error(self.tracker.record_pointer(pointer, PLATFORM))
        return [FetchObject(pointer.content_hash)] if self.tracker.is_behind else []

    def on_object(self, answer: ObjectAnswer, now_s: float) -> list[SyncEffect]:
        """Activate fetched content and push it; the next poll retries a failed fetch."""
        newest = self.tracker.newest
        if not isinstance(answer, ObjectFetched) or newest is None:
            return []
        if answer.content_hash != newest.content_hash:
            return []
        return self._activate(newest, answer.content, PLATFORM)

    def on_message(
        self,
        message: SyncMessage,
        sender: VmIdentity,
        now_s: float,
    ) -> list[SyncEffect]:
        """Handle a heartbeat with a higher version, a request, or pushed content."""
        match message:
            case FreshnessBeat(state, version) if (
                state == self._state and version > self.tracker.version
            ):
                return self._request(sender.vm, now_s)
            case VersionRequest(state, held_hash) if state == self._state:
                return self._answer_request(held_hash, sender.vm)
            case VersionPush(state) if state == self._state:
                return self._on_push(message, sender.vm, now_s)
        return []

    def _on_push(self, push: VersionPush, sender: VmName, now_s: float) -> list[SyncEffect]:
        if push.pointer.version <= self.tracker.version:
            return []
        base = self._base(push.base_hash)
        if base is None:
            self._next_request_s = now_s
            return self._request(sender, now_s)
        return self._activate(push.pointer, apply_delta(base, push.delta), sender)

    def _base(self, base_hash: str) -> bytes | None:
        if not base_hash:
            return b""
        active = self.tracker.active
        if active is not None and active.content_hash == base_hash:
            return self.tracker.content
        return None

    def _request(self, vm: VmName, now_s: float) -> list[SyncEffect]:
        if now_s < self._next_request_s:
            return []
        self._next_request_s = now_s + self._settings.request_timeout_s
        active = self.tracker.active
        return [Send(vm, VersionRequest(self._state, active.content_hash if active else ""))]

    def _answer_request(self, held_hash: str, vm: VmName) -> list[SyncEffect]:
        active = self.tracker.active
        if active is None or active.content_hash == held_hash:
            return []
        return [Send(vm, self._make_push(active, held_hash))]

    def _make_push(self, active: Pointer, held_hash: str) -> VersionPush:
        tracker = self.tracker
        if held_hash and held_hash == tracker.previous_hash:
            delta = make_delta(tracker.previous_content, tracker.content)
            return VersionPush(self._state, active, held_hash, delta)
        return VersionPush(self._state, active, "", make_delta(b"", tracker.content))

    def _activate(self, pointer: Pointer, content: bytes, source: str) -> list[SyncEffect]:
        result = self.tracker.try_activate(pointer, content, source)
        self._record_error(result)
        if not result.default_value(False):
            return []
        effects: list[SyncEffect] = [Activated(self._state, pointer, content)]
        if self._is_relay:
            push = self._make_push(pointer, self.tracker.previous_hash)
            effects += [Send(vm, push) for vm in self._sync_peers if vm != source]
        return effects

    def _record_error(self, result: Result[bool, StepError]) -> None:
        match result:
            case Result(tag="error", error=error):
                self.last_error = error
