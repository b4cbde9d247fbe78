"""This VM's view of the other VMs: which are live, and at which addresses they listen."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.membership import Membership
from siskinward.coordination.membership import MembershipSettings
from siskinward.coordination.membership import VmAddress
from siskinward.coordination.membership import messages as membership_messages
from siskinward.coordination.platform import ListedVm
from siskinward.state.objects import Vm
from siskinward.transport.peer_hub import PeerAddress

if TYPE_CHECKING:
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.membership import Member
    from siskinward.daemon.component_router import ComponentRouter
    from siskinward.daemon.serving_state import ServingState
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import VmName
    from siskinward.state.settings import VmSettings
    from siskinward.transport.peer_hub import PeerHub


class Cluster:
    """Passes known VMs to the membership and keeps the addresses in the peer hub current."""

    def __init__(
        self,
        own: VmIdentity,
        settings: VmSettings,
        hub: PeerHub,
        router: ComponentRouter,
        now_s: float,
    ) -> None:
        address = VmAddress(settings.host, settings.front_port, settings.peer_port)
        self._own = own
        self._own_address = address
        self._hub = hub
        self._router = router
        self._domains: tuple[DomainName, ...] = (own.failure_domain,)
        self._revision = -1
        self._is_leaving = False
        self._last_live: set[VmName] = set()
        self._configured: dict[VmName, ListedVm] = {}
        self._listed: dict[VmName, ListedVm] = {}
        self._seeds: dict[VmName, ListedVm] = {}
        self.membership = Membership(MembershipSettings(), own, address, now_s)
        router.register(self.membership, membership_messages.MESSAGES)

    @property
    def known_domains(self) -> frozenset[DomainName]:
        """All configured failure domains."""
        return frozenset(self._domains)

    def reachable_domains(self, now_s: float) -> frozenset[DomainName]:
        """Return the own failure domain and the others that are reachable."""
        return self.membership.reachable_domains(now_s) | {self._own.failure_domain}

    def live_vms(self, now_s: float) -> list[Vm]:
        """Return the live VMs of all reachable failure domains that are not shutting down."""
        found = [] if self._is_leaving else [_create_vm(self._own, self._own_address)]
        for domain in self._domains:
            for member in self.membership.live_vms(domain, now_s):
                if not member.leaving and member.identity.vm != self._own.vm:
                    found.append(_create_vm(member.identity, member.address))
        return found

    def domain_members(self, now_s: float) -> tuple[Member, ...]:
        """Return the live VMs of the own failure domain, this one included."""
        return self.membership.live_vms(self._own.failure_domain, now_s)

    def staying_vms(self, domain: DomainName, now_s: float) -> tuple[VmName, ...]:
        """Return the live VMs of a failure domain that are not shutting down."""
        members = self.membership.live_vms(domain, now_s)
        return tuple(member.identity.vm for member in members if not member.leaving)

    def live_identities(self, now_s: float) -> list[VmIdentity]:
        """Return the live VMs of all reachable failure domains, this one included."""
        found = [self._own]
        for domain in self._domains:
            for member in self.membership.live_vms(domain, now_s):
                if member.identity.vm != self._own.vm:
                    found.append(member.identity)
        return found

    def leaving_vms(self, now_s: float) -> list[VmName]:
        """Return the live VMs that are shutting down."""
        members = (m for d in self._domains for m in self.membership.live_vms(d, now_s))
        return [member.identity.vm for member in members if member.leaving]

    def pop_departed_vms(self, now_s: float) -> list[VmName]:
        """Return the VMs that were live at the previous call and no longer are."""
        before = self._last_live
        self._last_live = {identity.vm for identity in self.live_identities(now_s)}
        return sorted(before - self._last_live)

    def successor(self, now_s: float) -> VmIdentity | None:
        """Return a peer in the own failure domain that is not shutting down, to hand over to."""
        members = self.domain_members(now_s)
        peers = [m.identity for m in members if not m.leaving and m.identity.vm != self._own.vm]
        return peers[0] if peers else None

    async def on_configuration(self, state: ServingState, now_s: float) -> None:
        """Add the configured VMs to the VMs to contact."""
        configuration = state.configuration
        self._domains = tuple(configuration.failure_domains)
        self._configured = {name: _create_listed_vm(vm) for name, vm in configuration.vms.items()}
        await self._apply_hints(now_s)

    async def on_vm_list(self, listed: tuple[ListedVm, ...], now_s: float) -> None:
        """Add the VMs that the platform lists; the list lags and may lack configured VMs."""
        self._listed = {vm.vm: vm for vm in listed}
        await self._apply_hints(now_s)

    async def leave(self, now_s: float) -> None:
        """Notify the other VMs that this one is shutting down."""
        self._is_leaving = True
        await self._router.run(self.membership, self.membership.leave(now_s))

    def refresh_addresses(self, now_s: float) -> bool:
        """Update the addresses in the peer hub; return False if the membership has not changed."""
        if self.membership.revision == self._revision:
            return False
        self._revision = self.membership.revision
        for domain in self._domains:
            for member in self.membership.live_vms(domain, now_s):
                address = PeerAddress(member.address.host, member.address.peer_port)
                self._hub.set_address(member.identity.vm, address)
        return True

    async def on_seed(self, identity: VmIdentity, address: PeerAddress, now_s: float) -> None:
        """Add a VM that was identified at a seed address; it announces its front port itself."""
        self._seeds[identity.vm] = ListedVm(
            identity.vm, identity.failure_domain, address.host, 0, address.port, False
        )
        await self._apply_hints(now_s)

    async def _apply_hints(self, now_s: float) -> None:
        hints = {**self._seeds, **self._configured, **self._listed}
        others = tuple(vm for vm in hints.values() if vm.vm != self._own.vm)
        for vm in others:
            if not self._hub.has_address(vm.vm):
                self._hub.set_address(vm.vm, PeerAddress(vm.host, vm.peer_port))
        await self._router.run(self.membership, self.membership.on_vm_list(others, now_s))


def _create_vm(identity: VmIdentity, address: VmAddress) -> Vm:
    return Vm(
        name=identity.vm,
        failure_domain=identity.failure_domain,
        host=address.host,
        front_port=address.front_port,
        peer_port=address.peer_port,
    )


def _create_listed_vm(vm: Vm) -> ListedVm:
    return ListedVm(vm.name, vm.failure_domain, vm.host, vm.front_port, vm.peer_port, False)
