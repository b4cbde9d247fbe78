"""One VM's participation in a grant."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.events import RowFailed
from siskinward.coordination.events import RowRead
from siskinward.coordination.events import RowWritten
from siskinward.coordination.events import Send
from siskinward.coordination.grants._machine import GrantMachine
from siskinward.coordination.grants._record import VACANT
from siskinward.coordination.grants._record import GrantRecord
from siskinward.coordination.grants._states import Claiming
from siskinward.coordination.grants._states import Following
from siskinward.coordination.grants._states import Holding
from siskinward.coordination.grants._states import Reading
from siskinward.coordination.grants._states import Released
from siskinward.coordination.grants._states import Validating
from siskinward.coordination.grants._states import Waiting
from siskinward.coordination.grants.messages import GrantHandover
from siskinward.coordination.grants.messages import GrantNotice
from siskinward.coordination.grants.messages import GrantQuery
from siskinward.coordination.grants.messages import GrantVouch
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from siskinward.coordination.events import Effect
    from siskinward.coordination.events import TableAnswer
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.grants._settings import GrantSettings
    from siskinward.coordination.grants._states import State
    from siskinward.coordination.grants.messages import GrantMessage
    from siskinward.coordination.membership import Member


class GrantParticipant:
    """Claims, holds and hands over one grant on behalf of one VM.

    Call ``on_members`` with ``Membership.live_vms`` of the own failure domain whenever it changes,
    ``on_timer`` at least four times per ``stall_bound_s``, and ``may_use`` immediately before each
    use. Whatever is sent under the grant must carry ``epoch``, a fencing token by which receivers
    can refuse older ones.
    """

    def __init__(
        self, settings: GrantSettings, own: VmIdentity, grant: str, started_s: float
    ) -> None:
        self._settings = settings
        self._machine = GrantMachine(settings, own, grant, started_s)
        self._last_timer_s = started_s
        self._running_since_s = started_s

    @property
    def epoch(self) -> int:
        """Epoch of the newest known holder."""
        return self._machine.newest.epoch

    @property
    def holder(self) -> VmName:
        """Name of the newest known holder; empty if nobody is known."""
        return self._machine.newest.vm

    @property
    def state(self) -> State:
        """The current state, for counters and logs."""
        return self._machine.state

    @property
    def is_handed_over(self) -> bool:
        """Whether this VM may stop without leaving the grant without a holder."""
        match self._machine.state:
            case Released(acknowledged=acknowledged):
                return acknowledged
            case Following() | Reading():
                return True
        return False

    def may_use(self, now_s: float) -> bool:
        """Return whether this VM holds the grant and has not stalled since its last timer."""
        return isinstance(self._machine.state, Holding) and not self._has_stalled(now_s)

    def on_members(self, members: tuple[Member, ...], now_s: float) -> list[Effect]:
        """Update the live VMs of the own failure domain; a holder announces itself to new ones."""
        machine = self._machine
        added = machine.link.set_members(members, now_s)
        match machine.state:
            case Holding(record) | Waiting(record):
                return [Send(vm, machine.link.notice(record)) for vm in added]
        return []

    def on_timer(self, now_s: float) -> list[Effect]:
        """Detect stalls, claim a grant whose holder is lost, repeat messages and late requests."""
        has_stalled = self._has_stalled(now_s)
        self._last_timer_s = now_s
        if has_stalled:
            self._running_since_s = now_s
            return self._on_stall(now_s)
        machine = self._machine
        match machine.state:
            case Following():
                return machine.try_claim(now_s)
            case Reading(requested_s=requested_s) | Claiming(requested_s=requested_s):
                is_late = now_s - requested_s > self._settings.answer_timeout_s
                return machine.read(now_s) if is_late else []
            case Waiting(record, use_from_s) if now_s >= use_from_s:
                return machine.start_holding(record, now_s)
            case Waiting():
                return machine.announce(self._settings.announce_interval_s, now_s)
            case Holding():
                announced = machine.announce(self._settings.reannounce_interval_s, now_s)
                return announced + machine.verify(now_s)
            case Validating() as state:
                return machine.retry_validation(state, now_s)
            case Released(record, acknowledged=False):
                return machine.link.hand_over(record)
        return []

    def on_message(self, message: GrantMessage, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Handle a message; those of other failure domains or grants are ignored."""
        machine = self._machine
        is_foreign = sender.failure_domain != machine.link.own.failure_domain
        if is_foreign or message.grant != machine.link.grant:
            return []
        match message:
            case GrantNotice(_, epoch, vm, incarnation):
                return machine.on_record(GrantRecord(epoch, vm, incarnation), sender, now_s)
            case GrantQuery(_, epoch, query_id):
                record = GrantRecord(epoch, sender.vm, sender.incarnation)
                return self._on_query(record, query_id, sender, now_s)
            case GrantVouch(_, query_id):
                return machine.on_confirmation(query_id, sender, now_s)
            case GrantHandover(_, epoch):
                return machine.on_handover(epoch, sender, now_s)

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> list[Effect]:
        """Handle an answer of the platform's table; answers to superseded requests are ignored."""
        machine = self._machine
        if answer.row != machine.link.row:
            return []
        match answer:
            case RowRead():
                return machine.on_read(answer, now_s)
            case RowFailed():
                return machine.on_read_failed(answer, now_s)
            case RowWritten():
                return machine.on_written(answer, now_s)

    def release(self, now_s: float) -> list[Effect]:
        """Stop using the grant for good; hand it to a peer if this VM holds it."""
        machine = self._machine
        if not self.may_use(now_s):
            # The row may name this VM while its predecessor still uses the grant: leave the row
            # unchanged, so that the next holder waits.
            machine.state = Released(machine.newest, acknowledged=True)
            return []
        epoch = machine.newest.epoch
        successor = machine.link.successor()
        following = GrantRecord(epoch, VmName(""), VACANT)
        if successor is not None:
            following = GrantRecord(epoch + 1, successor.vm, successor.incarnation)
        machine.newest = following
        machine.state = Released(following, acknowledged=successor is None)
        write = machine.link.write(following, machine.link.next_request_id())
        return [*machine.link.hand_over(following), write]

    def _has_stalled(self, now_s: float) -> bool:
        return now_s - self._last_timer_s > self._settings.stall_bound_s

    def _on_stall(self, now_s: float) -> list[Effect]:
        # Discard pending answers: they may have been given before the stall.
        machine = self._machine
        match machine.state:
            case Reading() | Claiming():
                return machine.read(now_s)
            case Holding(record) | Waiting(record) | Validating(record=record):
                return machine.start_validation(record, now_s)
        return []

    def _on_query(
        self, record: GrantRecord, query_id: int, sender: VmIdentity, now_s: float
    ) -> list[Effect]:
        machine = self._machine
        effects = machine.on_record(record, sender, now_s)
        newest = machine.newest
        running_s = now_s - self._running_since_s
        is_aware = running_s >= self._settings.confirm_after_s and not self._has_stalled(now_s)
        if newest == record and is_aware:
            effects.append(Send(sender.vm, GrantVouch(machine.link.grant, query_id)))
        elif newest.epoch == record.epoch and newest != record:
            effects.append(Send(sender.vm, machine.link.notice(newest)))
        return effects
