"""Load reports of owners and summaries of failure domains."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.routing import ServiceLoad
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName


@frozen
class OwnerReport:
    """Load of the targets that ``vm`` owns; ``sequence`` increases within one incarnation."""

    vm: VmName
    incarnation: IncarnationId
    sequence: int
    loads: tuple[ServiceLoad, ...]


@frozen
class DomainSummary:
    """A failure domain's load and its grant holder with the grant's epoch, for other domains."""

    failure_domain: DomainName
    holder: VmName
    epoch: int
    sequence: int
    loads: tuple[ServiceLoad, ...]


@frozen
class Reports:
    """Contents of one message of the exchange."""

    owners: tuple[OwnerReport, ...] = ()
    domains: tuple[DomainSummary, ...] = ()
