"""Configuration that an entry VM serves by: routes, services, client accounts and limits."""

from __future__ import annotations

from siskinward.state.serving._index import ServingIndex as ServingIndex
from siskinward.state.serving._objects import AccountPolicy as AccountPolicy
from siskinward.state.serving._objects import CallerLimits as CallerLimits
from siskinward.state.serving._objects import Repeatability as Repeatability
from siskinward.state.serving._objects import ServedRoute as ServedRoute
from siskinward.state.serving._objects import ServedService as ServedService
from siskinward.state.serving._objects import ServingConfiguration as ServingConfiguration
from siskinward.state.serving._objects import WeightedService as WeightedService
from siskinward.state.serving._settings import EntrySettings as EntrySettings
from siskinward.state.serving._settings import ListenAddress as ListenAddress
from siskinward.state.serving._settings import ServingBounds as ServingBounds
from siskinward.state.serving._targets import LONGEST_WARMUP_S as LONGEST_WARMUP_S
from siskinward.state.serving._targets import TargetRecord as TargetRecord
