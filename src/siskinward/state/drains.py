"""Finds the failure domains and targets that planned drains empty at a given time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.state.objects import Drain
from siskinward.state.objects import DrainKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import TargetName
    from siskinward.state.objects import Configuration


def draining_domains(configuration: Configuration, wall_s: float) -> frozenset[DomainName]:
    """Return the failure domains under a started drain, their own or one of their region."""
    return drained_domains(configuration, started_drains(configuration, wall_s))


def drained_domains(configuration: Configuration, drains: Iterable[Drain]) -> frozenset[DomainName]:
    """Return the failure domains that drains empty, directly or with their region."""
    drains = tuple(drains)
    names = {drain.subject for drain in drains if drain.kind is DrainKind.FAILURE_DOMAIN}
    regions = {drain.subject for drain in drains if drain.kind is DrainKind.REGION}
    return frozenset(
        domain.name
        for domain in configuration.failure_domains.values()
        if domain.name in names or domain.region in regions
    )


def draining_targets(
    configuration: Configuration, wall_s: float, closed_domains: frozenset[DomainName]
) -> frozenset[TargetName]:
    """Return the targets under a started drain, and all targets of ``closed_domains``.

    They are assigned no new requests.
    """
    drains = started_drains(configuration, wall_s)
    names = {drain.subject for drain in drains if drain.kind is DrainKind.TARGET}
    groups = configuration.target_groups
    return frozenset(
        target.name
        for target in configuration.targets.values()
        if target.name in names or groups[target.group].failure_domain in closed_domains
    )


def started_drains(configuration: Configuration, wall_s: float) -> list[Drain]:
    """Return the drains that have started."""
    return [drain for drain in configuration.drains.values() if drain.start_at_s <= wall_s]
