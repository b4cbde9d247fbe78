"""Digests of other failure domains, received directly or through a relay of the own one."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from attrs import define

from siskinward.coordination.membership._peers import Member
from siskinward.coordination.membership.messages import DomainDigest
from siskinward.coordination.membership.messages import HeldDigest
from siskinward.coordination.membership.messages import MemberEntry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import VmName

ID_BYTES = 8


def digest_id(digest: DomainDigest) -> bytes:
    """Return the hash of a digest, by which relays compare digests."""
    hasher = blake2b(digest.failure_domain.encode(), digest_size=ID_BYTES)
    for entry in digest.members:
        address = entry.address
        line = (entry.vm, entry.incarnation, address.host, address.front_port, address.peer_port)
        hasher.update(repr((line, entry.leaving)).encode())
    return hasher.digest()


def view_id(held: Iterable[HeldDigest]) -> bytes:
    """Return the hash of a set of digests, given in the order of their failure domains."""
    hasher = blake2b(digest_size=ID_BYTES)
    for item in held:
        hasher.update(item.failure_domain.encode() + item.digest_id)
    return hasher.digest()


class _DigestIds:
    """Ids of one digest per failure domain, and the id of them all."""

    def __init__(self) -> None:
        self._ids: dict[DomainName, bytes] = {}
        self.view_id = b""

    def set(self, domain: DomainName, digest: DomainDigest | None) -> None:
        self._ids.pop(domain, None)
        if digest is not None:
            self._ids[domain] = digest_id(digest)
        self.view_id = view_id(self.held()) if self._ids else b""

    def held(self) -> tuple[HeldDigest, ...]:
        return tuple(HeldDigest(name, self._ids[name]) for name in sorted(self._ids))


@define
class _Source:
    """Digest received from one VM, and when the VM last sent anything."""

    digest: DomainDigest
    digest_id: bytes
    last_received_s: float


def _merge(digests: Iterable[DomainDigest], domain: DomainName) -> DomainDigest:
    entries: dict[VmName, MemberEntry] = {}
    for digest in digests:
        entries.update((entry.vm, entry) for entry in digest.members)
    return DomainDigest(domain, tuple(entries[vm] for vm in sorted(entries)))


class DirectView:
    """Digests received from VMs of the failure domains that they describe.

    A relay forwards the merged digests to its own failure domain. They are never built from
    relayed digests: otherwise two relays could keep a dead VM listed as live by repeating each
    other's digests.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._sources: dict[DomainName, dict[VmName, _Source]] = {}
        self.merged: dict[DomainName, DomainDigest] = {}
        self._ids = _DigestIds()

    def digest_id_from(self, domain: DomainName, vm: VmName) -> bytes:
        """Return the id of the digest last received from ``vm``; empty if there is none."""
        source = self._sources.get(domain, {}).get(vm)
        return source.digest_id if source else b""

    def record_heartbeat(self, domain: DomainName, vm: VmName, now_s: float) -> None:
        """Record a heartbeat of a VM whose digest is stored."""
        self._sources[domain][vm].last_received_s = now_s

    def store(self, digest: DomainDigest, vm: VmName, now_s: float) -> bool:
        """Store a digest; return whether the merged digest of its failure domain changed."""
        domain = digest.failure_domain
        sources = self._sources.setdefault(domain, {})
        # Merging prefers later entries: reinserting puts the latest digest last.
        sources.pop(vm, None)
        sources[vm] = _Source(digest, digest_id(digest), now_s)
        return self._remerge(domain)

    def expire(self, now_s: float) -> tuple[DomainName, ...]:
        """Drop sources that timed out; return the domains whose merged digest changed."""
        affected = []
        for domain, sources in self._sources.items():
            silent = [
                vm for vm, s in sources.items() if now_s - s.last_received_s > self._timeout_s
            ]
            for vm in silent:
                del sources[vm]
            if silent:
                affected.append(domain)
        return tuple(domain for domain in affected if self._remerge(domain))

    def discount_pause(self, gap_s: float, now_s: float) -> None:
        """Discount a pause of this process from the time since the sources were last received."""
        for sources in self._sources.values():
            for source in sources.values():
                source.last_received_s = min(source.last_received_s + gap_s, now_s)

    @property
    def view_id(self) -> bytes:
        """Id of all merged digests; empty if there are none."""
        return self._ids.view_id

    def held(self) -> tuple[HeldDigest, ...]:
        """Return the ids of the merged digests."""
        return self._ids.held()

    def _remerge(self, domain: DomainName) -> bool:
        sources = self._sources[domain]
        old = self.merged.pop(domain, None)
        new = _merge((s.digest for s in sources.values()), domain) if sources else None
        if new is not None:
            self.merged[domain] = new
        if new == old:
            return False
        self._ids.set(domain, new)
        return True


class RelayedView:
    """Digests forwarded by one relay of the own failure domain."""

    def __init__(self) -> None:
        self.digests: dict[DomainName, DomainDigest] = {}
        self._ids = _DigestIds()

    def store(self, digest: DomainDigest) -> None:
        """Store a digest."""
        self.digests[digest.failure_domain] = digest
        self._ids.set(digest.failure_domain, digest)

    def drop(self, domain: DomainName) -> None:
        """Drop a failure domain that the relay can no longer reach."""
        self.digests.pop(domain, None)
        self._ids.set(domain, None)

    @property
    def view_id(self) -> bytes:
        """Id of all digests; empty if there are none."""
        return self._ids.view_id

    def held(self) -> tuple[HeldDigest, ...]:
        """Return the ids of the digests."""
        return self._ids.held()


def merged_members(domain: DomainName, digests: Iterable[DomainDigest]) -> tuple[Member, ...]:
    """Return the members in the digests of one failure domain; later digests win."""
    merged = _merge(digests, domain)
    return tuple(Member.of_entry(entry, domain) for entry in merged.members)
