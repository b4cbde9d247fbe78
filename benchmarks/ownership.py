"""Compares schemes to share a domain's slots, and measures leases at 30 VMs and 150 targets.

Run with ``python benchmarks/ownership.py``.
"""

from __future__ import annotations

import heapq
import time
from collections import Counter
from collections import deque
from random import Random

import cattrs
import msgpack

from siskinward.coordination.admission import AdmissionSettings
from siskinward.coordination.admission import SlotLedger
from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.ownership import OwnershipParticipant
from siskinward.coordination.ownership import OwnershipSettings
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName
from siskinward.state.objects import Configuration
from siskinward.state.objects import Service
from siskinward.state.objects import ServiceClass
from siskinward.state.objects import Target
from siskinward.state.objects import TargetGroup

SERVICE_S = 0.02
SERVICE_SIGMA = 0.5
HOP_S = 0.0002
REQUESTS = 60_000
LOADS = (0.7, 0.9)
# VMs and slots of one failure domain: at present, and at the two-year size.
DOMAIN_SIZES = ((2, 6), (30, 36))
HOT_SHARE = 0.3
DOMAIN = DomainName("domain-0")
VMS = 30
TARGETS = 150
GROUPS = 10
TICK_S = 0.1
CALM_S = 60.0
STEADY_BYTES_FROM_S = 20.0


def simulate(scheme: str, load: float, vms: int, slots: int) -> float:
    """Return the p99 of waiting plus service time in ms; one VM gets an extra ``HOT_SHARE``.

    ``owner`` forwards to one queue, ``permits`` moves single slots between VMs on demand, and
    ``split`` assigns each VM a fixed part of the slots.
    """
    random = Random(3)
    queues = vms if scheme == "split" else 1
    free = [slots // queues + (number < slots % queues) for number in range(queues)]
    waiting: list[deque[float]] = [deque() for _ in range(queues)]
    running: list[tuple[float, int]] = []
    latencies_s = []
    now_s = 0.0
    for _ in range(REQUESTS):
        now_s += random.expovariate(load * slots / SERVICE_S)
        while running and running[0][0] <= now_s:
            ended_s, queue = heapq.heappop(running)
            if waiting[queue]:
                arrived_s = waiting[queue].popleft()
                end_s = ended_s + service_s(random)
                latencies_s.append(end_s - arrived_s)
                heapq.heappush(running, (end_s, queue))
            else:
                free[queue] += 1
        vm = 0 if random.random() < HOT_SHARE else random.randrange(vms)
        queue = vm % queues
        hops = {"owner": 2, "permits": 4, "split": 0}[scheme] if random.random() > 1 / vms else 0
        arrived_s = now_s - hops * HOP_S
        if free[queue] and not waiting[queue]:
            free[queue] -= 1
            end_s = now_s + service_s(random)
            latencies_s.append(end_s - arrived_s)
            heapq.heappush(running, (end_s, queue))
        else:
            waiting[queue].append(arrived_s)
    latencies_s.sort()
    return latencies_s[int(len(latencies_s) * 0.99)] * 1000


def service_s(random: Random) -> float:
    """Return a random service time, lognormal with mean ``SERVICE_S``."""
    return SERVICE_S * random.lognormvariate(-(SERVICE_SIGMA**2) / 2, SERVICE_SIGMA)


class Domain:
    """Simulates the ownership participants of one failure domain on a network without loss."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.configuration = make_configuration()
        self.participants: dict[VmName, OwnershipParticipant] = {}
        self.identities: dict[VmName, VmIdentity] = {}
        self.grant_vm, self.epoch = VmName("vm-0"), 1
        self.sent_bytes: Counter[VmName] = Counter()
        self.cpu_s: Counter[VmName] = Counter()
        for number in range(VMS):
            vm = VmName(f"vm-{number}")
            identity = VmIdentity(vm, DOMAIN, IncarnationId(str(number)))
            ledger = SlotLedger(AdmissionSettings())
            self.identities[vm] = identity
            self.participants[vm] = OwnershipParticipant(
                OwnershipSettings(), identity, ledger, self.configuration
            )

    def run(self, duration_s: float, *, until_all_usable: bool = False) -> None:
        """Advance by ticks of ``TICK_S``; messages arrive without delay."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            members = list(self.identities.values())
            for vm, participant in list(self.participants.items()):
                start = time.process_time()
                effects = participant.on_members(members, self.now_s)
                may_use = vm == self.grant_vm
                effects += participant.on_grant(may_use=may_use, epoch=self.epoch, now_s=self.now_s)
                effects += participant.on_timer(self.now_s)
                self.cpu_s[vm] += time.process_time() - start
                self._deliver(effects, self.identities[vm])
            if until_all_usable and self.usable() == TARGETS:
                return

    def usable(self) -> int:
        """Return the number of targets that some VM may use now."""
        return sum(len(p.usable_targets(self.now_s)) for p in self.participants.values())

    def remove(self, vm: VmName) -> None:
        """Remove a VM whose process has ended."""
        del self.participants[vm]
        del self.identities[vm]

    def _deliver(self, effects: list[Effect], sender: VmIdentity) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            self.sent_bytes[sender.vm] += len(msgpack.packb(cattrs.unstructure(effect.message)))
            receiver = self.participants.get(effect.to)
            if receiver is None:
                continue
            start = time.process_time()
            answers = receiver.on_message(effect.message, sender, self.now_s)
            self.cpu_s[effect.to] += time.process_time() - start
            self._deliver(answers, self.identities[effect.to])


def make_configuration() -> Configuration:
    """Return 150 targets with 3 slots each, in 10 groups of one service."""
    service = Service(ServiceName("listings"), ServiceClass.READ, timeout_s=5.0)
    groups = [f"group-{number}" for number in range(GROUPS)]
    targets = {}
    for number in range(TARGETS):
        name = TargetName(f"target-{number}")
        targets[name] = Target(name, groups[number % GROUPS], "192.0.2.1", 80, 3, 330)
    return Configuration(
        services={service.name: service},
        target_groups={name: TargetGroup(name, service.name, DOMAIN) for name in groups},
        targets=targets,
    )


def measure_calm(domain: Domain) -> None:
    """Print control traffic and processor time while no VM joins or leaves."""
    domain.run(STEADY_BYTES_FROM_S)
    domain.sent_bytes.clear()
    domain.cpu_s.clear()
    domain.run(CALM_S)
    for label, vm in (("assigner", domain.grant_vm), ("other", VmName("vm-7"))):
        rate = domain.sent_bytes[vm] / CALM_S
        share = domain.cpu_s[vm] / CALM_S * 100
        print(f"calm {label} bytes_per_s {rate:.0f} core_percent {share:.2f}")


def measure_gap(domain: Domain, label: str) -> None:
    """Print how many targets have no usable owner, and for how long."""
    start_s = domain.now_s
    domain.run(TICK_S)
    missing = TARGETS - domain.usable()
    domain.run(60.0, until_all_usable=True)
    print(f"{label} targets_without_owner {missing} for_s {domain.now_s - start_s:.1f}")


def main() -> None:
    """Print the p99 of each scheme, then the cost of leases and the gaps after faults."""
    print("vms slots load owner_p99_ms permits_p99_ms split_p99_ms owner/split")
    for vms, slots in DOMAIN_SIZES:
        for load in LOADS:
            owner, permits, split = (
                simulate(scheme, load, vms, slots) for scheme in ("owner", "permits", "split")
            )
            print(f"{vms} {slots} {load} {owner:.1f} {permits:.1f} {split:.1f} {owner / split:.3f}")
    domain = Domain()
    measure_calm(domain)
    leaving = VmName("vm-7")
    domain.participants[leaving].leave(domain.now_s)
    measure_gap(domain, "graceful-leave")
    domain.run(5.0)
    domain.remove(leaving)
    domain.run(5.0)
    domain.grant_vm, domain.epoch = VmName("vm-1"), 2
    measure_gap(domain, "grant-moves")
    domain.run(20.0)
    domain.remove(VmName("vm-3"))
    measure_gap(domain, "owner-lost")


if __name__ == "__main__":
    main()
