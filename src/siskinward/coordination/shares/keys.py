"""Typed keys of the limits that the ledgers of this package enforce."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import ServiceName


@frozen
class AccountTokens:
    """Rate and burst of a client account; one unit is one token."""

    account: AccountName


@frozen
class LinkBytes:
    """Capacity of a link between two regions; one unit is one byte."""

    link: str


@frozen
class ShiftShare:
    """Share of a service's demand that may be shifted; one unit is a millionth of the demand."""

    shift_cap: str


@frozen
class RetryTokens:
    """Retry budget of a service; one unit is one retry."""

    service: ServiceName


ResourceKey = AccountTokens | LinkBytes | ShiftShare | RetryTokens
