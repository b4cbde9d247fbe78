"""What a planner's step decided."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from siskinward.coordination.planner.assignment import Assignment
from siskinward.coordination.planner.assignment import Cell
from siskinward.state.identifiers import DomainName


@frozen
class Move:
    """A cell that changes its failure domain, with the demand charged to the shift cap."""

    cell: Cell
    from_domain: DomainName
    to_domain: DomainName
    demand_per_s: float


@frozen
class Shortfall:
    """Demand for which there is no capacity if ``lost`` (a domain or region) is gone.

    An empty ``lost`` stands for demand that has no place even while nothing is lost.
    """

    lost: str
    by_per_s: float


class FreezeReason(Enum):
    """Why nothing is moved."""

    DEMAND_MISSING = "demand-missing"
    CAPACITY_MISSING = "capacity-missing"


@frozen
class ShiftsFrozen:
    """Measurements are missing; the assignment stays as it is."""

    reason: FreezeReason
    domains: tuple[DomainName, ...] = ()


@frozen
class ShiftStep:
    """The next assignment, the moves that lead to it and the moves that must wait."""

    assignment: Assignment
    moves: tuple[Move, ...]
    waiting: int
    shortfalls: tuple[Shortfall, ...]


@frozen
class DrainProgress:
    """How far a drain has got; ``finish_in_s`` is an estimate, zero once nothing is left."""

    name: str
    remaining_per_s: float
    finish_in_s: float
    is_finished: bool


StepResult = ShiftsFrozen | ShiftStep
