"""VMs with state replicas on a simulated network and platform."""

from __future__ import annotations

from random import Random
from typing import Any

from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowFailed
from siskinward.coordination.events import RowRead
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.freshness import FreshnessSettings
from siskinward.coordination.publishing import ConfigurationPointer
from siskinward.coordination.publishing import encode_pointer
from siskinward.coordination.state_replica import StateReplica
from siskinward.coordination.state_replica import StateReplicaSettings
from siskinward.coordination.version_messages import Activated
from siskinward.coordination.version_messages import FetchObject
from siskinward.coordination.version_messages import ObjectFailed
from siskinward.coordination.version_messages import ObjectFetched
from siskinward.coordination.version_messages import VersionPush
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName
from siskinward.state.versions import content_hash_of

TICK_S = 0.125
STATE = "configuration"


class Vm:
    def __init__(self, name: str, now_s: float, skew_s: float, near: frozenset[DomainName]) -> None:
        self.name = name
        self.domain = DomainName(name[0])
        self.skew_s = skew_s
        identity = VmIdentity(VmName(name), self.domain, IncarnationId(f"i-{name}-{now_s}"))
        self.identity = identity
        settings = FreshnessSettings(platform_domains=near)
        self.replica = StateReplica(
            StateReplicaSettings(freshness=settings), identity, STATE, Random(name), now_s + skew_s
        )
        self.sync = self.replica.sync
        self.versions: list[int] = []


class Net:
    """Failure domains ``a`` to ``e``, each with a relay ``x0`` and another VM ``x1``."""

    def __init__(self, domains: str = "abcde", near: str = "") -> None:
        self.now_s = 50.0
        self.near = frozenset(DomainName(d) for d in near)
        self.domains = domains
        self.vms: dict[str, Vm] = {}
        self.row = (0, b"")
        self.objects: dict[str, bytes] = {}
        self.groups: dict[str, int] = dict.fromkeys(domains, 0)
        self.platform_group: int | None = 0
        self.drop_pushes_to: set[str] = set()
        self.delay_s = 0.0
        self.in_flight: list[tuple[float, str, Any, VmIdentity]] = []
        for domain in domains:
            for index in range(2):
                self.start(f"{domain}{index}")

    def start(self, name: str) -> None:
        skew_s = 1000.0 * (ord(name[0]) - ord("a")) + 77.0 * int(name[1])
        self.vms[name] = Vm(name, self.now_s, skew_s, self.near)

    def publish(self, version: int) -> None:
        content = f"{'x' * 100}version {version}{'y' * 100}".encode()
        name = content_hash_of(content)
        self.objects[name] = content
        pointer = ConfigurationPointer(version, name, f"p{version}", "", 0.0)
        self.row = (self.row[0] + 1, encode_pointer(pointer))

    def cut(self, group: str) -> None:
        self.groups = {domain: int(domain in group) for domain in self.domains}

    def sync_peers(self, vm: Vm) -> tuple[VmName, ...]:
        relay = VmName(f"{vm.domain}0")
        if vm.name != relay:
            return (relay,)
        others = (VmName(f"{d}0") for d in self.domains if d != vm.domain)
        return (VmName(f"{vm.domain}1"), *others)

    def reachable_domains(self, vm: Vm) -> frozenset[DomainName]:
        group = self.groups[vm.domain]
        return frozenset(DomainName(d) for d in self.domains if self.groups[d] == group)

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            due = [item for item in self.in_flight if item[0] <= self.now_s]
            self.in_flight = [item for item in self.in_flight if item[0] > self.now_s]
            for _, to, message, sender in due:
                self.receive(to, message, sender)
            for vm in list(self.vms.values()):
                self.tick(vm)

    def tick(self, vm: Vm) -> None:
        clock_s = self.now_s + vm.skew_s
        known = frozenset(DomainName(d) for d in self.domains)
        freshness = vm.replica.freshness
        freshness.on_sync_peers(self.sync_peers(vm), clock_s)
        freshness.on_reachable_domains(self.reachable_domains(vm) - {vm.domain}, known, clock_s)
        vm.sync.on_sync_peers(self.sync_peers(vm), is_relay=vm.name[1] == "0", now_s=clock_s)
        self.execute(vm, vm.replica.on_timer(clock_s))

    def execute(self, vm: Vm, effects: list[Any]) -> None:
        clock_s = self.now_s + vm.skew_s
        reaches = self.platform_group == self.groups[vm.domain]
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.in_flight.append((self.now_s + self.delay_s, to, message, vm.identity))
                case ReadRow(row, request_id) if reaches:
                    answer = RowRead(row, request_id, *self.row)
                    self.execute(vm, vm.replica.on_table_answer(answer, clock_s))
                case ReadRow(row, request_id):
                    vm.replica.on_table_answer(RowFailed(row, request_id), clock_s)
                case FetchObject(name):
                    content = self.objects.get(name)
                    answer_object = ObjectFetched(name, content) if content else ObjectFailed(name)
                    self.execute(vm, vm.replica.on_object(answer_object, clock_s))
                case Activated(_, pointer):
                    vm.versions.append(pointer.version)

    def receive(self, to: str, message: Any, sender: VmIdentity) -> None:
        vm = self.vms[to]
        clock_s = self.now_s + vm.skew_s
        if self.groups[vm.domain] != self.groups[sender.failure_domain]:
            return
        if isinstance(message, VersionPush) and to in self.drop_pushes_to:
            self.drop_pushes_to.discard(to)
            return
        self.execute(vm, vm.replica.on_message(message, sender, clock_s))

    def active_versions(self) -> set[int]:
        return {vm.sync.tracker.version for vm in self.vms.values()}

    def standing(self, name: str) -> Any:
        vm = self.vms[name]
        return vm.replica.standing(self.now_s + vm.skew_s)
