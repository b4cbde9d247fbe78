"""Digests of other failure domains: heard from their relays or relayed by an own one."""

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
    """Return the id by which relays compare digests."""
    hasher = blake2b(digest.failure_domain.encode(), digest_size=ID_BYTES)
    for entry in digest.members:
        address = entry.address
        line = (entry.vm, entry.incarnation, address.host, address.front_port, address.peer_port)
        hasher.update(repr((line, entry.leaving)).encode())
    return hasher.digest()


def view_id(held: Iterable[HeldDigest]) -> bytes:
    """Return the id of a set of digests, given in the order of their failure domains."""
    hasher = blake2b(digest_size=ID_BYTES)
    for item in held:
        hasher.update(item.failure_domain.encode() + item.digest_id)
    return hasher.digest()


class _Ids:
    """Ids of one digest per failure domain, and the id of them all."""

    def __init__(self) -> None:
        self._ids: dict[DomainName, bytes] = {}
        self.view_id = b""

    def put(self, domain: DomainName, digest: DomainDigest | None) -> None:
        self._ids.pop(domain, None)
        if digest is not None:
            self._ids[domain] = digest_id(digest)
        self.view_id = view_id(self.held()) if self._ids else b""

    def held(self) -> tuple[HeldDigest, ...]:
        return tuple(HeldDigest(name, self._ids[name]) for name in sorted(self._ids))


@define
class _Source:
    digest: DomainDigest
    digest_id: bytes
    heard_s: float


def _merge(digests: Iterable[DomainDigest], domain: DomainName) -> DomainDigest:
    entries: dict[VmName, MemberEntry] = {}
    for digest in digests:
        entries.update((entry.vm, entry) for entry in digest.members)
    return DomainDigest(domain, tuple(entries[vm] for vm in sorted(entries)))


class DirectView:
    """Digests received from VMs of the failure domains that they describe.

    A relay of this VM's failure domain passes the merged digests on. They are never built from
    relayed ones, so that two relays cannot keep a dead VM alive by quoting each other.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._sources: dict[DomainName, dict[VmName, _Source]] = {}
        self.merged: dict[DomainName, DomainDigest] = {}
        self._ids = _Ids()

    def id_from(self, domain: DomainName, vm: VmName) -> bytes:
        """Return the id of the digest held from ``vm``, or an empty one."""
        source = self._sources.get(domain, {}).get(vm)
        return source.digest_id if source else b""

    def beat(self, domain: DomainName, vm: VmName, now_s: float) -> None:
        """Record a sign of life of a VM whose digest is held."""
        self._sources[domain][vm].heard_s = now_s

    def store(self, digest: DomainDigest, vm: VmName, now_s: float) -> bool:
        """Keep a digest; return whether the merged digest of its failure domain changed."""
        domain = digest.failure_domain
        sources = self._sources.setdefault(domain, {})
        # The latest digest comes last, so that it wins over older ones when merged.
        sources.pop(vm, None)
        sources[vm] = _Source(digest, digest_id(digest), now_s)
        return self._remerge(domain)

    def expire(self, now_s: float) -> tuple[DomainName, ...]:
        """Drop silent sources; return the failure domains whose merged digest changed."""
        touched = []
        for domain, sources in self._sources.items():
            silent = [vm for vm, s in sources.items() if now_s - s.heard_s > self._timeout_s]
            for vm in silent:
                del sources[vm]
            if silent:
                touched.append(domain)
        return tuple(domain for domain in touched if self._remerge(domain))

    def excuse(self, gap_s: float, now_s: float) -> None:
        """Discount a pause of the own process from the silence of the sources."""
        for sources in self._sources.values():
            for source in sources.values():
                source.heard_s = min(source.heard_s + gap_s, now_s)

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
        self._ids.put(domain, new)
        return True


class RelayedView:
    """Digests that one relay of the own failure domain passed on."""

    def __init__(self) -> None:
        self.digests: dict[DomainName, DomainDigest] = {}
        self._ids = _Ids()

    def store(self, digest: DomainDigest) -> None:
        """Keep a digest."""
        self.digests[digest.failure_domain] = digest
        self._ids.put(digest.failure_domain, digest)

    def drop(self, domain: DomainName) -> None:
        """Forget a failure domain that the relay no longer hears."""
        self.digests.pop(domain, None)
        self._ids.put(domain, None)

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
