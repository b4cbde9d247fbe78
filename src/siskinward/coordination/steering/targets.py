"""The known targets: their records, load, error rates and reachability as seen by this VM."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.coordination.steering.hashing import short_id
from siskinward.coordination.steering.leaving_targets import LeavingTargets
from siskinward.coordination.steering.row import ENTRY_RETURN_S
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import TargetName
from siskinward.state.serving import TargetRecord

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import ServiceName

LEAVING_STATE = "leaving"


@frozen
class TargetSettings:
    """Suspension of unreachable targets, and smoothing of their error rates.

    A target is suspended for ``min_suspend_s`` after the first failed connection, twice as long
    after each further one, up to ``max_suspend_s``. A target whose entry went missing while the
    store was unavailable is kept for ``missing_entry_grace_s``. A target whose entry is gone or
    can't be read is remembered for ``remembered_s``: if the entry of the same start returns, it is
    the same target, with the requests that it runs and what it has stated.
    """

    missing_entry_grace_s: float = ENTRY_RETURN_S
    min_suspend_s: float = 0.5
    max_suspend_s: float = 2.0
    error_smoothing: float = 0.2
    remembered_s: float = 60.0


@frozen
class WarmupReport:
    """A warm-up time that a target, named by its ``short_id``, stated to a VM's probe."""

    target_id: int
    left_s: float


@define(eq=False)
class Target:
    """One target as seen by this VM.

    ``probed_cold_until_s`` is the end of the warm-up time that it stated to a probe of this VM.

    ``in_flight`` counts this VM's requests at the target, ``in_flight_elsewhere`` those of other
    VMs. ``error_share`` is an exponential moving average between 0 and 1.

    A target that could not be connected to, and never ``was_reached`` before, may not exist at all:
    another writer's entry may name any address. It gets no request until a probe reaches it.

    A target that ``is_leaving`` gets nothing new. One of which that ``is_leaving_doubted`` gets
    requests that no other can serve. ``has_told_leaving`` says that this VM heard it itself.

    A target that asked this VM for a rest gets nothing from it until ``rests_until_s``, and then
    one request at a time until it answers one: it ``is_returning``.
    """

    record: TargetRecord
    region: RegionName
    cold_until_s: float = -inf
    cold_since_s: float = -inf
    probed_cold_until_s: float = -inf
    suspended_until_s: float = -inf
    connect_failures: int = 0
    error_share: float = 0.0
    in_flight: int = 0
    in_flight_elsewhere: int = 0
    expires_at_s: float = inf
    needs_probe: bool = False
    was_reached: bool = False
    is_leaving: bool = False
    is_leaving_doubted: bool = False
    has_told_leaving: bool = False
    rests_until_s: float = -inf
    is_returning: bool = False

    @property
    def name(self) -> TargetName:
        """Name of the target."""
        return self.record.name

    @property
    def start_id(self) -> int:
        """Short id of this start of the target; all VMs agree on it."""
        return short_id(f"{self.record.name}/{self.record.started_ms}")

    def set_cold(self, until_s: float, now_s: float) -> None:
        """Limit the target to its warm-up rate until a time; it has lost its cache."""
        if not self.is_cold(now_s) and until_s > now_s:
            self.cold_since_s = now_s
        self.cold_until_s = until_s

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target is limited to its warm-up rate."""
        return now_s < self.cold_until_s

    def is_resting(self, now_s: float) -> bool:
        """Return whether the target wants nothing from this VM for now."""
        return now_s < self.rests_until_s

    def is_withheld(self, now_s: float) -> bool:
        """Return whether the target itself has said that it wants nothing, now or any more."""
        return self.is_leaving or self.is_resting(now_s)

    def is_usable(self, now_s: float) -> bool:
        """Return whether the target is ready, stays, and is not suspended, resting or expired."""
        if self.needs_probe and not self.was_reached:
            return False
        if self.is_leaving or now_s < self.rests_until_s:
            return False
        return (
            self.record.is_ready and now_s >= self.suspended_until_s and now_s < self.expires_at_s
        )

    def state_name(self, now_s: float) -> str:
        """Return the state in one word, for logs and metrics."""
        if self.is_leaving:
            return LEAVING_STATE
        if not self.record.is_ready:
            return "draining"
        if self.is_resting(now_s):
            return "resting"
        if not self.is_usable(now_s):
            return "unreachable"
        return "cold" if self.is_cold(now_s) else "usable"

    @property
    def load(self) -> int:
        """Requests in flight at the target from all VMs, as last reported."""
        return self.in_flight + self.in_flight_elsewhere

    def record_reported_load(self, requests: int) -> None:
        """Record the requests that the target reports in an answer, this VM's included."""
        self.in_flight_elsewhere = max(0, requests - self.in_flight)


class TargetTable:
    """All known targets, by name and by service.

    ``revision`` grows when a target's record is stored or removed, when one leaves, and when
    evacuations are set.
    """

    def __init__(
        self, settings: TargetSettings, domain_regions: dict[DomainName, RegionName]
    ) -> None:
        self._settings = settings
        self._domain_regions = domain_regions
        self._targets: dict[TargetName, Target] = {}
        self._by_service: dict[ServiceName, dict[TargetName, Target]] = {}
        self._remembered: dict[TargetName, Target] = {}
        self._remembered_since_s: dict[TargetName, float] = {}
        self._evacuated: dict[DomainName, float] = {}
        self._warmups_s: dict[ServiceName, float] = {}
        self._leaving = LeavingTargets()
        self._ended_leaving: list[TargetName] = []
        self._resting: dict[TargetName, Target] = {}
        self.revision = 0

    def get(self, name: TargetName) -> Target | None:
        """Return a target by its name."""
        return self._targets.get(name)

    def all(self) -> Iterable[Target]:
        """Return all known targets."""
        return self._targets.values()

    def of_service(self, service: ServiceName) -> Iterable[Target]:
        """Return the known targets of a service."""
        return self._by_service.get(service, {}).values()

    def usable(self, service: ServiceName, now_s: float) -> list[Target]:
        """Return the usable targets of a service outside evacuated failure domains."""
        return [
            target
            for target in self.of_service(service)
            if target.is_usable(now_s) and self._is_offered(target)
        ]

    def accepts_requests(self, target: Target) -> bool:
        """Return whether a target stays, is ready and outside evacuated failure domains."""
        return not target.is_leaving and self._is_offered(target)

    def _is_offered(self, target: Target) -> bool:
        """Return whether a target's entry and the operator offer it, whatever it says itself."""
        record = target.record
        return record.is_ready and record.failure_domain not in self._evacuated

    def first_rest_end_s(self, targets: Collection[Target], now_s: float) -> float | None:
        """Return when the first of the targets' rests ends; None if any that is used has none."""
        offered = [target for target in targets if self.accepts_requests(target)]
        if not offered or not all(target.is_resting(now_s) for target in offered):
            return None
        return min(target.rests_until_s for target in offered)

    def are_leaving(self, targets: Collection[Target]) -> bool:
        """Return whether targets leave that would be used, and no other would be."""
        offered = [target for target in targets if self._is_offered(target)]
        return bool(offered) and all(target.is_leaving for target in offered)

    def slots_by_region(self, service: ServiceName) -> dict[RegionName, int]:
        """Return the slots of a service's ready targets by region, suspended targets included."""
        slots: dict[RegionName, int] = {}
        for target in self.of_service(service):
            if self.accepts_requests(target):
                slots[target.region] = slots.get(target.region, 0) + target.record.slots
        return slots

    def put(self, record: TargetRecord, now_s: float) -> None:
        """Add or update a target from its record.

        A target with another start time replaces the one of that name. A target whose failure
        domain belongs to no region is ignored.
        """
        self.revision += 1
        region = self._domain_regions.get(record.failure_domain)
        known = self._find_same_start(record)
        if region is None:
            self.remove(record.name)
            return
        target = known or Target(record, region)
        self._place(target, record)
        target.record = record
        target.region = region
        target.expires_at_s = inf
        target.is_leaving = target.is_leaving or self._is_marked(target)
        cold_until_s = now_s + record.warmup_left_s if record.warmup_left_s > 0 else -inf
        # The row may have been written before the target stated its warm-up time to the probe.
        target.set_cold(max(cold_until_s, target.probed_cold_until_s), now_s)

    def _find_same_start(self, record: TargetRecord) -> Target | None:
        """Return the known or remembered target of a record's name and start."""
        for targets in (self._targets, self._remembered):
            target = targets.get(record.name)
            if target is not None and target.record.started_ms == record.started_ms:
                return target
        return None

    def _place(self, target: Target, record: TargetRecord) -> None:
        """Let a target stand under the name and service of its new record."""
        placed = self._targets.get(record.name)
        if placed is not target or target.record.service != record.service:
            self.remove(record.name)
            self._targets[record.name] = target
            self._by_service.setdefault(record.service, {})[record.name] = target
        self._remembered.pop(record.name, None)
        self._remembered_since_s.pop(record.name, None)

    def remove(self, name: TargetName) -> None:
        """Remove a target, if it is known, and remember it for a while."""
        target = self._targets.pop(name, None)
        if target is not None:
            self.revision += 1
            del self._by_service[target.record.service][name]
            self._remembered[name] = target
            if target.is_leaving:
                self._ended_leaving.append(name)

    def names(self) -> Iterable[TargetName]:
        """Return the names of all known targets, and of those that are remembered."""
        return (*self._targets, *self._remembered)

    def remove_by_key(self, key: str) -> None:
        """Remove the target whose entry was deleted or can't be decoded."""
        self.remove(TargetName(key))

    def schedule_expiry(self, key: str, store_recovered_s: float) -> None:
        """Let a target expire if its entry, lost in a store outage, does not return in time.

        The time to return counts from the store's recovery, whenever its loss is noticed.
        """
        target = self._targets.get(TargetName(key))
        if target is not None:
            target.expires_at_s = min(
                target.expires_at_s, store_recovered_s + self._settings.missing_entry_grace_s
            )

    def remove_expired(self, now_s: float) -> None:
        """Remove the targets whose entries did not return in time, and forget those long gone."""
        for target in list(self._targets.values()):
            if now_s >= target.expires_at_s:
                self.remove(target.name)
        for name in list(self._remembered):
            since_s = self._remembered_since_s.setdefault(name, now_s)
            if now_s - since_s >= self._settings.remembered_s:
                del self._remembered[name]
                del self._remembered_since_s[name]

        if self._leaving:
            self._leaving.retain([target.start_id for target in self._targets.values()], now_s)

    def record_rest(self, target: Target, for_s: float, now_s: float) -> bool:
        """Record that a target wants nothing from this VM for a time; return whether it begins."""
        is_new = not target.is_resting(now_s)
        target.rests_until_s = max(target.rests_until_s, now_s + for_s)
        target.is_returning = True
        self._resting[target.name] = target
        return is_new

    def take_ended_rests(self, now_s: float) -> list[TargetName]:
        """Return the targets whose rests have ended since the last call."""
        ended = [name for name, item in self._resting.items() if not item.is_resting(now_s)]
        for name in ended:
            del self._resting[name]
        return ended

    def record_leaving(self, target: Target, now_s: float) -> bool:
        """Record that a target itself says that it leaves; return whether that is news."""
        target.has_told_leaving = True
        self._leaving.add(target.start_id, now_s)
        return self._mark_leaving(target)

    def apply_leaving(self, start_ids: Collection[int], now_s: float) -> list[TargetName]:
        """Record the starts that told another VM that they leave; return the targets it marks."""
        if not any([self._leaving.add(start_id, now_s) for start_id in start_ids]):
            return []
        targets = (*self._targets.values(), *self._remembered.values())
        return [
            target.name
            for target in targets
            if target.start_id in self._leaving and self._mark_leaving(target)
        ]

    def own_leaving(self) -> tuple[int, ...]:
        """Return the starts of known targets that told this VM that they leave."""
        return tuple(
            target.start_id for target in self._targets.values() if target.has_told_leaving
        )

    def take_ended_leaving(self) -> list[TargetName]:
        """Return the leaving targets that were removed or started again since the last call."""
        ended, self._ended_leaving = self._ended_leaving, []
        return ended

    def _is_marked(self, target: Target) -> bool:
        return bool(self._leaving) and target.start_id in self._leaving

    def _mark_leaving(self, target: Target) -> bool:
        if target.is_leaving:
            return False
        target.is_leaving = True
        self.revision += 1
        return True

    def set_warmups(self, warmups_s: dict[ServiceName, float]) -> None:
        """Set the warm-up time of each service's targets."""
        self._warmups_s = warmups_s

    def set_evacuated(self, domains: Iterable[DomainName], now_s: float) -> None:
        """Set the failure domains whose targets receive no requests.

        Targets of a domain that is no longer evacuated may be cold: they are limited to the warm-up
        rate for the warm-up time of their service.
        """
        self.revision += 1
        evacuated = set(domains)
        returned = set(self._evacuated) - evacuated
        self._evacuated = {domain: self._evacuated.get(domain, now_s) for domain in evacuated}
        for target in self._targets.values():
            if target.record.failure_domain in returned:
                warmup_s = self._warmups_s.get(target.record.service, 0.0)
                target.set_cold(max(target.cold_until_s, now_s + warmup_s), now_s)

    def on_answer(self, target: Target) -> None:
        """Record a request that the target completed."""
        target.is_returning = False
        target.was_reached = True
        target.connect_failures = 0
        target.error_share *= 1.0 - self._settings.error_smoothing

    def on_error(self, target: Target) -> None:
        """Record a request that the target failed or rejected, or that did not reach it."""
        smoothing = self._settings.error_smoothing
        target.error_share += smoothing * (1.0 - target.error_share)

    def on_unreachable(self, target: Target, now_s: float) -> None:
        """Record a failed connection.

        The target is suspended for a while and then probed, since it may have restarted and be
        cold.
        """
        self.on_error(target)
        target.needs_probe = True
        if now_s < target.suspended_until_s:
            return
        pause_s = self._settings.min_suspend_s * 2.0**target.connect_failures
        target.suspended_until_s = now_s + min(pause_s, self._settings.max_suspend_s)
        target.connect_failures += 1

    def due_for_probe(self, now_s: float) -> list[Target]:
        """Return the targets that need a probe and whose suspension is over."""
        return [
            target
            for target in self._targets.values()
            if target.needs_probe
            and now_s >= target.suspended_until_s
            and not target.is_withheld(now_s)
        ]

    def on_reached(
        self, target: Target, warmup_left_s: float, now_s: float, *, is_stated: bool
    ) -> None:
        """Record a probe that reached a target, and its remaining warm-up time.

        Only a time that the target itself stated, ``is_stated``, is reported to the other VMs.
        """
        target.needs_probe = False
        target.was_reached = True
        target.connect_failures = 0
        target.error_share = 0.0
        cold_until_s = now_s + warmup_left_s if warmup_left_s > 0 else -inf
        target.probed_cold_until_s = cold_until_s if is_stated else -inf
        target.set_cold(cold_until_s, now_s)

    def own_warmups(self, now_s: float) -> tuple[WarmupReport, ...]:
        """Return the warm-up times that targets stated to probes of this VM."""
        return tuple(
            WarmupReport(short_id(target.name), target.probed_cold_until_s - now_s)
            for target in self._targets.values()
            if now_s < target.probed_cold_until_s
        )

    def apply_warmups(self, reports: Collection[WarmupReport], now_s: float) -> None:
        """Record the warm-up times that targets stated to another VM."""
        if not reports:
            return
        cold_until_s = {report.target_id: now_s + report.left_s for report in reports}
        for target in (*self._targets.values(), *self._remembered.values()):
            until_s = cold_until_s.get(short_id(target.name), -inf)
            if until_s > target.cold_until_s:
                target.set_cold(until_s, now_s)
