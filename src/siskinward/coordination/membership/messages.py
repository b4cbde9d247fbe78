"""Messages of the membership."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName


@frozen
class VmAddress:
    """Where a VM listens; ``front_port`` serves callers, ``peer_port`` serves other VMs."""

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
    """First contact inside a failure domain; repeated until the receiver knows the address."""

    address: VmAddress
    leaving: bool
    acquainted: bool


@frozen
class Heartbeat:
    """Sign of life inside a failure domain.

    ``acquainted`` says that the sender knows the receiver's address. ``view_id`` identifies the
    digests of other failure domains that a relay holds; it is empty if the sender is no relay.
    """

    leaving: bool
    acquainted: bool
    view_id: bytes


@frozen
class Introduction:
    """Answer of a relay to the first ``Announce``: the live VMs of the failure domain."""

    members: tuple[MemberEntry, ...]


@frozen
class DigestBeat:
    """Sign of life between relays, with the id of the sender's own digest."""

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
    """A relay tells its failure domain that it no longer hears ``failure_domain``."""

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
