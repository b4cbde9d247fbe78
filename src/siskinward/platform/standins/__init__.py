"""Stand-ins for the users' platform: its store, and targets with their faults."""

from __future__ import annotations

from siskinward.platform.standins._site import OperatorConfiguration as OperatorConfiguration
from siskinward.platform.standins._site import Site as Site
from siskinward.platform.standins._site import SiteSettings as SiteSettings
from siskinward.platform.standins._site import create_configuration as create_configuration
from siskinward.platform.standins._store import StoreFault as StoreFault
from siskinward.platform.standins._store import StoreStandIn as StoreStandIn
from siskinward.platform.standins._target import RunRecord as RunRecord
from siskinward.platform.standins._target import TargetFault as TargetFault
from siskinward.platform.standins._target import TargetStandIn as TargetStandIn
