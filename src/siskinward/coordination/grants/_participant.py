"""Main class of the grants."""

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
    """One VM's part in one grant of its failure domain.

    Call ``on_members`` with ``Membership.live_vms`` of the own failure domain whenever it changes,
    ``on_timer`` at least four times per ``stall_bound_s``, and ask ``may_use`` immediately before
    each use. What a use produces carries ``epoch``, so that receivers can refuse older ones.
    """

    def __init__(
        self, settings: GrantSettings, own: VmIdentity, grant: str, started_s: float
    ) -> None:
        self._settings = settings
        self._machine = GrantMachine(settings, own, grant, started_s)
        self._last_timer_s = started_s
        self._awake_since_s = started_s

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
        """The present state, for counters and logs."""
        return self._machine.state

    @property
    def is_handed_over(self) -> bool:
        """Whether this VM may stop without leaving the grant unattended."""
        match self._machine.state:
            case Released(acknowledged=acknowledged):
                return acknowledged
            case Following() | Reading():
                return True
        return False

    def may_use(self, now_s: float) -> bool:
        """Tell whether this VM holds the grant at this instant."""
        return isinstance(self._machine.state, Holding) and not self._stalled(now_s)

    def on_members(self, members: tuple[Member, ...], now_s: float) -> list[Effect]:
        """Take the live VMs of the own failure domain."""
        machine = self._machine
        added = machine.link.set_members(members, now_s)
        match machine.state:
            case Holding(record) | Waiting(record):
                return [Send(vm, machine.link.notice(record)) for vm in added]
        return []

    def on_timer(self, now_s: float) -> list[Effect]:
        """Detect stalls, claim what is unattended, repeat what may have been lost."""
        stalled = self._stalled(now_s)
        self._last_timer_s = now_s
        if stalled:
            self._awake_since_s = now_s
            return self._on_stall(now_s)
        machine = self._machine
        match machine.state:
            case Following():
                return machine.consider_claim(now_s)
            case Reading(asked_s=asked_s) | Claiming(asked_s=asked_s):
                late = now_s - asked_s > self._settings.answer_timeout_s
                return machine.read(now_s) if late else []
            case Waiting(record, use_from_s) if now_s >= use_from_s:
                return machine.hold(record, now_s)
            case Waiting():
                return machine.announce(self._settings.announce_interval_s, now_s)
            case Holding():
                announced = machine.announce(self._settings.reannounce_interval_s, now_s)
                return announced + machine.verify(now_s)
            case Validating() as state:
                return machine.ask_again(state, now_s)
            case Released(record, acknowledged=False):
                return machine.link.hand_over(record)
        return []

    def on_message(self, message: GrantMessage, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Take a message of a VM of the same failure domain."""
        machine = self._machine
        foreign = sender.failure_domain != machine.link.own.failure_domain
        if foreign or message.grant != machine.link.grant:
            return []
        match message:
            case GrantNotice(_, epoch, vm, incarnation):
                return machine.on_record(GrantRecord(epoch, vm, incarnation), sender, now_s)
            case GrantQuery(_, epoch, query_id):
                record = GrantRecord(epoch, sender.vm, sender.incarnation)
                return self._on_query(record, query_id, sender, now_s)
            case GrantVouch(_, query_id):
                return machine.on_vouch(query_id, sender, now_s)
            case GrantHandover(_, epoch):
                return machine.on_handover(epoch, sender, now_s)

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> list[Effect]:
        """Take an answer of the platform; answers to requests given up are ignored."""
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
        """Stop using the grant for good and hand it to a peer if it is held."""
        machine = self._machine
        if not self.may_use(now_s):
            # The row may name this VM while its predecessor still holds the grant, so the row
            # is left as it is and the next holder waits.
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

    def _stalled(self, now_s: float) -> bool:
        return now_s - self._last_timer_s > self._settings.stall_bound_s

    def _on_stall(self, now_s: float) -> list[Effect]:
        # Answers under way are given up: what they say may be older than the stall.
        machine = self._machine
        match machine.state:
            case Reading() | Claiming():
                return machine.read(now_s)
            case Holding(record) | Waiting(record) | Validating(record=record):
                return machine.validate(record, now_s)
        return []

    def _on_query(
        self, record: GrantRecord, query_id: int, sender: VmIdentity, now_s: float
    ) -> list[Effect]:
        machine = self._machine
        effects = machine.on_record(record, sender, now_s)
        newest = machine.newest
        awake_s = now_s - self._awake_since_s
        aware = awake_s >= self._settings.vouch_after_s and not self._stalled(now_s)
        if newest == record and aware:
            effects.append(Send(sender.vm, GrantVouch(machine.link.grant, query_id)))
        elif newest.epoch == record.epoch and newest != record:
            effects.append(Send(sender.vm, machine.link.notice(newest)))
        return effects
