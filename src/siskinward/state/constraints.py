"""Constraints on field values, attached to annotations with ``typing.Annotated``."""

from __future__ import annotations

import ipaddress
import math
import re
from typing import Annotated
from typing import Any

from attrs import frozen

MAXIMUM_PORT = 65535
NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
PATH_PATTERN = r"/[A-Za-z0-9._~!$&'()*+,;=:@%/-]{0,255}"
KEY_HASH_PATTERN = r"[0-9a-f]{64}"
METHOD_PATTERN = r"GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS"
ENDPOINT_PATTERN = r"\S{1,64}:[0-9]{1,5}"
PRINTABLE_PATTERN = r"[!-~]([ -~]{0,1022}[!-~])?"


@frozen
class Range:
    """A number between ``minimum`` and ``maximum``; ``exclusive`` excludes the minimum."""

    minimum: float
    maximum: float = math.inf
    exclusive: bool = False


@frozen
class Pattern:
    """A text that matches ``regex`` as a whole, described by ``description``."""

    regex: str
    description: str


@frozen
class IpAddress:
    """An IPv4 or IPv6 address in its canonical form."""


@frozen
class IpNetwork:
    """An IPv4 or IPv6 network in CIDR notation without host bits."""


@frozen
class RefersTo:
    """The name of an object in the given mapping of the configuration."""

    collection: str


Constraint = Range | Pattern | IpAddress | IpNetwork | RefersTo


def permits(constraint: Constraint, value: Any) -> bool:
    """Return whether ``value`` satisfies ``constraint``; references are checked elsewhere."""
    match constraint:
        case Range(minimum, maximum, exclusive):
            return minimum <= value <= maximum and not (exclusive and value == minimum)
        case Pattern(regex):
            return re.fullmatch(regex, value) is not None
        case IpAddress():
            return _is_canonical(ipaddress.ip_address, value)
        case IpNetwork():
            return _is_canonical(ipaddress.ip_network, value)
        case RefersTo():
            return True


def describe(constraint: Constraint) -> str:
    """Describe the permitted values to an operator."""
    match constraint:
        case Range(minimum, maximum, exclusive):
            lower = f"above {minimum:g}" if exclusive else f"at least {minimum:g}"
            return lower if maximum == math.inf else f"{lower} and at most {maximum:g}"
        case Pattern(_, description):
            return description
        case IpAddress():
            return "an IP address such as 10.0.0.1"
        case IpNetwork():
            return "an IP network without host bits such as 10.1.0.0/16"
        case RefersTo():
            return "the name of a declared object"


def _is_canonical(parse: Any, value: str) -> bool:
    try:
        return str(parse(value)) == value
    except ValueError:
        return False


NAME = Pattern(NAME_PATTERN, "1 to 63 letters, digits, '.', '_' or '-'")

Name = Annotated[str, NAME]
Host = Annotated[str, IpAddress()]
Port = Annotated[int, Range(1, MAXIMUM_PORT)]
Network = Annotated[str, IpNetwork()]
Path = Annotated[str, Pattern(PATH_PATTERN, "a path that starts with '/', at most 256 characters")]
Method = Annotated[str, Pattern(METHOD_PATTERN, "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS")]
KeyHash = Annotated[str, Pattern(KEY_HASH_PATTERN, "64 lower-case hexadecimal digits")]
Endpoint = Annotated[str, Pattern(ENDPOINT_PATTERN, "host:port such as 10.0.0.1:7100")]
Printable = Annotated[str, Pattern(PRINTABLE_PATTERN, "printable ASCII characters")]
PositiveInt = Annotated[int, Range(1)]
NonNegativeInt = Annotated[int, Range(0)]
PositiveFloat = Annotated[float, Range(0.0, exclusive=True)]
NonNegativeFloat = Annotated[float, Range(0.0)]
Fraction = Annotated[float, Range(0.0, 1.0, exclusive=True)]
GroupReference = Annotated[str, RefersTo("target_groups")]
SiteReference = Annotated[str, RefersTo("sites")]
