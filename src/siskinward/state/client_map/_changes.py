"""Changes of client blocks, collected from text or read from a delta."""

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
    """Check and group changes; each prefix must be well-formed and stand once."""
    numbers: dict[str, int] = {}
    changes: dict[tuple[Family, int], dict[int, int]] = {}
    wanted = [(block.prefix, numbers.setdefault(block.site, len(numbers))) for block in assigned]
    wanted += [(text, REMOVED) for text in removed]
    for text, number in wanted:
        prefix = parse_prefix(text)
        if prefix is None:
            return Error(StepError("client map", text, "not a prefix"))
        table = changes.setdefault((prefix.family, prefix.length), {})
        if prefix.key in table:
            return Error(StepError("client map", text, "stands twice"))
        table[prefix.key] = number
    if len(numbers) >= REMOVED:
        return Error(StepError("client map", "sites", f"{len(numbers)} are too many"))
    tables = tuple(
        TableDelta(int(family), length, *PrefixTable.from_changes(family, length, table).to_bytes())
        for (family, length), table in sorted(changes.items())
    )
    return Ok(CollectedChanges(tuple(numbers), tables))


def read_tables(columns: Iterable[TableDelta]) -> dict[tuple[Family, int], PrefixTable]:
    """Tables of prefixes; raises ``ValueError`` or ``TypeError`` where they make no sense."""
    tables = {}
    for column in columns:
        family = Family(column.family)
        if not 0 <= column.length <= FAMILY_BITS[family]:
            raise ValueError(f"prefix length {column.length}")
        table = PrefixTable.from_bytes(family, column.length, column.keys, column.sites)
        if not table.is_ordered(bits=column.length):
            raise ValueError(f"prefixes of length {column.length} out of order")
        tables[(family, column.length)] = table
    return tables
