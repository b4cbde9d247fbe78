"""Runs requests on the targets that this VM owns, within their slots."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import curio
from attrs import define
from attrs import evolve

from siskinward.coordination.admission import Refused
from siskinward.coordination.dispatch import Completed
from siskinward.coordination.dispatch import Dispatcher
from siskinward.coordination.dispatch import Failed
from siskinward.coordination.dispatch import Lost
from siskinward.coordination.dispatch import Offer
from siskinward.coordination.dispatch import Started
from siskinward.coordination.dispatch import Unsent
from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.daemon.waiter import Waiter
from siskinward.daemon.work import AttemptResult
from siskinward.protocol.target_http import interpret_answer
from siskinward.protocol.target_http import target_headers
from siskinward.state.objects import Service
from siskinward.transport.clock import read_clock_s
from siskinward.transport.connection_pool import ConnectionPool
from siskinward.transport.connection_pool import PoolSettings
from siskinward.transport.http_client import ExchangePhase
from siskinward.transport.http_messages import HttpRequest

if TYPE_CHECKING:
    from siskinward.coordination.admission import AdmissionSettings
    from siskinward.coordination.admission import Slot
    from siskinward.coordination.admission import SlotLedger
    from siskinward.coordination.dispatch import DispatchResult
    from siskinward.coordination.dispatch import ExecutionResult
    from siskinward.coordination.outcomes import Outcome
    from siskinward.coordination.ownership import OwnershipParticipant
    from siskinward.coordination.quarantine import Permit
    from siskinward.coordination.routing import ServiceLoad
    from siskinward.coordination.routing import TargetPicker
    from siskinward.daemon.quarantine_controller import QuarantineController
    from siskinward.daemon.serving_state import ServingState
    from siskinward.daemon.work import Work
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.identifiers import TargetName
    from siskinward.state.objects import Target
    from siskinward.transport.http_client import ExchangeError

OPEN_ROUTE_WEIGHT = 1.0
NO_TARGET_RETRY_AFTER_S = 0.5
ADMISSION_MARGIN_S = 0.1
PROBE_PATH = "/load"


@define
class _ServiceDispatch:
    """A service's dispatcher, with the configuration that it was created from."""

    declared: Service
    dispatcher: Dispatcher


class LocalExecutor:
    """Queues requests at the services' dispatchers and runs them on the targets of this VM."""

    def __init__(
        self,
        settings: AdmissionSettings,
        domain: DomainName,
        ledger: SlotLedger,
        ownership: OwnershipParticipant,
        picker: TargetPicker,
        quarantine: QuarantineController,
    ) -> None:
        self._settings = settings
        self._domain = domain
        self._ledger = ledger
        self._ownership = ownership
        self._picker = picker
        self._quarantine = quarantine
        self._services: dict[ServiceName, _ServiceDispatch] = {}
        self._waiters: dict[int, Waiter[Started | Refused]] = {}
        self._pools: dict[TargetName, ConnectionPool] = {}
        self._request_ids = itertools.count(1)
        self._state: ServingState | None = None

    def apply(self, state: ServingState) -> None:
        """Apply a configuration; a service whose settings changed gets a new queue."""
        self._state = state
        services = state.configuration.services
        for name, declared in services.items():
            known = self._services.get(name)
            if known is None or known.declared != declared:
                self._services[name] = _ServiceDispatch(declared, self._dispatcher(declared))
            self._services[name].dispatcher.set_configuration(state.configuration, self._domain)
        self._services = {name: self._services[name] for name in services}

    def usable_targets(self, now_s: float) -> list[Target]:
        """Return the targets to which this VM may send new requests."""
        if self._state is None:
            return []
        targets = self._state.configuration.targets
        names = self._ownership.usable_targets(now_s)
        return [targets[name] for name in names if name in targets]

    def loads(self, now_s: float) -> tuple[ServiceLoad, ...]:
        """Return the load of the targets that this VM owns, by service."""
        loads = (item.dispatcher.load(now_s) for item in self._services.values())
        return tuple(load for load in loads if load.slots > 0)

    async def run(self, work: Work) -> AttemptResult:
        """Wait for a slot, run the request and return its outcome."""
        permit = await self._quarantine.admit(work.fingerprint, read_clock_s())
        if isinstance(permit, NotRun):
            return AttemptResult(permit)
        result = AttemptResult(NotRun(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER_S))
        try:
            result = await self._run_permitted(work, permit)
        finally:
            for target in result.lost_targets:
                await self._quarantine.on_target_lost(target)
            ran = isinstance(result.outcome, Answered)
            await self._quarantine.on_finished(permit, ran=ran)
        service = self._services.get(work.service)
        if service is None:
            return result
        return evolve(result, load=service.dispatcher.load(read_clock_s()))

    async def on_timer(self, now_s: float) -> None:
        """Release held slots that are due and refuse requests that have waited too long."""
        for service in list(self._services.values()):
            await self._deliver(service.dispatcher.on_timer(now_s))

    async def _run_permitted(self, work: Work, permit: Permit) -> AttemptResult:
        service = self._services.get(work.service)
        if service is None:
            return AttemptResult(NotRun(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER_S))
        dispatcher = service.dispatcher
        started = await self._admit(dispatcher, work, permit)
        if isinstance(started, NotRun):
            return AttemptResult(started)
        now_s = read_clock_s()
        other_slots = self._take_remaining_slots(started.slot, permit, now_s)
        if other_slots is None or not self._quarantine.may_start(permit, now_s):
            for slot in other_slots or ():
                self._ledger.release(slot)
            await self._finish(dispatcher, started, Unsent())
            return AttemptResult(NotRun(RefusalReason.QUARANTINED, NO_TARGET_RETRY_AFTER_S))
        self._quarantine.on_started(permit, started.slot.target)
        try:
            return await self._run_in_slot(dispatcher, work, started)
        finally:
            for slot in other_slots:
                self._ledger.release(slot)

    async def _admit(self, dispatcher: Dispatcher, work: Work, permit: Permit) -> Started | NotRun:
        now_s = read_clock_s()
        request_id = next(self._request_ids)
        waiter = Waiter[Started | Refused]()
        self._waiters[request_id] = waiter
        offer = Offer(
            request_id,
            work.client_account,
            weight=self._weight(work),
            deadline_s=work.deadline_s,
            excluded=self._excluded(work, permit, now_s),
        )
        try:
            await self._deliver(dispatcher.offer(offer, now_s))
            decision = await waiter.wait(work.deadline_s - now_s + ADMISSION_MARGIN_S)
        except curio.CancelledError:
            await self._abandon(dispatcher, request_id)
            raise
        finally:
            del self._waiters[request_id]
        match decision:
            case Started():
                return decision
            case None:
                await self._abandon(dispatcher, request_id)
                return NotRun(RefusalReason.QUEUE_LATE, NO_TARGET_RETRY_AFTER_S)
            case refused:
                return refused.outcome

    async def _abandon(self, dispatcher: Dispatcher, request_id: int) -> None:
        """Cancel a waiting request, or release the slot that it has just been given."""
        if not dispatcher.cancel(request_id):
            progress = dispatcher.finish(request_id, Unsent(), read_clock_s())
            await self._deliver(progress)

    def _excluded(self, work: Work, permit: Permit, now_s: float) -> frozenset[TargetName]:
        excluded = frozenset(work.excluded_targets)
        if not permit.alone:
            return excluded
        usable = self._ownership.usable_targets(now_s)
        return excluded | {name for name in usable if self._ledger.in_use(name) > 0}

    def _take_remaining_slots(self, slot: Slot, permit: Permit, now_s: float) -> list[Slot] | None:
        """Take the other slots for a request that must run alone; return None if one is in use."""
        if not permit.alone:
            return []
        if self._ledger.in_use(slot.target) > 1:
            return None
        taken = [
            self._ownership.take(slot.target, deadline_s=slot.deadline_s, now_s=now_s)
            for _ in range(self._ledger.free(slot.target))
        ]
        return [other for other in taken if other is not None]

    async def _run_in_slot(
        self, dispatcher: Dispatcher, work: Work, started: Started
    ) -> AttemptResult:
        start_s = read_clock_s()
        target = started.slot.target
        outcome: Outcome = Unknown(RefusalReason.TARGET_LOST)
        is_target_lost = False
        is_silent = False
        try:
            result = await self._pool(target).exchange(
                _target_request(work, start_s),
                work.deadline_s - start_s,
                only_recently_used=not work.is_idempotent,
            )
            if result.is_error():
                outcome = _failed_outcome(result.error)
                is_silent = result.error.is_silent
                is_target_lost = isinstance(outcome, Unknown) and not result.error.timed_out
            else:
                answer = result.ok
                outcome = interpret_answer(answer.status, answer.headers, answer.body)
        finally:
            service_s = read_clock_s() - start_s
            await self._finish(dispatcher, started, _ending(outcome, service_s, is_silent))
        lost = (target,) if is_target_lost and not is_silent else ()
        return AttemptResult(outcome, target, lost, service_s)

    async def _finish(
        self, dispatcher: Dispatcher, started: Started, ending: ExecutionResult
    ) -> None:
        now_s = read_clock_s()
        await self._deliver(dispatcher.finish(started.request_id, ending, now_s))

    async def _deliver(self, progress: DispatchResult) -> None:
        decisions: list[Started | Refused] = [*progress.started, *progress.refused]
        for decision in decisions:
            waiter = self._waiters.get(decision.request_id)
            if waiter is not None:
                await waiter.deliver(decision)

    def _weight(self, work: Work) -> float:
        assert self._state is not None
        account = self._state.configuration.client_accounts.get(work.client_account)
        return OPEN_ROUTE_WEIGHT if account is None else account.weight

    def _pool(self, name: TargetName) -> ConnectionPool:
        assert self._state is not None
        target = self._state.configuration.targets[name]
        pool = self._pools.get(name)
        settings = PoolSettings(target.host, target.port, target.connection_limit, PROBE_PATH)
        if pool is None or pool.settings != settings:
            pool = ConnectionPool(settings)
            self._pools[name] = pool
        return pool

    def _dispatcher(self, declared: Service) -> Dispatcher:
        return Dispatcher(declared, self._settings, self._ledger, self._ownership, self._picker)


def _target_request(work: Work, now_s: float) -> HttpRequest:
    headers = target_headers(
        work.headers, work.client_account, work.run_id, work.deadline_s - now_s
    )
    return HttpRequest(work.method, work.target_path, headers, work.body)


def _ending(outcome: Outcome, service_s: float, is_silent: bool) -> ExecutionResult:
    match outcome:
        case Answered():
            return Completed(service_s)
        case NotRun():
            return Failed()
        case Unknown():
            return Lost(target_answers=is_silent)


def _failed_outcome(error: ExchangeError) -> Outcome:
    match error.phase:
        case ExchangePhase.CONNECT | ExchangePhase.UNSENT:
            return NotRun(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER_S)
        case ExchangePhase.SENT:
            reason = RefusalReason.DEADLINE if error.timed_out else RefusalReason.TARGET_LOST
            return Unknown(reason)
        case ExchangePhase.INCOMPLETE:
            return Unknown(RefusalReason.ANSWER_INCOMPLETE)
