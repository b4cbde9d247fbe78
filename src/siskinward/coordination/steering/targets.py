"""What is known of each target: its record, this VM's requests at it, and how they went."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import TargetName
from siskinward.state.serving import TargetRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import ServiceName


@frozen
class TargetSettings:
    """How targets are trusted.

    ``lapse_s`` keeps a target whose entry went missing while the store was away.
    """

    lapse_s: float = 2.3
    suspend_s: float = 0.5
    max_suspend_s: float = 2.0
    error_smoothing: float = 0.2
    latency_smoothing: float = 0.2


@define(eq=False)
class Target:
    """One target as seen by this VM."""

    record: TargetRecord
    region: RegionName
    cold_until_s: float = -inf
    suspended_until_s: float = -inf
    failures: int = 0
    error_share: float = 0.0
    took_s: float | None = None
    in_flight: int = 0
    in_flight_elsewhere: int = 0
    lapses_at_s: float = inf
    needs_probe: bool = False

    @property
    def name(self) -> TargetName:
        """Name of this start of the target."""
        return self.record.name

    def is_cold(self, now_s: float) -> bool:
        """Whether it bears only the warm-up rate."""
        return now_s < self.cold_until_s

    def is_usable(self, now_s: float) -> bool:
        """Whether requests may be sent to it at all."""
        return self.record.is_ready and now_s >= self.suspended_until_s and now_s < self.lapses_at_s

    def state_name(self, now_s: float) -> str:
        """State in one word, for logs and metrics."""
        if not self.record.is_ready:
            return "draining"
        if not self.is_usable(now_s):
            return "unreachable"
        return "cold" if self.is_cold(now_s) else "usable"

    @property
    def load(self) -> int:
        """Requests at the target, from all VMs, as far as known."""
        return self.in_flight + self.in_flight_elsewhere

    def record_reported_load(self, requests: int) -> None:
        """Take in the count that the target states in an answer, this VM's requests included."""
        self.in_flight_elsewhere = max(0, requests - self.in_flight)


class TargetTable:
    """All targets, by name and by service.

    ``revision`` changes with what targets say of themselves and with evacuations.
    """

    def __init__(
        self, settings: TargetSettings, domain_regions: dict[DomainName, RegionName]
    ) -> None:
        self._settings = settings
        self._domain_regions = domain_regions
        self._targets: dict[TargetName, Target] = {}
        self._by_service: dict[ServiceName, dict[TargetName, Target]] = {}
        self._evacuated: dict[DomainName, float] = {}
        self._warmups_s: dict[ServiceName, float] = {}
        self.revision = 0

    def get(self, name: TargetName) -> Target | None:
        """Return a target by its name."""
        return self._targets.get(name)

    def all(self) -> Iterable[Target]:
        """Every known target."""
        return self._targets.values()

    def of_service(self, service: ServiceName) -> Iterable[Target]:
        """The known targets of a service."""
        return self._by_service.get(service, {}).values()

    def usable(self, service: ServiceName, now_s: float) -> list[Target]:
        """The targets of a service that requests may be sent to."""
        return [
            target
            for target in self.of_service(service)
            if target.is_usable(now_s) and target.record.failure_domain not in self._evacuated
        ]

    def slots_by_region(self, service: ServiceName) -> dict[RegionName, int]:
        """Slots of a service's ready targets, those left alone for a moment included."""
        slots: dict[RegionName, int] = {}
        for target in self.of_service(service):
            record = target.record
            if record.is_ready and record.failure_domain not in self._evacuated:
                slots[target.region] = slots.get(target.region, 0) + record.slots
        return slots

    def put(self, record: TargetRecord, now_s: float) -> None:
        """Take in what a target says of itself."""
        self.revision += 1
        known = self._targets.get(record.name)
        cold_until_s = now_s + record.warmup_left_s if record.warmup_left_s > 0 else -inf
        if known is not None and known.record.started_ms == record.started_ms:
            known.record = record
            known.cold_until_s = cold_until_s
            known.lapses_at_s = inf
            return
        self.remove(record.name)
        region = self._domain_regions.get(record.failure_domain)
        if region is None:
            return
        target = Target(record, region, cold_until_s)
        self._targets[record.name] = target
        self._by_service.setdefault(record.service, {})[record.name] = target

    def remove(self, name: TargetName) -> None:
        """Drop a target that has left."""
        self.revision += 1
        target = self._targets.pop(name, None)
        if target is not None:
            del self._by_service[target.record.service][name]

    def remove_by_key(self, key: str) -> None:
        """Drop the target of an entry that is gone or can't be read."""
        self.remove(TargetName(key))

    def schedule_expiry(self, key: str, now_s: float) -> None:
        """Note that an entry went missing while the store was away; it may come back."""
        target = self._targets.get(TargetName(key))
        if target is not None:
            target.lapses_at_s = min(target.lapses_at_s, now_s + self._settings.lapse_s)

    def remove_expired(self, now_s: float) -> None:
        """Drop the targets whose entries have not come back."""
        for target in list(self._targets.values()):
            if now_s >= target.lapses_at_s:
                self.remove(target.name)

    def set_warmups(self, warmups_s: dict[ServiceName, float]) -> None:
        """Set how long targets of each service stay cold."""
        self._warmups_s = warmups_s

    def set_evacuated(self, domains: Iterable[DomainName], now_s: float) -> None:
        """Set the failure domains whose targets get nothing; returning ones may be cold."""
        self.revision += 1
        evacuated = set(domains)
        returned = set(self._evacuated) - evacuated
        self._evacuated = {domain: self._evacuated.get(domain, now_s) for domain in evacuated}
        for target in self._targets.values():
            if target.record.failure_domain in returned:
                warmup_s = self._warmups_s.get(target.record.service, 0.0)
                target.cold_until_s = max(target.cold_until_s, now_s + warmup_s)

    def on_answer(self, target: Target, took_s: float) -> None:
        """Note a request that the target ran to its end."""
        target.failures = 0
        target.error_share *= 1.0 - self._settings.error_smoothing
        previous_s = took_s if target.took_s is None else target.took_s
        target.took_s = previous_s + self._settings.latency_smoothing * (took_s - previous_s)

    def on_error(self, target: Target) -> None:
        """Note a request that the target failed or turned away."""
        smoothing = self._settings.error_smoothing
        target.error_share += smoothing * (1.0 - target.error_share)

    def on_unreachable(self, target: Target, now_s: float) -> None:
        """Note that no connection could be opened.

        The target is left alone for a while, and then probed: it may have started again, cold.
        """
        self.on_error(target)
        target.needs_probe = True
        if now_s < target.suspended_until_s:
            return
        pause_s = self._settings.suspend_s * 2.0**target.failures
        target.suspended_until_s = now_s + min(pause_s, self._settings.max_suspend_s)
        target.failures += 1

    def due_for_probe(self, now_s: float) -> list[Target]:
        """The targets whose pause is over and that have to prove that they can be reached."""
        return [
            target
            for target in self._targets.values()
            if target.needs_probe and now_s >= target.suspended_until_s
        ]

    def on_reached(self, target: Target, warmup_left_s: float, now_s: float) -> None:
        """Note that a probe reached the target, which said how long it stays cold."""
        target.needs_probe = False
        target.failures = 0
        target.error_share = 0.0
        target.cold_until_s = now_s + warmup_left_s if warmup_left_s > 0 else -inf
