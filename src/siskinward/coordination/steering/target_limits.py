"""The rate limits that targets state in their answers.

Handles targets in need, which name the rate of requests that they accept from all VMs together.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.steering.hashing import short_id

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.state.identifiers import TargetName


@frozen
class StatedLimit:
    """What a target's latest known answer stated; ``rate_per_s`` is None if it stated no limit."""

    rate_per_s: float | None
    heard_s: float


class TargetLimits:
    """The latest statement of each target that has stated a rate limit, by name."""

    def __init__(self) -> None:
        self._stated: dict[int, StatedLimit] = {}

    def record_answer(self, target: TargetName, rate_per_s: float | None, now_s: float) -> bool:
        """Record what an answer states; return whether the target's limit has changed."""
        known_per_s = self.rate_per_s(target)
        if rate_per_s is not None or known_per_s is not None:
            self._stated[short_id(target)] = StatedLimit(rate_per_s, now_s)
        return rate_per_s != known_per_s

    def rate_per_s(self, target: TargetName) -> float | None:
        """Return a target's rate limit; None if it states none."""
        stated = self._stated.get(short_id(target))
        return stated.rate_per_s if stated else None

    def retain(self, targets: Iterable[TargetName]) -> None:
        """Forget the limits of all other targets."""
        if not self._stated:
            return
        retained = {short_id(target) for target in targets}
        self._stated = {key: item for key, item in self._stated.items() if key in retained}
