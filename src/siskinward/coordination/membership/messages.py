"""Messages of the membership."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName


@frozen
class VmAddress:
    """Listening address of a VM: ``front_port`` for callers, ``peer_port`` for other VMs."""

    host: str
    front_port: int
    peer_port: int


@frozen
class MemberEntry:
    """One live VM of a failure domain."""

    vm: VmName
    incarnation: IncarnationId
    address: VmAddress
    leaving: bool


@frozen
class Announce:
    """Announces the sender's address inside a failure domain, until the receiver confirms it.

    ``acquainted`` says that the sender knows the receiver's address.
    """

    address: VmAddress
    leaving: bool
    acquainted: bool


@frozen
class Heartbeat:
    """Heartbeat inside a failure domain.

    ``acquainted`` says that the sender knows the receiver's address. ``view_id`` is the
    hash of the digests of other failure domains that a relay holds, empty from other VMs.
    """

    leaving: bool
    acquainted: bool
    view_id: bytes


@frozen
class Introduction:
    """A relay's answer to an ``Announce`` that is not ``acquainted``: its domain's live VMs."""

    members: tuple[MemberEntry, ...]


@frozen
class DigestBeat:
    """Heartbeat or probe from a relay to another domain, with the id of its own domain's digest."""

    digest_id: bytes


@frozen
class DigestRequest:
    """Asks for the digest of the receiver's failure domain."""


@frozen
class DomainDigest:
    """The live VMs of ``failure_domain``, sorted by VM name."""

    failure_domain: DomainName
    members: tuple[MemberEntry, ...]


@frozen
class DomainSilent:
    """From a relay to its own domain: it can no longer reach ``failure_domain``."""

    failure_domain: DomainName


@frozen
class HeldDigest:
    """Id of the digest held for a failure domain."""

    failure_domain: DomainName
    digest_id: bytes


@frozen
class ViewRequest:
    """Asks a relay for the digests that differ from ``held``."""

    held: tuple[HeldDigest, ...]


MembershipMessage = (
    Announce
    | Heartbeat
    | Introduction
    | DigestBeat
    | DigestRequest
    | DomainDigest
    | DomainSilent
    | ViewRequest
)

MESSAGES = (
    Announce,
    Heartbeat,
    Introduction,
    DigestBeat,
    DigestRequest,
    DomainDigest,
    DomainSilent,
    ViewRequest,
)
