"""Assembles the decision components of one entry VM."""

from __future__ import annotations

import secrets
from random import Random
from typing import TYPE_CHECKING

from attrs import define
from attrs import field

from siskinward.coordination.steering.account_shares import AccountShares
from siskinward.coordination.steering.account_shares import ShareSettings
from siskinward.coordination.steering.account_tokens import TokenIssuer
from siskinward.coordination.steering.account_tokens import TokenSettings
from siskinward.coordination.steering.admission_queue import QueueSettings
from siskinward.coordination.steering.crash_guard import CrashGuard
from siskinward.coordination.steering.crash_guard import CrashGuardSettings
from siskinward.coordination.steering.fleet import EntryVm
from siskinward.coordination.steering.fleet import Fleet
from siskinward.coordination.steering.fleet import FleetSettings
from siskinward.coordination.steering.limit_pauses import LimitPauses
from siskinward.coordination.steering.limit_tokens import LimitTokenIssuer
from siskinward.coordination.steering.limit_tokens import LimitTokenSettings
from siskinward.coordination.steering.placement import Placement
from siskinward.coordination.steering.placement import PlacementSettings
from siskinward.coordination.steering.retry_budget import RetryBudget
from siskinward.coordination.steering.retry_budget import RetrySettings
from siskinward.coordination.steering.rows import StoreTable
from siskinward.coordination.steering.rows import TableCopy
from siskinward.coordination.steering.shutdown import Shutdown
from siskinward.coordination.steering.slow_targets import SlowTargets
from siskinward.coordination.steering.slow_targets import SlowTargetSettings
from siskinward.coordination.steering.splits import RouteSplitter
from siskinward.coordination.steering.store_reads import StoreReads
from siskinward.coordination.steering.store_reads import StoreReadSettings
from siskinward.coordination.steering.target_limits import TargetLimits
from siskinward.coordination.steering.target_paths import PathSettings
from siskinward.coordination.steering.target_paths import TargetPaths
from siskinward.coordination.steering.targets import TargetSettings
from siskinward.coordination.steering.targets import TargetTable
from siskinward.coordination.steering.unreadable_rows import UnreadableRows
from siskinward.coordination.steering.warm_targets import WarmSettings
from siskinward.coordination.steering.warm_targets import WarmTargets
from siskinward.coordination.steering.warmup import WarmupLimiter
from siskinward.state.identifiers import IncarnationId
from siskinward.state.serving import EntrySettings
from siskinward.state.serving import ServingIndex

if TYPE_CHECKING:
    from siskinward.coordination.steering.row import RevisionOf

INCARNATION_BYTES = 6


@define
class SteeringSettings:
    """Settings of the decision components."""

    fleet: FleetSettings = field(factory=FleetSettings)
    targets: TargetSettings = field(factory=TargetSettings)
    placement: PlacementSettings = field(factory=PlacementSettings)
    slow: SlowTargetSettings = field(factory=SlowTargetSettings)
    warm: WarmSettings = field(factory=WarmSettings)
    queue: QueueSettings = field(factory=QueueSettings)
    shares: ShareSettings = field(factory=ShareSettings)
    tokens: TokenSettings = field(factory=TokenSettings)
    limit_tokens: LimitTokenSettings = field(factory=LimitTokenSettings)
    retries: RetrySettings = field(factory=RetrySettings)
    paths: PathSettings = field(factory=PathSettings)
    crashes: CrashGuardSettings = field(factory=CrashGuardSettings)
    store_reads: StoreReadSettings = field(factory=StoreReadSettings)


@define
class Steering:
    """State and decision components of a VM; ``index`` is None until a configuration is active."""

    settings: SteeringSettings
    entry: EntrySettings
    fleet: Fleet
    tables: dict[StoreTable, TableCopy]
    targets: TargetTable
    paths: TargetPaths
    placement: Placement
    warm: WarmTargets
    slow: SlowTargets
    limits: TargetLimits
    limit_tokens: LimitTokenIssuer
    limit_pauses: LimitPauses
    shares: AccountShares
    issuer: TokenIssuer
    retries: RetryBudget
    crashes: CrashGuard
    splitter: RouteSplitter
    shutdown: Shutdown
    unreadable_rows: UnreadableRows
    store_reads: StoreReads
    index: ServingIndex | None = None


def create_steering(
    entry: EntrySettings,
    settings: SteeringSettings,
    revision_of: RevisionOf,
    now_s: float,
    random: Random | None = None,
) -> Steering:
    """Create the decision components of a VM that has just started."""
    own = EntryVm(
        vm=entry.vm,
        incarnation=IncarnationId(secrets.token_hex(INCARNATION_BYTES)),
        host=entry.host,
        front_port=entry.front.port,
        failure_domain=entry.failure_domain,
        region=entry.region,
        link_mbps=entry.link_mbps,
    )
    random = random or Random()
    fleet = Fleet(own, settings.fleet, len(entry.domain_regions))
    targets = TargetTable(settings.targets, entry.domain_regions)
    warmup_limiter = WarmupLimiter(fleet)
    warm = WarmTargets(settings.warm)
    slow = SlowTargets(settings.slow)
    limits = TargetLimits()
    limit_tokens = LimitTokenIssuer(settings.limit_tokens, limits, fleet)
    limit_pauses = LimitPauses(limits, limit_tokens, fleet)
    return Steering(
        settings=settings,
        entry=entry,
        fleet=fleet,
        tables={table: TableCopy(table, revision_of) for table in StoreTable},
        targets=targets,
        paths=TargetPaths(settings.paths, fleet, random),
        placement=Placement(
            settings.placement,
            entry.region,
            frozenset(entry.domain_regions.values()),
            targets,
            warmup_limiter,
            warm,
            slow,
            limit_pauses,
            random,
        ),
        warm=warm,
        slow=slow,
        limits=limits,
        limit_tokens=limit_tokens,
        limit_pauses=limit_pauses,
        shares=AccountShares(settings.shares, fleet, now_s),
        issuer=TokenIssuer(settings.tokens, entry.bounds, fleet),
        retries=RetryBudget(settings.retries, entry.bounds, fleet, now_s),
        crashes=CrashGuard(settings.crashes),
        splitter=RouteSplitter(),
        shutdown=Shutdown(),
        unreadable_rows=UnreadableRows(),
        store_reads=StoreReads(settings.store_reads),
    )
