"""Identity of an entry VM, as VMs send it and as it is written to the store."""

from __future__ import annotations

from typing import Any

import msgpack

from siskinward.coordination.steering.fleet import EntryVm
from siskinward.protocol.peer_fields import MALFORMED
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.protocol.peer_fields import decode_number
from siskinward.protocol.peer_fields import decode_port
from siskinward.protocol.peer_fields import decode_text
from siskinward.protocol.peer_fields import unpack
from siskinward.state.addresses import is_ip_address
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName


def encode_vm_fields(vm: EntryVm) -> tuple[Any, ...]:
    """Return the fields of a VM's identity."""
    return (
        vm.vm,
        vm.incarnation,
        vm.host,
        vm.front_port,
        vm.failure_domain,
        vm.region,
        vm.link_mbps,
    )


def decode_vm_fields(fields: Any) -> EntryVm:
    """Decode the fields of a VM's identity; raises one of ``MALFORMED``."""
    vm, incarnation, host, front_port, domain, region, *link_mbps = fields
    if not is_ip_address(host):
        raise ValueError(f"expected the IP address of VM {vm!r}, found {host!r}")
    return EntryVm(
        vm=VmName(decode_text(vm)),
        incarnation=IncarnationId(decode_text(incarnation)),
        host=host,
        front_port=decode_port(front_port),
        failure_domain=DomainName(decode_text(domain)),
        region=RegionName(decode_text(region)),
        link_mbps=decode_number(link_mbps[0]) if link_mbps else 0.0,
    )


def encode_vm(vm: EntryVm) -> bytes:
    """Encode a VM's identity, as it is written to the store."""
    return bytes(msgpack.packb(encode_vm_fields(vm)))


def decode_vm(data: bytes) -> EntryVm:
    """Decode a VM's identity; raises ``PeerMessageError``."""
    try:
        return decode_vm_fields(unpack(data))
    except MALFORMED as error:
        raise PeerMessageError(f"malformed VM identity: {error}") from error
