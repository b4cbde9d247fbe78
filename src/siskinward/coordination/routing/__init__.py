"""Selection of the failure domain, VM and target for a request, and of connections to keep."""

from __future__ import annotations

from siskinward.coordination.routing.link_budget import LinkBudgets
from siskinward.coordination.routing.messages import MESSAGES
from siskinward.coordination.routing.messages import DomainLoad
from siskinward.coordination.routing.messages import OwnerLoad
from siskinward.coordination.routing.messages import ServiceLoad
from siskinward.coordination.routing.router import Choice
from siskinward.coordination.routing.router import Destination
from siskinward.coordination.routing.router import Router
from siskinward.coordination.routing.settings import RoutingSettings
from siskinward.coordination.routing.subset import connecting_vms
from siskinward.coordination.routing.subset import connection_subset
from siskinward.coordination.routing.subset import peer_subset
from siskinward.coordination.routing.target_picker import TargetPicker

__all__ = [
    "MESSAGES",
    "Choice",
    "DomainLoad",
    "LinkBudgets",
    "OwnerLoad",
    "Destination",
    "Router",
    "RoutingSettings",
    "ServiceLoad",
    "TargetPicker",
    "connecting_vms",
    "connection_subset",
    "peer_subset",
]
