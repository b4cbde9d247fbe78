"""Objects of the configuration that an entry VM serves by."""

from __future__ import annotations

from enum import Enum

from attrs import field
from attrs import frozen

from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName


class Repeatability(Enum):
    """How often one request may run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@frozen
class WeightedService:
    """A service that takes a share of a route's requests, in proportion to its weight."""

    service: ServiceName
    weight: float


@frozen
class ServedRoute:
    """Requests to one host below one path prefix.

    ``max_attempts`` bounds the targets that one request is sent to. ``priority`` 0 is the most
    urgent. ``home_regions`` is empty where any region may serve the route.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_s: float
    latency_objective_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    is_sticky: bool
    home_regions: frozenset[RegionName]

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeatability is Repeatability.IDEMPOTENT


@frozen
class ServedService:
    """A set of interchangeable targets; a cold one bears ``warmup_rate_per_s`` for ``warmup_s``."""

    name: ServiceName
    health_path: str
    connection_limit: int
    warmup_s: float
    warmup_rate_per_s: float


@frozen
class AccountPolicy:
    """A client account: its keys, and its rate and burst over all VMs (0 is unlimited)."""

    name: AccountName
    keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst_requests: float
    home_regions: frozenset[RegionName]


@frozen
class CallerLimits:
    """What one caller may send, and how long it may take or stay idle."""

    header_limit_bytes: int = 16 * 1024
    body_limit_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class ServingConfiguration:
    """One version of everything that callers are served by."""

    version: int
    routes: tuple[ServedRoute, ...] = ()
    services: dict[ServiceName, ServedService] = field(factory=dict)
    accounts: tuple[AccountPolicy, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)
