"""VMs that tell one another what they know agree on which requests are blocked."""

from __future__ import annotations

from attrs import define
from attrs import field
from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.steering.crash_guard import CrashGuard
from siskinward.coordination.steering.crash_guard import CrashGuardSettings

VM_COUNT = 3
REQUESTS = ("one", "two")
TARGETS = 6
STEP_S = 0.5
SETTINGS = CrashGuardSettings()

vm_numbers = st.integers(0, VM_COUNT - 1)
events = st.one_of(
    st.tuples(st.just("lose"), vm_numbers, st.sampled_from(REQUESTS), st.integers(1, TARGETS)),
    st.tuples(st.just("answer"), vm_numbers, st.sampled_from(REQUESTS), st.just(0)),
    st.tuples(st.just("restart"), vm_numbers, st.just(""), st.just(0)),
    st.tuples(st.just("tell"), vm_numbers, st.just(""), st.just(0)),
)


@define
class Vms:
    """The guards of all VMs, and the targets lost to each request since it was last answered.

    One that is lost long after it was lost before has started again, and counts again.
    """

    guards: list[CrashGuard] = field(
        factory=lambda: [CrashGuard(SETTINGS) for _ in range(VM_COUNT)]
    )
    lost: dict[str, list[tuple[int, float]]] = field(
        factory=lambda: {request: [] for request in REQUESTS}
    )
    now_s: float = 0.0

    def play(self, event: tuple[str, int, str, int]) -> None:
        """Let something happen at a VM."""
        kind, vm, request, target = event
        self.now_s += STEP_S
        guard = self.guards[vm]
        match kind:
            case "lose":
                guard.on_connection_lost(request, f"target-{target}", target * 100, self.now_s)
                guard.on_target_down(f"target-{target}", self.now_s)
                since_s = self.now_s - SETTINGS.confirm_within_s
                if not any(name == target and at_s >= since_s for name, at_s in self.lost[request]):
                    self.lost[request].append((target, self.now_s))
            case "answer":
                guard.on_answer(request, self.now_s)
                self.lost[request].clear()
            case "restart":
                self.guards[vm] = CrashGuard(SETTINGS)
            case "tell":
                self.tell(vm)

    def tell(self, vm: int) -> None:
        """Let a VM tell the others what it knows, as its heartbeats do."""
        guard = self.guards[vm]
        losses = guard.own_losses(self.now_s) | guard.blocked_losses(self.now_s)
        answers = guard.own_answers(self.now_s)
        for other in self.guards:
            if other is not guard:
                other.on_peer_losses(losses, self.now_s)
                other.on_peer_answers(answers, self.now_s)

    def tell_all(self) -> None:
        """Let all VMs tell one another all that they know."""
        for vm in (*range(VM_COUNT), *range(VM_COUNT)):
            self.tell(vm)


def play_all(played: list[tuple[str, int, str, int]], *, tells_each: bool) -> Vms:
    """Play events, after each of which all VMs may tell one another what they know."""
    vms = Vms()
    for event in played:
        vms.play(event)
        if tells_each:
            vms.tell_all()
    return vms


@given(st.lists(events, max_size=24))
def test_guards_that_told_one_another_agree_on_what_is_blocked(
    played: list[tuple[str, int, str, int]],
) -> None:
    vms = play_all(played, tells_each=False)
    vms.tell_all()
    for request in REQUESTS:
        assert len({guard.is_blocked(request, vms.now_s) for guard in vms.guards}) == 1


@given(st.lists(events.filter(lambda event: event[0] != "restart"), max_size=24))
def test_guards_block_exactly_after_so_many_targets_lost_since_the_last_answer(
    played: list[tuple[str, int, str, int]],
) -> None:
    vms = play_all(played, tells_each=True)
    for request, lost in vms.lost.items():
        is_blocked = len(lost) >= SETTINGS.block_after
        assert all(guard.is_blocked(request, vms.now_s) == is_blocked for guard in vms.guards)
