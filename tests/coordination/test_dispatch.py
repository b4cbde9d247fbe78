from __future__ import annotations

from collections import Counter
from random import Random

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.admission import AdmissionSettings
from siskinward.coordination.admission import SlotLedger
from siskinward.coordination.dispatch import Completed
from siskinward.coordination.dispatch import Dispatcher
from siskinward.coordination.dispatch import DispatchResult
from siskinward.coordination.dispatch import ExecutionResult
from siskinward.coordination.dispatch import Failed
from siskinward.coordination.dispatch import Lost
from siskinward.coordination.dispatch import Offer
from siskinward.coordination.dispatch import Started
from siskinward.coordination.dispatch import Unsent
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.ownership import OwnershipParticipant
from siskinward.coordination.ownership import OwnershipSettings
from siskinward.coordination.routing import RoutingSettings
from siskinward.coordination.routing import TargetPicker
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName
from siskinward.state.objects import Configuration
from siskinward.state.objects import FailureDomain
from siskinward.state.objects import RegionLimit
from siskinward.state.objects import Service
from siskinward.state.objects import ServiceClass
from siskinward.state.objects import Target
from siskinward.state.objects import TargetGroup

DOMAIN = DomainName("harju-1")
SLOTS = 2
TIMEOUT_S = 2.0
SERVICE = Service(ServiceName("payments"), ServiceClass.ORDER, timeout_s=TIMEOUT_S, queue_limit=4)
TARGETS = [TargetName("pay-1"), TargetName("pay-2")]
CONFIGURATION = Configuration(
    services={SERVICE.name: SERVICE},
    target_groups={"group": TargetGroup("group", SERVICE.name, DOMAIN)},
    targets={name: Target(name, "group", "::1", 80, SLOTS, 390) for name in TARGETS},
)


class DispatchHarness:
    """A dispatcher of a domain's only VM, with a clock and a count of outcomes per request."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.ledger = SlotLedger(AdmissionSettings())
        own = VmIdentity(VmName("vm"), DOMAIN, IncarnationId("a"))
        self.ownership = OwnershipParticipant(OwnershipSettings(), own, self.ledger, CONFIGURATION)
        self.picker = TargetPicker(RoutingSettings(), Random(1))
        self.dispatcher = Dispatcher(
            SERVICE, AdmissionSettings(), self.ledger, self.ownership, self.picker
        )
        self.dispatcher.set_configuration(CONFIGURATION, DOMAIN)
        self.outcome_counts: Counter[int] = Counter()
        self.running: dict[int, Started] = {}
        self.advance_clock(0.0)

    def advance_clock(self, seconds: float) -> None:
        self.now_s += seconds
        self.ownership.on_grant(may_use=True, epoch=1, now_s=self.now_s)
        self.ownership.on_timer(self.now_s)
        self.record(self.dispatcher.on_timer(self.now_s))

    def offer(self, request_id: int, deadline_s: float = TIMEOUT_S) -> DispatchResult:
        offer = Offer(request_id, AccountName("zoo"), 1.0, self.now_s + deadline_s)
        return self.record(self.dispatcher.offer(offer, self.now_s))

    def record(self, result: DispatchResult) -> DispatchResult:
        self.running.update({started.request_id: started for started in result.started})
        self.outcome_counts.update(started.request_id for started in result.started)
        self.outcome_counts.update(refused.request_id for refused in result.refused)
        return result


def test_requests_start_up_to_the_slots_and_wait_for_the_next() -> None:
    harness = DispatchHarness()
    for request_id in range(5):
        harness.offer(request_id)
    assert Counter(started.slot.target for started in harness.running.values()) == {
        "pay-1": SLOTS,
        "pay-2": SLOTS,
    }
    result = harness.dispatcher.finish(0, Completed(0.1), harness.now_s)
    assert [started.request_id for started in result.started] == [4]
    assert harness.dispatcher.finish(0, Completed(0.1), harness.now_s) == DispatchResult()


def test_lapsed_lease_refuses_new_requests() -> None:
    harness = DispatchHarness()
    harness.now_s += OwnershipSettings().lease_s
    result = harness.offer(1)
    assert result.refused[0].outcome.reason is RefusalReason.NO_TARGET


EXECUTION_RESULTS: dict[str, ExecutionResult] = {
    "failed": Failed(),
    "lost": Lost(),
    "unsent": Unsent(),
}
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["offer", "completed", "failed", "lost", "unsent", "cancel", "time", "up", "leaving"]
        ),
        st.floats(0.01, 1.5),
    ),
    max_size=60,
)


@given(STEPS)
def test_targets_stay_within_slots_and_every_offer_has_one_outcome(
    steps: list[tuple[str, float]],
) -> None:
    harness = DispatchHarness()
    busy: list[tuple[str, float]] = []
    offered: list[int] = []
    for request_id, (step, length_s) in enumerate(steps):
        oldest = next(iter(harness.running), None)
        match step:
            case "offer":
                offered.append(request_id)
                harness.offer(request_id, deadline_s=length_s)
            case "completed" | "failed" | "lost" | "unsent" if oldest is not None:
                slot = harness.running.pop(oldest).slot
                if step == "lost":
                    busy.append((slot.target, slot.deadline_s))
                execution = EXECUTION_RESULTS.get(step, Completed(length_s))
                harness.record(harness.dispatcher.finish(oldest, execution, harness.now_s))
            case "cancel" if offered and harness.dispatcher.cancel(offered[-1]):
                harness.outcome_counts[offered[-1]] += 1
            case "time":
                harness.advance_clock(length_s)
            case "up":
                harness.picker.on_target_up(TARGETS[0], harness.now_s)
            case "leaving":
                harness.picker.set_leaving(TARGETS[:1] if length_s > 0.7 else ())
        in_use = Counter(started.slot.target for started in harness.running.values())
        in_use.update(target for target, until_s in busy if until_s > harness.now_s)
        assert all(count <= SLOTS for count in in_use.values())
        assert all(count == 1 for count in harness.outcome_counts.values())
    for _ in range(4):
        harness.advance_clock(TIMEOUT_S / 4)
    assert set(harness.outcome_counts) == set(offered)


def test_region_limit_delays_starts_and_refuses_the_excess() -> None:
    harness = DispatchHarness()
    limit_per_s = 20.0
    limited = evolve(
        CONFIGURATION,
        failure_domains={DOMAIN: FailureDomain(DOMAIN, RegionName("harju"))},
        region_limits={"r": RegionLimit("r", RegionName("harju"), SERVICE.name, limit_per_s)},
    )
    harness.dispatcher.set_configuration(limited, DOMAIN)
    refusals = 0
    steps_per_s, seconds = 100, 3
    for request_id in range(steps_per_s * seconds):
        harness.advance_clock(1.0 / steps_per_s)
        refusals += len(harness.offer(request_id).refused)
        for running_id in list(harness.running):
            del harness.running[running_id]
            harness.record(harness.dispatcher.finish(running_id, Completed(0.001), harness.now_s))
    started = len(harness.outcome_counts) - refusals
    assert 0.8 * limit_per_s * seconds <= started <= limit_per_s * seconds
    assert refusals > 0
