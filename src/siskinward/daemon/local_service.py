"""Runs requests on the targets that this VM owns, within their slots."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import curio
from attrs import evolve

from siskinward.coordination.admission import Admitted
from siskinward.coordination.admission import Queued
from siskinward.coordination.admission import Refused
from siskinward.coordination.admission import ServiceQueue
from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.routing import ServiceLoad
from siskinward.daemon.waiter import Waiter
from siskinward.daemon.work import WorkResult
from siskinward.protocol.target_http import interpret_answer
from siskinward.protocol.target_http import target_headers
from siskinward.transport.connection_pool import ConnectionPool
from siskinward.transport.http_client import ExchangePhase
from siskinward.transport.http_messages import HttpRequest

if TYPE_CHECKING:
    from siskinward.coordination.admission import AdmissionSettings
    from siskinward.coordination.admission import Slot
    from siskinward.coordination.admission import SlotLedger
    from siskinward.coordination.outcomes import Outcome
    from siskinward.coordination.ownership import OwnershipParticipant
    from siskinward.coordination.quarantine import Permit
    from siskinward.coordination.routing import TargetPicker
    from siskinward.daemon.quarantine_desk import QuarantineDesk
    from siskinward.daemon.serving_state import ServingState
    from siskinward.daemon.work import Work
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.identifiers import TargetName
    from siskinward.state.objects import Target
    from siskinward.transport.http_client import ExchangeError

OPEN_ACCOUNT_WEIGHT = 1.0
NO_TARGET_RETRY_AFTER_S = 0.5


class LocalService:
    """Queues requests per service, takes a slot for each and runs it on a target."""

    def __init__(
        self,
        settings: AdmissionSettings,
        ledger: SlotLedger,
        ownership: OwnershipParticipant,
        picker: TargetPicker,
        quarantine: QuarantineDesk,
    ) -> None:
        self._settings = settings
        self._ledger = ledger
        self._ownership = ownership
        self._picker = picker
        self._quarantine = quarantine
        self._queues: dict[ServiceName, ServiceQueue] = {}
        self._waiters: dict[int, Waiter[Admitted | Refused]] = {}
        self._pools: dict[TargetName, ConnectionPool] = {}
        self._held: dict[int, tuple[ServiceName, int]] = {}
        self._request_ids = itertools.count(1)
        self._state: ServingState | None = None
        self._usable: dict[ServiceName, list[TargetName]] = {}

    def apply(self, state: ServingState) -> None:
        """Take over a configuration."""
        self._state = state

    def usable_targets(self) -> list[Target]:
        """Return the targets that this VM may send new work to."""
        if self._state is None:
            return []
        targets = self._state.configuration.targets
        return [targets[name] for names in self._usable.values() for name in names]

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of the targets that this VM owns, by service."""
        return tuple(self._load(service, names) for service, names in self._usable.items() if names)

    async def run(self, work: Work) -> WorkResult:
        """Wait for a slot, run the request and return its outcome."""
        permit = await self._quarantine.admit(work.fingerprint, await curio.clock())
        if isinstance(permit, NotRun):
            return WorkResult(permit)
        result = WorkResult(NotRun(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER_S))
        try:
            result = await self._run_permitted(work, permit)
        finally:
            for target in result.lost_targets:
                await self._quarantine.target_lost(target)
            ran = isinstance(result.outcome, Answered)
            await self._quarantine.finished(permit, ran=ran)
        return evolve(result, load=self._own_load(work.service))

    async def _run_permitted(self, work: Work, permit: Permit) -> WorkResult:
        request_id = next(self._request_ids)
        admission = await self._admit(request_id, work)
        if isinstance(admission, NotRun):
            return WorkResult(admission)
        now_s = await curio.clock()
        slots = self._take_slots(work, permit, now_s)
        if not slots:
            await self._finish(work.service, request_id, None)
            return WorkResult(NotRun(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER_S))
        self._quarantine.started(permit, slots[0].target)
        try:
            return await self._run_in_slot(work, request_id, slots[0], now_s)
        finally:
            for slot in slots[1:]:
                self._ledger.release(slot)

    async def on_timer(self, now_s: float) -> None:
        """Follow the ownership, release held slots that are due, refuse what waits too long."""
        self._refresh_usable(now_s)
        for slot in self._ledger.on_timer(now_s):
            if slot.serial in self._held:
                service, request_id = self._held.pop(slot.serial)
                await self._finish(service, request_id, None)
        for service, queue in self._queues.items():
            for refused in queue.expire(now_s):
                await self._notify(refused)
            await self._pump(service)

    def _refresh_usable(self, now_s: float) -> None:
        if self._state is None:
            return
        configuration = self._state.configuration
        usable: dict[ServiceName, list[TargetName]] = {}
        for name in self._ownership.usable_targets(now_s):
            target = configuration.targets.get(name)
            if target is not None:
                service = configuration.target_groups[target.group].service
                usable.setdefault(service, []).append(name)
        for service in configuration.services:
            names = usable.get(service, [])
            slots = sum(self._open_slots(name, now_s) for name in names)
            self._queue(service).set_capacity(slots)
        self._usable = usable

    def _open_slots(self, name: TargetName, now_s: float) -> int:
        slots = self._ledger.in_use(name) + self._ledger.free(name)
        return self._picker.slots_open(name, slots=slots, now_s=now_s)

    def _own_load(self, service: ServiceName) -> ServiceLoad | None:
        names = self._usable.get(service)
        return self._load(service, names) if names else None

    def _load(self, service: ServiceName, names: list[TargetName]) -> ServiceLoad:
        queue = self._queue(service)
        in_use = sum(self._ledger.in_use(name) for name in names)
        slots = in_use + sum(self._ledger.free(name) for name in names)
        return ServiceLoad(service, slots, in_use, queue.waiting, queue.service_s)

    async def _admit(self, request_id: int, work: Work) -> Admitted | NotRun:
        assert self._state is not None
        configuration = self._state.configuration
        account = configuration.client_accounts.get(work.client_account)
        now_s = await curio.clock()
        decision = self._queue(work.service).offer(
            request_id,
            work.client_account,
            weight=OPEN_ACCOUNT_WEIGHT if account is None else account.weight,
            service_class=configuration.services[work.service].service_class,
            deadline_s=work.deadline_s,
            now_s=now_s,
        )
        match decision:
            case Admitted():
                return decision
            case Refused():
                return decision.outcome
            case Queued():
                if decision.evicted is not None:
                    await self._notify(decision.evicted)
                return await self._wait(request_id, work, now_s)

    async def _wait(self, request_id: int, work: Work, now_s: float) -> Admitted | NotRun:
        waiter = Waiter[Admitted | Refused]()
        self._waiters[request_id] = waiter
        try:
            decision = await waiter.wait(work.deadline_s - now_s)
        except curio.CancelledError:
            await self._abandon(request_id, work.service, waiter)
            raise
        finally:
            del self._waiters[request_id]
        match decision:
            case Admitted():
                return decision
            case Refused():
                return decision.outcome
            case None:
                self._queue(work.service).cancel(request_id)
                return NotRun(RefusalReason.QUEUE_LATE, NO_TARGET_RETRY_AFTER_S)

    async def _abandon(
        self, request_id: int, service: ServiceName, waiter: Waiter[Admitted | Refused]
    ) -> None:
        if waiter.is_delivered:
            await self._finish(service, request_id, None)
        else:
            self._queue(service).cancel(request_id)

    def _take_slots(self, work: Work, permit: Permit, now_s: float) -> list[Slot]:
        """Take one slot; all slots of an idle target for a request that must run alone."""
        names = self._usable.get(work.service, [])
        if permit.alone:
            names = [name for name in names if self._ledger.in_use(name) == 0]
        chosen = self._picker.pick(self._ledger, names, excluded=work.excluded_targets, now_s=now_s)
        if chosen is None:
            return []
        count = self._ledger.free(chosen) if permit.alone else 1
        taken = [
            self._ownership.take(chosen, deadline_s=work.deadline_s, now_s=now_s)
            for _ in range(count)
        ]
        return [slot for slot in taken if slot is not None]

    async def _run_in_slot(
        self, work: Work, request_id: int, slot: Slot, start_s: float
    ) -> WorkResult:
        outcome: Outcome | None = None
        is_target_lost = False
        try:
            result = await self._pool(slot.target).exchange(
                _target_request(work, start_s),
                work.deadline_s - start_s,
                needs_recent_proof=not work.is_idempotent,
            )
            if result.is_error():
                outcome = _failed_outcome(result.error)
                is_target_lost = not result.error.timed_out
            else:
                answer = result.ok
                outcome = interpret_answer(answer.status, answer.headers, answer.body)
        finally:
            await self._release(work, request_id, slot, outcome, start_s)
        end_s = await curio.clock()
        self._tell_picker(slot.target, outcome, is_target_lost, start_s, end_s)
        is_loss = is_target_lost and isinstance(outcome, Unknown)
        lost = (slot.target,) if is_loss else ()
        return WorkResult(outcome, slot.target, lost, end_s - start_s)

    def _tell_picker(
        self,
        target: TargetName,
        outcome: Outcome,
        is_target_lost: bool,
        start_s: float,
        end_s: float,
    ) -> None:
        if isinstance(outcome, Answered):
            self._picker.on_answer(target, took_s=end_s - start_s)
        elif is_target_lost or isinstance(outcome, NotRun):
            self._picker.on_failure(target, end_s)

    async def _release(
        self, work: Work, request_id: int, slot: Slot, outcome: Outcome | None, start_s: float
    ) -> None:
        now_s = await curio.clock()
        if outcome is None or isinstance(outcome, Unknown):
            self._held[slot.serial] = (work.service, request_id)
            self._ledger.hold(slot, now_s=now_s)
            return
        self._ledger.release(slot)
        service_s = None if isinstance(outcome, NotRun) else now_s - start_s
        await self._finish(work.service, request_id, service_s)

    async def _finish(self, service: ServiceName, request_id: int, service_s: float | None) -> None:
        self._queue(service).finished(request_id, service_s=service_s)
        await self._pump(service)

    async def _pump(self, service: ServiceName) -> None:
        queue = self._queue(service)
        while True:
            popped = queue.pop(await curio.clock())
            for refused in popped.refused:
                await self._notify(refused)
            if popped.admitted is None:
                return
            await self._notify(popped.admitted)

    async def _notify(self, decision: Admitted | Refused) -> None:
        waiter = self._waiters.get(decision.request_id)
        if waiter is not None:
            await waiter.deliver(decision)

    def _pool(self, name: TargetName) -> ConnectionPool:
        assert self._state is not None
        target = self._state.configuration.targets[name]
        pool = self._pools.get(name)
        if pool is None or not pool.serves(target.host, target.port):
            pool = ConnectionPool(target.host, target.port, target.connection_limit)
            self._pools[name] = pool
        return pool

    def _queue(self, service: ServiceName) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            assert self._state is not None
            declared = self._state.configuration.services[service]
            queue = ServiceQueue(declared, self._settings)
            self._queues[service] = queue
        return queue


def _target_request(work: Work, now_s: float) -> HttpRequest:
    headers = target_headers(
        work.headers, work.client_account, work.run_id, work.deadline_s - now_s
    )
    return HttpRequest(work.method, work.target_path, headers, work.body)


def _failed_outcome(error: ExchangeError) -> Outcome:
    match error.phase:
        case ExchangePhase.CONNECT | ExchangePhase.UNSENT:
            return NotRun(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER_S)
        case ExchangePhase.SENT:
            reason = RefusalReason.DEADLINE if error.timed_out else RefusalReason.TARGET_LOST
            return Unknown(reason)
        case ExchangePhase.INCOMPLETE:
            return Unknown(RefusalReason.ANSWER_INCOMPLETE)
