"""Selection of the failure domain and VM that runs a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.routing._load_view import LoadView
from siskinward.coordination.routing.link_budget import LinkBudgets
from siskinward.coordination.routing.subset import peer_subset
from siskinward.coordination.topology import domain_latencies_s
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random

    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.routing.messages import DomainLoad
    from siskinward.coordination.routing.messages import OwnerLoad
    from siskinward.coordination.routing.messages import ServiceLoad
    from siskinward.coordination.routing.settings import RoutingSettings
    from siskinward.state.objects import Configuration

PEERS_PER_DOMAIN = 2
PEER_SUBSET_CACHE_SIZE = 256


@frozen(cache_hash=True)
class Destination:
    """Where a service runs: an owner VM in the own failure domain, or another failure domain."""

    failure_domain: DomainName
    service: ServiceName
    owner: VmName | None


@frozen
class Choice:
    """The VM to send a request to, with the predicted time and the bytes charged for it."""

    destination: Destination
    vm: VmName
    region: RegionName
    predicted_s: float
    charged_bytes: int


class Router:
    """Rank destinations by network latency, expected wait and service time.

    Own outstanding requests are counted exactly, before a report includes them. Owners in the own
    failure domain and a random sample of the other domains are compared, so that many VMs with
    the same reports do not all choose the same destination.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        own: VmIdentity,
        configuration: Configuration,
        random: Random,
    ) -> None:
        self._settings = settings
        self._own = own
        self._random = random
        self._configuration = configuration
        self._own_region = configuration.failure_domains[own.failure_domain].region
        self._links = LinkBudgets(settings, configuration, self._own_region)
        self._latencies_s = domain_latencies_s(configuration, self._own.failure_domain)
        self._views: dict[Destination, LoadView] = {}
        self._destinations: dict[ServiceName, list[Destination]] = {}
        self._vms: dict[DomainName, tuple[VmName, ...]] = {}
        self._peer_subsets: dict[tuple[VmName, ...], tuple[VmName, ...]] = {}
        self._answer_bytes: dict[ServiceName, float] = {}
        self._closed_domains: frozenset[DomainName] = frozenset()
        self._leaving_vms: frozenset[VmName] = frozenset()

    def on_configuration(self, configuration: Configuration, now_s: float) -> None:
        """Apply a new configuration and remove destinations in domains that it lacks."""
        self._configuration = configuration
        self._links.set_configuration(configuration, now_s=now_s)
        self._latencies_s = domain_latencies_s(configuration, self._own.failure_domain)
        domains = configuration.failure_domains
        self._remove([known for known in self._views if known.failure_domain not in domains])

    def on_timer(self, now_s: float) -> None:
        """Remove destinations without recent reports, such as VMs that were replaced."""
        self._remove(
            [
                destination
                for destination, view in self._views.items()
                if not view.has_recent_report(now_s) and view.outstanding == 0
            ]
        )

    def set_closed(self, *, domains: Iterable[DomainName], leaving_vms: Iterable[VmName]) -> None:
        """Set the drained or unreachable domains and the leaving VMs that get no new requests."""
        self._closed_domains = frozenset(domains)
        self._leaving_vms = frozenset(leaving_vms)

    def on_owner_load(self, report: OwnerLoad, sender: VmIdentity, now_s: float) -> None:
        """Record the load of an owner in the own failure domain, including this VM."""
        if sender.failure_domain != self._own.failure_domain:
            return
        for load in report.loads:
            destination = Destination(sender.failure_domain, load.service, sender.vm)
            self._on_load(destination, load, report.sequence, now_s)

    def on_domain_load(self, report: DomainLoad, now_s: float) -> None:
        """Record the load of another failure domain."""
        domain = report.failure_domain
        if domain == self._own.failure_domain:
            return
        self._vms[domain] = report.vms
        for load in report.loads:
            self._on_load(Destination(domain, load.service, None), load, report.sequence, now_s)

    def on_traffic_moved(self, domain: DomainName, now_s: float) -> None:
        """Restart the ramp of a failure domain to which a planned shift moves traffic."""
        for destination, view in self._views.items():
            if destination.failure_domain == domain:
                view.restart_ramp(now_s)

    def choose(
        self,
        service: ServiceName,
        *,
        request_bytes: int,
        excluded: Collection[VmName],
        now_s: float,
        within_domain: bool = False,
    ) -> Choice | RefusalReason:
        """Choose where a request runs, or return why it cannot; ``excluded`` VMs failed it before.

        ``within_domain`` excludes other failure domains, for a request forwarded from one.
        """
        candidates = self._candidates(service, excluded, now_s)
        if within_domain:
            candidates = [one for one in candidates if one.owner is not None]
        if not candidates:
            return RefusalReason.NO_TARGET
        answer_bytes = self._answer_bytes.get(service, self._settings.initial_answer_bytes)
        size_bytes = request_bytes + int(answer_bytes)
        sendable = [one for one in candidates if self._fits_link(one, size_bytes, now_s)]
        if not sendable:
            return RefusalReason.LINK_BUDGET
        available = [one for one in sendable if not self._views[one].is_backing_off(now_s)]
        ranks = {one: self._compute_rank(one, now_s) for one in available or sendable}
        destination = min(ranks, key=lambda one: ranks[one])
        return Choice(
            destination=destination,
            vm=self._select_vm(destination, excluded),
            region=self._region_of(destination.failure_domain),
            predicted_s=ranks[destination][0],
            charged_bytes=size_bytes,
        )

    def on_sent(self, choice: Choice, now_s: float) -> None:
        """Record that the request was sent to the chosen VM."""
        self._views[choice.destination].outstanding += 1
        self._links.spend(choice.region, size_bytes=choice.charged_bytes, now_s=now_s)

    def on_answer(
        self,
        choice: Choice,
        *,
        took_s: float,
        service_s: float,
        size_bytes: int,
        load: ServiceLoad | None,
        now_s: float,
    ) -> None:
        """Record an answer: total time, the target's service time, and bytes in both directions.

        ``load`` is the load of the service in the answering VM's failure domain, if known.
        """
        view = self._views.get(choice.destination)
        if view is None:
            return
        view.outstanding = max(0, view.outstanding - 1)
        if load is not None:
            view.on_load(load, now_s=now_s)
        network_s = 2.0 * self._latencies_s[choice.destination.failure_domain]
        view.on_answer(
            took_s=took_s,
            predicted_s=choice.predicted_s,
            wait_s=max(0.0, took_s - service_s - network_s),
            now_s=now_s,
        )
        unexpected_bytes = size_bytes - choice.charged_bytes
        self._links.spend(choice.region, size_bytes=unexpected_bytes, now_s=now_s)
        service = choice.destination.service
        known = self._answer_bytes.get(service, self._settings.initial_answer_bytes)
        self._answer_bytes[service] = known + self._settings.smoothing * (size_bytes - known)

    def on_refusal(
        self, choice: Choice, *, retry_after_s: float, load: ServiceLoad | None, now_s: float
    ) -> None:
        """Record that the chosen VM refused the request."""
        view = self._views.get(choice.destination)
        if view is None:
            return
        view.outstanding = max(0, view.outstanding - 1)
        if load is not None:
            view.on_load(load, now_s=now_s)
        view.on_refusal(retry_after_s=retry_after_s, now_s=now_s)

    def on_abandoned(self, choice: Choice) -> None:
        """Record that the request was abandoned; this says nothing about the destination."""
        view = self._views.get(choice.destination)
        if view is not None:
            view.outstanding = max(0, view.outstanding - 1)

    def on_lost(self, choice: Choice, now_s: float) -> None:
        """Record that the stream to the chosen VM broke, or that the VM timed out."""
        backoff_s = self._settings.max_backoff_s
        self.on_refusal(choice, retry_after_s=backoff_s, load=None, now_s=now_s)

    def _remove(self, destinations: Iterable[Destination]) -> None:
        for destination in destinations:
            del self._views[destination]
            self._destinations[destination.service].remove(destination)

    def _on_load(
        self, destination: Destination, load: ServiceLoad, sequence: int, now_s: float
    ) -> None:
        view = self._views.get(destination)
        if view is None:
            view = self._views[destination] = LoadView(self._settings, now_s)
            self._destinations.setdefault(destination.service, []).append(destination)
        view.on_report(load, sequence=sequence, now_s=now_s)

    def _candidates(
        self, service: ServiceName, excluded: Collection[VmName], now_s: float
    ) -> list[Destination]:
        owners: list[Destination] = []
        others: list[Destination] = []
        for destination in self._destinations.get(service, ()):
            if destination.failure_domain in self._closed_domains:
                continue
            if not self._views[destination].has_recent_report(now_s):
                continue
            if not self._open_vms(destination, excluded):
                continue
            (others if destination.owner is None else owners).append(destination)
        return owners + self._sample(others)

    def _sample(self, destinations: list[Destination]) -> list[Destination]:
        """Return a random sample without repetition, weighted by slots."""
        keyed = [
            (self._random.random() ** (1.0 / self._views[destination].slots), number)
            for number, destination in enumerate(destinations)
        ]
        keyed.sort(reverse=True)
        return [destinations[number] for _, number in keyed[: self._settings.sampled_domains]]

    def _open_vms(self, destination: Destination, excluded: Collection[VmName]) -> list[VmName]:
        vms = (
            self._vms.get(destination.failure_domain, ())
            if destination.owner is None
            else (destination.owner,)
        )
        return [vm for vm in vms if vm not in excluded and vm not in self._leaving_vms]

    def _fits_link(self, destination: Destination, size_bytes: int, now_s: float) -> bool:
        region = self._region_of(destination.failure_domain)
        return self._links.may_send(region, size_bytes=size_bytes, now_s=now_s)

    def _compute_rank(self, destination: Destination, now_s: float) -> tuple[float, float]:
        view = self._views[destination]
        network_s = 0.0
        if destination.owner != self._own.vm:
            network_s = 2.0 * self._latencies_s[destination.failure_domain]
        estimate = view.estimate(now_s)
        return network_s + estimate.wait_s + view.service_s, estimate.utilisation

    def _select_vm(self, destination: Destination, excluded: Collection[VmName]) -> VmName:
        """Return the owner, or a random one of the domain's VMs that this VM keeps streams to."""
        if destination.owner is not None:
            return destination.owner
        vms = tuple(self._open_vms(destination, excluded))
        near = self._peer_subsets.get(vms)
        if near is None:
            if len(self._peer_subsets) >= PEER_SUBSET_CACHE_SIZE:
                self._peer_subsets.clear()
            near = self._peer_subsets[vms] = peer_subset(self._own.vm, vms, count=PEERS_PER_DOMAIN)
        return self._random.choice(near)

    def _region_of(self, domain: DomainName) -> RegionName:
        return self._configuration.failure_domains[domain].region
