"""Answers look-ups of entry VMs by callers and readiness checks by the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.steering.fleet import VmState
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import EntryVm
    from siskinward.daemon.entry.ports import LookupRequest
    from siskinward.daemon.entry.ports import Platform
    from siskinward.daemon.entry.steering import Steering
    from siskinward.transport.front_server import Arrival

ADDRESS_LIMIT = 64
ANSWER_LIFETIME_S = 2.0
NOT_FOUND = HttpResponse(404)
READY = HttpResponse(200)
NOT_READY = HttpResponse(503)


class LookupHandler:
    """Lists the ready VMs of the caller's region, or all ready VMs if that region has none.

    VMs that are cut off from the targets are left out while the list has others.
    """

    def __init__(self, steering: Steering, platform: Platform) -> None:
        self._steering = steering
        self._platform = platform

    async def handle_lookup(self, arrival: Arrival) -> HttpResponse:
        """Answer a look-up with the addresses of ready VMs."""
        lookup = self._platform.decode_lookup(arrival.request)
        if lookup is None:
            return NOT_FOUND
        vms = self._choose(lookup)
        if not vms:
            return NOT_READY
        addresses = [f"{vm.host}:{vm.front_port}" for vm in vms]
        lifetime_s = min(ANSWER_LIFETIME_S, self._steering.entry.bounds.answer_lifetime_s)
        return self._platform.encode_lookup_answer(addresses, lifetime_s)

    async def handle_readiness(self, arrival: Arrival) -> HttpResponse:
        """Answer the platform's readiness check."""
        if not self._platform.is_readiness_probe(arrival.request):
            return NOT_FOUND
        return READY if self._steering.fleet.state is VmState.READY else NOT_READY

    def _choose(self, lookup: LookupRequest) -> list[EntryVm]:
        ready = self._steering.fleet.ready(read_clock_s())
        region = self._steering.entry.domain_regions.get(lookup.failure_domain)
        listed = [vm for vm in ready if vm.region == region] or ready
        reaching = [vm for vm in listed if not self._is_cut_off(vm)]
        return sorted(reaching or listed, key=lambda vm: vm.vm)[:ADDRESS_LIMIT]

    def _is_cut_off(self, vm: EntryVm) -> bool:
        if vm == self._steering.fleet.own:
            return self._steering.paths.is_cut_off
        return self._steering.fleet.is_cut_off(vm.vm)
