"""Results of a planning step."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from siskinward.coordination.planner.assignment import Assignment
from siskinward.coordination.planner.assignment import Cell
from siskinward.state.identifiers import DomainName


@frozen
class Move:
    """Change of a cell's failure domain, with the demand charged to the shift cap."""

    cell: Cell
    from_domain: DomainName
    to_domain: DomainName
    demand_per_s: float


@frozen
class Shortfall:
    """Demand that cannot be served if the domain or region ``lost`` fails.

    An empty ``lost`` stands for demand that cannot be placed even without a failure.
    """

    lost: str
    by_per_s: float


class FreezeReason(Enum):
    """Why no moves are made."""

    DEMAND_MISSING = "demand-missing"
    CAPACITY_MISSING = "capacity-missing"


@frozen
class ShiftsFrozen:
    """No moves are made, because measurements are missing; the assignment is unchanged."""

    reason: FreezeReason
    domains: tuple[DomainName, ...] = ()


@frozen
class ShiftStep:
    """The next assignment, the moves that lead to it and the number of deferred moves."""

    assignment: Assignment
    moves: tuple[Move, ...]
    waiting: int
    shortfalls: tuple[Shortfall, ...]


@frozen
class DrainProgress:
    """Progress of a drain; ``finish_in_s`` is an estimate, and zero once it is finished."""

    name: str
    remaining_per_s: float
    finish_in_s: float
    is_finished: bool


StepResult = ShiftsFrozen | ShiftStep
