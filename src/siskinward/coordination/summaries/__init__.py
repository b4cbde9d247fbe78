"""Load reports and grant holders, passed between failure domains and down to every VM."""

from __future__ import annotations

from siskinward.coordination.summaries._exchange import OwnReport
from siskinward.coordination.summaries._exchange import SummaryExchange
from siskinward.coordination.summaries._exchange import SummarySettings
from siskinward.coordination.summaries.reports import DomainSummary
from siskinward.coordination.summaries.reports import OwnerReport

__all__ = ["DomainSummary", "OwnReport", "OwnerReport", "SummaryExchange", "SummarySettings"]
