"""Exchange of load summaries within and between failure domains.

Owners of targets send their reports to the root relay of their failure domain. Relays send a
summary to their paired relays in other domains. The root relay sends a bulletin down a binary tree
of the domain's VMs, so that no VM sends more than two bulletins per interval, however large the
domain is.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any

from attrs import frozen

from siskinward.coordination.events import Send
from siskinward.coordination.routing import ServiceLoad
from siskinward.coordination.summaries._packing import pack_reports
from siskinward.coordination.summaries._packing import unpack_reports
from siskinward.coordination.summaries.messages import Bulletin
from siskinward.coordination.summaries.messages import DomainNotice
from siskinward.coordination.summaries.messages import OwnerNotice
from siskinward.coordination.summaries.reports import DomainSummary
from siskinward.coordination.summaries.reports import OwnerReport
from siskinward.coordination.summaries.reports import Reports
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.events import Effect
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.membership import Membership
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import ServiceName

TREE_FANOUT = 2
NO_VM = VmName("")


@frozen
class SummarySettings:
    """Interval between reports, and the age up to which received ones are used and forwarded."""

    interval_s: float = 1.0
    lifetime_s: float = 3.0


@frozen
class OwnReport:
    """This VM's contribution: the load of its owned targets and the grant holder it knows of."""

    loads: tuple[ServiceLoad, ...]
    holder: VmName
    epoch: int


class SummaryExchange:
    """Collects the load reports of owners and the summaries of other domains on one VM.

    ``own_report`` is called once per interval, ``on_change`` with each newly accepted report or
    summary.
    """

    def __init__(
        self,
        settings: SummarySettings,
        own: VmIdentity,
        membership: Membership,
        own_report: Callable[[float], OwnReport],
        on_change: Callable[[OwnerReport | DomainSummary, float], None],
    ) -> None:
        self._settings = settings
        self._own = own
        self._membership = membership
        self._own_report = own_report
        self._on_change = on_change
        self._owners: dict[VmName, tuple[OwnerReport, float]] = {}
        self._domains: dict[DomainName, tuple[DomainSummary, float]] = {}
        self._sequence = 0
        self._next_report_s = 0.0

    def summaries(self, now_s: float) -> list[DomainSummary]:
        """Return the recent summaries of other failure domains."""
        return [item for item, at_s in self._domains.values() if self._is_recent(at_s, now_s)]

    def on_timer(self, now_s: float) -> list[Effect]:
        """Send the own report (on the root relay a bulletin) and summaries once per interval."""
        if now_s < self._next_report_s:
            return []
        self._next_report_s = now_s + self._settings.interval_s
        self._sequence += 1
        report = self._own_report(now_s)
        own = OwnerReport(self._own.vm, self._own.incarnation, self._sequence, report.loads)
        self._record_owner_report(own, now_s)
        root = self._root(now_s)
        if root != self._own.vm:
            effects: list[Effect] = [Send(root, OwnerNotice(pack_reports(Reports((own,)))))]
        else:
            effects = self._forward_bulletin(self._create_bulletin(now_s), now_s)
        return effects + self._domain_notices(report, now_s)

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Record the contents of a report, summary or bulletin; forward bulletins down the tree."""
        reports = unpack_reports(message.content)
        if reports is None:
            return []
        is_own_domain = sender.failure_domain == self._own.failure_domain
        match message:
            case OwnerNotice() if is_own_domain:
                self._record_owner_reports(reports, now_s)
            case DomainNotice() if not is_own_domain:
                for summary in reports.domains:
                    if summary.failure_domain == sender.failure_domain:
                        self._record_domain_summary(summary, now_s)
            case Bulletin() if is_own_domain:
                self._record_owner_reports(reports, now_s)
                for summary in reports.domains:
                    self._record_domain_summary(summary, now_s)
                return self._forward_bulletin(message, now_s)
        return []

    def _domain_notices(self, report: OwnReport, now_s: float) -> list[Effect]:
        partners = self._membership.paired_relays(now_s)
        if not partners:
            return []
        summary = self._create_summary(report, now_s)
        notice = DomainNotice(pack_reports(Reports(domains=(summary,))))
        return [Send(member.identity.vm, notice) for member in partners]

    def _record_owner_reports(self, reports: Reports, now_s: float) -> None:
        for report in reports.owners:
            self._record_owner_report(report, now_s)

    def _record_owner_report(self, report: OwnerReport, now_s: float) -> None:
        known, _ = self._owners.get(report.vm, (None, 0.0))
        is_same_process = known is not None and known.incarnation == report.incarnation
        if known is not None and is_same_process and known.sequence >= report.sequence:
            return
        self._owners[report.vm] = (report, now_s)
        self._on_change(report, now_s)

    def _record_domain_summary(self, summary: DomainSummary, now_s: float) -> None:
        if summary.failure_domain == self._own.failure_domain:
            return
        known, at_s = self._domains.get(summary.failure_domain, (None, 0.0))
        if known is not None and self._is_recent(at_s, now_s) and not _is_newer(summary, known):
            return
        self._domains[summary.failure_domain] = (summary, now_s)
        self._on_change(summary, now_s)

    def _create_summary(self, report: OwnReport, now_s: float) -> DomainSummary:
        totals: dict[ServiceName, list[ServiceLoad]] = defaultdict(list)
        for owner, at_s in self._owners.values():
            if self._is_recent(at_s, now_s):
                for load in owner.loads:
                    totals[load.service].append(load)
        return DomainSummary(
            failure_domain=self._own.failure_domain,
            holder=report.holder,
            epoch=report.epoch,
            sequence=self._sequence,
            loads=tuple(_total(service, loads) for service, loads in totals.items()),
        )

    def _create_bulletin(self, now_s: float) -> Bulletin:
        owners = [item for item, at_s in self._owners.values() if self._is_recent(at_s, now_s)]
        return Bulletin(pack_reports(Reports(tuple(owners), tuple(self.summaries(now_s)))))

    def _forward_bulletin(self, bulletin: Bulletin, now_s: float) -> list[Effect]:
        names = self._tree_order(now_s)
        if self._own.vm not in names:
            return []
        first = TREE_FANOUT * names.index(self._own.vm) + 1
        return [Send(vm, bulletin) for vm in names[first : first + TREE_FANOUT]]

    def _root(self, now_s: float) -> VmName:
        return self._tree_order(now_s)[0]

    def _tree_order(self, now_s: float) -> list[VmName]:
        """Return the domain's VMs in the order of the binary tree, the root relay first."""
        live = self._membership.live_vms(self._own.failure_domain, now_s)
        names = [member.identity.vm for member in live] or [self._own.vm]
        relays = self._membership.relays(self._own.failure_domain, now_s)
        root = relays[0].identity.vm if relays else names[0]
        return [root, *(name for name in names if name != root)]

    def _is_recent(self, at_s: float, now_s: float) -> bool:
        return now_s - at_s <= self._settings.lifetime_s


def _is_newer(summary: DomainSummary, known: DomainSummary) -> bool:
    # Each relay counts its own sequence numbers, so that those of two relays are not comparable:
    # the higher epoch wins, then the later arrival.
    return summary.epoch > known.epoch or (
        summary.epoch == known.epoch and summary.sequence != known.sequence
    )


def _total(service: ServiceName, loads: list[ServiceLoad]) -> ServiceLoad:
    slots = sum(load.slots for load in loads)
    weighted_s = sum(load.service_s * load.slots for load in loads)
    return ServiceLoad(
        service=service,
        slots=slots,
        in_use=sum(load.in_use for load in loads),
        waiting=sum(load.waiting for load in loads),
        service_s=weighted_s / slots if slots else 0.0,
    )
