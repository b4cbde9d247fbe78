"""Messages between share pools and issuers. Amounts are in millionths of a unit."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.shares.keys import ResourceKey
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName


@frozen
class TokenRequest:
    """A share pool's report and request to an issuer.

    Each request has a new ``serial``. It is sent only after the answers to all earlier ones to that
    issuer were applied or abandoned, so ``held_micro`` covers all of the issuer's tokens that the
    pool can still spend. ``returned_micro`` was deducted before sending. ``needed_micro`` is for
    waiting requests; the rest of ``wanted_micro`` is prefetch. ``queues`` asks for a place in the
    issuer's queue if the request is not fully granted; a pool queues at one issuer only, because
    an issuer reserves tokens for each place.
    """

    key: ResourceKey
    serial: int
    held_micro: int
    returned_micro: int
    needed_micro: int
    wanted_micro: int
    queues: bool


@frozen
class TokenAnswer:
    """Grants tokens and renews the holding time of all tokens that the pool has of this issuer.

    ``left_micro`` is what the issuer still has available.
    """

    key: ResourceKey
    serial: int
    granted_micro: int
    left_micro: int
    retry_after_s: float


@frozen
class TokenRefusal:
    """The VM may not issue this limit now; nothing was granted or renewed."""

    key: ResourceKey
    serial: int
    retry_after_s: float


@frozen
class TokenRecall:
    """Asks a pool to return the tokens that it does not need immediately."""

    key: ResourceKey


@frozen
class TokensAvailable:
    """Tells a pool whose request was not fully granted that the issuer has tokens again."""

    key: ResourceKey


@frozen
class HolderState:
    """What an issuer has recorded of one pool."""

    vm: VmName
    incarnation: IncarnationId
    serial: int
    held_micro: int
    granted_micro: int


@frozen
class LedgerState:
    """What an issuer has recorded of one limit."""

    key: ResourceKey
    available_micro: int
    holders: tuple[HolderState, ...]


@frozen
class MintHandover:
    """State of an issuer that stopped issuing in ``epoch``, for the holder of the next epoch."""

    epoch: int
    ledgers: tuple[LedgerState, ...]


ISSUER_MESSAGES = (TokenRequest, MintHandover)
POOL_MESSAGES = (TokenAnswer, TokenRefusal, TokenRecall, TokensAvailable)
MESSAGES = (*ISSUER_MESSAGES, *POOL_MESSAGES)
