"""Helpers for curio task groups, which store the exceptions of their tasks when joined."""

from __future__ import annotations

from typing import Any


def raise_failures(group: Any) -> None:
    """Raise the first exception of a joined group's tasks, if there is one."""
    for failure in group.exceptions:
        if failure is not None:
            raise failure
