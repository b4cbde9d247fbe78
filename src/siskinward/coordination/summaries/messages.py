"""Messages of the summary exchange."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.routing import ServiceLoad
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import VmName


@frozen
class OwnerReport:
    """Load of the targets that ``vm`` owns; the sequence grows within one incarnation."""

    vm: VmName
    incarnation: str
    sequence: int
    loads: tuple[ServiceLoad, ...]


@frozen
class DomainSummary:
    """What other failure domains need to know: the grant's holder, open VMs and their load."""

    failure_domain: DomainName
    holder: VmName
    epoch: int
    sequence: int
    vms: tuple[VmName, ...]
    loads: tuple[ServiceLoad, ...]


@frozen
class Bulletin:
    """From the root relay down its failure domain: all owners' loads and other domains."""

    owners: tuple[OwnerReport, ...]
    domains: tuple[DomainSummary, ...]


MESSAGES: tuple[type, ...] = (OwnerReport, DomainSummary, Bulletin)
