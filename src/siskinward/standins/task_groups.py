"""Failures of curio task groups, which a group keeps to itself until it is asked."""

from __future__ import annotations

from typing import Any


def raise_failures(group: Any) -> None:
    """Raise the first failure of a joined group's tasks, if there is one."""
    for failure in group.exceptions:
        if failure is not None:
            raise failure
