"""Collects changes of client blocks into prefix tables and reads them from a delta."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.state.client_map._address import FAMILY_BITS
from siskinward.state.client_map._address import Family
from siskinward.state.client_map._address import parse_prefix
from siskinward.state.client_map._prefix_table import PrefixTable
from siskinward.state.client_map.delta import REMOVED
from siskinward.state.client_map.delta import TableDelta
from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.state.client_map.delta import BlockSite


@frozen
class CollectedChanges:
    """The named sites and the changed prefixes, grouped by family and length."""

    sites: tuple[str, ...]
    tables: tuple[TableDelta, ...]


def collect_changes(
    assigned: Iterable[BlockSite], removed: Iterable[str]
) -> Result[CollectedChanges, StepError]:
    """Check and group changes; each prefix must be well-formed and unique."""
    site_numbers: dict[str, int] = {}
    changes: dict[tuple[Family, int], dict[int, int]] = {}
    requested = [
        (block.prefix, site_numbers.setdefault(block.site, len(site_numbers))) for block in assigned
    ]
    requested += [(text, REMOVED) for text in removed]
    for text, number in requested:
        prefix = parse_prefix(text)
        if prefix is None:
            return Error(StepError("client map", text, "malformed prefix"))
        table = changes.setdefault((prefix.family, prefix.length), {})
        if prefix.key in table:
            return Error(StepError("client map", text, "duplicate prefix"))
        table[prefix.key] = number
    if len(site_numbers) >= REMOVED:
        return Error(StepError("client map", "sites", f"too many sites: {len(site_numbers)}"))
    tables = tuple(
        TableDelta(int(family), length, *PrefixTable.from_changes(family, length, table).to_bytes())
        for (family, length), table in sorted(changes.items())
    )
    return Ok(CollectedChanges(tuple(site_numbers), tables))


def read_tables(deltas: Iterable[TableDelta]) -> dict[tuple[Family, int], PrefixTable]:
    """Return the prefix tables; raises ``ValueError`` or ``TypeError`` if one is malformed."""
    tables = {}
    for delta in deltas:
        family = Family(delta.family)
        if not 0 <= delta.length <= FAMILY_BITS[family]:
            raise ValueError(f"invalid prefix length {delta.length}")
        table = PrefixTable.from_bytes(family, delta.length, delta.keys, delta.sites)
        if not table.is_valid(bits=delta.length):
            raise ValueError(
                f"prefixes of length {delta.length} are unordered, too long or lack a site"
            )
        tables[(family, delta.length)] = table
    return tables
