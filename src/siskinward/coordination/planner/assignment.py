"""Assignment of demand, divided into cells, to failure domains."""

from __future__ import annotations

from attrs import field
from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName


@frozen(order=True)
class Cell:
    """The client blocks of one site that fall into one bucket: the unit in which demand moves."""

    site: str
    bucket: int


@frozen
class CellRoute:
    """Domain of a cell, and the backups reserved for the loss of that domain or its region."""

    domain: DomainName
    domain_backup: DomainName | None = None
    region_backup: DomainName | None = None


@frozen
class Assignment:
    """Routes of all cells of one service, with a version number."""

    service: ServiceName
    version: int
    routes: dict[Cell, CellRoute] = field(factory=dict)
