"""Bounded, deadline-aware queue in front of the targets of one service."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from siskinward.coordination.admission._fair_queue import Entry
from siskinward.coordination.admission._fair_queue import FairQueue
from siskinward.coordination.admission._service_time_estimate import ServiceTimeEstimate
from siskinward.coordination.admission.decisions import Admitted
from siskinward.coordination.admission.decisions import PopResult
from siskinward.coordination.admission.decisions import Queued
from siskinward.coordination.admission.decisions import Refused
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.state.objects import ServiceClass

if TYPE_CHECKING:
    from siskinward.coordination.admission.decisions import Decision
    from siskinward.coordination.admission.settings import AdmissionSettings
    from siskinward.state.identifiers import AccountName
    from siskinward.state.objects import Service

CLASS_ORDER = (ServiceClass.ORDER, ServiceClass.READ, ServiceClass.BULK)


class ServiceQueue:
    """Runs up to ``capacity`` requests at once and queues the rest fairly across accounts.

    More important service classes are dispatched first, except for the minimum shares (floors) of
    the settings. A request that is not expected to finish by its deadline is refused when it is
    offered, or later as soon as this becomes clear. Reads are refused earlier, which keeps the
    latency of the served ones low.
    """

    def __init__(self, service: Service, settings: AdmissionSettings) -> None:
        self._limit = service.queue_limit
        self._settings = settings
        self._capacity = 0
        self._used_by_others = 0
        self._min_start_interval_s = 0.0
        self._running: set[int] = set()
        self._waiting: dict[int, Entry] = {}
        self._queues = {service_class: FairQueue() for service_class in CLASS_ORDER}
        self._floor_credits = {service_class: 0.0 for service_class in CLASS_ORDER}
        self._estimate = ServiceTimeEstimate(
            initial_s=settings.initial_service_s, smoothing=settings.service_smoothing
        )

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Requests that were admitted and have not finished."""
        return len(self._running)

    @property
    def service_s(self) -> float:
        """Mean of recent service times."""
        return self._estimate.mean_s

    def set_capacity(self, slots: int, *, free: int | None = None, rate_per_s: float = inf) -> None:
        """Set how many requests may run at once; running requests are not cancelled.

        Pass the number of ``free`` slots if requests of other queues occupy some of the slots, or
        if requests of this queue occupy slots that no longer count. ``rate_per_s`` limits the rate
        at which requests are expected to start, regardless of the number of slots.
        """
        self._capacity = slots
        self._min_start_interval_s = 1.0 / rate_per_s
        self._used_by_others = 0 if free is None else slots - free - len(self._running)

    def offer(
        self,
        request_id: int,
        account: AccountName,
        *,
        weight: float,
        service_class: ServiceClass,
        deadline_s: float,
        now_s: float,
    ) -> Decision:
        """Admit, queue or refuse a new request."""
        entry = Entry(request_id, account, weight, service_class, deadline_s, now_s)
        if now_s >= deadline_s:
            return self._refuse(entry, RefusalReason.DEADLINE, self._settings.min_retry_after_s)
        if self._capacity <= 0:
            return self._refuse(entry, RefusalReason.NO_TARGET, self.service_s)
        if not self._waiting and self._has_free_slot():
            self._enqueue(entry)
            return self._admit(self._dequeue(service_class), now_s)
        return self._enqueue_or_refuse(entry, now_s)

    def pop(self, now_s: float) -> PopResult:
        """Admit the next waiting request if a slot is free, refusing those that would be late."""
        refused: list[Refused] = []
        while self._waiting and self._has_free_slot():
            entry = self._dequeue(self._next_class())
            if now_s <= self._latest_start_s(entry):
                return PopResult(self._admit(entry, now_s), tuple(refused))
            self._queues[entry.service_class].refund(entry)
            refused.append(self._refuse(entry, RefusalReason.QUEUE_LATE, self._queue_drain_s()))
        return PopResult(None, tuple(refused))

    def expire(self, now_s: float) -> tuple[Refused, ...]:
        """Refuse the waiting requests that can no longer finish in time."""
        late = [entry for entry in self._waiting.values() if self._latest_start_s(entry) < now_s]
        for entry in late:
            self._drop(entry)
        drain_s = self._queue_drain_s()
        return tuple(self._refuse(entry, RefusalReason.QUEUE_LATE, drain_s) for entry in late)

    def cancel(self, request_id: int) -> bool:
        """Remove a waiting request whose caller disconnected; ``False`` if it is not waiting."""
        entry = self._waiting.get(request_id)
        if entry is None:
            return False
        self._drop(entry)
        return True

    def on_finished(self, request_id: int, *, service_s: float | None = None) -> bool:
        """Free the slot of an admitted request; ``False`` if it is not running, or no longer.

        Omit ``service_s`` if the request did not complete normally.
        """
        if request_id not in self._running:
            return False
        self._running.remove(request_id)
        if service_s is not None:
            self._estimate.observe(service_s)
        return True

    @property
    def _dispatch_interval_s(self) -> float:
        """Expected time between two dispatches while requests are waiting."""
        return max(self.service_s / max(1, self._capacity), self._min_start_interval_s)

    def _has_free_slot(self) -> bool:
        return len(self._running) + self._used_by_others < self._capacity

    def _enqueue_or_refuse(self, entry: Entry, now_s: float) -> Decision:
        wait_s = (self._count_ahead(entry) + 1) * self._dispatch_interval_s
        late_s = now_s + wait_s - self._latest_start_s(entry)
        if late_s > 0:
            return self._refuse(entry, RefusalReason.QUEUE_LATE, late_s)
        evicted = None
        if len(self._waiting) >= self._limit:
            candidate = self._entry_to_evict(entry)
            if candidate is None:
                return self._refuse(entry, RefusalReason.QUEUE_FULL, self._queue_drain_s())
            self._drop(candidate)
            evicted = self._refuse(candidate, RefusalReason.QUEUE_FULL, self._queue_drain_s())
        self._enqueue(entry)
        return Queued(entry.request_id, wait_s, evicted)

    def _latest_start_s(self, entry: Entry) -> float:
        """Return when a request must start at the latest; reads may use only part of their time."""
        latest_s = entry.deadline_s - self._estimate.conservative_s
        if entry.service_class is not ServiceClass.READ:
            return latest_s
        left_s = entry.deadline_s - entry.queued_at_s
        return min(latest_s, entry.queued_at_s + left_s * self._settings.read_wait_share)

    def _count_ahead(self, entry: Entry) -> float:
        """Return how many waiting requests are dispatched before a new one, considering floors."""
        ahead_in_class = self._queues[entry.service_class].count_ahead(entry.account)
        more_important = CLASS_ORDER[: CLASS_ORDER.index(entry.service_class)]
        ahead = ahead_in_class + sum(len(self._queues[other]) for other in more_important)
        floor = self._floor_share(entry.service_class)
        if floor <= 0:
            return ahead
        return min(ahead, (ahead_in_class + 1) / floor)

    def _entry_to_evict(self, entry: Entry) -> Entry | None:
        """Return the waiting request to evict from a full queue to make room for ``entry``."""
        for service_class in reversed(CLASS_ORDER):
            candidate = self._queues[service_class].newest_of_longest_backlog()
            if service_class is entry.service_class:
                return candidate if self._has_longer_backlog(candidate, entry) else None
            if candidate is not None:
                return candidate
        return None

    def _has_longer_backlog(self, candidate: Entry | None, entry: Entry) -> bool:
        if candidate is None:
            return False
        queue = self._queues[entry.service_class]
        backlog = queue.normalised_backlog(entry.account) + 1.0 / entry.weight
        return queue.normalised_backlog(candidate.account) > backlog

    def _next_class(self) -> ServiceClass:
        """Return the most important waiting class, unless a lower one is due by its floor."""
        waiting = [name for name in CLASS_ORDER if len(self._queues[name])]
        for service_class in reversed(waiting[1:]):
            self._floor_credits[service_class] += self._floor_share(service_class)
        for service_class in reversed(waiting[1:]):
            if self._floor_credits[service_class] >= 1.0:
                self._floor_credits[service_class] -= 1.0
                return service_class
        return waiting[0]

    def _floor_share(self, service_class: ServiceClass) -> float:
        match service_class:
            case ServiceClass.ORDER:
                return 0.0
            case ServiceClass.READ:
                return self._settings.read_floor_share
            case ServiceClass.BULK:
                return self._settings.bulk_floor_share

    def _queue_drain_s(self) -> float:
        return len(self._waiting) * self._dispatch_interval_s

    def _enqueue(self, entry: Entry) -> None:
        self._waiting[entry.request_id] = entry
        self._queues[entry.service_class].push(entry)

    def _dequeue(self, service_class: ServiceClass) -> Entry:
        entry = self._queues[service_class].pop()
        assert entry is not None
        del self._waiting[entry.request_id]
        return entry

    def _drop(self, entry: Entry) -> None:
        del self._waiting[entry.request_id]
        self._queues[entry.service_class].remove(entry)

    def _admit(self, entry: Entry, now_s: float) -> Admitted:
        self._running.add(entry.request_id)
        return Admitted(entry.request_id, entry.account, now_s - entry.queued_at_s)

    def _refuse(self, entry: Entry, reason: RefusalReason, retry_after_s: float) -> Refused:
        after_s = max(retry_after_s, self._settings.min_retry_after_s)
        return Refused(entry.request_id, entry.account, NotRun(reason, after_s))
