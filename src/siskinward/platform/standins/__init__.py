"""Stand-ins for the users' platform: its store, and targets with their faults."""

from __future__ import annotations

from siskinward.platform.standins._operator_configuration import HOST_NAME as HOST_NAME
from siskinward.platform.standins._operator_configuration import (
    OperatorConfiguration as OperatorConfiguration,
)
from siskinward.platform.standins._operator_configuration import (
    create_configuration as create_configuration,
)
from siskinward.platform.standins._settings_text import FRONT_PORT as FRONT_PORT
from siskinward.platform.standins._settings_text import STORE_PORT as STORE_PORT
from siskinward.platform.standins._settings_text import render_settings as render_settings
from siskinward.platform.standins._site import Site as Site
from siskinward.platform.standins._site import SiteSettings as SiteSettings
from siskinward.platform.standins._store import StoreFault as StoreFault
from siskinward.platform.standins._store import StoreStandIn as StoreStandIn
from siskinward.platform.standins._target import ArrivalRecord as ArrivalRecord
from siskinward.platform.standins._target import RestRecord as RestRecord
from siskinward.platform.standins._target import RunRecord as RunRecord
from siskinward.platform.standins._target import TargetStandIn as TargetStandIn
from siskinward.platform.standins._target_faults import TargetFault as TargetFault
