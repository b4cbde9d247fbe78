"""Tells a store outage from a cut by the age of the latest observation of the pointer row."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from attrs import field
from attrs import frozen

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.version_messages import FreshnessBeat
from siskinward.state.identifiers import DomainName

if TYPE_CHECKING:
    from siskinward.state.identifiers import VmName

NEVER_S = -1.0
NO_SERIAL = -1
SERIAL_BASE_BYTES = 4


@frozen
class FreshnessSettings:
    """``bound_s`` is the age up to which an observation vouches for what is in force.

    ``platform_domains`` are the failure domains beside the platform; empty if unknown. An outage
    of the store is inferred only while one of them is heard.
    """

    bound_s: float = 5.0
    heartbeat_interval_s: float = 1.0
    clock_rate_error: float = 0.001
    platform_domains: frozenset[DomainName] = field(default=frozenset())


@frozen
class Connected:
    """The version in force was the newest ``age_s`` ago."""

    age_s: float


@frozen
class StoreDown:
    """No failure domain reaches the platform since ``since_s``; nobody knows a newer version."""

    since_s: float


@frozen
class Isolated:
    """Others may know a newer version since ``since_s``; withdrawals cannot be ruled out."""

    since_s: float


Standing = Connected | StoreDown | Isolated


@frozen
class _Received:
    serial: int
    received_s: float


class Freshness:
    """Keeps the latest time up to which the version in force holds all that was accepted.

    An observation of a version vouches for that version and for all higher ones.

    All times are on the own clock and lower bounds: a read counts from when it was asked, a
    relayed observation from when the echoed beat was sent plus the time that the peer held it.
    """

    def __init__(
        self, settings: FreshnessSettings, own: VmIdentity, state: str, started_s: float
    ) -> None:
        self._settings = settings
        self._state = state
        self._own = own
        self._started_s = started_s
        base = blake2b(own.incarnation.encode(), digest_size=SERIAL_BASE_BYTES).digest()
        self._serial = int.from_bytes(base, "big")
        self._sent_s: dict[int, float] = {}
        self._received: dict[VmName, _Received] = {}
        self._links: tuple[VmName, ...] = ()
        self._heard: frozenset[DomainName] = frozenset()
        self._known: frozenset[DomainName] = frozenset()
        self._next_beat_s = started_s
        self._newest_version = 0
        self._newest_s: float | None = None
        self._in_force_version = 0
        self._in_force_s: float | None = None

    def on_links(self, links: tuple[VmName, ...], now_s: float) -> None:
        """Take ``Membership.links``: the VMs to exchange observations with."""
        self._links = links

    def on_reachable_domains(
        self, heard: frozenset[DomainName], known: frozenset[DomainName], now_s: float
    ) -> None:
        """Take ``Membership.reachable_domains`` and all configured failure domains."""
        self._heard = heard
        self._known = known

    def on_activated(self, version: int, now_s: float) -> None:
        """Record which version is in force."""
        self._in_force_version = version
        if self._newest_version <= version:
            self._in_force_s = self._newest_s

    def on_platform_read(self, version: int, asked_s: float, now_s: float) -> None:
        """Record a read of the pointer row that was asked for at ``asked_s``."""
        self._observe(version, asked_s)

    def on_message(self, message: FreshnessBeat, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Take an observation of a peer."""
        if message.state != self._state:
            return []
        self._received[sender.vm] = _Received(message.serial, now_s)
        echoed_s = self._sent_s.get(message.echo_serial)
        if echoed_s is None or message.age_s < 0:
            return []
        held_s = message.held_s * (1 - 2 * self._settings.clock_rate_error)
        age_s = message.age_s * (1 + 2 * self._settings.clock_rate_error)
        self._observe(message.version, echoed_s + held_s - age_s)
        return []

    def on_timer(self, now_s: float) -> list[Effect]:
        """Tell the peers the latest observation when it is due."""
        if now_s < self._next_beat_s:
            return []
        self._next_beat_s = now_s + self._settings.heartbeat_interval_s
        self._serial += 1
        self._forget(now_s)
        self._sent_s[self._serial] = now_s
        return [Send(vm, self._beat(vm, now_s)) for vm in self._links]

    def standing(self, now_s: float) -> Standing:
        """Tell whether the version in force can be vouched for."""
        current_s = self._in_force_s
        if current_s is not None and now_s - current_s <= self._settings.bound_s:
            return Connected(now_s - current_s)
        since_s = self._started_s if current_s is None else current_s
        behind = self._newest_version > self._in_force_version
        if current_s is not None and not behind and self._most_are_heard():
            return StoreDown(since_s)
        return Isolated(since_s)

    def _most_are_heard(self) -> bool:
        own = self._own.failure_domain
        others = self._known - {own}
        most = 2 * len(self._heard & others) > len(others)
        near = self._settings.platform_domains
        beside_platform = not near or bool(near & (self._heard | {own}))
        return beside_platform and (most or not others)

    def _observe(self, version: int, observed_s: float) -> None:
        if version < self._newest_version:
            return
        newer = version > self._newest_version or self._newest_s is None
        if newer or observed_s > (self._newest_s or 0.0):
            self._newest_version = version
            self._newest_s = observed_s
        if version <= self._in_force_version:
            self._in_force_s = self._newest_s

    def _beat(self, vm: VmName, now_s: float) -> FreshnessBeat:
        age_s = NEVER_S if self._newest_s is None else now_s - self._newest_s
        received = self._received.get(vm, _Received(NO_SERIAL, now_s))
        held_s = now_s - received.received_s
        return FreshnessBeat(
            self._state, self._newest_version, age_s, self._serial, received.serial, held_s
        )

    def _forget(self, now_s: float) -> None:
        bound_s = self._settings.bound_s
        self._sent_s = {s: at_s for s, at_s in self._sent_s.items() if now_s - at_s <= bound_s}
        self._received = {
            vm: item for vm, item in self._received.items() if now_s - item.received_s <= bound_s
        }
