"""Planned shifts of demand between failure domains, rate-capped and with failover reserves."""

from __future__ import annotations

from siskinward.coordination.planner._capacity_plan import Plan
from siskinward.coordination.planner._capacity_plan import PlanInput
from siskinward.coordination.planner._capacity_plan import make_plan
from siskinward.coordination.planner.assignment import Assignment
from siskinward.coordination.planner.assignment import Cell
from siskinward.coordination.planner.assignment import CellRoute
from siskinward.coordination.planner.results import DrainProgress
from siskinward.coordination.planner.results import FreezeReason
from siskinward.coordination.planner.results import Move
from siskinward.coordination.planner.results import ShiftsFrozen
from siskinward.coordination.planner.results import ShiftStep
from siskinward.coordination.planner.results import Shortfall
from siskinward.coordination.planner.results import StepResult
from siskinward.coordination.planner.settings import PlannerSettings
from siskinward.coordination.planner.shift_ledger import ShiftLedger
from siskinward.coordination.planner.shift_planner import ShiftPlanner

__all__ = [
    "Assignment",
    "Cell",
    "CellRoute",
    "DrainProgress",
    "FreezeReason",
    "ShiftsFrozen",
    "Move",
    "Plan",
    "PlanInput",
    "PlannerSettings",
    "ShiftLedger",
    "ShiftPlanner",
    "ShiftStep",
    "Shortfall",
    "StepResult",
    "make_plan",
]
