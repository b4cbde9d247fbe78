"""Pairs the relays of two failure domains so that each pair has a path over every relay."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.coordination.membership._peers import Member


def paired_relays(rank: int, own_count: int, theirs: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return the relays that the own relay of ``rank`` exchanges messages with.

    Symmetric: two VMs with the same view choose each other. Each relay of the larger side has
    exactly one partner.
    """
    return tuple(
        member
        for other_rank, member in enumerate(theirs)
        if other_rank % own_count == rank or rank % len(theirs) == other_rank
    )
