"""Outcomes of a reservation."""

from __future__ import annotations

from attrs import frozen


@frozen
class Spent:
    """The units were deducted."""


@frozen
class Wait:
    """A refill is under way; the first ``on_timer`` from ``until_s`` on settles at the latest."""

    reservation: int
    until_s: float


@frozen
class Refused:
    """Nothing was deducted; trying again before ``retry_after_s`` is of no use."""

    retry_after_s: float


@frozen
class Settlement:
    """Final outcome of a reservation that had to wait."""

    reservation: int
    outcome: Spent | Refused


Reservation = Spent | Wait | Refused
