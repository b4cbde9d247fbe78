"""Distinguish a store outage from a network partition.

Both show as a growing age of the latest observation of the pointer row.
"""

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
    """Settings of ``Freshness``.

    ``bound_s`` is the maximum age of an observation that confirms the active version.
    ``platform_domains`` are the failure domains located with the platform, empty if unknown. A
    store outage is inferred only while one of them is reachable or is the VM's own.
    """

    bound_s: float = 5.0
    heartbeat_interval_s: float = 1.0
    clock_rate_error: float = 0.001
    platform_domains: frozenset[DomainName] = field(default=frozenset())


@frozen
class Connected:
    """The active version was confirmed to be the newest ``age_s`` ago."""

    age_s: float


@frozen
class StoreDown:
    """No failure domain has reached the platform since ``since_s``; no VM knows a newer version."""

    since_s: float


@frozen
class Isolated:
    """Others may know a newer version since ``since_s``, such as one that withdraws a key."""

    since_s: float


Standing = Connected | StoreDown | Isolated


@frozen
class _Received:
    serial: int
    received_s: float


class Freshness:
    """Track the latest time at which the active version was confirmed to be the newest one.

    An observation of a version confirms that version and all higher ones.

    All times are lower bounds on the local clock. A read counts from when it was requested. A
    relayed observation counts from when the echoed heartbeat was sent, plus the time for which
    the peer held it, minus the age that the peer reports.
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
        self._sync_peers: tuple[VmName, ...] = ()
        self._reachable: frozenset[DomainName] = frozenset()
        self._configured: frozenset[DomainName] = frozenset()
        self._next_heartbeat_s = started_s
        self._newest_version = 0
        self._newest_observed_s: float | None = None
        self._active_version = 0
        self._active_confirmed_s: float | None = None

    def on_sync_peers(self, sync_peers: tuple[VmName, ...], now_s: float) -> None:
        """Set the VMs to exchange observations with, from ``Membership.sync_peers``."""
        self._sync_peers = sync_peers

    def on_reachable_domains(
        self, reachable: frozenset[DomainName], configured: frozenset[DomainName], now_s: float
    ) -> None:
        """Set the reachable failure domains and all configured ones.

        ``reachable`` is ``Membership.reachable_domains``.
        """
        self._reachable = reachable
        self._configured = configured

    def on_activated(self, version: int, now_s: float) -> None:
        """Record the active version."""
        self._active_version = version
        if self._newest_version <= version:
            self._active_confirmed_s = self._newest_observed_s

    def on_platform_read(self, version: int, asked_s: float, now_s: float) -> None:
        """Record a read of the pointer row that was requested at ``asked_s``."""
        self._record_observation(version, asked_s)

    def on_message(self, message: FreshnessBeat, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Record a peer's observation if it echoes one of the heartbeats sent to it."""
        if message.state != self._state:
            return []
        self._received[sender.vm] = _Received(message.serial, now_s)
        echoed_s = self._sent_s.get(message.echo_serial)
        if echoed_s is None or message.age_s < 0:
            return []
        held_s = message.held_s * (1 - 2 * self._settings.clock_rate_error)
        age_s = message.age_s * (1 + 2 * self._settings.clock_rate_error)
        self._record_observation(message.version, echoed_s + held_s - age_s)
        return []

    def on_timer(self, now_s: float) -> list[Effect]:
        """Send the latest observation to the peers when a heartbeat is due."""
        if now_s < self._next_heartbeat_s:
            return []
        self._next_heartbeat_s = now_s + self._settings.heartbeat_interval_s
        self._serial += 1
        self._remove_expired(now_s)
        self._sent_s[self._serial] = now_s
        return [Send(vm, self._make_heartbeat(vm, now_s)) for vm in self._sync_peers]

    def standing(self, now_s: float) -> Standing:
        """Return whether the active version is confirmed; if not, why and since when."""
        current_s = self._active_confirmed_s
        if current_s is not None and now_s - current_s <= self._settings.bound_s:
            return Connected(now_s - current_s)
        since_s = self._started_s if current_s is None else current_s
        behind = self._newest_version > self._active_version
        if current_s is not None and not behind and self._reaches_most_domains():
            return StoreDown(since_s)
        return Isolated(since_s)

    def _reaches_most_domains(self) -> bool:
        own = self._own.failure_domain
        others = self._configured - {own}
        is_majority = 2 * len(self._reachable & others) > len(others)
        platform_side = self._settings.platform_domains
        reaches_platform_side = not platform_side or bool(platform_side & (self._reachable | {own}))
        return reaches_platform_side and (is_majority or not others)

    def _record_observation(self, version: int, observed_s: float) -> None:
        if version < self._newest_version:
            return
        newer = version > self._newest_version or self._newest_observed_s is None
        if newer or observed_s > (self._newest_observed_s or 0.0):
            self._newest_version = version
            self._newest_observed_s = observed_s
        if version <= self._active_version:
            self._active_confirmed_s = self._newest_observed_s

    def _make_heartbeat(self, vm: VmName, now_s: float) -> FreshnessBeat:
        age_s = NEVER_S if self._newest_observed_s is None else now_s - self._newest_observed_s
        received = self._received.get(vm, _Received(NO_SERIAL, now_s))
        held_s = now_s - received.received_s
        return FreshnessBeat(
            self._state, self._newest_version, age_s, self._serial, received.serial, held_s
        )

    def _remove_expired(self, now_s: float) -> None:
        bound_s = self._settings.bound_s
        self._sent_s = {s: at_s for s, at_s in self._sent_s.items() if now_s - at_s <= bound_s}
        self._received = {
            vm: item for vm, item in self._received.items() if now_s - item.received_s <= bound_s
        }
