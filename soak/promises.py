"""Checks the promises by what callers and targets saw."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import field

from siskinward.platform.standins import RunRecord
from siskinward.platform.standins import TargetStandIn
from siskinward.state.serving import ServingBounds
from soak.callers import Call
from soak.vm_process import VmProcess

if TYPE_CHECKING:
    from collections.abc import Iterable


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAX_ATTEMPTS = 2
# Bounds in time hold for a VM that has not been disturbed for this long.
TOUCH_S = 4.0
LOSS_SLACK_S = 0.2
# The soak's own loop, and the processes, may be late on a busy machine.
LATENESS_S = 1.0
RECOVERED_SHARE = 0.9
# Accounts ask for more than their limits allow.
OVER_QUOTA_STATUS = 429


@define
class Withdrawal:
    """A key or target that must not be used any more, from when the store had it."""

    name: str
    since_s: float


@define
class PromiseChecker:
    """Gathers what was broken; ``judged`` counts what each timed promise was held against.

    ``quota_in_window`` is how many requests an account may run in the bounds' window.
    """

    bounds: ServingBounds
    targets: list[TargetStandIn]
    vms: list[VmProcess]
    calls: list[Call]
    withdrawn_keys: list[Withdrawal] = field(factory=list)
    drained: list[Withdrawal] = field(factory=list)
    quota_in_window: float = 0.0
    broken: list[str] = field(factory=list)
    judged: dict[str, int] = field(factory=dict)

    def check_running(self) -> None:
        """Check what must hold at any moment."""
        names_by_attempt: dict[str, list[str]] = {}
        for target in self.targets:
            for run in target.runs:
                names_by_attempt.setdefault(run.attempt_id, []).append(target.name)
        for call in self.calls:
            self._check_call(call, names_by_attempt.get(call.attempt_id, []))
        known = {call.attempt_id for call in self.calls}
        self._note(
            f"{attempt} was sent by nobody" for attempt in names_by_attempt if attempt not in known
        )

    def check_end(self, recovered_since_s: float) -> None:
        """Check what is judged over the whole run."""
        self.check_running()
        self._check_quota()
        self._check_repeats()
        self._check_withdrawn_keys()
        self._check_drained()
        self._check_leaving()
        self._check_recovery(recovered_since_s)
        for vm in self.vms:
            self._note(f"{vm.name} ended by itself with {code}" for code in vm.own_ends)

    def _check_call(self, call: Call, names: list[str]) -> None:
        response = call.response
        if call.path.startswith("/bookings/") and len(names) > 1:
            self._note([f"{call.attempt_id} is a booking and ran at {names}"])
        if len(set(names)) > MAX_ATTEMPTS:
            self._note([f"{call.attempt_id} ran at more than {MAX_ATTEMPTS} targets: {names}"])
        if response is None:
            return
        if response.status in NOT_RUN_STATUSES and names:
            self._note([f"{call.attempt_id} got {response.status} and ran at {names}"])
        whole = any(
            response.body.decode() == f"{name} ran {call.attempt_id}" for name in set(names)
        )
        if response.status == 200 and not whole:
            self._note([f"{call.attempt_id} got {response.body!r}"])

    def _check_quota(self) -> None:
        """A request counts once; its repeats have a bound of their own."""
        accounts: dict[str, list[float]] = {}
        for run in self._first_runs().values():
            accounts.setdefault(run.account, []).append(run.started_s)
        for account, times in accounts.items():
            most = max(_count_in(times, at_s, self.bounds.quota_window_s) for at_s in times)
            self._count("quota windows", len(times))
            if most > self.quota_in_window:
                self._note([f"{account} ran {most} requests in a window"])

    def _check_repeats(self) -> None:
        """Runs beyond the first of each request, by service, beside the requests for it."""
        first = {id(run) for run in self._first_runs().values()}
        window_s = self.bounds.retry_window_s
        for service in {target.service for target in self.targets}:
            runs = [run for target in self.targets for run in target.runs]
            runs = [run for run in runs if run.path.startswith(f"/{service}/")]
            repeats = [run.started_s for run in runs if id(run) not in first]
            sent = [call.sent_s for call in self.calls if call.path.startswith(f"/{service}/")]
            for at_s in repeats:
                requests = max(
                    _count_in(sent, at_s - before_s, window_s)
                    for before_s in (0.0, window_s / 2, window_s)
                )
                allowed = self.bounds.retry_ratio * requests + self.bounds.retry_slack_requests
                repeated = _count_in(repeats, at_s, window_s)
                self._count("repeats")
                if repeated > allowed:
                    self._note([f"{service}: {repeated} repeats beside {requests} requests"])

    def _first_runs(self) -> dict[str, RunRecord]:
        first: dict[str, RunRecord] = {}
        for run in (run for target in self.targets for run in target.runs):
            known = first.get(run.attempt_id)
            if known is None or run.started_s < known.started_s:
                first[run.attempt_id] = run
        return first

    def _check_withdrawn_keys(self) -> None:
        for withdrawal in self.withdrawn_keys:
            bound_s = withdrawal.since_s + self.bounds.configuration_s + LATENESS_S
            for call in self.calls:
                if call.key != withdrawal.name or call.sent_s < bound_s:
                    continue
                if not self._was_in_touch(call):
                    continue
                self._count("withdrawn keys")
                if call.status == 200:
                    self._note([f"{call.attempt_id} was served with the key {call.key}"])

    def _check_drained(self) -> None:
        targets = {target.name: target for target in self.targets}
        calls = {call.attempt_id: call for call in self.calls}
        for withdrawal in self.drained:
            bound_s = withdrawal.since_s + self.bounds.drain_s + LATENESS_S
            for run in targets[withdrawal.name].runs:
                call = calls[run.attempt_id]
                if call.sent_s > bound_s and self._was_in_touch(call):
                    self._note([f"{call.attempt_id} reached {withdrawal.name}, which was leaving"])
            self._count("drained targets")

    def _check_leaving(self) -> None:
        """A VM that is told to leave answers what it has read."""
        for call in self.calls:
            if call.ended_s is None or call.has_left:
                continue
            if not call.vm.was_only_stopped(call.sent_s - self.bounds.grace_s, call.ended_s):
                continue
            self._count("requests at leaving VMs")
            was_held = call.ended_s - call.sent_s >= LOSS_SLACK_S
            if call.response is None and call.was_accepted and was_held:
                self._note([f"{call.attempt_id} got no answer from {call.vm.name}, which left"])

    def _check_recovery(self, since_s: float) -> None:
        withdrawn = {withdrawal.name for withdrawal in self.withdrawn_keys}
        late = [
            call
            for call in self.calls
            if call.sent_s > since_s
            and call.ended_s is not None
            and not call.has_left
            and call.key not in withdrawn
            and call.status != OVER_QUOTA_STATUS
        ]
        served = sum(call.status == 200 for call in late)
        self._count("recovered", len(late))
        if not late or served < RECOVERED_SHARE * len(late):
            self._note([f"{served} of {len(late)} requests were served after all faults"])

    def _was_in_touch(self, call: Call) -> bool:
        ended_s = call.sent_s if call.ended_s is None else call.ended_s
        return call.vm.was_calm(call.sent_s - TOUCH_S, ended_s)

    def _note(self, texts: Iterable[str]) -> None:
        for text in texts:
            if text not in self.broken:
                self.broken.append(text)

    def _count(self, promise: str, number: int = 1) -> None:
        self.judged[promise] = self.judged.get(promise, 0) + number


def _count_in(times: list[float], start_s: float, window_s: float) -> int:
    return sum(start_s <= time_s < start_s + window_s for time_s in times)
