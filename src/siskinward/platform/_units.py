"""Parses durations, versions and addresses, and reads typed fields of decoded documents."""

from __future__ import annotations

import json
import re
from typing import Any

from siskinward.protocol.counts import decode_count
from siskinward.state.addresses import is_ip_address
from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError

# Integers below this are exact as floating point numbers.
LARGEST_NUMBER = 10.0**15
LARGEST_PORT = 65535
VERSION_PATTERN = re.compile(r"r[0-9]{1,15}")
SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


class DecodeError(SiskinwardError):
    """Raised for an invalid value from the platform; ``where`` names object and field."""

    def __init__(self, where: str, detail: str) -> None:
        super().__init__(StepError("read", where, detail))


def read_duration_s(value: object, where: str) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s``."""
    if isinstance(value, str):
        for unit, seconds in SECONDS_BY_UNIT.items():
            number = value.removesuffix(unit)
            if number != value:
                try:
                    duration_s = float(number) * seconds
                except ValueError:
                    break
                if 0 <= duration_s < LARGEST_NUMBER:
                    return duration_s
    raise DecodeError(where, f"expected a duration such as 1500ms or 2.5s, found {value!r}")


def read_version(value: object, where: str) -> int:
    """Parse a configuration version such as ``r12``."""
    if isinstance(value, str) and VERSION_PATTERN.fullmatch(value):
        return int(value[1:])
    raise DecodeError(where, f"expected a version such as r12, found {value!r}")


def read_text(fields: dict[str, Any], name: str, where: str) -> str:
    """Return a text field; raises ``DecodeError`` if it is missing or not text."""
    value = fields.get(name)
    if not isinstance(value, str):
        raise DecodeError(f"{where}.{name}", f"expected text, found {value!r}")
    return value


def read_number(
    fields: dict[str, Any], name: str, where: str, default: float | None = None
) -> float:
    """Return a numeric field; raises ``DecodeError`` if it is no number of usual size."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(f"{where}.{name}", f"expected a number, found {value!r}")
    if not -LARGEST_NUMBER < value < LARGEST_NUMBER:
        raise DecodeError(f"{where}.{name}", "expected a number of at most 15 digits")
    return value


def read_mapping(fields: object, name: str, where: str) -> dict[str, Any]:
    """Return a field that holds a TOML table or JSON object; raises ``DecodeError`` otherwise."""
    value = fields.get(name) if isinstance(fields, dict) else None
    if not isinstance(value, dict):
        raise DecodeError(f"{where}.{name}", f"expected a table, found {value!r}")
    return value


def read_address(value: object, where: str) -> tuple[str, int]:
    """Parse an address such as ``10.1.0.8:8206`` into host and port."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    number = decode_count(port.encode())
    if number is None or not 0 < number <= LARGEST_PORT or not is_ip_address(host):
        raise DecodeError(where, f"expected an address such as 10.1.0.8:8206, found {value!r}")
    return host, number


def read_json(value: bytes, where: str) -> Any:
    """Parse JSON; raises ``DecodeError`` if the bytes are none, or nested too deep."""
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        raise DecodeError(where, f"expected JSON: {error}") from error
