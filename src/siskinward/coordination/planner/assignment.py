"""Assignment of parts of the demand to failure domains."""

from __future__ import annotations

from attrs import field
from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName


@frozen(order=True)
class Cell:
    """The client blocks of one site that fall into one bucket; they move as one."""

    site: str
    bucket: int


@frozen
class CellRoute:
    """Where a cell goes, where its share is reserved if that domain, or its region, is lost."""

    domain: DomainName
    domain_backup: DomainName | None = None
    region_backup: DomainName | None = None


@frozen
class Assignment:
    """Versioned routes of all cells of one service."""

    service: ServiceName
    version: int
    routes: dict[Cell, CellRoute] = field(factory=dict)
