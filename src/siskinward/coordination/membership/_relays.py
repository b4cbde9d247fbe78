"""Chooses the relays of a failure domain and pairs them with those of another."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.coordination.membership._peers import Member


def relays_of(live: tuple[Member, ...], count: int) -> tuple[Member, ...]:
    """Return the first ``count`` members; leaving ones only if no other is left."""
    staying = tuple(member for member in live if not member.leaving)
    return (staying or live)[:count]


def paired_relays(rank: int, own_count: int, theirs: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return the remote relays that the own relay with index ``rank`` exchanges messages with.

    The pairing is symmetric: two VMs with the same view choose each other. Each relay of the side
    with more relays has exactly one partner.
    """
    return tuple(
        member
        for other_rank, member in enumerate(theirs)
        if other_rank % own_count == rank or rank % len(theirs) == other_rank
    )
