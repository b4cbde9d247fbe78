"""How the traffic between VMs is reported to counters."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class Direction(Enum):
    """Which way a message went."""

    IN = "in"
    OUT = "out"


TrafficCounter = Callable[[type, Direction, int], None]
"""Called with a message's class, its direction and its size in bytes."""


def ignore_traffic(message_type: type, direction: Direction, size_bytes: int) -> None:
    """Count nothing."""
