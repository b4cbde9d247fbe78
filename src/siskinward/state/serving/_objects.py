"""Objects of the configuration by which an entry VM serves requests."""

from __future__ import annotations

from enum import Enum

from attrs import field
from attrs import frozen

from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName


class Repeatability(Enum):
    """Whether a request may run repeatedly (idempotent) or at most once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@frozen
class WeightedService:
    """A service that takes a share of a route's requests, in proportion to its weight."""

    service: ServiceName
    weight: float


@frozen
class ServedRoute:
    """A route for requests to one host below one path prefix.

    ``max_attempts`` limits the targets that one request is sent to. ``priority`` 0 is the highest.
    ``home_regions`` is empty where any region may serve the route.
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
    """A set of interchangeable targets.

    For ``warmup_s``, a cold target can take only ``warmup_rate_per_s``.
    """

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
    """Limits on what one caller may send, and on how long it may take or stay idle."""

    header_limit_bytes: int = 16 * 1024
    body_limit_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class ServingConfiguration:
    """One version of the routes, services, client accounts and limits."""

    version: int
    routes: tuple[ServedRoute, ...] = ()
    services: dict[ServiceName, ServedService] = field(factory=dict)
    accounts: tuple[AccountPolicy, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)
