"""Decides which requests a VM that is shutting down still passes on.

What is passed on gets its whole answer, so only a request whose time ends before the shutdown does
is passed on; any other is refused, which costs its caller little while other VMs serve.
"""

from __future__ import annotations

from math import inf

from attrs import define

# An answer that is made at the last moment still has to be written.
ANSWER_MARGIN_S = 0.2


@define
class Shutdown:
    """When a shutdown that has begun ends at the latest; infinite before one."""

    deadline_s: float = inf

    def begin(self, deadline_s: float) -> None:
        """Record that the VM stops at ``deadline_s`` at the latest."""
        self.deadline_s = deadline_s

    def end(self) -> None:
        """Record that nothing more may be passed on."""
        self.deadline_s = -inf

    def leaves_time_until(self, answered_by_s: float) -> bool:
        """Return whether a request may be passed on that is answered by a time at the latest."""
        return answered_by_s <= self.deadline_s - ANSWER_MARGIN_S
