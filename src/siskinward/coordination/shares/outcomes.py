"""Outcomes of a reservation."""

from __future__ import annotations

from attrs import frozen


@frozen
class Spent:
    """The reserved units were deducted."""


@frozen
class Wait:
    """The reservation waits; the first ``on_timer`` at or after ``until_s`` settles it."""

    reservation: int
    until_s: float


@frozen
class Refused:
    """Nothing was deducted; a retry within ``retry_after_s`` is not expected to succeed."""

    retry_after_s: float


@frozen
class Settlement:
    """Final outcome of a reservation that had to wait."""

    reservation: int
    outcome: Spent | Refused


Reservation = Spent | Wait | Refused
