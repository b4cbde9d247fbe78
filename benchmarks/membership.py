"""Measures processor time and bytes per VM of membership, freshness and version sync.

Run with ``PYTHONPATH=src python benchmarks/membership.py`` from the root. All VMs run in one
process on simulated time. The daemon's codec encodes and decodes every message, and this time is
counted. The column ``compact`` is the rate of sent bytes if frames held no class and field names.
"""

from __future__ import annotations

from collections import deque
from random import Random
from statistics import mean
from time import process_time
from typing import Any

import msgpack
from attrs import astuple
from attrs import define

from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowRead
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.membership import Membership
from siskinward.coordination.membership import MembershipSettings
from siskinward.coordination.membership import VmAddress
from siskinward.coordination.membership.messages import Heartbeat
from siskinward.coordination.platform import ListedVm
from siskinward.coordination.publishing import ConfigurationPointer
from siskinward.coordination.publishing import encode_pointer
from siskinward.coordination.state_replica import StateReplica
from siskinward.coordination.state_replica import StateReplicaSettings
from siskinward.coordination.version_messages import Activated
from siskinward.coordination.version_messages import FetchObject
from siskinward.coordination.version_messages import FreshnessBeat
from siskinward.coordination.version_messages import ObjectFetched
from siskinward.coordination.version_messages import VersionPush
from siskinward.coordination.version_messages import VersionRequest
from siskinward.protocol.registry import create_codec
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName
from siskinward.state.versions import content_hash_of

TICK_S = 0.25
SETTLE_S = 8.0
MEASURE_S = 4.0
TCP_IP_BYTES = 40
HOP_S = 0.02
STATE = "configuration"
CONTENT_BYTES = 150_000
CHANGED_BYTES = 300
PUBLICATIONS = 5
TARGET_VMS = 590
PUBLICATION_S = 2.5
BUDGET_BYTES_PER_S = 14_000
BUDGET_CORE = 0.038
CODEC = create_codec()
PEER = "peer"


def encode(message: Any) -> bytes:
    """Encode a message as the daemon does."""
    return CODEC.encode(message)


def decode(frame: bytes) -> Any:
    """Decode the message in a frame."""
    return CODEC.decode(msgpack.unpackb(frame), PEER).ok


def compact_bytes(message: Any) -> int:
    """Return the size of a frame without the names of the class and its fields."""
    return len(msgpack.packb([0, astuple(message)]))


@define
class Usage:
    """Processor time and traffic of one VM since the last reset."""

    busy_s: float = 0.0
    sent_bytes: int = 0
    compact_bytes: int = 0
    push_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0
    segments: int = 0


class BenchVm:
    """Membership, state replica and usage counters of one VM."""

    def __init__(self, item: ListedVm, now_s: float) -> None:
        incarnation = IncarnationId(f"{Random(item.vm).getrandbits(64):016x}")
        self.identity = VmIdentity(item.vm, item.failure_domain, incarnation)
        address = VmAddress(item.host, item.front_port, item.peer_port)
        self.membership = Membership(MembershipSettings(), self.identity, address, now_s)
        self.replica = StateReplica(
            StateReplicaSettings(), self.identity, STATE, Random(item.vm), now_s
        )
        self.usage = Usage()
        self.activated_s: dict[int, float] = {}
        self.revision = -1


class BenchFleet:
    """All VMs of a deployment on one simulated clock."""

    def __init__(self, domains: int, size: int) -> None:
        self.now_s = 0.0
        self.row = (0, b"")
        self.objects: dict[str, bytes] = {}
        # Every hop takes ``HOP_S``, so frames arrive in the order in which they were sent.
        self.in_flight: deque[tuple[float, str, bytes, VmIdentity]] = deque()
        self.listed = tuple(
            ListedVm(
                VmName(f"vm-{d:02}-{i:02}"),
                DomainName(f"domain-{d:02}"),
                f"10.{d}.0.{i}",
                8080,
                7000,
                False,
            )
            for d in range(domains)
            for i in range(size)
        )
        self.known = frozenset(item.failure_domain for item in self.listed)
        self.vms = {str(item.vm): BenchVm(item, self.now_s) for item in self.listed}
        for vm in self.vms.values():
            vm.membership.on_vm_list(self.listed, self.now_s)

    def publish(self, version: int) -> None:
        """Store a content with ``CHANGED_BYTES`` new bytes and point the configuration to it."""
        content = bytearray(Random(0).randbytes(CONTENT_BYTES))
        content[1000 : 1000 + CHANGED_BYTES] = Random(version).randbytes(CHANGED_BYTES)
        name = content_hash_of(bytes(content))
        self.objects[name] = bytes(content)
        pointer = ConfigurationPointer(version, name, f"publisher-{version}", "", 0.0)
        self.row = (version, encode_pointer(pointer))

    def run(self, duration_s: float, step_s: float = TICK_S) -> None:
        """Advance the clock; timers fire on every tick of ``TICK_S``."""
        end_s = self.now_s + duration_s - 1e-9
        while self.now_s < end_s:
            self.now_s = round(self.now_s + step_s, 6)
            while self.in_flight and self.in_flight[0][0] <= self.now_s:
                _, to, frame, sender = self.in_flight.popleft()
                self.receive(self.vms[to], frame, sender)
            if abs(self.now_s / TICK_S - round(self.now_s / TICK_S)) < 1e-6:
                for vm in self.vms.values():
                    self.tick(vm)

    def tick(self, vm: BenchVm) -> None:
        """Run the timers of one VM."""
        started = process_time()
        now_s = self.now_s
        membership = vm.membership
        effects: list[Any] = list(membership.on_timer(now_s))
        if membership.revision != vm.revision:
            vm.revision = membership.revision
            vm.replica.on_membership(membership, self.known, now_s)
        effects += vm.replica.on_timer(now_s)
        self.apply_effects(vm, effects)
        vm.usage.busy_s += process_time() - started

    def receive(self, vm: BenchVm, frame: bytes, sender: VmIdentity) -> None:
        """Decode a message and pass it to the replica or the membership."""
        started = process_time()
        message = decode(frame)
        effects: list[Any] = []
        match message:
            case FreshnessBeat() | VersionPush() | VersionRequest():
                effects += vm.replica.on_message(message, sender, self.now_s)
            case _:
                effects += vm.membership.on_message(message, sender, self.now_s)
        self.apply_effects(vm, effects)
        vm.usage.busy_s += process_time() - started
        vm.usage.received_bytes += len(frame)

    def apply_effects(self, vm: BenchVm, effects: list[Any]) -> None:
        """Apply effects; messages sent to one VM in the same step count as one TCP segment."""
        receivers: set[str] = set()
        for effect in effects:
            match effect:
                case Send(to, message):
                    frame = encode(message)
                    receivers.add(to)
                    vm.usage.sent_bytes += len(frame)
                    excluded_from_s = process_time()
                    vm.usage.compact_bytes += compact_bytes(message)
                    vm.usage.busy_s -= process_time() - excluded_from_s
                    vm.usage.messages += 1
                    if isinstance(message, VersionPush):
                        vm.usage.push_bytes += len(frame)
                    self.in_flight.append((self.now_s + HOP_S, to, frame, vm.identity))
                case ReadRow(row, request_id):
                    answer = RowRead(row, request_id, *self.row)
                    self.apply_effects(vm, vm.replica.on_table_answer(answer, self.now_s))
                case FetchObject(name):
                    fetched = ObjectFetched(name, self.objects[name])
                    self.apply_effects(vm, vm.replica.on_object(fetched, self.now_s))
                case Activated(_, pointer):
                    vm.activated_s[pointer.version] = self.now_s
        vm.usage.segments += len(receivers)

    def reset(self) -> None:
        """Reset the usage counters of all VMs."""
        for vm in self.vms.values():
            vm.usage = Usage()


COLUMNS = (
    "sent/s",
    "sent B/s",
    "compact",
    "recv B/s",
    "TCP B/s",
    "core %",
    "B/limit",
    "CPU/limit",
)


def report(fleet: BenchFleet, label: str, duration_s: float) -> tuple[float, float]:
    """Print mean rates of relays and of other VMs; return the relays' bytes/s and core share."""
    results = (0.0, 0.0)
    for role, wanted in (("relay", True), ("other", False)):
        usages = [
            vm.usage for vm in fleet.vms.values() if vm.membership.is_relay(fleet.now_s) is wanted
        ]
        if not usages:
            continue
        core = mean(u.busy_s for u in usages) / duration_s
        sent = mean(u.sent_bytes for u in usages) / duration_s
        compact = mean(u.compact_bytes for u in usages) / duration_s
        received = mean(u.received_bytes for u in usages) / duration_s
        headers = mean(u.segments for u in usages) / duration_s * TCP_IP_BYTES
        messages = mean(u.messages for u in usages) / duration_s
        budget = (sent + headers) / BUDGET_BYTES_PER_S
        figures = (messages, sent, compact, received, headers)
        cells = "".join(f"{value:11.0f}" for value in figures)
        shares = f"{core * 100:11.3f}{budget:11.2f}{core / BUDGET_CORE:11.2f}"
        print(f"{label:>13} {role:>6}{cells}{shares}")
        if wanted:
            results = (sent + headers, core)
    return results


def measure_steady(domains: int, size: int) -> tuple[BenchFleet, tuple[float, float]]:
    """Measure a fleet without membership changes or publications."""
    fleet = BenchFleet(domains, size)
    fleet.publish(1)
    fleet.run(SETTLE_S)
    fleet.reset()
    fleet.run(MEASURE_S)
    return fleet, report(fleet, f"{domains} x {size}", MEASURE_S)


def measure_publications(fleet: BenchFleet) -> None:
    """Publish versions; print how long they take to reach all VMs and the bytes pushed."""
    worst_s, push_bytes = [], []
    for version in range(2, 2 + PUBLICATIONS):
        fleet.reset()
        published_s = fleet.now_s
        fleet.publish(version)
        fleet.run(PUBLICATION_S, step_s=0.01)
        times = [vm.activated_s.get(version, float("inf")) for vm in fleet.vms.values()]
        worst_s.append(max(times) - published_s)
        pushes = [vm.usage.push_bytes for vm in fleet.vms.values()]
        push_bytes.append((mean(pushes), max(pushes)))
    spread = f"mean {mean(worst_s):.2f}, worst {max(worst_s):.2f}"
    print(f"version in force on all {len(fleet.vms)} VMs after, at {HOP_S} s a hop: {spread} s")
    average = mean(item[0] for item in push_bytes)
    most = max(item[1] for item in push_bytes)
    print(f"pushes for {CHANGED_BYTES} bytes changed of {CONTENT_BYTES}, in bytes sent:", end="")
    print(f" mean of all VMs {average:.0f}, busiest relay {most}")


def main() -> None:
    """Print rates by size and role, slopes per VM, and the propagation time of a version."""
    print(f"{'domains x VMs':>13} {'role':>6}" + "".join(f"{name:>11}" for name in COLUMNS))
    relay_rates = {(6, size): measure_steady(6, size)[1] for size in (2, 10, 30, 60)}
    relay_rates |= {(20, size): measure_steady(20, size)[1] for size in (2, 10)}
    target, relay_rates[20, 30] = measure_steady(20, 30)
    for label, more, less in (("VM of its", (6, 60), (6, 10)), ("other", (20, 30), (6, 30))):
        count = sum(more) - sum(less)
        bytes_slope = (relay_rates[more][0] - relay_rates[less][0]) / count
        core_slope = (relay_rates[more][1] - relay_rates[less][1]) / count
        print(f"relay, per {label} domain: {bytes_slope:.0f} B/s, {core_slope * 1e6:.0f} us/s")
    heartbeat_bytes = len(encode(Heartbeat(False, True, b""))) + TCP_IP_BYTES
    all_pairs = (TARGET_VMS - 1) * heartbeat_bytes / MembershipSettings().heartbeat_interval_s
    print(f"for comparison, heartbeats between all {TARGET_VMS} VMs: {all_pairs:.0f} B/s sent a VM")
    measure_publications(target)


if __name__ == "__main__":
    main()
