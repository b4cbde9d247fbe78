"""Parses durations, versions and addresses, and reads typed fields of decoded documents."""

from __future__ import annotations

from typing import Any

from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError

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
                    return float(number) * seconds
                except ValueError:
                    break
    raise DecodeError(where, f"expected a duration such as 1500ms or 2.5s, found {value!r}")


def read_version(value: object, where: str) -> int:
    """Parse a configuration version such as ``r12``."""
    if isinstance(value, str) and value[:1] == "r" and value[1:].isdigit():
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
    """Return a numeric field; raises ``DecodeError`` if it is not a number."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(f"{where}.{name}", f"expected a number, found {value!r}")
    return value


def read_mapping(fields: object, name: str, where: str) -> dict[str, Any]:
    """Return a field that holds a TOML table or JSON object; raises ``DecodeError`` otherwise."""
    value = fields.get(name) if isinstance(fields, dict) else None
    if not isinstance(value, dict):
        raise DecodeError(f"{where}.{name}", f"expected a table, found {value!r}")
    return value


def read_address(value: object, where: str) -> tuple[str, int]:
    """Parse an address such as ``10.1.0.8:8206`` into host and port."""
    host, separator, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not separator or not port.isdigit() or not host:
        raise DecodeError(where, f"expected an address such as 10.1.0.8:8206, found {value!r}")
    return host, int(port)
