"""Load reports between VMs."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName


@frozen
class ServiceLoad:
    """Slots of a service, those in use, requests that wait and the mean service time."""

    service: ServiceName
    slots: int
    in_use: int
    waiting: int
    service_s: float


@frozen
class OwnerLoad:
    """Load of the targets that the sender owns, for the VMs of its failure domain."""

    sequence: int
    loads: tuple[ServiceLoad, ...]


@frozen
class DomainLoad:
    """Load of a failure domain, passed on between domains, with the VMs that take requests."""

    failure_domain: DomainName
    sequence: int
    vms: tuple[VmName, ...]
    loads: tuple[ServiceLoad, ...]


MESSAGES = (ServiceLoad, OwnerLoad, DomainLoad)
