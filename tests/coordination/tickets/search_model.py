"""Worlds and events of the exhaustive search over ticket registries."""

from __future__ import annotations

from enum import Enum
from enum import IntEnum
from types import MethodType
from typing import Any

from attrs import frozen

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.tickets import TicketSettings

SETTINGS = TicketSettings(ask_timeout_s=1.0)
SECRET = b"deployment secret"
DEADLINE_S = 1000.0
SHED = NotRun(RefusalReason.TARGET_SHED, 1.0)
LOST = Unknown(RefusalReason.TARGET_LOST)


class ViolationError(AssertionError):
    """A promise was broken."""


@frozen(cache_hash=True)
class Begin:
    attempt: str


@frozen
class Deliver:
    sender: VmIdentity
    to: str
    message: Any


@frozen(cache_hash=True)
class Tick:
    vm: str


@frozen
class Replace:
    vm: str


@frozen(cache_hash=True)
class Depart:
    vm: str
    at: str


@frozen(cache_hash=True)
class Finish:
    attempt: str
    outcome: Any


@frozen(cache_hash=True)
class HandOver:
    vm: str
    peer: str


@frozen
class Node:
    """A VM's process. Nodes and events are interned, so that identity stands for equality."""

    identity: VmIdentity
    registry: int
    now_s: int = 0


class AttemptStatus(IntEnum):
    """How far an attempt got; ``RAN`` includes attempts that may have run."""

    UNSENT = 0
    BEGUN = 1
    DISPATCHED = 2
    RAN = 3
    SHED = 4

    __hash__ = int.__hash__


@frozen
class Reaction:
    """A registry's reaction to an event: its next node, and what it sent as bit sets."""

    node: int
    messages: int
    answers: int
    dispatched: tuple[str, ...]


@frozen(cache_hash=True)
class World:
    """State of all VMs. ``nodes`` are interned; ``messages`` and ``answers`` are bit sets."""

    nodes: tuple[int, ...]
    messages: int = 0
    answers: int = 0
    statuses: tuple[AttemptStatus, ...] = ()
    replaced: frozenset[str] = frozenset()
    departed: frozenset[Depart] = frozenset()
    handed_over: bool = False


class Interner:
    """Assigns equal values the same number."""

    def __init__(self) -> None:
        self.values: list[Any] = []
        self._numbers: dict[Any, int] = {}

    def number(self, value: Any) -> int:
        if value not in self._numbers:
            self._numbers[value] = len(self.values)
            self.values.append(value)
        return self._numbers[value]

    def members(self, bits: int) -> list[int]:
        return [number for number in range(bits.bit_length()) if bits >> number & 1]


@frozen
class Scenario:
    """VMs, sends as pairs of attempt and entry VM, and the faults that may occur."""

    sends: tuple[tuple[str, str], ...]
    vms: tuple[str, ...] = ("home", "kopy", "left", "rite")
    replaceable: tuple[str, ...] = ()
    replacements: int = 1
    departures: bool = False
    hand_over: HandOver | None = None
    ticks: int = 3
    copyless: bool = False


def identity(vm: str, number: int = 0) -> VmIdentity:
    return VmIdentity(vm, "domain", f"{vm}-{number}")  # type: ignore[arg-type]


def freeze(value: Any) -> Any:
    """Return a hashable image of a registry's whole state."""
    if isinstance(value, MethodType | TicketSettings):
        return None
    if isinstance(value, dict):
        return frozenset((key, freeze(item)) for key, item in value.items())
    if hasattr(value, "__dict__") and not isinstance(value, Enum):
        return (type(value).__name__, freeze(vars(value)))
    return value


def clone(value: Any, copies: dict[int, Any]) -> Any:
    """Copy a registry but share its immutable parts; several times as fast as ``deepcopy``."""
    if isinstance(value, MethodType):
        return MethodType(value.__func__, copies[id(value.__self__)])
    if isinstance(value, dict):
        return {key: clone(item, copies) for key, item in value.items()}
    if not hasattr(value, "__dict__") or isinstance(value, Enum):
        return value
    if id(value) not in copies:
        copied = copies[id(value)] = object.__new__(type(value))
        vars(copied).update((name, clone(item, copies)) for name, item in vars(value).items())
    return copies[id(value)]
