"""Local delivery of messages that a component sends to its own VM."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinward.coordination.events import Send

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from siskinward.coordination.events import VmIdentity


def deliver_locally(
    steps: Sequence[Any],
    own: VmIdentity,
    handle: Callable[[Any, VmIdentity, float], Sequence[Any]],
    now_s: float,
) -> list[Any]:
    """Handle the messages to ``own``, and return the remaining steps."""
    pending = list(steps)
    results: list[Any] = []
    while pending:
        step = pending.pop(0)
        if isinstance(step, Send) and step.to == own.vm:
            pending += handle(step.message, own, now_s)
        else:
            results.append(step)
    return results
