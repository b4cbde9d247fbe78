"""IP addresses and ports, by which VMs and targets are reached."""

from __future__ import annotations

from functools import lru_cache
from ipaddress import ip_address

CACHE_ENTRIES = 4096
LARGEST_PORT = 65535


def is_port(number: int) -> bool:
    """Return whether a number is a port that a connection can go to."""
    return 0 < number <= LARGEST_PORT


def is_ip_address(value: object) -> bool:
    """Return whether a value is the text of an IPv4 or IPv6 address, without a scope."""
    return isinstance(value, str) and "%" not in value and _is_ip_address(value)


@lru_cache(maxsize=CACHE_ENTRIES)
def _is_ip_address(text: str) -> bool:
    try:
        ip_address(text)
    except ValueError:
        return False
    return True
