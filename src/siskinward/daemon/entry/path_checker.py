"""Checks by new connections whether this VM is cut off from the targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.steering import Steering
    from siskinward.state.identifiers import TargetName
    from siskinward.transport.decision_log import DecisionLog
    from siskinward.transport.target_pool import TargetPool

POLL_S = 0.1
# Open connections of a VM that is cut off may live on: they are dropped once all are silent.
ABANDON_SILENCE_S = 1.0


class PathChecker:
    """Opens connections to some targets when a check is due, and tells what came of it."""

    def __init__(self, steering: Steering, pool: TargetPool, log: DecisionLog) -> None:
        self._steering = steering
        self._pool = pool
        self._log = log
        self._lock = curio.Lock()

    async def run(self) -> None:
        """Check whenever it is due; run until cancelled."""
        while True:
            await curio.sleep(POLL_S)
            async with self._lock:
                if self._steering.paths.is_check_due(read_clock_s()):
                    await self._check()

    async def reaches_targets(self, since_s: float) -> bool:
        """Return whether this VM has reached any target since a time, after a check if needed.

        Only then does its failure to connect to one of them say that this one is down.
        """
        paths = self._steering.paths
        async with self._lock:
            if not paths.was_heard_since(since_s) and not paths.was_checked_since(since_s):
                await self._check()
        return paths.was_heard_since(since_s)

    async def _check(self) -> None:
        """Try to connect to some targets at once."""
        targets = self._steering.paths.choose_checked(self._candidates())
        if not targets:
            return
        started_s = read_clock_s()
        reached: set[TargetName] = set()
        async with curio.TaskGroup() as group:
            for target in targets:
                await group.spawn(self._connect, target, reached)
        await self._record({target.name for target in targets}, reached, started_s)

    def _candidates(self) -> list[Target]:
        """Return the targets of the services in the configuration that are ready and stay.

        Another writer's entry may name a service that does not exist, and an address where no
        target is.
        """
        index = self._steering.index
        services = index.configuration.services if index else {}
        return [
            target
            for target in self._steering.targets.all()
            if target.record.is_ready
            and not target.is_leaving
            and target.record.service in services
        ]

    async def _connect(self, target: Target, reached: set[TargetName]) -> None:
        if await self._pool.try_connect(target.record):
            reached.add(target.name)

    async def _record(
        self, checked: set[TargetName], reached: set[TargetName], started_s: float
    ) -> None:
        paths = self._steering.paths
        now_s = read_clock_s()
        for target in reached:
            paths.on_heard(target, now_s)
        if paths.on_checked(reached, checked - reached, started_s):
            kind = "targets-cut-off" if paths.is_cut_off else "targets-reached"
            self._log.write(kind, {"checked": sorted(checked), "reached": sorted(reached)})
        if paths.is_cut_off and not paths.was_heard_since(now_s - ABANDON_SILENCE_S):
            await self._pool.abandon()
