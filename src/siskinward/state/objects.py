"""Operator objects. Each INI section ``[kind name]`` declares one of them."""

from __future__ import annotations

from enum import Enum

from attrs import field
from attrs import frozen

from siskinward.state.constraints import Fraction
from siskinward.state.constraints import GroupReference
from siskinward.state.constraints import Host
from siskinward.state.constraints import KeyHash
from siskinward.state.constraints import Method
from siskinward.state.constraints import Name
from siskinward.state.constraints import Network
from siskinward.state.constraints import NonNegativeFloat
from siskinward.state.constraints import Path
from siskinward.state.constraints import Port
from siskinward.state.constraints import PositiveFloat
from siskinward.state.constraints import PositiveInt
from siskinward.state.constraints import SiteReference
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName


class ServiceClass(Enum):
    """Priority of a service under load, highest first."""

    ORDER = "order"
    READ = "read"
    BULK = "bulk"


class Access(Enum):
    """Whether a route is open to all callers or only to those with a known key."""

    OPEN = "open"
    KEYED = "keyed"


class WhenIsolated(Enum):
    """Whether a client account is served while its failure domain is isolated."""

    REFUSE = "refuse"
    SERVE = "serve"


class DrainKind(Enum):
    """Kind of object that a planned drain empties."""

    TARGET = "target"
    FAILURE_DOMAIN = "failure-domain"
    REGION = "region"


@frozen
class Region:
    """A group of failure domains that share links to other regions.

    The latencies are one way: between failure domains of the region, and to its clients.
    """

    name: RegionName
    domain_latency_ms: NonNegativeFloat = 1.0
    client_latency_ms: NonNegativeFloat = 5.0


@frozen
class FailureDomain:
    """A set of VMs and targets that fails, or becomes unreachable, as a unit."""

    name: DomainName
    region: RegionName


@frozen
class Vm:
    """An entry VM; ``front_port`` serves callers, ``peer_port`` serves other VMs."""

    name: VmName
    failure_domain: DomainName
    host: Host
    front_port: Port
    peer_port: Port


@frozen
class Service:
    """A set of interchangeable targets behind one queue."""

    name: ServiceName
    service_class: ServiceClass
    timeout_s: PositiveFloat = 5.0
    queue_limit: PositiveInt = 64
    hedged: bool = False


@frozen
class Route:
    """Maps a path prefix and methods to a service."""

    name: Name
    service: ServiceName
    path_prefix: Path
    methods: tuple[Method, ...]
    access: Access = Access.KEYED
    idempotent: bool = True


@frozen
class TargetGroup:
    """The targets of one service in one failure domain."""

    name: Name
    service: ServiceName
    failure_domain: DomainName


@frozen
class Target:
    """A back end process.

    It runs ``slots`` requests at once over at most ``connection_limit`` connections.
    """

    name: TargetName
    group: GroupReference
    host: Host
    port: Port
    slots: PositiveInt
    connection_limit: PositiveInt


@frozen
class ClientAccount:
    """A tenant. Rate and burst are counted over all VMs together, one token per request."""

    name: AccountName
    rate_per_s: NonNegativeFloat
    burst_tokens: PositiveInt
    weight: PositiveFloat = 1.0
    when_isolated: WhenIsolated = WhenIsolated.REFUSE
    home_domain: DomainName | None = None


@frozen
class Key:
    """A caller's key, kept only as the hexadecimal BLAKE2b-256 hash of its text."""

    name: Name
    client_account: AccountName
    key_hash_hex: KeyHash


@frozen
class Link:
    """Capacity between two regions, each way, shared by all traffic."""

    name: Name
    from_region: RegionName
    to_region: RegionName
    capacity_bits_per_s: PositiveFloat
    one_way_latency_ms: NonNegativeFloat


@frozen
class ShiftCap:
    """Largest share of a service's demand that planned moves may shift per interval."""

    name: Name
    service: ServiceName
    share_limit: Fraction
    interval_s: PositiveFloat


@frozen
class RegionLimit:
    """Maximum requests per second of a service that a region may be assigned."""

    name: Name
    region: RegionName
    service: ServiceName
    capacity_per_s: PositiveFloat


@frozen
class Site:
    """A location in one failure domain that client blocks are assigned to."""

    name: Name
    failure_domain: DomainName


@frozen
class ClientBlock:
    """A block of client addresses with its preferred site and share of demand."""

    name: Name
    prefix: Network
    site: SiteReference
    demand_per_s: NonNegativeFloat = 0.0


@frozen
class Drain:
    """A planned drain of a target, failure domain or region.

    ``start_at_s`` is in seconds since the epoch; zero starts the drain immediately.
    """

    name: Name
    kind: DrainKind
    subject: Name
    start_at_s: NonNegativeFloat = 0.0
    duration_s: NonNegativeFloat = 60.0


@frozen
class Configuration:
    """All operator objects. Mappings are keyed by object name.

    ``parse_configuration`` and ``check_configuration`` check the objects as a whole.
    """

    regions: dict[RegionName, Region] = field(factory=dict)
    failure_domains: dict[DomainName, FailureDomain] = field(factory=dict)
    vms: dict[VmName, Vm] = field(factory=dict)
    services: dict[ServiceName, Service] = field(factory=dict)
    routes: dict[str, Route] = field(factory=dict)
    target_groups: dict[str, TargetGroup] = field(factory=dict)
    targets: dict[TargetName, Target] = field(factory=dict)
    client_accounts: dict[AccountName, ClientAccount] = field(factory=dict)
    keys: dict[str, Key] = field(factory=dict)
    links: dict[str, Link] = field(factory=dict)
    shift_caps: dict[str, ShiftCap] = field(factory=dict)
    region_limits: dict[str, RegionLimit] = field(factory=dict)
    sites: dict[str, Site] = field(factory=dict)
    client_blocks: dict[str, ClientBlock] = field(factory=dict)
    drains: dict[str, Drain] = field(factory=dict)
