"""Callback that counts the traffic between VMs."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class Direction(Enum):
    """Direction of a message, as seen from this VM."""

    IN = "in"
    OUT = "out"


TrafficCallback = Callable[[type, Direction, int], None]
"""Called with a message's class, its direction and its size in bytes."""


def ignore_traffic(message_type: type, direction: Direction, size_bytes: int) -> None:
    """Count nothing."""
