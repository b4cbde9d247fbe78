"""Load reports of owners and summaries of failure domains."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.routing import ServiceLoad
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName


@frozen
class OwnerReport:
    """Load of the targets that ``vm`` owns; the sequence grows within one incarnation."""

    vm: VmName
    incarnation: IncarnationId
    sequence: int
    loads: tuple[ServiceLoad, ...]


@frozen
class DomainSummary:
    """What other failure domains need to know: the grant's holder and the domain's load."""

    failure_domain: DomainName
    holder: VmName
    epoch: int
    sequence: int
    loads: tuple[ServiceLoad, ...]


@frozen
class Reports:
    """What one message of the exchange carries."""

    owners: tuple[OwnerReport, ...] = ()
    domains: tuple[DomainSummary, ...] = ()
