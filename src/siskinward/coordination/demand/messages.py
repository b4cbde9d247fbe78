"""Messages of the demand exchange. ``pack_demands`` encodes their contents."""

from __future__ import annotations

from attrs import frozen


@frozen
class VmDemand:
    """The report of one VM to the grant holder of its failure domain."""

    content: bytes


@frozen
class DomainDemand:
    """The sums of one failure domain, sent to the VM that plans."""

    content: bytes


MESSAGES: tuple[type, ...] = (VmDemand, DomainDemand)
