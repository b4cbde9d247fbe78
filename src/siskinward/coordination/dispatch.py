"""Admission of a service's requests at the VM that owns its targets."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.admission import Admitted
from siskinward.coordination.admission import Queued
from siskinward.coordination.admission import RateShares
from siskinward.coordination.admission import Refused
from siskinward.coordination.admission import ServiceQueue
from siskinward.coordination.admission import Slot
from siskinward.coordination.routing import ServiceLoad
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinward.coordination.admission import AdmissionSettings
    from siskinward.coordination.admission import SlotLedger
    from siskinward.coordination.ownership import OwnershipParticipant
    from siskinward.coordination.routing import TargetPicker
    from siskinward.state.identifiers import DomainName
    from siskinward.state.objects import Configuration
    from siskinward.state.objects import Service


@frozen
class Offer:
    """A request to admit; it failed at the ``excluded`` targets before."""

    request_id: int
    account: AccountName
    weight: float
    deadline_s: float
    excluded: frozenset[TargetName] = frozenset()


@frozen
class Started:
    """The request may be sent to the slot's target, which must stop at the slot's deadline."""

    request_id: int
    slot: Slot
    waited_s: float


@frozen
class Completed:
    """The target answered after ``service_s``."""

    service_s: float


@frozen
class Failed:
    """The target did not run the request, or is known to have stopped running it."""


@frozen
class Lost:
    """The connection was lost; the target may keep running the request until the slot's deadline.

    ``target_answers`` is true if the target is known to serve other connections.
    """

    target_answers: bool = False


@frozen
class Unsent:
    """The request was not sent, for reasons that have nothing to do with the target."""


ExecutionResult = Completed | Failed | Lost | Unsent


@frozen
class DispatchResult:
    """Requests to send to their targets now, and requests that will not run."""

    started: tuple[Started, ...] = ()
    refused: tuple[Refused, ...] = ()


class Dispatcher:
    """Queue the requests of a service and start them as slots of owned targets become free.

    Every offer is started or refused exactly once, in the result of ``offer`` or in a later
    ``DispatchResult``, unless it is cancelled first.
    """

    def __init__(
        self,
        service: Service,
        settings: AdmissionSettings,
        ledger: SlotLedger,
        ownership: OwnershipParticipant,
        picker: TargetPicker,
    ) -> None:
        self._service = service
        self._queue = ServiceQueue(service, settings)
        self._ledger = ledger
        self._ownership = ownership
        self._picker = picker
        self._shares = RateShares()
        self._slots: dict[TargetName, int] = {}
        self._offers: dict[int, Offer] = {}
        self._running: dict[int, Slot] = {}

    def set_configuration(self, configuration: Configuration, domain: DomainName) -> None:
        """Set the service's targets in the VM's own failure domain."""
        groups = configuration.target_groups
        self._slots = {
            name: target.slots
            for name, target in configuration.targets.items()
            if groups[target.group].service == self._service.name
            and groups[target.group].failure_domain == domain
        }
        self._shares.set_configuration(configuration, self._service.name, domain)

    def offer(self, offer: Offer, now_s: float) -> DispatchResult:
        """Start, queue or refuse a request."""
        self._update_capacity(now_s)
        self._offers[offer.request_id] = offer
        decision = self._queue.offer(
            offer.request_id,
            offer.account,
            weight=offer.weight,
            service_class=self._service.service_class,
            deadline_s=offer.deadline_s,
            now_s=now_s,
        )
        match decision:
            case Admitted():
                return self._make_result([decision], [], now_s)
            case Refused():
                return self._make_result([], [decision], now_s)
            case Queued(evicted=Refused() as evicted):
                return self._make_result([], [evicted], now_s)
        return DispatchResult()

    def finish(self, request_id: int, result: ExecutionResult, now_s: float) -> DispatchResult:
        """Record how a started request ended, and start others in the freed slot."""
        slot = self._running.pop(request_id, None)
        if slot is None:
            return DispatchResult()
        match result:
            case Completed(service_s=service_s):
                self._ledger.release(slot)
                self._picker.on_answer(slot.target, took_s=service_s)
                self._queue.on_finished(request_id, service_s=service_s)
            case Failed():
                self._ledger.release(slot)
                self._picker.on_failure(slot.target, now_s)
                self._queue.on_finished(request_id)
            case Lost(target_answers=target_answers):
                self._ledger.hold(slot, now_s=now_s)
                if not target_answers:
                    self._picker.on_failure(slot.target, now_s)
                self._queue.on_finished(request_id)
            case Unsent():
                self._ledger.release(slot)
                self._queue.on_finished(request_id)
        return self._start_queued([], now_s)

    def cancel(self, request_id: int) -> bool:
        """Remove a waiting request whose caller disconnected; ``False`` if it is not waiting."""
        if not self._queue.cancel(request_id):
            return False
        del self._offers[request_id]
        return True

    def on_timer(self, now_s: float) -> DispatchResult:
        """Free slots whose hold expired, refuse late requests and start those that can be."""
        self._ledger.on_timer(now_s)
        return self._start_queued(list(self._queue.expire(now_s)), now_s)

    def load(self, now_s: float) -> ServiceLoad:
        """Return the load that this VM reports to the VMs that forward to it."""
        targets = self._usable(now_s)
        return ServiceLoad(
            service=self._service.name,
            slots=sum(self._open(target, now_s) for target in targets),
            in_use=sum(self._ledger.in_use(target) for target in targets),
            waiting=self._queue.waiting,
            service_s=self._queue.service_s,
        )

    def _start_queued(self, refused: list[Refused], now_s: float) -> DispatchResult:
        admitted: list[Admitted] = []
        self._update_capacity(now_s)
        while True:
            popped = self._queue.pop(now_s)
            refused.extend(popped.refused)
            if popped.admitted is None:
                return self._make_result(admitted, refused, now_s)
            admitted.append(popped.admitted)

    def _make_result(
        self, admitted: list[Admitted], refused: list[Refused], now_s: float
    ) -> DispatchResult:
        started = tuple(self._start(item, now_s) for item in admitted)
        for item in refused:
            del self._offers[item.request_id]
        return DispatchResult(started, tuple(refused))

    def _start(self, admitted: Admitted, now_s: float) -> Started:
        offer = self._offers.pop(admitted.request_id)
        targets = self._usable(now_s)
        target = self._pick(targets, offer.excluded, now_s) or self._pick(targets, (), now_s)
        # The queue admits no more than the open slots counted for the same ``now_s``.
        assert target is not None
        slot = self._ownership.take(target, deadline_s=offer.deadline_s, now_s=now_s)
        assert slot is not None
        self._shares.charge(target, now_s)
        self._running[offer.request_id] = slot
        return Started(offer.request_id, slot, admitted.waited_s)

    def _pick(
        self, targets: list[TargetName], excluded: Collection[TargetName], now_s: float
    ) -> TargetName | None:
        within_share = [name for name in targets if self._shares.available(name, now_s) >= 1.0]
        return self._picker.pick(self._ledger, within_share, excluded=excluded, now_s=now_s)

    def _usable(self, now_s: float) -> list[TargetName]:
        return [name for name in self._ownership.usable_targets(now_s) if name in self._slots]

    def _open(self, target: TargetName, now_s: float) -> int:
        return self._picker.slots_open(target, slots=self._slots[target], now_s=now_s)

    def _update_capacity(self, now_s: float) -> None:
        targets = self._usable(now_s)
        self._shares.retain(targets)
        open_slots = {target: self._open(target, now_s) for target in targets}
        self._queue.set_capacity(
            sum(open_slots.values()),
            free=sum(self._free(target, count, now_s) for target, count in open_slots.items()),
            rate_per_s=self._shares.rate_per_s(targets) or inf,
        )

    def _free(self, target: TargetName, open_slots: int, now_s: float) -> int:
        """Return the free slots of a target within its share of the region's limit."""
        unused = open_slots - self._ledger.in_use(target)
        startable = self._shares.available(target, now_s)
        return max(0, int(min(unused, self._ledger.free(target), startable)))
