"""Messages of the summary exchange; ``content`` is encoded by ``pack_reports``."""

from __future__ import annotations

from attrs import frozen


@frozen
class OwnerNotice:
    """Report of one owner, sent to the root relay of its failure domain."""

    content: bytes


@frozen
class DomainNotice:
    """Summary of one failure domain, sent to a relay of another one."""

    content: bytes


@frozen
class Bulletin:
    """Reports of all owners and summaries of other domains, sent down from the root relay."""

    content: bytes


MESSAGES: tuple[type, ...] = (OwnerNotice, DomainNotice, Bulletin)
