"""State machine of a participant."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from siskinward.coordination.events import RowFailed
from siskinward.coordination.events import RowRead
from siskinward.coordination.events import RowWritten
from siskinward.coordination.events import Send
from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.grants._link import GrantLink
from siskinward.coordination.grants._record import ABSENT
from siskinward.coordination.grants._record import GrantRecord
from siskinward.coordination.grants._record import decode_record
from siskinward.coordination.grants._states import Claiming
from siskinward.coordination.grants._states import Following
from siskinward.coordination.grants._states import Holding
from siskinward.coordination.grants._states import Reading
from siskinward.coordination.grants._states import Released
from siskinward.coordination.grants._states import State
from siskinward.coordination.grants._states import Validating
from siskinward.coordination.grants._states import Waiting
from siskinward.coordination.grants.messages import GrantQuery

if TYPE_CHECKING:
    from siskinward.coordination.events import Effect
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.grants._settings import GrantSettings


class GrantMachine:
    """State of one participant. Methods that change it return the effects to carry out."""

    def __init__(
        self, settings: GrantSettings, own: VmIdentity, grant: str, started_s: float
    ) -> None:
        self._settings = settings
        self.link = GrantLink(own, grant, settings.notify_departed_s)
        self.state: State = Following()
        self.newest = ABSENT
        self._next_announce_s = started_s
        self._next_read_s = started_s + settings.startup_delay_s
        self._verify_id = 0

    def announce(self, interval_s: float, now_s: float) -> list[Effect]:
        """Announce the holder to the peers if an announcement is due."""
        if now_s < self._next_announce_s:
            return []
        self._next_announce_s = now_s + interval_s
        return self.link.to_peers(self.link.notice(self.newest))

    def read(self, now_s: float) -> list[Effect]:
        """Start reading the row, to claim the grant or to recognise an own claim in it."""
        request_id = self.link.next_request_id()
        self.state = Reading(request_id, now_s)
        return [self.link.read(request_id)]

    def try_claim(self, now_s: float) -> list[Effect]:
        """Start a takeover of a grant that this VM is named for, or is the candidate for.

        A candidate takes over only if the known holder is not live.
        """
        link = self.link
        names_own_vm = self.newest.incarnation == link.own.incarnation
        is_unattended = not link.is_live(self.newest.incarnation) and link.is_candidate()
        if now_s < self._next_read_s or not (names_own_vm or is_unattended):
            return []
        self._next_read_s = now_s + self._settings.verify_interval_s
        return self.read(now_s)

    def start_holding(self, record: GrantRecord, now_s: float) -> list[Effect]:
        """Start using the grant and announce it."""
        self.newest = record
        self.state = Holding(record)
        self._verify_id = 0
        self._next_announce_s = now_s
        self._next_read_s = now_s
        return self.announce(self._settings.reannounce_interval_s, now_s)

    def start_waiting(self, record: GrantRecord, now_s: float) -> list[Effect]:
        """Announce this VM as the holder and wait until no other can still be using the grant."""
        self.newest = record
        self.state = Waiting(record, now_s + self._settings.takeover_wait_s)
        self._next_announce_s = now_s
        return self.announce(self._settings.announce_interval_s, now_s)

    def start_validation(
        self, record: GrantRecord, now_s: float, *, contested: bool = False
    ) -> list[Effect]:
        """Stop using the grant until the platform, or every peer, confirms the record."""
        request_id = self.link.next_request_id()
        self.state = Validating(record, request_id, request_id, now_s, contested)
        query = GrantQuery(self.link.grant, record.epoch, request_id)
        return [self.link.read(request_id), *self.link.to_peers(query)]

    def retry_validation(self, state: Validating, now_s: float) -> list[Effect]:
        """Repeat the query to the peers, and the read if it failed or timed out."""
        query = GrantQuery(self.link.grant, state.record.epoch, state.query_id)
        effects = self.link.to_peers(query)
        settings = self._settings
        bound_s = settings.verify_interval_s if state.platform_failed else settings.answer_timeout_s
        if now_s - state.requested_s > bound_s:
            request_id = self.link.next_request_id()
            state = evolve(state, request_id=request_id, requested_s=now_s, platform_failed=True)
            self.state = state
            effects.append(self.link.read(request_id))
        return effects + self._resume_if_confirmed(now_s)

    def verify(self, now_s: float) -> list[Effect]:
        """Read the row if it is due, to detect a takeover whose announcements were lost."""
        if now_s < self._next_read_s:
            return []
        self._next_read_s = now_s + self._settings.verify_interval_s
        self._verify_id = self.link.next_request_id()
        return [self.link.read(self._verify_id)]

    def on_record(self, record: GrantRecord, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Compare a record announced by a peer with the newest one known here."""
        if record.epoch < self.newest.epoch:
            return [Send(sender.vm, self.link.notice(self.newest))]
        if record.epoch > self.newest.epoch:
            self.newest = record
            self._next_read_s = min(self._next_read_s, now_s)
            self._stop_using()
            return []
        if record == self.newest:
            self._acknowledge(sender)
            return []
        match self.state:
            case Holding(own) | Waiting(own):
                return self.start_validation(own, now_s, contested=True)
            case Validating() as state:
                self.state = evolve(state, contested=True)
                return []
        # Reply only to a sender that claims the grant itself: followers with different records
        # would otherwise reply to each other without end.
        claims_itself = record.incarnation == sender.incarnation
        return [Send(sender.vm, self.link.notice(self.newest))] if claims_itself else []

    def on_confirmation(self, query_id: int, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Record that a peer knows no other holder; resume once every peer has confirmed."""
        match self.state:
            case Validating(confirmed_by=confirmed_by) as state if query_id == state.query_id:
                self.state = evolve(state, confirmed_by=confirmed_by | {sender.incarnation})
                return self._resume_if_confirmed(now_s)
        return []

    def on_handover(self, epoch: int, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Take the grant over from a holder that shuts down, without waiting."""
        record = self.link.own_record(epoch)
        if isinstance(self.state, Released):
            return []
        if record == self.newest and isinstance(self.state, Holding):
            return [Send(sender.vm, self.link.notice(record))]
        if epoch <= self.newest.epoch:
            return []
        acknowledgement = Send(sender.vm, self.link.notice(record))
        return [acknowledgement, *self.start_holding(record, now_s)]

    def on_read(self, answer: RowRead, now_s: float) -> list[Effect]:
        """Handle a row that was read; ignore answers to superseded requests."""
        match self.state:
            case Reading(request_id) if request_id == answer.request_id:
                return self._on_row(answer, now_s)
            case Holding(own) if answer.request_id == self._verify_id:
                return self._on_verified(self._apply_row(answer), own)
            case Validating(request_id=request_id) as state if request_id == answer.request_id:
                return self._on_validated(self._apply_row(answer), state, now_s)
        return []

    def on_read_failed(self, answer: RowFailed, now_s: float) -> list[Effect]:
        """Fall back to the peers' confirmations while the platform is unavailable."""
        match self.state:
            case Validating(request_id=request_id) as state if request_id == answer.request_id:
                self.state = evolve(state, platform_failed=True)
                return self._resume_if_confirmed(now_s)
        return []

    def on_written(self, answer: RowWritten, now_s: float) -> list[Effect]:
        """Handle the result of a write; read the row again if a claim may not have been applied."""
        if answer.outcome is WriteOutcome.APPLIED:
            self.link.row_version = answer.version
        match self.state:
            case Claiming(record, request_id, from_vacant=from_vacant) if (
                request_id == answer.request_id
            ):
                overtaken = self.newest.epoch >= record.epoch
                if answer.outcome is not WriteOutcome.APPLIED or overtaken:
                    return self.read(now_s)
                return (
                    self.start_holding(record, now_s)
                    if from_vacant
                    else self.start_waiting(record, now_s)
                )
        return []

    def _apply_row(self, answer: RowRead) -> GrantRecord:
        self.link.row_version = answer.version
        return decode_record(answer.value)

    def _stop_using(self) -> None:
        match self.state:
            case Holding() | Waiting() | Validating():
                self.state = Following()
            case Released(record):
                self.state = Released(record, acknowledged=True)

    def _acknowledge(self, sender: VmIdentity) -> None:
        match self.state:
            case Released(record) if sender.incarnation == record.incarnation:
                self.state = Released(record, acknowledged=True)

    def _resume_if_confirmed(self, now_s: float) -> list[Effect]:
        match self.state:
            case Validating(record, platform_failed=True, confirmed_by=confirmed_by):
                peers = {peer.incarnation for peer in self.link.peers()}
                if peers and peers <= confirmed_by:
                    return self.start_waiting(record, now_s)
        return []

    def _on_row(self, answer: RowRead, now_s: float) -> list[Effect]:
        record = self._apply_row(answer)
        link = self.link
        if record.epoch >= self.newest.epoch:
            self.newest = record
        newest = self.newest
        link.keep_notifying(newest.vm, now_s)
        if newest.incarnation == link.own.incarnation:
            return self.start_waiting(newest, now_s)
        self.state = Following()
        if link.is_live(newest.incarnation):
            return [Send(newest.vm, link.notice(newest))]
        if not link.is_candidate():
            return []
        return self._claim(newest.epoch + 1, now_s, from_vacant=newest.is_vacant)

    def _claim(self, epoch: int, now_s: float, *, from_vacant: bool) -> list[Effect]:
        claim = self.link.own_record(epoch)
        request_id = self.link.next_request_id()
        self.state = Claiming(claim, request_id, now_s, from_vacant)
        return [self.link.write(claim, request_id)]

    def _on_verified(self, record: GrantRecord, own: GrantRecord) -> list[Effect]:
        if record == own:
            return []
        if record.epoch < own.epoch:
            # The handover was not written because the platform was unavailable.
            return [self.link.write(own, self.link.next_request_id())]
        self.newest = record
        self.state = Following()
        return []

    def _on_validated(self, record: GrantRecord, state: Validating, now_s: float) -> list[Effect]:
        own = state.record
        if record != own and record.epoch >= own.epoch:
            self.newest = record
            self.state = Following()
            return []
        if state.contested:
            # Only a higher epoch convinces the peers that know another holder of this epoch.
            return self._claim(own.epoch + 1, now_s, from_vacant=False)
        return self.start_waiting(own, now_s)
