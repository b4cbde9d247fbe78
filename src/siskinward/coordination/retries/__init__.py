"""Retries, hedged requests and the retry-after times of refused callers."""

from __future__ import annotations

from siskinward.coordination.retries._budget import RetryBudget
from siskinward.coordination.retries._hedging import HedgePolicy
from siskinward.coordination.retries._policy import GiveUp
from siskinward.coordination.retries._policy import RequestProgress
from siskinward.coordination.retries._policy import RetryDecision
from siskinward.coordination.retries._policy import RetryPolicy
from siskinward.coordination.retries._policy import TryAgain
from siskinward.coordination.retries._results import AnswerIncomplete
from siskinward.coordination.retries._results import AttemptFailure
from siskinward.coordination.retries._results import LostAfterSent
from siskinward.coordination.retries._results import NeverConnected
from siskinward.coordination.retries._results import PeerLost
from siskinward.coordination.retries._results import Shed
from siskinward.coordination.retries._results import StaleConnection
from siskinward.coordination.retries._results import TimedOut
from siskinward.coordination.retries._retry_after import RetryAfterCalculator
from siskinward.coordination.retries._settings import RetrySettings

__all__ = [
    "AnswerIncomplete",
    "AttemptFailure",
    "GiveUp",
    "HedgePolicy",
    "LostAfterSent",
    "NeverConnected",
    "PeerLost",
    "RequestProgress",
    "RetryAfterCalculator",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "RetrySettings",
    "Shed",
    "StaleConnection",
    "TimedOut",
    "TryAgain",
]
