"""Load reports between VMs."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName


@frozen
class ServiceLoad:
    """Load of a service: slots, slots in use, waiting requests and the mean service time."""

    service: ServiceName
    slots: int
    in_use: int
    waiting: int
    service_s: float


@frozen
class OwnerLoad:
    """Load of the targets that the sender owns, sent to the VMs of its failure domain."""

    sequence: int
    loads: tuple[ServiceLoad, ...]


@frozen
class DomainLoad:
    """Load of a failure domain, relayed between domains, with the VMs that accept requests."""

    failure_domain: DomainName
    sequence: int
    vms: tuple[VmName, ...]
    loads: tuple[ServiceLoad, ...]


MESSAGES = (ServiceLoad, OwnerLoad, DomainLoad)
