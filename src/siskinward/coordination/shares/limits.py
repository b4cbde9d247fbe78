"""Limits derived from the configuration and their division among failure domains."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.shares.keys import AccountTokens
from siskinward.coordination.shares.keys import LinkBytes
from siskinward.coordination.shares.keys import ResourceKey
from siskinward.coordination.shares.keys import RetryTokens
from siskinward.coordination.shares.keys import ShiftShare
from siskinward.state.identifiers import DomainName

if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinward.coordination.shares.settings import ShareSettings
    from siskinward.state.objects import Configuration

MICRO_PER_UNIT = 1_000_000
"""Ledgers count in integer millionths of a unit, so that all sums are exact."""

SHARE_UNITS = 1_000_000
"""Number of ``ShiftShare`` units in the whole demand of a service."""

MIN_LINK_PART_BYTES = 65_536


@frozen
class IssuerShare:
    """The part of a limit that the issuer of one failure domain issues."""

    rate_micro_per_s: int
    burst_micro: int


NO_PART = IssuerShare(rate_micro_per_s=0, burst_micro=0)


@frozen
class Limit:
    """A rate and a burst over the whole fleet, divided evenly among ``domains``.

    Grants are multiples of ``quantum_micro``, so that no unit is split among pools.
    """

    rate_micro_per_s: int
    burst_micro: int
    quantum_micro: int
    domains: tuple[DomainName, ...]

    def part_of(self, domain: DomainName) -> IssuerShare:
        """Return the part of ``domain``; the parts never add up to more than the limit.

        Burst parts are whole quanta; the first domains take the remainder.
        """
        if domain not in self.domains:
            return NO_PART
        count = len(self.domains)
        quanta, rest = divmod(self.burst_micro // self.quantum_micro, count)
        own_quanta = quanta + (1 if self.domains.index(domain) < rest else 0)
        return IssuerShare(self.rate_micro_per_s // count, own_quanta * self.quantum_micro)


def limits_of(configuration: Configuration, settings: ShareSettings) -> dict[ResourceKey, Limit]:
    """Return every divisible limit that the configuration declares."""
    limits: dict[ResourceKey, Limit] = {}
    limits.update(_account_limits(configuration, settings))
    limits.update(_link_limits(configuration, settings))
    limits.update(_shift_limits(configuration))
    limits.update(_retry_limits(configuration, settings))
    return limits


def _account_limits(
    configuration: Configuration, settings: ShareSettings
) -> dict[ResourceKey, Limit]:
    domains = list(configuration.failure_domains)
    return {
        AccountTokens(name): _make_limit(
            rate_per_s=account.rate_per_s,
            burst=account.burst_tokens,
            min_part=settings.min_part_tokens,
            domains=_rank_domains(name, domains, first=account.home_domain),
        )
        for name, account in configuration.client_accounts.items()
    }


def _link_limits(configuration: Configuration, settings: ShareSettings) -> dict[ResourceKey, Limit]:
    limits: dict[ResourceKey, Limit] = {}
    for name, link in configuration.links.items():
        sending = [
            domain.name
            for domain in configuration.failure_domains.values()
            if domain.region == link.from_region
        ]
        bytes_per_s = link.capacity_bits_per_s / 8 * settings.link_share
        limits[LinkBytes(name)] = _make_limit(
            rate_per_s=bytes_per_s,
            burst=int(bytes_per_s * settings.link_burst_s),
            min_part=MIN_LINK_PART_BYTES,
            domains=_rank_domains(name, sending),
        )
    return limits


def _shift_limits(configuration: Configuration) -> dict[ResourceKey, Limit]:
    # Half as burst and half as rate, so that no interval exceeds the whole cap.
    domains = list(configuration.failure_domains)
    return {
        ShiftShare(name): _make_limit(
            rate_per_s=cap.share_limit * SHARE_UNITS / 2 / cap.interval_s,
            burst=int(cap.share_limit * SHARE_UNITS / 2),
            min_part=SHARE_UNITS,
            domains=_rank_domains(name, domains),
        )
        for name, cap in configuration.shift_caps.items()
    }


def _retry_limits(
    configuration: Configuration, settings: ShareSettings
) -> dict[ResourceKey, Limit]:
    domains = list(configuration.failure_domains)
    return {
        RetryTokens(name): _make_limit(
            rate_per_s=settings.retry_rate_per_s,
            burst=settings.retry_burst_tokens,
            min_part=1,
            domains=_rank_domains(name, domains),
        )
        for name in configuration.services
    }


def _make_limit(
    *, rate_per_s: float, burst: int, min_part: int, domains: Sequence[DomainName]
) -> Limit:
    count = min(len(domains), max(1, burst // min_part))
    return Limit(
        rate_micro_per_s=int(rate_per_s * MICRO_PER_UNIT),
        burst_micro=burst * MICRO_PER_UNIT,
        quantum_micro=MICRO_PER_UNIT,
        domains=tuple(domains[:count]),
    )


def _rank_domains(
    name: str, domains: Sequence[DomainName], first: DomainName | None = None
) -> list[DomainName]:
    """Order domains by rendezvous hashing, so that small limits spread over the fleet."""

    def rank(domain: DomainName) -> tuple[bool, bytes]:
        digest = blake2b(f"{name}\0{domain}".encode(), digest_size=8).digest()
        return (domain != first, digest)

    return sorted(domains, key=rank)
