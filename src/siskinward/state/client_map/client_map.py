"""Map from client address to site, by longest-prefix match."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgpack
from attrs import evolve
from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.state.client_map._address import FAMILY_BITS
from siskinward.state.client_map._address import Family
from siskinward.state.client_map._address import format_prefix
from siskinward.state.client_map._address import parse_address
from siskinward.state.client_map._changes import collect_changes
from siskinward.state.client_map._changes import read_tables
from siskinward.state.client_map._length_index import ENTRY_SHIFT
from siskinward.state.client_map._length_index import LengthIndex
from siskinward.state.client_map._length_index import length_bit
from siskinward.state.client_map._prefix_table import PrefixTable
from siskinward.state.client_map.delta import BlockSite
from siskinward.state.client_map.delta import MapDelta
from siskinward.state.client_map.delta import TableDelta
from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


HASH_BYTES = 32
BUCKET_COUNT = 16
BUCKET_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 / golden ratio (Fibonacci hashing)
BUCKET_SHIFT = 40
# A bucket holds whole /24 blocks of IPv4 and /48 blocks of IPv6.
BUCKET_BLOCK_SHIFTS = {Family.IPV4: 8, Family.IPV6: 16}
ALWAYS_PROBED_BIT = 1

TableKey = tuple[Family, int]


@frozen
class ClientLocation:
    """The site of a client, and which of ``BUCKET_COUNT`` buckets its address block hashes to."""

    site: str
    bucket: int


@frozen
class _Probe:
    """One prefix length to probe: its bit in the length index, and its table."""

    bit: int
    shift: int
    keys: array[int]
    sites: array[int]


class ClientMap:
    """Immutable map of client blocks to sites, named by version and content hash."""

    __slots__ = ("_content_hash", "_index", "_probes", "_sites", "_tables", "version")

    def __init__(
        self,
        version: int,
        sites: tuple[str, ...],
        tables: dict[TableKey, PrefixTable],
        index: LengthIndex,
    ) -> None:
        self.version = version
        self._sites = sites
        self._tables = {key: tables[key] for key in sorted(tables) if len(tables[key])}
        self._index = index
        self._probes = {family: self._probes_of(family) for family in Family}
        self._content_hash = blake2b(self.to_bytes(), digest_size=HASH_BYTES).hexdigest()

    @classmethod
    def from_blocks(cls, version: int, blocks: Iterable[BlockSite]) -> Result[ClientMap, StepError]:
        """Return a map of the blocks, whose prefixes must be well-formed and unique."""
        empty = cls(0, (), {}, LengthIndex())
        return empty.make_delta(version, blocks, ()).map(
            lambda delta: empty._merged(version, delta)
        )

    @classmethod
    def from_bytes(cls, content: bytes) -> Result[ClientMap, StepError]:
        """Read a map that ``to_bytes`` wrote."""
        try:
            version, names, columns = msgpack.unpackb(content)
            sites = tuple(map(str, names))
            tables = read_tables(TableDelta(*column) for column in columns)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            return Error(_error(f"malformed client map: {error}"))
        if not all(table.has_sites_below(len(sites)) for table in tables.values()):
            return Error(_error("a block has an unknown site"))
        return Ok(cls(version, sites, tables, LengthIndex().with_prefixes(_ipv4_keys(tables))))

    def to_bytes(self) -> bytes:
        """Encode the map as an immutable object; equal maps give equal bytes."""
        columns = [
            (int(family), length, *table.to_bytes())
            for (family, length), table in self._tables.items()
        ]
        encoded: bytes = msgpack.packb((self.version, self._sites, columns))
        return encoded

    @property
    def content_hash(self) -> str:
        """Hexadecimal BLAKE2b-256 hash of ``to_bytes``."""
        return self._content_hash

    @property
    def size_bytes(self) -> int:
        """Memory of the map's arrays."""
        tables = sum(table.size_bytes for table in self._tables.values())
        return tables + self._index.size_bytes

    def __len__(self) -> int:
        return sum(map(len, self._tables.values()))

    def site_of(self, address: str) -> str | None:
        """Return the site of the longest client block that contains ``address``."""
        location = self.locate(address)
        return None if location is None else location.site

    def locate(self, address: str) -> ClientLocation | None:
        """Return the site of the longest client block that contains ``address``, and its bucket."""
        parsed = parse_address(address)
        if parsed is None:
            return None
        family, value = parsed
        mask = ALWAYS_PROBED_BIT
        if family is Family.IPV4:
            mask |= self._index.masks[value >> ENTRY_SHIFT]
        for probe in self._probes[family]:
            if not mask & probe.bit:
                continue
            key = value >> probe.shift
            position = bisect_left(probe.keys, key)
            if position < len(probe.keys) and probe.keys[position] == key:
                return ClientLocation(self._sites[probe.sites[position]], _bucket_of(family, value))
        return None

    def blocks(self) -> Iterator[BlockSite]:
        """Yield the client blocks with their sites, by family, length and address."""
        for (family, length), table in self._tables.items():
            for key, site in zip(table.keys, table.sites, strict=True):
                yield BlockSite(format_prefix(family, length, key), self._sites[site])

    def make_delta(
        self, version: int, assigned: Iterable[BlockSite], removed: Iterable[str]
    ) -> Result[MapDelta, StepError]:
        """Return the delta that a publisher sends to update this map to ``version``."""
        return collect_changes(assigned, removed).map(
            lambda changes: self._with_content_hash(
                MapDelta(self.content_hash, version, "", changes.sites, changes.tables)
            )
        )

    def apply(self, delta: MapDelta) -> Result[ClientMap, StepError]:
        """Return the map after ``delta``, which must be based on this map and match its hash."""
        if delta.base_hash != self.content_hash:
            return Error(_error(f"version {delta.version} is not based on version {self.version}"))
        if delta.version <= self.version:
            return Error(_error(f"version {delta.version} is not above version {self.version}"))
        try:
            changed = self._merged(delta.version, delta)
        except (ValueError, TypeError, IndexError, OverflowError) as error:
            return Error(_error(f"malformed delta: {error}"))
        if changed.content_hash != delta.content_hash:
            return Error(_error(f"version {delta.version} does not match its content hash"))
        return Ok(changed)

    def _with_content_hash(self, delta: MapDelta) -> MapDelta:
        return evolve(delta, content_hash=self._merged(delta.version, delta).content_hash)

    def _merged(self, version: int, delta: MapDelta) -> ClientMap:
        sites = {site: number for number, site in enumerate(self._sites)}
        site_numbers = {
            number: sites.setdefault(site, len(sites)) for number, site in enumerate(delta.sites)
        }
        changes = read_tables(delta.tables)
        tables = dict(self._tables)
        for key, changed in changes.items():
            table = tables.get(key) or PrefixTable.empty(*key)
            tables[key] = table.merge(changed.renumber(site_numbers))
        index = self._index.with_prefixes(_ipv4_keys(changes))
        return ClientMap(version, tuple(sites), tables, index)

    def _probes_of(self, family: Family) -> list[_Probe]:
        """Return the probes of a family, longest prefixes first."""
        return [
            _Probe(
                bit=length_bit(length) if family is Family.IPV4 else ALWAYS_PROBED_BIT,
                shift=FAMILY_BITS[family] - length,
                keys=table.keys,
                sites=table.sites,
            )
            for (table_family, length), table in reversed(self._tables.items())
            if table_family is family
        ]


def _ipv4_keys(tables: dict[TableKey, PrefixTable]) -> list[tuple[int, array[int]]]:
    return [
        (length, table.keys) for (family, length), table in tables.items() if family is Family.IPV4
    ]


def _bucket_of(family: Family, value: int) -> int:
    block = value >> BUCKET_BLOCK_SHIFTS[family]
    return (block * BUCKET_MULTIPLIER >> BUCKET_SHIFT) % BUCKET_COUNT


def _error(detail: str) -> StepError:
    return StepError("client map", "map object", detail)
