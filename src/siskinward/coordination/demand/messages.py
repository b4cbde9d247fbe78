"""Messages of the demand exchange. Their contents are packed by ``pack_demands``."""

from __future__ import annotations

from attrs import frozen


@frozen
class VmDemand:
    """What one VM counted, for the grant holder of its failure domain."""

    content: bytes


@frozen
class DomainDemand:
    """The sums of one failure domain, for the VM that plans."""

    content: bytes


MESSAGES: tuple[type, ...] = (VmDemand, DomainDemand)
