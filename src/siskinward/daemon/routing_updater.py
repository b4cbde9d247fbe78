"""Updates the router and the share pool with loads, drains and grant holders."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.routing import DomainLoad
from siskinward.coordination.routing import OwnerLoad
from siskinward.coordination.routing import Router
from siskinward.coordination.routing import RoutingSettings
from siskinward.coordination.shares import IssuerHolders
from siskinward.coordination.summaries import DomainSummary
from siskinward.coordination.summaries import OwnReport
from siskinward.coordination.summaries import SummaryExchange
from siskinward.coordination.summaries import SummarySettings
from siskinward.coordination.summaries import messages as summary_messages
from siskinward.state.drains import drained_domains
from siskinward.state.drains import draining_targets
from siskinward.state.drains import started_drains
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from siskinward.coordination.events import Effect
    from siskinward.coordination.summaries import OwnerReport
    from siskinward.daemon.node_components import NodeComponents
    from siskinward.daemon.serving_state import ServingState
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import TargetName
    from siskinward.state.objects import Configuration
    from siskinward.state.objects import Drain


UPDATE_INTERVAL_S = 0.25


class RoutingUpdater:
    """Applies summaries and the configuration to the router, target picker and share pool."""

    def __init__(self, components: NodeComponents) -> None:
        self._components = components
        self._state: ServingState | None = None
        self._router: Router | None = None
        self._holders: dict[DomainName, VmName] = {}
        self._next_update_s = float("-inf")
        self._summaries: dict[DomainName, DomainSummary] = {}
        self._applied_holders: dict[DomainName, VmName] = {}
        self._reported_leaving: frozenset[TargetName] = frozenset()
        self._assigned_domains: frozenset[DomainName] | None = None
        self._drain_starts_s: dict[Drain, float] = {}
        self.draining_domains: frozenset[DomainName] = frozenset()
        self.closed_domains: frozenset[DomainName] = frozenset()
        self._exchange = SummaryExchange(
            SummarySettings(),
            components.own,
            components.cluster.membership,
            self._own_report,
            self._on_change,
        )
        components.router.register(self._exchange, summary_messages.MESSAGES)

    def holder_of(self, domain: DomainName) -> VmName:
        """Return the latest known grant holder of a failure domain; empty if none is known."""
        return self._holders.get(domain, VmName(""))

    def on_configuration(self, state: ServingState, now_s: float) -> None:
        """Apply a configuration; the first one creates the router."""
        self._state = state
        self._components.dispatcher.services = state.configuration.services
        self._next_update_s = now_s
        if self._router is None:
            self._router = Router(
                RoutingSettings(),
                self._components.own,
                state.configuration,
                self._components.random,
            )
            self._components.dispatcher.router = self._router
        else:
            self._router.on_configuration(state.configuration, now_s)

    def on_members(self, now_s: float) -> None:
        """Update the router with the VMs of the failure domains whose load is known."""
        for summary in self._summaries.values():
            self._update_domain_load(summary, now_s)

    def on_assigned_domains(self, domains: frozenset[DomainName]) -> None:
        """Update the failure domains to which cells of any service are assigned."""
        self._assigned_domains = domains

    def on_target_states(self, leaving: frozenset[TargetName]) -> None:
        """Update the targets that report themselves as draining or leaving."""
        self._reported_leaving = leaving

    def on_timer(self, now_s: float) -> list[Effect]:
        """Apply drains that have started and holders that have changed."""
        if self._state is None or self._router is None or now_s < self._next_update_s:
            return []
        # The cost of an update grows with the number of targets and VMs of the deployment.
        self._next_update_s = now_s + UPDATE_INTERVAL_S
        self._update_drains(self._state.configuration, now_s)
        drained = draining_targets(self._state.configuration, time.time(), self.closed_domains)
        self._components.picker.set_leaving(drained | self._reported_leaving)
        self._router.on_timer(now_s)
        # A draining domain serves what callers still send to it, but no requests of other domains.
        own = self._components.own.failure_domain
        self._router.set_closed(
            domains=(self.draining_domains - {own}) | self.closed_domains,
            leaving_vms=self._components.cluster.leaving_vms(now_s),
        )
        return self._update_holders(now_s)

    def _update_drains(self, configuration: Configuration, now_s: float) -> None:
        """Compute the domains that are draining, and those to close after their drain.

        A domain is closed once the duration of its drain has passed and no cell is assigned to
        it. Without client blocks there are no cells to move in steps, so it closes at once.
        """
        drains = started_drains(configuration, time.time())
        self._drain_starts_s = {drain: self._drain_starts_s.get(drain, now_s) for drain in drains}
        completed = [
            drain
            for drain in drains
            if not configuration.client_blocks
            or (
                now_s - self._drain_starts_s[drain] >= drain.duration_s
                and self._assigned_domains is not None
                and not drained_domains(configuration, (drain,)) & self._assigned_domains
            )
        ]
        self.draining_domains = drained_domains(configuration, drains)
        self.closed_domains = drained_domains(configuration, completed)

    def _update_holders(self, now_s: float) -> list[Effect]:
        authority = self._components.authority
        if authority.holder:
            self._holders[self._components.own.failure_domain] = authority.holder
        if self._holders == self._applied_holders:
            return []
        self._applied_holders = dict(self._holders)
        return self._components.share_pool.on_issuer_holders(
            IssuerHolders(dict(self._holders)), now_s
        )

    def _own_report(self, now_s: float) -> OwnReport:
        authority = self._components.authority
        return OwnReport(
            self._components.local_executor.loads(now_s), authority.holder, authority.epoch
        )

    def _on_change(self, report: OwnerReport | DomainSummary, now_s: float) -> None:
        match report:
            case DomainSummary():
                self._on_summary(report, now_s)
            case _:
                self._on_owner_report(report, now_s)

    def _on_summary(self, summary: DomainSummary, now_s: float) -> None:
        if summary.holder:
            self._holders[summary.failure_domain] = summary.holder
        self._summaries[summary.failure_domain] = summary
        self._update_domain_load(summary, now_s)

    def _update_domain_load(self, summary: DomainSummary, now_s: float) -> None:
        if self._router is None:
            return
        domain = summary.failure_domain
        vms = self._components.cluster.staying_vms(domain, now_s)
        load = DomainLoad(domain, summary.sequence, vms, summary.loads)
        self._router.on_domain_load(load, now_s)

    def _on_owner_report(self, report: OwnerReport, now_s: float) -> None:
        if self._router is None:
            return
        domain = self._components.own.failure_domain
        sender = VmIdentity(report.vm, domain, IncarnationId(report.incarnation))
        self._router.on_owner_load(OwnerLoad(report.sequence, report.loads), sender, now_s)
