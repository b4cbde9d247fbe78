"""Exchange of load reports and grant holders between failure domains and with every VM."""

from __future__ import annotations

from siskinward.coordination.summaries._exchange import OwnReport
from siskinward.coordination.summaries._exchange import SummaryExchange
from siskinward.coordination.summaries._exchange import SummarySettings
from siskinward.coordination.summaries.reports import DomainSummary
from siskinward.coordination.summaries.reports import OwnerReport

__all__ = ["DomainSummary", "OwnReport", "OwnerReport", "SummaryExchange", "SummarySettings"]
