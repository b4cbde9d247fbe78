"""Look-up counts of each cell, aggregated on their way to the VM that plans shifts."""

from __future__ import annotations

from siskinward.coordination.demand._exchange import DemandExchange
from siskinward.coordination.demand._exchange import DemandRoute
from siskinward.coordination.demand._exchange import DemandSettings
from siskinward.coordination.demand.reports import ServiceDemand

__all__ = ["DemandExchange", "DemandRoute", "DemandSettings", "ServiceDemand"]
