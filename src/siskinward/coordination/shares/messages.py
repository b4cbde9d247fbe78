"""Messages between wallets and mints. Amounts are in millionths of a unit."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.shares.keys import ResourceKey
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName


@frozen
class TokenRequest:
    """A wallet's report and request to a mint.

    Each request has a new ``serial``; a request is answered only after all answers to earlier ones
    were applied or given up, so ``held_micro`` covers everything that the wallet can still spend.
    ``returned_micro`` was deducted before sending. ``needed_micro`` serves requests that wait,
    the rest of ``wanted_micro`` is prefetch. ``queues`` asks for a place in the mint's queue if the
    request falls short; a wallet queues at one mint only, as kept places hold tokens back.
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
    """A mint's answer: grants tokens and renews the holding time of all the wallet holds of it."""

    key: ResourceKey
    serial: int
    granted_micro: int
    left_micro: int
    retry_after_s: float


@frozen
class TokenRefusal:
    """The VM does not hold the mint's grant; nothing was granted or renewed."""

    key: ResourceKey
    serial: int
    retry_after_s: float


@frozen
class TokenRecall:
    """Asks a wallet to return what it does not need at once."""

    key: ResourceKey


@frozen
class TokensAvailable:
    """Tells a wallet whose request fell short that the mint has tokens again."""

    key: ResourceKey


@frozen
class HolderState:
    """What a mint knows of one wallet."""

    vm: VmName
    incarnation: IncarnationId
    serial: int
    held_micro: int
    granted_micro: int


@frozen
class LedgerState:
    """What a mint knows of one limit."""

    key: ResourceKey
    available_micro: int
    holders: tuple[HolderState, ...]


@frozen
class MintHandover:
    """State of a mint that has stopped for good in ``epoch``, for the holder of the next epoch."""

    epoch: int
    ledgers: tuple[LedgerState, ...]


ISSUER_MESSAGES = (TokenRequest, MintHandover)
POOL_MESSAGES = (TokenAnswer, TokenRefusal, TokenRecall, TokensAvailable)
MESSAGES = (*ISSUER_MESSAGES, *POOL_MESSAGES)
