"""Chooses the VM that may claim a grant."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.coordination.membership import Member

SCORE_BYTES = 8


def _score(grant: str, member: Member) -> bytes:
    text = f"{grant}/{member.identity.incarnation}"
    return blake2b(text.encode(), digest_size=SCORE_BYTES).digest()


def candidate(grant: str, members: Iterable[Member]) -> Member | None:
    """Return the member with the highest rendezvous score for the grant; ignore leaving ones."""
    staying = (member for member in members if not member.leaving)
    return max(staying, key=lambda member: _score(grant, member), default=None)
