from __future__ import annotations

from ipaddress import ip_address
from ipaddress import ip_network

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from siskinward.state.client_map import BlockSite
from siskinward.state.client_map import ClientMap

BLOCKS = (
    BlockSite("10.0.0.0/8", "harju"),
    BlockSite("10.1.0.0/16", "tartu"),
    BlockSite("10.1.2.0/24", "parnu"),
    BlockSite("2001:db8::/32", "tartu"),
)


def build(blocks: tuple[BlockSite, ...], version: int = 1) -> ClientMap:
    return ClientMap.from_blocks(version, blocks).ok


@pytest.mark.parametrize(
    ("address", "site"),
    [
        ("10.200.0.1", "harju"),
        ("10.1.9.9", "tartu"),
        ("10.1.2.3", "parnu"),
        ("::ffff:10.1.2.3", "parnu"),
        ("2001:db8:1::5", "tartu"),
        ("11.0.0.1", None),
        ("2001:db9::1", None),
        ("10.1.2", None),
        ("10.1.2.03", None),
        ("10.1.2.256", None),
        ("not:an:address", None),
    ],
)
def test_site_of_finds_the_longest_block(address: str, site: str | None) -> None:
    assert build(BLOCKS).site_of(address) == site


@pytest.mark.parametrize(
    "prefix", ["10.0.0.1/8", "10.0.0.0", "10.0.0.0/33", "2001:db8::/65", "x/8"]
)
def test_malformed_prefix_is_refused(prefix: str) -> None:
    assert ClientMap.from_blocks(1, [BlockSite(prefix, "harju")]).is_error()


def test_duplicate_block_is_refused() -> None:
    assert ClientMap.from_blocks(1, [*BLOCKS, BlockSite("10.0.0.0/8", "tartu")]).is_error()


def test_delta_fits_only_its_base_and_gives_the_published_content() -> None:
    client_map = build(BLOCKS)
    assigned = (BlockSite("10.1.2.0/24", "harju"), BlockSite("10.2.0.0/16", "voru"))
    delta = client_map.make_delta(2, assigned, ["10.1.0.0/16"]).ok
    changed = client_map.apply(delta).ok
    sites = [changed.site_of(address) for address in ("10.1.2.3", "10.1.9.9", "10.2.0.1")]
    assert sites == ["harju", "harju", "voru"]
    assert client_map.site_of("10.1.9.9") == "tartu"
    assert client_map.apply(evolve(delta, content_hash="0" * 64)).is_error()
    assert client_map.apply(evolve(delta, version=1)).is_error()
    assert changed.apply(evolve(delta, version=3)).is_error()
    assert client_map.apply(evolve(delta, tables=delta.tables[::-1], sites=())).is_error()


def test_encoded_map_reads_back_and_broken_content_is_refused() -> None:
    client_map = build(BLOCKS)
    content = client_map.to_bytes()
    read = ClientMap.from_bytes(content).ok
    assert read.content_hash == client_map.content_hash
    assert read.site_of("10.1.2.3") == "parnu"
    assert ClientMap.from_bytes(content[:-1]).is_error()
    assert ClientMap.from_bytes(b"\x01").is_error()


PREFIXES = st.builds(
    lambda value, length: str(ip_network((value >> (32 - length) << (32 - length), length))),
    st.integers(0x0A000000, 0x0A0003FF),
    st.integers(20, 32),
)
SITES = st.sampled_from(["harju", "tartu", "parnu"])


@given(
    st.dictionaries(PREFIXES, SITES, max_size=20),
    st.dictionaries(PREFIXES, SITES | st.none(), max_size=8),
    st.lists(st.integers(0x0A000000, 0x0A0003FF), min_size=1, max_size=20),
)
def test_lookup_agrees_with_a_linear_search_after_a_delta(
    blocks: dict[str, str], changes: dict[str, str | None], addresses: list[int]
) -> None:
    client_map = build(tuple(BlockSite(prefix, site) for prefix, site in blocks.items()))
    assigned = [BlockSite(prefix, site) for prefix, site in changes.items() if site]
    removed = [prefix for prefix, site in changes.items() if site is None]
    delta = client_map.make_delta(2, assigned, removed).ok
    changed = client_map.apply(delta).ok
    merged = {prefix: site for prefix, site in (blocks | changes).items() if site}
    for value in addresses:
        address = ip_address(value)
        containing = [prefix for prefix in merged if address in ip_network(prefix)]
        longest = max(containing, key=lambda prefix: ip_network(prefix).prefixlen, default=None)
        assert changed.site_of(str(address)) == (merged[longest] if longest else None)
    assert len(changed) == len(merged)
