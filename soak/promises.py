"""Checks the promises against what callers and targets recorded."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from attrs import frozen

from siskinward.platform.standins import RunRecord
from siskinward.platform.standins import TargetStandIn
from siskinward.state.serving import ServingBounds
from siskinward.transport.clock import read_clock_s
from soak.callers import Call
from soak.retry_arrivals import retry_times_s
from soak.retry_arrivals import worst_window
from soak.stated_limits import StatedLimits
from soak.target_words import TargetWords
from soak.vm_process import VmProcess

if TYPE_CHECKING:
    from collections.abc import Iterable


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAX_ATTEMPTS = 2
# Time bounds apply to VMs that have not been disturbed for this long.
SETTLING_S = 4.0
# A VM that is shutting down need not have read a request whose connection ends sooner than this,
# unless it had begun to read it before.
LOSS_SLACK_S = 0.2
# On a busy machine, this event loop and the VM processes run late.
SCHEDULING_SLACK_S = 1.0
RECOVERED_SHARE = 0.9
# The platform's rule for VMs that are cut off from all targets, from this long after the cut.
CUT_NOTICED_S = 3.0
CUT_SERVED_RATIO = 2 / 3
CUT_SLACK_CALLS = 10
# The memory of the smallest VM in the users' deployments.
VM_MEMORY_MB = 200
# Callers exceed the limits of their accounts on purpose.
OVER_QUOTA_STATUS = 429


@define
class Withdrawal:
    """A key or target that must no longer be used; ``since_s`` is when the store recorded it."""

    name: str
    since_s: float


@frozen
class TargetCut:
    """A time in which some VMs were cut off from all targets."""

    vms: tuple[VmProcess, ...]
    since_s: float
    until_s: float


@define
class PromiseChecker:
    """Collects broken promises; ``check_counts`` counts the checks of each timed promise.

    ``quota_in_window`` is the number of requests that an account may run per quota window.
    """

    bounds: ServingBounds
    targets: Sequence[TargetStandIn]
    vms: list[VmProcess]
    calls: list[Call]
    withdrawn_keys: list[Withdrawal] = field(factory=list)
    drained: list[Withdrawal] = field(factory=list)
    cuts: list[TargetCut] = field(factory=list)
    limits: StatedLimits = field(factory=StatedLimits)
    words: TargetWords = field(factory=TargetWords)
    quota_in_window: float = 0.0
    broken: list[str] = field(factory=list)
    check_counts: dict[str, int] = field(factory=dict)

    def check_invariants(self) -> None:
        """Check the promises that must hold at any moment."""
        names_by_attempt: dict[str, list[str]] = {}
        for target in self.targets:
            for run in target.runs:
                names_by_attempt.setdefault(run.attempt_id, []).append(target.name)
        for call in self.calls:
            self._check_call(call, names_by_attempt.get(call.attempt_id, []))
        known = {call.attempt_id for call in self.calls}
        self._report(
            f"{attempt} ran but no caller sent it"
            for attempt in names_by_attempt
            if attempt not in known
        )

    def check_all(self, recovered_since_s: float) -> None:
        """Check all promises, including those that need the whole run."""
        self.check_invariants()
        self._check_quota()
        self._check_retries()
        self._check_withdrawn_keys()
        self._check_drained()
        self.check_limits()
        self.check_words()
        self._check_cuts()
        self._check_graceful_shutdown()
        self._check_recovery(recovered_since_s)
        for vm in self.vms:
            self._report(
                f"{vm.name} exited unexpectedly with {code}" for code in vm.unexpected_exits
            )

    def check_followed(self, vm: VmProcess, known: int | None, expected: int) -> None:
        """Check the number of targets that a VM knows, if it has run undisturbed for a while."""
        now_s = read_clock_s()
        if known is None or not vm.was_undisturbed(now_s - SETTLING_S, now_s):
            return
        self._count_checks("followed targets")
        if known != expected:
            self._report([f"{vm.name} knows {known} targets instead of {expected}"])

    def _check_call(self, call: Call, names: list[str]) -> None:
        response = call.response
        if call.path.startswith("/bookings/") and len(names) > 1:
            self._report([f"{call.attempt_id} is a booking and ran at {names}"])
        if len(set(names)) > MAX_ATTEMPTS:
            self._report([f"{call.attempt_id} ran at more than {MAX_ATTEMPTS} targets: {names}"])
        if response is None:
            return
        if response.status in NOT_RUN_STATUSES and names:
            self._report(
                [f"{call.attempt_id} got {response.status} from {call.vm.name} and ran at {names}"]
            )
        is_own_answer = any(
            response.body.decode() == f"{name} ran {call.attempt_id}" for name in set(names)
        )
        if response.status == 200 and not is_own_answer and not self._broke_off(call, names):
            self._report([f"{call.attempt_id} got {response.body!r} from {call.vm.name}"])

    def _broke_off(self, call: Call, names: list[str]) -> bool:
        """Return whether a target ended within its answer, so that no one can tell its end."""
        body = b"" if call.response is None else call.response.body
        ended_s = call.sent_s if call.ended_s is None else call.ended_s
        return any(
            call.sent_s <= crash_s <= ended_s
            and f"{target.name} ran {call.attempt_id}".encode().startswith(body)
            for target in self.targets
            if target.name in names
            for crash_s in target.crashes_s
        )

    def _check_quota(self) -> None:
        """Check the quota of each account. Only first runs count; repeats have their own bound."""
        accounts: dict[str, list[float]] = {}
        for run in self._first_runs().values():
            accounts.setdefault(run.account, []).append(run.started_s)
        for account, times in accounts.items():
            highest_count = max(
                _count_in(times, at_s, self.bounds.quota_window_s) for at_s in times
            )
            self._count_checks("quota windows", len(times))
            if highest_count > self.quota_in_window:
                self._report([f"{account} ran {highest_count} requests in a window"])

    def _check_retries(self) -> None:
        """Check each service's retries, rejected arrivals included, against its requests."""
        for service in {target.service for target in self.targets}:
            targets = [target for target in self.targets if target.service == service]
            arrivals = [arrival for target in targets for arrival in target.arrivals]
            sent = [call.sent_s for call in self.calls if call.path.startswith(f"/{service}/")]
            worst = worst_window(sent, arrivals, self.bounds)
            self._count_checks("retries", len(retry_times_s(arrivals)))
            if worst.excess > 0:
                self._report([f"{service}: {worst.retries} retries, allowed {worst.allowed:.0f}"])

    def _first_runs(self) -> dict[str, RunRecord]:
        first: dict[str, RunRecord] = {}
        for run in (run for target in self.targets for run in target.runs):
            known = first.get(run.attempt_id)
            if known is None or run.started_s < known.started_s:
                first[run.attempt_id] = run
        return first

    def _check_withdrawn_keys(self) -> None:
        for withdrawal in self.withdrawn_keys:
            bound_s = withdrawal.since_s + self.bounds.configuration_s + SCHEDULING_SLACK_S
            for call in self.calls:
                if call.key != withdrawal.name or call.sent_s < bound_s:
                    continue
                if not self._was_vm_settled(call):
                    continue
                self._count_checks("withdrawn keys")
                if call.status == 200:
                    self._report([f"{call.attempt_id} was served with the key {call.key}"])

    def _check_drained(self) -> None:
        targets = {target.name: target for target in self.targets}
        calls = {call.attempt_id: call for call in self.calls}
        for withdrawal in self.drained:
            bound_s = withdrawal.since_s + self.bounds.drain_s + SCHEDULING_SLACK_S
            for run in targets[withdrawal.name].runs:
                call = calls[run.attempt_id]
                if call.sent_s > bound_s and self._was_vm_settled(call):
                    self._report(
                        [f"{call.attempt_id} reached {withdrawal.name}, which was draining"]
                    )
            self._count_checks("drained targets")

    def check_limits(self) -> None:
        """Check that no target got more requests than the limits that it stated allow."""
        self._count_checks("stated limits", len(self.limits.periods))
        self._report(self.limits.excesses())

    def check_words(self) -> None:
        """Check that targets that leave, or rest, get no requests of the VMs that they told."""
        self._report(self.words.broken(self.calls, self.targets, self.bounds.drain_s))
        self.check_counts.update(self.words.check_counts)

    def check_memory(self) -> None:
        """Check that no VM takes more memory than the smallest VM has."""
        for vm in self.vms:
            peak_mb = vm.peak_memory_mb()
            self._count_checks("memory")
            if peak_mb > VM_MEMORY_MB:
                self._report([f"{vm.name} took more than {VM_MEMORY_MB} MB"])

    def _check_cuts(self) -> None:
        """Check that VMs cut off from all targets serve about as well as the others."""
        for cut in self.cuts:
            calls = [
                call
                for call in self.calls
                if cut.since_s + CUT_NOTICED_S <= call.sent_s < cut.until_s
                and call.ended_s is not None
                and not call.has_disconnected
                and call.status not in (OVER_QUOTA_STATUS, 401)
                and self._was_vm_settled(call)
            ]
            at_cut = [call for call in calls if call.vm in cut.vms]
            others = [call for call in calls if call.vm not in cut.vms]
            self._count_checks("calls at cut VMs", len(at_cut))
            failed = sum(call.status != 200 for call in at_cut)
            is_worse = _served_share(at_cut) < CUT_SERVED_RATIO * _served_share(others)
            if is_worse and failed > CUT_SLACK_CALLS + len(calls) / 50:
                self._report([f"{failed} of {len(at_cut)} calls failed at cut VMs"])

    def _check_graceful_shutdown(self) -> None:
        """Check that a VM that is shutting down answers the requests that it has read."""
        for call in self.calls:
            if call.ended_s is None or call.has_disconnected:
                continue
            if not call.vm.was_only_stopped(call.sent_s - self.bounds.grace_s, call.ended_s):
                continue
            self._count_checks("requests at stopping VMs")
            was_held = call.is_upload or call.ended_s - call.sent_s >= LOSS_SLACK_S
            if call.response is None and call.may_have_arrived and was_held:
                self._report(
                    [f"{call.attempt_id} got no answer from {call.vm.name}, which shut down"]
                )

    def _check_recovery(self, since_s: float) -> None:
        withdrawn = {withdrawal.name for withdrawal in self.withdrawn_keys}
        after_recovery = [
            call
            for call in self.calls
            if call.sent_s > since_s
            and call.ended_s is not None
            and not call.has_disconnected
            and call.key not in withdrawn
            and call.status != OVER_QUOTA_STATUS
        ]
        served = sum(call.status == 200 for call in after_recovery)
        self._count_checks("recovered", len(after_recovery))
        if not after_recovery or served < RECOVERED_SHARE * len(after_recovery):
            self._report(
                [f"{served} of {len(after_recovery)} requests were served after all faults"]
            )

    def _was_vm_settled(self, call: Call) -> bool:
        ended_s = call.sent_s if call.ended_s is None else call.ended_s
        return call.vm.was_undisturbed(call.sent_s - SETTLING_S, ended_s)

    def _report(self, texts: Iterable[str]) -> None:
        for text in texts:
            if text not in self.broken:
                self.broken.append(text)

    def _count_checks(self, promise: str, number: int = 1) -> None:
        self.check_counts[promise] = self.check_counts.get(promise, 0) + number


def _served_share(calls: list[Call]) -> float:
    return sum(call.status == 200 for call in calls) / len(calls) if calls else 0.0


def _count_in(times: list[float], start_s: float, window_s: float) -> int:
    return sum(start_s <= time_s < start_s + window_s for time_s in times)
