"""Derives a new deployment from a site file of the bench.

Run as ``python benchmarks/derive_deployment.py SITE OUTPUT --vms 20 --slots 1``; the bench runs the
result like any site file (copy the base's ``wire.json`` next to it). Traffic and targets are scaled
with the number of VMs, so that the derived deployment is about as loaded as its base.
"""

from __future__ import annotations

import itertools
import tomllib
from pathlib import Path
from typing import Any

import attrs
import click
import tomli_w

Table = dict[str, Any]

ACCOUNT_CONTRACTS = {"tenants", "quota"}
ACCOUNT_EVENTS = {"hot_tenant", "revoke"}
ACCOUNT_VARIANTS = {"tenant", "quota", "topup", "revoke", "last"}


@attrs.frozen(kw_only=True)
class Shape:
    """Properties of the derived deployment; None keeps the value of the base."""

    vms: int
    failure_domains: int | None
    slots: int | None
    client_accounts: int | None
    homed_share: float | None
    memory_mb: int | None
    cpu_share: float | None
    link_mbps: float | None
    store_rate_factor: float
    unequal_targets: bool
    affinity: bool
    length_s: float | None


def derive_site(site: Table, shape: Shape) -> Table:
    """Change the tables of a site file to the given shape, in place, and return them."""
    base_vms = sum(group["count"] for group in site["machines"])
    factor = shape.vms / base_vms
    kept = _kept_domains(site, shape)
    _replace_vms(site, shape, kept)
    site["zones"] = [zone for zone in site["zones"] if zone["name"] in kept]
    for service in site["services"]:
        _resize_service(service, shape, factor, kept)
    if not shape.affinity:
        _drop_affinity(site)
    _resize_accounts(site, shape)
    _resize_store(site, shape)
    _resize_traffic(site, shape, factor, kept)
    has_accounts = "tenants" in site
    for holder, field in _event_lists(site):
        holder[field] = [
            entry
            for entry in holder[field]
            if _is_within(entry, kept) and (has_accounts or not _is_about_accounts(entry))
        ]
    site["tolerate"]["machines"] = min(site["tolerate"]["machines"], max(1, shape.vms - 2))
    site["tolerate"]["zones"] = min(site["tolerate"]["zones"], len(kept) - 1)
    if shape.length_s is not None:
        site["length_s"] = shape.length_s
    return site


def _kept_domains(site: Table, shape: Shape) -> list[str]:
    names = [zone["name"] for zone in site["zones"]]
    return names[: shape.failure_domains or len(names)]


def _replace_vms(site: Table, shape: Shape, kept: list[str]) -> None:
    model = dict(site["machines"][0])
    for field in ("memory_mb", "cpu_share", "link_mbps"):
        value = getattr(shape, field)
        if value is not None:
            model[field] = value
    counts = _distribute(shape.vms, len(kept))
    site["machines"] = [
        {**model, "zone": name, "count": count, "spare": 1}
        for name, count in zip(kept, counts, strict=True)
        if count
    ]


def _distribute(total: int, holders: int) -> list[int]:
    return [total // holders + (index < total % holders) for index in range(holders)]


def _resize_service(service: Table, shape: Shape, factor: float, kept: list[str]) -> None:
    total = sum(group["count"] for group in service["servers"])
    if shape.slots is not None:
        total *= service["slots"] / shape.slots
        service["queue"] = shape.slots * 3
        service["slots"] = shape.slots
    counts = _distribute(max(len(kept), round(total * factor)), len(kept))
    service["servers"] = [
        {"zone": name, "count": count} for name, count in zip(kept, counts, strict=True)
    ]
    service["conn_cap"] = max(40, round(service["conn_cap"] * factor))
    if shape.unequal_targets:
        service["speeds"] = [0.6, 1.0, 1.6]


def _drop_affinity(site: Table) -> None:
    for request in site["classes"]:
        request["warm_gain"] = 0.0
        request["things"] = 0
        request["at_home"] = False


def _resize_accounts(site: Table, shape: Shape) -> None:
    if shape.homed_share is not None:
        site["tenants"]["homed"] = shape.homed_share
    if shape.client_accounts is None:
        return
    if shape.client_accounts:
        site["tenants"]["count"] = shape.client_accounts
        return
    del site["tenants"]
    site["contracts"] = [name for name in site["contracts"] if name not in ACCOUNT_CONTRACTS]


def _resize_store(site: Table, shape: Shape) -> None:
    for field in ("writes_per_s", "reads_per_s", "part_writes_per_s"):
        site["platform"][field] *= shape.store_rate_factor


def _resize_traffic(site: Table, shape: Shape, factor: float, kept: list[str]) -> None:
    for holder in itertools.chain([site], site["day"]):
        if "traffic" not in holder:
            continue
        total_per_s = sum(stream["per_s"] for stream in holder["traffic"])
        streams = [stream for stream in holder["traffic"] if stream["zone"] in kept]
        for stream in streams:
            stream["per_s"] = total_per_s * factor / len(streams)
        holder["traffic"] = streams


def _event_lists(site: Table) -> list[tuple[Table, str]]:
    lists = [(site, "troubles")]
    for day in site["day"]:
        lists.extend((day, field) for field in ("plan", "faults") if field in day)
    return lists


def _is_within(event: Table, kept: list[str]) -> bool:
    return all(event.get(field, kept[0]) in kept for field in ("zone", "to_zone"))


def _is_about_accounts(event: Table) -> bool:
    variants = set(event.get("how", "").split())
    return event["kind"] in ACCOUNT_EVENTS or bool(variants & ACCOUNT_VARIANTS)


@click.command()
@click.argument("site", type=click.Path(exists=True, path_type=Path))
@click.argument("output", type=click.Path(path_type=Path))
@click.option("--vms", type=click.IntRange(min=3), required=True)
@click.option("--failure-domains", type=click.IntRange(min=2))
@click.option("--slots", type=click.IntRange(min=1))
@click.option("--client-accounts", type=click.IntRange(min=0), help="0: no accounts, no quotas.")
@click.option("--homed-share", type=float)
@click.option("--memory-mb", type=int)
@click.option("--cpu-share", type=float)
@click.option("--link-mbps", type=float)
@click.option("--store-rate-factor", type=float, default=1.0)
@click.option("--unequal-targets", is_flag=True)
@click.option("--affinity/--no-affinity", default=True)
@click.option("--length-s", type=float)
def main(site: Path, output: Path, **shape: Any) -> None:
    """Write a deployment derived from SITE to OUTPUT."""
    tables = tomllib.loads(site.read_text())
    derived = derive_site(tables, Shape(**shape))
    derived["name"] = output.stem
    output.write_text(tomli_w.dumps(derived))


if __name__ == "__main__":
    main()
