"""Decides whether requests go to targets directly or through another VM.

Handles a partition between this VM and the targets while it still reaches callers, the store and
the other VMs. A VM that hears no target any more and cannot connect to any is cut off: its requests
are relayed by VMs that are not. Single targets that it cannot connect to while another VM can are
relayed, too.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from siskinward.coordination.steering.fleet import EntryVm
    from siskinward.coordination.steering.fleet import Fleet
    from siskinward.coordination.steering.targets import Target
    from siskinward.state.identifiers import RegionName
    from siskinward.state.identifiers import TargetName


@frozen
class PathSettings:
    """When this VM checks its connections to targets, and how many targets a check tries.

    A check is due once a request has waited for ``silence_s`` while no target was heard, after a
    failed connection, and every ``recheck_s`` while the VM is cut off or a target is relayed.
    Between two checks there are ``min_gap_s`` or more.
    """

    silence_s: float = 0.6
    min_gap_s: float = 0.3
    recheck_s: float = 0.5
    checked_targets: int = 3


class TargetPaths:
    """This VM's view of its connections to targets."""

    def __init__(self, settings: PathSettings, fleet: Fleet, random: Random) -> None:
        self._settings = settings
        self._fleet = fleet
        self._random = random
        self._heard_s = -inf
        self._known: set[TargetName] = set()
        self._checked_s = -inf
        self._is_suspect = True
        self._relayed: set[TargetName] = set()
        self._waiting: dict[int, float] = {}
        self._last_exchange = 0
        self.is_cut_off = False

    def on_sent(self, now_s: float) -> int:
        """Record a request that waits for a target on an own connection; return its number."""
        self._last_exchange += 1
        self._waiting[self._last_exchange] = now_s
        return self._last_exchange

    def on_ended(self, exchange: int) -> None:
        """Record that a request no longer waits."""
        self._waiting.pop(exchange, None)

    def on_heard(self, target: TargetName, now_s: float) -> None:
        """Record that bytes of a target arrived on an own connection."""
        self._heard_s = now_s
        self._known.add(target)

    def on_connect_failed(self) -> None:
        """Record that a target could not be connected to, so that a check is due."""
        self._is_suspect = True

    def on_connection_broken(self, now_s: float) -> None:
        """Record that an open connection broke; a check is due unless others work."""
        if not self.was_heard_since(now_s - self._settings.min_gap_s):
            self._is_suspect = True

    def on_relayed(self, target: TargetName) -> None:
        """Record that another VM reached a target that this one could not connect to."""
        self._relayed.add(target)

    def is_direct(self, target: TargetName) -> bool:
        """Return whether to use an own connection to a target."""
        return not self.is_cut_off and target not in self._relayed

    def was_heard_since(self, since_s: float) -> bool:
        """Return whether any target was heard on an own connection since a time."""
        return self._heard_s >= since_s

    def was_checked_since(self, since_s: float) -> bool:
        """Return whether a check began since a time."""
        return self._checked_s >= since_s

    def is_check_due(self, now_s: float) -> bool:
        """Return whether to try new connections to the targets of ``choose_checked``."""
        if self.is_cut_off or self._relayed:
            return now_s - self._checked_s >= self._settings.recheck_s
        if now_s - self._checked_s < self._settings.min_gap_s:
            return False
        return self._is_suspect or self._is_silent(now_s)

    def choose_checked(self, targets: Collection[Target]) -> list[Target]:
        """Return the targets to check, in as many failure domains as possible.

        Targets that this VM has never heard may have never been there, so they are checked only if
        it knows too few others.
        """
        names = {target.name for target in targets}
        self._relayed.intersection_update(names)
        self._known.intersection_update(names)
        is_enough = len(self._known) >= self._settings.checked_targets
        eligible = self._known | self._relayed if is_enough else names
        candidates = [target for target in targets if target.name in eligible]
        ordered = self._random.sample(candidates, len(candidates))
        domains: dict[str, Target] = {}
        for target in ordered:
            domains.setdefault(target.record.failure_domain, target)
        spread = list(domains.values())
        relayed = [target for target in ordered if target.name in self._relayed]
        others = [target for target in ordered if target not in spread]
        checked = [*relayed[: self._settings.checked_targets], *spread, *others]
        return list(dict.fromkeys(checked))[: self._settings.checked_targets]

    def on_checked(
        self, reached: Collection[TargetName], failed: Collection[TargetName], started_s: float
    ) -> bool:
        """Record a check; return whether the VM is cut off from now on, or no longer."""
        was_cut_off = self.is_cut_off
        self._checked_s = started_s
        self._is_suspect = False
        self._relayed.difference_update(reached)
        if reached:
            self.is_cut_off = False
        elif failed:
            self.is_cut_off = True
        if was_cut_off and not self.is_cut_off:
            self._relayed.clear()
        return self.is_cut_off != was_cut_off

    def relays(
        self, target: Target, home_regions: Collection[RegionName], now_s: float
    ) -> list[EntryVm]:
        """Return the VMs that may relay a request, the preferred ones first.

        VMs of the target's region come first, since the request goes there anyway. A request with
        home regions is relayed only within these.
        """
        reaching = [
            vm
            for vm in self._fleet.ready(now_s)
            if vm.vm != self._fleet.own.vm and not self._fleet.is_cut_off(vm.vm)
        ]
        allowed = [vm for vm in reaching if not home_regions or vm.region in home_regions]
        shuffled = self._random.sample(allowed, len(allowed))
        return sorted(shuffled, key=lambda vm: vm.region != target.region)

    def _is_silent(self, now_s: float) -> bool:
        """Whether a request has waited, and no target has been heard, for the time of silence."""
        since_s = now_s - self._settings.silence_s
        if not self._waiting or self._heard_s > since_s or self._checked_s > since_s:
            return False
        oldest_s = next(iter(self._waiting.values()))
        return oldest_s <= since_s
