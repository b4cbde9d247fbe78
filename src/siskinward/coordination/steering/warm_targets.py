"""Remembers at which targets each object is warm, from this VM's sends and those of others.

Handles objects whose first target is full, slow, evacuated or back again: a target that already has
the object warm costs nothing more, and any other one costs a cold run of about three times the
work. VMs tell one another new pairs of object and target, so that all of them use the same targets.
"""

from __future__ import annotations

from collections import OrderedDict
from math import inf
from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.coordination.steering.hashing import short_id

if TYPE_CHECKING:
    from collections.abc import Iterable


@frozen
class WarmSettings:
    """How long a pair of object and target is remembered, and how often it is announced.

    A target keeps a limited number of objects, so a pair that is not used for ``keep_s`` is
    forgotten. A pair in use is announced again every ``announce_again_s``, in
    ``reports_per_announcement`` reports each time, since reports are lost at times. At most
    ``max_objects`` are remembered.
    """

    keep_s: float = 30.0
    announce_again_s: float = 10.0
    reports_per_announcement: int = 4
    max_objects: int = 20_000


@frozen
class WarmPair:
    """An object that ran at a target, by their ``short_id``."""

    object_id: int
    target_id: int


@define
class _Use:
    """When a pair was last used, as far as known, and when any VM last announced it."""

    used_s: float
    announced_s: float = -inf


@define
class _Announcement:
    pair: WarmPair
    reports_left: int


class WarmTargets:
    """The targets at which each object ran lately."""

    def __init__(self, settings: WarmSettings) -> None:
        self._settings = settings
        self._uses: OrderedDict[int, dict[int, _Use]] = OrderedDict()
        self._announcements: list[_Announcement] = []

    @property
    def pair_count(self) -> int:
        """Number of remembered pairs."""
        return sum(len(targets) for targets in self._uses.values())

    def record_run(self, object_name: str, target: str, now_s: float) -> None:
        """Record that this VM sends a request for an object to a target."""
        pair = WarmPair(short_id(object_name), short_id(target))
        use = self._record(pair, now_s)
        if now_s - use.announced_s >= self._settings.announce_again_s:
            use.announced_s = now_s
            reports = self._settings.reports_per_announcement
            self._announcements.append(_Announcement(pair, reports))

    def record_announced(self, pairs: Iterable[WarmPair], now_s: float) -> None:
        """Record pairs that another VM announced."""
        for pair in pairs:
            self._record(pair, now_s).announced_s = now_s

    def next_announcements(self) -> tuple[WarmPair, ...]:
        """Return the pairs to send with the next report."""
        pairs = tuple(item.pair for item in self._announcements)
        for item in self._announcements:
            item.reports_left -= 1
        self._announcements = [item for item in self._announcements if item.reports_left > 0]
        return pairs

    def is_warm(self, object_name: str, target: str, now_s: float, *, since_s: float) -> bool:
        """Return whether an object ran lately at a target that lost its cache at ``since_s``."""
        use = self._uses.get(short_id(object_name), {}).get(short_id(target))
        return use is not None and use.used_s > max(since_s, now_s - self._settings.keep_s)

    def _record(self, pair: WarmPair, now_s: float) -> _Use:
        targets = self._uses.setdefault(pair.object_id, {})
        use = targets.setdefault(pair.target_id, _Use(now_s))
        use.used_s = now_s
        since_s = now_s - self._settings.keep_s
        for target_id in [key for key, item in targets.items() if item.used_s <= since_s]:
            del targets[target_id]
        self._uses.move_to_end(pair.object_id)
        while len(self._uses) > self._settings.max_objects:
            self._uses.popitem(last=False)
        return use
